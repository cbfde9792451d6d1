package placer

import (
	"math/rand/v2"

	"github.com/carobrock/carobrock"
)

// bestFit assigns each task to the worker that is left with the least free CPU.
type bestFit struct{}

func (bestFit) Place(v *carobrock.PlacementView) carobrock.Placement {
	return placeByScore(v, func(w *carobrock.PlacementWorker) float64 { return float64(w.Free.MilliCPU) })
}

// randomFit assigns each task to a random worker among those with capacity.
type randomFit struct{ rand *rand.Rand }

func (r randomFit) Place(v *carobrock.PlacementView) carobrock.Placement {
	return placeByScore(v, func(*carobrock.PlacementWorker) float64 { return r.rand.Float64() })
}

// placeByScore assigns each task to the worker with capacity that has the
// lowest score.
func placeByScore(v *carobrock.PlacementView, score func(w *carobrock.PlacementWorker) float64) carobrock.Placement {
	out := carobrock.Placement{}
	for _, t := range v.Queued {
		var best *carobrock.PlacementWorker
		lowest := 0.0
		for i := range v.Workers {
			w := &v.Workers[i]
			if !w.Usable || !t.Size.Fits(w.Free) {
				continue
			}
			if s := score(w); best == nil || s < lowest {
				best, lowest = w, s
			}
		}
		if best != nil {
			best.Free = best.Free.Sub(t.Size)
			out.Assignments = append(out.Assignments, carobrock.Assignment{Task: t.ID, Worker: best.Name})
		}
	}
	return out
}
