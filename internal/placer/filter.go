package placer

import (
	"fmt"

	"github.com/carobrock/carobrock"
)

// rejectionCounts counts, by cause, the workers of a pool that cannot take a
// task.
type rejectionCounts struct {
	allowed       int    // workers that the pool allows
	unusable      int    // of these, workers not usable now
	full          int    // usable workers with too little free capacity
	tooSmall      int    // workers too small for the task even when empty
	exampleReason string // why one of the unusable workers is not usable
}

// capacityWhenEmpty returns the capacity of a worker that its services do not
// reserve.
func capacityWhenEmpty(w *carobrock.PlacementWorker) carobrock.Capacity {
	capacity := w.Capacity
	for _, s := range w.Services {
		capacity = capacity.Sub(s.Reserved)
	}
	return capacity
}

// checkWorker counts w, by cause if it cannot take the task, and reports
// whether it can take the task now.
func (r *rejectionCounts) checkWorker(t *carobrock.Task, w *carobrock.PlacementWorker) bool {
	return r.checkWorkerWithFree(t, w, w.Free)
}

// checkWorkerWithFree is checkWorker for a worker with the given free capacity.
func (r *rejectionCounts) checkWorkerWithFree(t *carobrock.Task, w *carobrock.PlacementWorker, free carobrock.Capacity) bool {
	r.allowed++
	switch {
	case !t.Size.Fits(capacityWhenEmpty(w)):
		r.tooSmall++
	case !w.Usable:
		r.unusable++
		r.exampleReason = w.Reason
	case !t.Size.Fits(free):
		r.full++
	default:
		return true
	}
	return false
}

// unplacedTask returns why no worker takes the task.
func (r *rejectionCounts) unplacedTask(t *carobrock.Task) carobrock.UnplacedTask {
	out := carobrock.UnplacedTask{Task: t.ID}
	switch {
	case r.allowed == 0:
		out.Reason = "the pool allows no known worker"
	case r.tooSmall == r.allowed:
		out.FitsNoWorker = true
		out.Reason = fmt.Sprintf("the task is larger than each of the pool's %d workers", r.allowed)
	default:
		out.Reason = fmt.Sprintf("of the pool's %d workers %d are full, %d are not usable and %d are too small",
			r.allowed, r.full, r.unusable, r.tooSmall)
		if r.exampleReason != "" {
			out.Reason += " (for one: " + r.exampleReason + ")"
		}
	}
	return out
}
