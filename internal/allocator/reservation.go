package allocator

import "github.com/carobrock/carobrock"

// maxReservations bounds the reservations of one round, each of which scans all
// workers. The services behind them get theirs once these have started.
const maxReservations = 32

// reserveForServices reserves capacity for a number of waiting tasks of a service
// step that did not fit. Small tasks that keep filling whatever becomes free would
// otherwise make a larger task wait without end; backfilling schedulers reserve for
// the first waiting job for that reason (Lifka, "The ANL/IBM SP scheduling system",
// 1995).
func reserveForServices(r *Request, tasks int, workers []*Worker) {
	reservations := 0
	for _, w := range workers {
		reservations += w.Reservations
	}
	for range min(tasks, maxReservations-reservations) {
		w := soonestFit(r, workers)
		if w == nil {
			return
		}
		w.Reservations++
		w.Reserved = w.Reserved.Add(r.Step.Committed())
	}
}

// soonestFit returns the worker with the least shortage of CPU among those on which
// a task of r fits once the tasks there that are not services have ended. It
// returns nil if there is none.
func soonestFit(r *Request, workers []*Worker) *Worker {
	var best *Worker
	least := int64(0)
	for _, w := range workers {
		if !isEligible(r, w) || !r.Step.Committed().Fits(w.Free.Add(w.Transient).Sub(w.Reserved)) {
			continue
		}
		shortage := r.Step.Size.MilliCPU + w.Reserved.MilliCPU - w.Free.MilliCPU
		if best == nil || shortage < least {
			best, least = w, shortage
		}
	}
	return best
}

// available returns the capacity of w that a task of r may use. Fillers reserve no
// CPU, so they do not keep a service from it.
func available(r *Request, w *Worker) carobrock.Capacity {
	reserved := w.Reserved
	if r.Step.Filler {
		reserved.MilliCPU = 0
	}
	return w.Free.Sub(reserved)
}
