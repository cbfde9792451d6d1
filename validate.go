package carobrock

import (
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// Limits of what other processes may send. They keep sums and durations of these
// numbers within 64 bits, and commands within what a replica decodes.
const (
	// MaxAmount is the largest amount of a resource of a worker or a task, in the
	// units of Capacity.
	MaxAmount = 1 << 40
	// MaxCount is the largest sequence number, attempt or time in milliseconds. It is
	// the largest integer that a JSON number holds exactly.
	MaxCount = 1 << 53
	// MaxDurationMillis is the longest duration, in milliseconds.
	MaxDurationMillis = int64(10 * 365 * 24 * time.Hour / time.Millisecond)
	// MaxJobSteps is the largest number of steps of a job, MaxJobTasks that of the tasks of
	// all its steps in one occurrence, and MaxRepetitions that of its repetitions.
	MaxJobSteps    = 256
	MaxJobTasks    = 100_000
	MaxRepetitions = 10_000
	// maxListLength is the largest number of elements of a list in a request.
	maxListLength = 100_000
)

// checkText returns an error that wraps ErrRefused if one of the texts is no valid
// UTF-8. Replicas cannot decode a command with such a text, and so would drop all
// other parts of that command as well.
func checkText(texts ...string) error {
	for _, s := range texts {
		if !utf8.ValidString(s) {
			return eris.Wrapf(ErrRefused, "%q is not valid UTF-8", s)
		}
	}
	return nil
}

// isCount reports whether n is between 0 and MaxCount.
func isCount(n int64) bool { return n >= 0 && n <= MaxCount }

// isDuration reports whether n milliseconds are a duration between 0 and
// MaxDurationMillis.
func isDuration(n int64) bool { return n >= 0 && n <= MaxDurationMillis }

// isWithinLimits reports whether each component of c is between 0 and MaxAmount.
func (c Capacity) isWithinLimits() bool {
	return !c.IsNegative() && c.Fits(Capacity{MaxAmount, MaxAmount, MaxAmount})
}

// Check returns an error that wraps ErrRefused and describes the first invalid
// field of r, or nil if r is valid.
func (r *WorkerReport) Check() error {
	if err := checkText(r.Name, r.Machine, r.Pool, r.AvailabilityZone, r.Rack); err != nil {
		return err
	}
	if err := checkText(r.Labels...); err != nil {
		return err
	}
	switch {
	case r.Name == "":
		return eris.Wrap(ErrRefused, "the worker has no name")
	case !isCount(r.Started) || r.Sequence > MaxCount || !isDuration(max(r.RemainingMillis, -r.RemainingMillis)):
		return eris.Wrapf(ErrRefused, "start %d, sequence %d or remaining time %d ms is out of range", r.Started, r.Sequence, r.RemainingMillis)
	case !r.Capacity.isWithinLimits():
		return eris.Wrapf(ErrRefused, "capacity %+v is out of range", r.Capacity)
	case len(r.Labels) > maxListLength || len(r.Running) > maxListLength || len(r.Ends) > maxListLength:
		return eris.Wrapf(ErrRefused, "%d labels, %d runs or %d ends are too many", len(r.Labels), len(r.Running), len(r.Ends))
	}
	for i := range r.Running {
		x := &r.Running[i]
		if err := x.Run.check(x.Checkpoint); err != nil {
			return err
		}
	}
	for i := range r.Ends {
		e := &r.Ends[i]
		if err := (Run{Task: e.Task, Attempt: e.Attempt}).check(e.Checkpoint); err != nil {
			return err
		}
		if e.Number > MaxCount {
			return eris.Wrapf(ErrRefused, "number %d of an end is out of range", e.Number)
		}
	}
	return nil
}

// check checks a run and its checkpoint that a worker reports.
func (r Run) check(checkpoint string) error {
	if r.Attempt > MaxCount {
		return eris.Wrapf(ErrRefused, "attempt %d is out of range", r.Attempt)
	}
	return checkText(r.Task.Job, checkpoint)
}

// Check returns an error that wraps ErrRefused and describes the first invalid
// field of s, or nil if s is valid.
func (s *JobSpec) Check() error {
	if err := checkText(s.ID, s.Queue, s.Payload, s.Account); err != nil {
		return err
	}
	if !isCount(s.FirstUnixMillis) || !isDuration(s.IntervalMillis) {
		return eris.Wrapf(ErrRefused, "the first time %d or the interval of %d ms is out of range", s.FirstUnixMillis, s.IntervalMillis)
	}
	if s.Repetitions < 0 || s.Repetitions > MaxRepetitions {
		return eris.Wrapf(ErrRefused, "%d repetitions, which is negative or above the limit", s.Repetitions)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxJobSteps {
		return eris.Wrapf(ErrRefused, "%d steps, which is none or above the limit", len(s.Steps))
	}
	tasks := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Count < 1 || step.Count > MaxJobTasks-tasks {
			return eris.Wrapf(ErrRefused, "step %d has %d tasks, which is less than 1 or brings the job above the limit of tasks", i, step.Count)
		}
		tasks += step.Count
		for _, before := range step.After {
			if before < 0 || before >= i {
				return eris.Wrapf(ErrRefused, "step %d depends on step %d, which is not an earlier step", i, before)
			}
		}
		if err := checkText(step.Label, step.DataRack, step.Image); err != nil {
			return err
		}
		if !step.Size.isWithinLimits() || !isDuration(step.EstimateMillis) || !isDuration(step.TailTargetMillis) {
			return eris.Wrapf(ErrRefused, "a size, the estimate or the target of step %d is out of range", i)
		}
	}
	return nil
}

// Check returns an error that wraps ErrRefused if k is invalid.
func (k JobKey) Check() error { return checkText(k.ID, k.Queue) }

// Check returns an error that wraps ErrRefused if z is invalid.
func (z ZoneChange) Check() error {
	if z.BaseVersion > MaxCount {
		return eris.Wrapf(ErrRefused, "version %d is out of range", z.BaseVersion)
	}
	return checkText(z.Name)
}

// Check returns an error that wraps ErrRefused and describes the first invalid
// field of w, or nil if w is valid.
func (w *MaintenanceWave) Check() error {
	if len(w.Machines) > maxListLength || !isDuration(w.DurationMillis) {
		return eris.Wrapf(ErrRefused, "%d machines or a duration of %d ms are too many", len(w.Machines), w.DurationMillis)
	}
	return checkText(w.Machines...)
}
