package dispatcher

import (
	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// findSteps returns the steps of the runs that the report lists as running. The
// step of a run that is not recorded is that of its task, or the one found for
// an earlier report. It is nil if neither is known.
func (w *worker) findSteps(s *bookkeeper.State, rec *bookkeeper.WorkerRecord) map[carobrock.Run]*carobrock.Step {
	steps := make(map[carobrock.Run]*carobrock.Step, len(w.reported))
	for run := range w.reported {
		step := w.steps[run]
		if rec != nil && rec.Runs[run] != nil {
			step = rec.Runs[run]
		}
		if step == nil {
			if j, _, t := s.Task(run.Task); t != nil {
				step = &j.Spec.Steps[run.Task.Step]
			}
		}
		steps[run] = step
	}
	return steps
}

// hasUnknownRun reports whether the worker lists a run whose size is unknown, so
// that its free capacity is unknown.
func (w *worker) hasUnknownRun() bool {
	for _, step := range w.steps {
		if step == nil {
			return true
		}
	}
	return false
}

// subtractUnrecordedRuns subtracts the runs that the worker lists as running but
// that are not recorded, for example those of a lost worker that has returned. They take
// up capacity until the worker reports their ends.
func (w *worker) subtractUnrecordedRuns(v *allocator.Worker, rec *bookkeeper.WorkerRecord) {
	for run, step := range w.steps {
		if step == nil || rec != nil && rec.Runs[run] != nil {
			continue
		}
		v.Free = v.Free.Sub(step.Committed())
		v.SpareMilliCPU -= expectedUse(step)
	}
}
