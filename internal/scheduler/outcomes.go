package scheduler

import "time"

// workerOutcomes records the recent outcomes of tasks on one worker. It
// distinguishes a worker that fails every task from a task that fails on every
// worker: failures of several distinct tasks in a row, without a success in
// between, count against the worker.
type workerOutcomes struct {
	// failedTasks holds the IDs of the tasks that failed since the last
	// success.
	failedTasks map[string]bool
	// avoidedUntil is when the worker may get tasks again.
	avoidedUntil time.Time
	// avoidanceDuration is the length of the current or most recent period of
	// avoidance. It doubles with each one.
	avoidanceDuration time.Duration
}

const (
	// suspectAfterFailures is the number of distinct tasks that must fail in a
	// row before a worker is suspect.
	suspectAfterFailures = 3
	// minAvoidanceDuration and maxAvoidanceDuration bound the length of a period
	// of avoidance.
	minAvoidanceDuration = 30 * time.Second
	maxAvoidanceDuration = 10 * time.Minute
)

// outcomesOf returns the outcomes of a worker and creates them if necessary.
func (t *workerTracker) outcomesOf(worker string) *workerOutcomes {
	outcomes := t.outcomes[worker]
	if outcomes == nil {
		outcomes = &workerOutcomes{failedTasks: map[string]bool{}}
		t.outcomes[worker] = outcomes
	}
	return outcomes
}

// recordSuccess clears the recorded failures.
func (o *workerOutcomes) recordSuccess() {
	*o = workerOutcomes{failedTasks: map[string]bool{}}
}

// recordFailure counts the failure of a task. If the worker is suspect and is
// not being avoided, it starts a new period of avoidance, twice as long as the
// last one.
func (o *workerOutcomes) recordFailure(task string, now time.Time) {
	o.failedTasks[task] = true
	if !o.isSuspect() || now.Before(o.avoidedUntil) {
		return
	}
	o.avoidanceDuration = min(maxAvoidanceDuration, max(minAvoidanceDuration, 2*o.avoidanceDuration))
	o.avoidedUntil = now.Add(o.avoidanceDuration)
}

// recordRestart shortens the avoidance of a worker of which a new incarnation has started:
// the failures of the last one say little about it. The worker is still probed with one
// task first, since a restart cures no faulty VM, and not before minAvoidanceDuration, so
// that a worker that fails and restarts again and again gets few tasks.
func (o *workerOutcomes) recordRestart() {
	if o.avoidanceDuration > minAvoidanceDuration {
		o.avoidedUntil = o.avoidedUntil.Add(minAvoidanceDuration - o.avoidanceDuration)
		o.avoidanceDuration = minAvoidanceDuration
	}
}

// isSuspect reports whether suspectAfterFailures distinct tasks have failed in
// a row on the worker.
func (o *workerOutcomes) isSuspect() bool {
	return len(o.failedTasks) >= suspectAfterFailures
}

// isAvoided reports whether the worker may not get tasks at present.
func (o *workerOutcomes) isAvoided(now time.Time) bool {
	return now.Before(o.avoidedUntil)
}
