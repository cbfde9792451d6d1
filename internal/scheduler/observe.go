package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobrock/carobrock"
)

// changesFromObservations returns the task changes that follow from reports,
// leases and availability zones.
func (s *Scheduler) changesFromObservations(now time.Time) []carobrock.TaskChange {
	tasks := s.Keeper.Tasks(func(t *carobrock.Task) bool { return t.HoldsCapacity() })
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []carobrock.TaskChange
	var tasksToEvacuate []*carobrock.Task
	evacuatingWorkers := s.workersToEvacuate()
	for i := range tasks {
		t := &tasks[i]
		if change, ok := s.changeForAttempt(t, now); ok {
			changes = append(changes, change)
			continue
		}
		if evacuatingWorkers[t.Worker] && t.State == carobrock.TaskRunning {
			tasksToEvacuate = append(tasksToEvacuate, t)
		}
	}
	s.tracker.removeSilentIncarnations(now, silentWorkerTimeout)
	changes = append(changes, s.rateLimitedEvictions(tasksToEvacuate, "its worker is leaving service", now)...)
	return append(changes, s.suggestedEvictions(tasks, now)...)
}

// suggestedEvictions evicts, within the eviction rate, one task from each worker
// whose services are expected to be slowed down too much.
func (s *Scheduler) suggestedEvictions(tasks []carobrock.Task, now time.Time) []carobrock.TaskChange {
	advisor, ok := s.Placer.(carobrock.EvictionAdvisor)
	if !ok || now.Sub(s.lastEvictionCheck) < evictionCheckInterval {
		return nil
	}
	s.lastEvictionCheck = now
	var toEvict []*carobrock.Task
	for _, suggestion := range advisor.SuggestEvictions(s.newPlacementViewLocked(nil, now)) {
		if t := newestTask(tasks, suggestion.Worker, suggestion.Kind); t != nil {
			toEvict = append(toEvict, t)
		}
	}
	return s.rateLimitedEvictions(toEvict, "it slows a service down", now)
}

// newestTask returns the most recently submitted running task of a kind on a
// worker, or nil. The newest task loses the least progress when it is evicted.
func newestTask(tasks []carobrock.Task, worker, kind string) *carobrock.Task {
	var out *carobrock.Task
	for i := range tasks {
		t := &tasks[i]
		if t.Worker != worker || t.Kind != kind || t.State != carobrock.TaskRunning {
			continue
		}
		if out == nil || t.Submitted > out.Submitted {
			out = t
		}
	}
	return out
}

// workersToEvacuate returns the names of the workers whose tasks must move:
// those that are leaving and those in availability zones that operators took
// out of service. A "down" verdict moves nothing, because a VM that is down
// cannot be asked to save a checkpoint.
func (s *Scheduler) workersToEvacuate() map[string]bool {
	evacuating := map[string]bool{}
	outOfService := map[string]bool{}
	for _, z := range s.Keeper.Zones() {
		outOfService[z.Name] = z.OutOfService
	}
	for _, w := range s.Keeper.Workers() {
		if w.Leaving || outOfService[w.AvailabilityZone] {
			evacuating[w.Name] = true
		}
	}
	return evacuating
}

// workersWithoutStarts returns the names of the workers on which no attempt may be
// started: those to evacuate, and those that announced less capacity than is
// committed.
func (s *Scheduler) workersWithoutStarts() map[string]bool {
	out := s.workersToEvacuate()
	for _, w := range s.Keeper.Workers() {
		if w.Free.IsNegative() {
			out[w.Name] = true
		}
	}
	return out
}

// changeForAttempt returns the change that follows from the reports and the
// lease of an attempt, and false if there is none.
func (s *Scheduler) changeForAttempt(t *carobrock.Task, now time.Time) (carobrock.TaskChange, bool) {
	change := carobrock.TaskChange{ID: t.ID, Attempt: t.Attempt, Worker: t.Worker}
	id := workerIncarnation{t.Worker, t.Incarnation}
	state := s.tracker.incarnations[id]
	if state == nil {
		// The previous leader may have renewed the lease of an incarnation that
		// this leader has never heard from.
		s.tracker.stateOf(id).renewedAt = now
		return change, false
	}
	if now.Sub(state.renewedAt) > s.leaseDurationWithDrift() {
		change.Event, change.Reason = carobrock.EventLeaseExpired, "the worker's lease ran out"
		return change, true
	}
	if state.reports == nil {
		return change, false
	}
	ref := carobrock.AttemptRef{ID: t.ID, Attempt: t.Attempt}
	report, ok := state.reports[ref]
	if !ok {
		return s.changeForUnreportedAttempt(t, state, ref, change)
	}
	change, ok = changeFromReport(t, &report, change)
	if ok {
		s.recordOutcome(t, &change, now)
	}
	return change, ok
}

