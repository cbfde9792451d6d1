package dispatcher

import (
	"slices"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// findUnrecorded updates w.unrecorded. The step of a run that is not recorded is that
// of its task, or the one found for an earlier report.
func (w *worker) findUnrecorded(s *bookkeeper.State, rec *bookkeeper.WorkerRecord) {
	unrecorded := map[carobrock.Run]*carobrock.Step{}
	for run := range w.reported {
		if rec != nil && rec.Runs[run] != nil {
			continue
		}
		unrecorded[run] = w.unrecorded[run]
		if j, _, t := s.Task(run.Task); t != nil {
			unrecorded[run] = &j.Spec.Steps[run.Task.Step]
		}
	}
	w.unrecorded = unrecorded
	if len(unrecorded) == 0 {
		delete(w.withUnrecorded, w)
	} else if w.withUnrecorded != nil {
		w.withUnrecorded[w] = true
	}
}

// findExcess returns the active runs that wait for their start on the worker and
// do not fit in the reported capacity beside those that it lists as running. Runs
// that are being stopped count as running until their ends are reported.
func (w *worker) findExcess(s *bookkeeper.State, rec *bookkeeper.WorkerRecord) map[carobrock.Run]bool {
	var active []carobrock.Run
	for _, run := range w.view.unstarted {
		if s.IsActive(w.report.WorkerIncarnation, run) {
			active = append(active, run)
		}
	}
	if len(active) == 0 {
		return nil
	}
	free := w.view.free
	slices.SortFunc(active, carobrock.Run.Compare)
	excess := map[carobrock.Run]bool{}
	for _, run := range active {
		committed := rec.Runs[run].Committed()
		if w.hasUnknownRun() || !committed.Fits(free) {
			excess[run] = true
			continue
		}
		free = free.Sub(committed)
	}
	return excess
}

// logCapacityChange logs if the reported capacity of the worker differs from that in
// the previous heartbeat, nil if there is none.
func (d *Dispatcher) logCapacityChange(s *bookkeeper.State, w *worker, previous *carobrock.WorkerReport) {
	if previous == nil || previous.Capacity == w.report.Capacity {
		return
	}
	committed := w.report.Capacity.Sub(w.updateView(s).free)
	d.Logger.Info().Str("worker", w.report.Name).Interface("from", previous.Capacity).Interface("to", w.report.Capacity).
		Interface("committed", committed).Msg("dispatcher: capacity of a worker has changed")
}

// hasUnknownRun reports whether the worker lists a run whose size is unknown, so
// that its free capacity is unknown. The view of the worker must be up to date.
func (w *worker) hasUnknownRun() bool {
	for _, step := range w.unrecorded {
		if step == nil {
			return true
		}
	}
	return false
}

// subtractUnrecordedRuns subtracts the runs that the worker lists as running but
// that are not recorded, for example after its loss if it returns. They take up
// capacity until the worker reports their ends.
func (w *worker) subtractUnrecordedRuns(v *allocator.Worker) {
	for _, step := range w.unrecorded {
		if step != nil {
			v.Free = v.Free.Sub(step.Committed())
			v.SpareMilliCPU -= expectedUse(step)
		}
	}
}
