package placer

import (
	"slices"

	"github.com/carobrock/carobrock"
)

// FirstFit assigns each task to the first worker that has capacity for its
// declared size. A worker on which the task has failed is used only if the pool
// allows no other.
type FirstFit struct{}

var _ carobrock.Placer = FirstFit{}

// Place implements carobrock.Placer.
func (FirstFit) Place(v *carobrock.PlacementView) carobrock.Placement {
	out := carobrock.Placement{}
	workers := append([]carobrock.PlacementWorker(nil), v.Workers...)
	for _, t := range v.Queued {
		pool, ok := v.Pools[t.Pool]
		if !ok {
			out.Unplaced = append(out.Unplaced, carobrock.UnplacedTask{Task: t.ID, Reason: "the pool does not exist"})
			continue
		}
		if w := firstWorkerWithCapacity(t, &pool, workers, &out); w != nil {
			w.Free = w.Free.Sub(t.Size)
			out.Assignments = append(out.Assignments, carobrock.Assignment{Task: t.ID, Worker: w.Name})
		}
	}
	return out
}

// firstWorkerWithCapacity returns the worker for t, or nil after adding to out
// why there is none.
func firstWorkerWithCapacity(t *carobrock.Task, pool *carobrock.Pool, workers []carobrock.PlacementWorker, out *carobrock.Placement) *carobrock.PlacementWorker {
	rejected := &rejectionCounts{}
	var failed *carobrock.PlacementWorker
	for i := range workers {
		w := &workers[i]
		if !pool.Allows(&w.Worker) || !rejected.checkWorker(t, w) {
			continue
		}
		if !slices.Contains(t.FailedOn, w.Name) {
			return w
		}
		failed = w
	}
	if failed != nil && len(t.FailedOn) >= rejected.allowed {
		return failed
	}
	out.Unplaced = append(out.Unplaced, rejected.unplacedTask(t))
	return nil
}