// recordOutcome records how an attempt ended on its worker. A task's first
// failure counts against the worker; once the task has failed on another
// worker, a failure counts against the task. On a worker that fails every task,
// the failure is not counted against the task.
func (s *Scheduler) recordOutcome(t *carobrock.Task, change *carobrock.TaskChange, now time.Time) {
	outcomes := s.tracker.outcomesOf(change.Worker)
	switch change.Event {
	case carobrock.EventSucceeded:
		outcomes.recordSuccess()
	case carobrock.EventFailed, carobrock.EventGaveUp:
		if len(t.FailedOn) > 0 {
			return
		}
		outcomes.recordFailure(change.ID, now)
		if outcomes.isSuspect() {
			change.Event, change.Reason = carobrock.EventStopped, "its worker fails every task"
		}
	}
}

// changeForUnreportedAttempt ends an attempt that its worker does not report
// although, by the worker's own clock, every request to start it has expired. A
// starting attempt for which this leader has prepared no request is kept for
// two validity periods after the worker's first announcement to this leader; an
// earlier leader may have sent a request.
func (s *Scheduler) changeForUnreportedAttempt(t *carobrock.Task, state *incarnationState, ref carobrock.AttemptRef, change carobrock.TaskChange) (carobrock.TaskChange, bool) {
	quoted := max(state.quotedMillis[ref], state.firstSentMillis)
	if state.lastSentMillis <= quoted+startRequestValidity.Milliseconds() {
		return change, false
	}
	if t.State == carobrock.TaskStarting && state.quotedMillis[ref] == 0 && state.lastSentMillis <= state.firstSentMillis+2*startRequestValidity.Milliseconds() {
		return change, false
	}
	change.Event, change.Reason = carobrock.EventStopped, "the worker does not have the attempt"
	return change, true
}

// changeFromReport completes change by what a report says about the attempt of
// t, and returns false if the report changes nothing.
func changeFromReport(t *carobrock.Task, report *carobrock.TaskReport, change carobrock.TaskChange) (carobrock.TaskChange, bool) {
	change.Reason = report.Reason
	switch report.State {
	case carobrock.ReportRunning:
		change.Event = carobrock.EventStarted
		return change, t.State == carobrock.TaskStarting
	case carobrock.ReportCheckpointed:
		change.Event, change.Checkpoint = carobrock.EventCheckpointed, report.Checkpoint
		return change, t.State == carobrock.TaskCheckpointing
	case carobrock.ReportSucceeded:
		change.Event = carobrock.EventSucceeded
	case carobrock.ReportStopped:
		change.Event = carobrock.EventStopped
	case carobrock.ReportFailed:
		change.Event = carobrock.EventFailed
		if failures := len(t.FailedOn) + 1; !slices.Contains(t.FailedOn, t.Worker) && failures >= maxFailedWorkers {
			change.Event = carobrock.EventGaveUp
		}
	default:
		return change, false
	}
	return change, true
}

// rateLimitedEvictions returns as many evictions as the eviction rate allows
// now, the most recently submitted tasks first, because they lose the least
// progress.
func (s *Scheduler) rateLimitedEvictions(toEvict []*carobrock.Task, reason string, now time.Time) []carobrock.TaskChange {
	slices.SortFunc(toEvict, func(a, b *carobrock.Task) int {
		return cmp.Or(cmp.Compare(b.Submitted, a.Submitted), cmp.Compare(a.ID, b.ID))
	})
	var out []carobrock.TaskChange
	if s.nextEviction.Before(now.Add(-time.Second)) {
		s.nextEviction = now.Add(-time.Second)
	}
	for _, t := range toEvict {
		if s.nextEviction.After(now) {
			break
		}
		s.nextEviction = s.nextEviction.Add(time.Second / evictionsPerSecond)
		out = append(out, carobrock.TaskChange{
			ID: t.ID, Attempt: t.Attempt, Event: carobrock.EventEvict, Reason: reason,
		})
	}
	return out
}
