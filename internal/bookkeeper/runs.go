package bookkeeper

import (
	"cmp"

	"github.com/carobrock/carobrock"
)

// assignTask records a run. An assignment that is inconsistent with the state is
// ignored: the attempt must be the next one, the step must be ready, and no other
// run of the task may be active unless the step is speculative. An ended worker
// incarnation gets no run.
func (s *State) assignTask(a *carobrock.TaskAssignment) {
	if rec := s.Workers[a.Incarnation]; rec != nil && rec.EndedUnixMillis != 0 {
		return
	}
	j := s.Jobs[a.Task.Job]
	if j == nil || !j.IsOpen() || !j.hasTask(a.Task) || j.IsOccurrenceDone(a.Task.Occurrence) {
		return
	}
	step := &j.Spec.Steps[a.Task.Step]
	if o := j.Occurrence(a.Task.Occurrence); !j.IsReady(o, a.Task.Step) || o.IsStepDone(a.Task.Step) {
		return
	}
	if _, _, t := s.Task(a.Task); t != nil && (t.Done || a.Attempt != t.Attempt+1 || len(t.Runs) > 0 && !step.Speculative) || t == nil && a.Attempt != 1 {
		return
	}
	st := j.startOccurrence(a.Task.Occurrence).startStep(a.Task.Step, step.Count)
	t := st.startTask(a.Task.Index)
	t.Attempt = a.Attempt
	t.Runs = append(t.Runs, TaskRun{Attempt: a.Attempt, Incarnation: a.Incarnation, Ticket: a.Ticket})
	if len(t.Runs) == 1 {
		j.addActive(st, 1)
	}
	s.addRun(a.Incarnation, carobrock.Run{Task: a.Task, Attempt: a.Attempt}, step, j.Spec.Account)
	s.markChanged(a.Incarnation)
	s.markJobRunning(j)
}

// recordEnds records the reported ends of runs on one worker incarnation and
// skips those that are already recorded.
func (s *State) recordEnds(w *carobrock.WorkerEnds, atMillis int64) {
	rec := s.workerRecord(w.Incarnation)
	for i := range w.Ends {
		e := &w.Ends[i]
		if e.Number <= rec.LastEndNumber {
			continue
		}
		rec.LastEndNumber = e.Number
		s.recordEnd(w.Incarnation, e, atMillis)
	}
}

// recordEnd records the end of one run: it stores the checkpoint and counts a
// success or a failure. Of a superseded run, only a failure counts.
func (s *State) recordEnd(incarnation carobrock.WorkerIncarnation, e *carobrock.RunEnd, atMillis int64) {
	wasActive := s.removeRun(incarnation, carobrock.Run{Task: e.Task, Attempt: e.Attempt})
	j, _, t := s.Task(e.Task)
	if t == nil || t.Done {
		return
	}
	// The end of a run that was recorded as lost still counts if no later run was
	// started, as its work is then not duplicated.
	isCurrent := wasActive || e.Attempt == t.Attempt
	step := &j.Spec.Steps[e.Task.Step]
	if e.Checkpoint != "" && isCurrent {
		s.setTaskCheckpoint(j, e.Task, e.Checkpoint)
	}
	switch {
	case e.Kind == carobrock.EndSucceeded && isCurrent && !step.Service:
		s.recordSuccess(j, e, atMillis)
	case e.Kind == carobrock.EndFailed && !step.Service:
		s.recordFailure(j, e, atMillis)
	}
}

// setTaskCheckpoint stores a checkpoint of a task that is not done. A checkpoint of one
// member of a gang is valid for all members.
func (s *State) setTaskCheckpoint(j *Job, ref carobrock.TaskRef, checkpoint string) {
	if checkpoint == "" {
		return // no checkpoint is newer than another one
	}
	step := &j.Spec.Steps[ref.Step]
	first, end := ref.Index, ref.Index+1
	if step.Gang {
		first, end = 0, step.Count
	}
	st := j.Occurrence(ref.Occurrence).startStep(ref.Step, step.Count)
	for n := first; n < end; n++ {
		st.startTask(n).Checkpoint = checkpoint
	}
}

// recordSuccess marks a task as done, and ends the job if it was the last one.
// The success of one member of a gang counts for all members.
func (s *State) recordSuccess(j *Job, e *carobrock.RunEnd, atMillis int64) {
	o, step := j.Occurrence(e.Task.Occurrence), &j.Spec.Steps[e.Task.Step]
	st := o.startStep(e.Task.Step, step.Count)
	if step.Gang {
		for n := range step.Count {
			s.markTaskDone(j, st, n)
		}
	} else {
		s.markTaskDone(j, st, e.Task.Index)
	}
	if st.DoneCount < st.Count {
		return
	}
	o.endStep(e.Task.Step)
	if o.OpenSteps > 0 {
		return
	}
	j.endOccurrence(o.Number)
	j.OpenOccurrences--
	if j.OpenOccurrences == 0 {
		s.endJob(j, carobrock.JobSucceeded, atMillis)
	}
}

// markTaskDone marks a task as done and removes its state. Runs of the task that are
// still active remain only in the records of their workers.
func (s *State) markTaskDone(j *Job, st *StepState, n int) {
	if st.Done.Has(n) {
		return
	}
	if t := st.Tasks[n]; t != nil && len(t.Runs) > 0 {
		for _, r := range t.Runs {
			s.markChanged(r.Incarnation)
		}
		j.addActive(st, -1)
	}
	delete(st.Tasks, n)
	st.Done.Add(n)
	st.DoneCount++
}

// recordFailure counts a failed run and ends the job if its attempts are used up.
// An attempt of a gang counts as one failure, however many of its members fail.
func (s *State) recordFailure(j *Job, e *carobrock.RunEnd, atMillis int64) {
	step := &j.Spec.Steps[e.Task.Step]
	st := j.Occurrence(e.Task.Occurrence).startStep(e.Task.Step, step.Count)
	n := e.Task.Index
	if step.Gang {
		if e.Attempt <= st.FailedAttempt {
			return
		}
		st.FailedAttempt = e.Attempt
		n = 0
	}
	t := st.startTask(n)
	t.Failures++
	if t.Failures >= max(1, j.Queue.MaxAttempts) {
		s.endJob(j, carobrock.JobFailed, atMillis)
	}
}

// removeRun deletes a run and reports whether it was among the active runs of its
// task.
func (s *State) removeRun(incarnation carobrock.WorkerIncarnation, r carobrock.Run) bool {
	if rec := s.Workers[incarnation]; rec != nil {
		s.deleteRun(rec, r)
		delete(rec.Isolated, r)
		s.markChanged(incarnation)
	}
	j, st, t := s.Task(r.Task)
	if t == nil {
		return false
	}
	for i := range t.Runs {
		if t.Runs[i].Attempt != r.Attempt || t.Runs[i].Incarnation != incarnation {
			continue
		}
		t.Runs = append(t.Runs[:i], t.Runs[i+1:]...)
		if len(t.Runs) == 0 {
			j.addActive(st, -1)
		}
		return true
	}
	return false
}

// compareWorkerEnds orders ended worker incarnations by the time of their end, then
// by name and start.
func (s *State) compareWorkerEnds(a, b carobrock.WorkerIncarnation) int {
	return cmp.Or(cmp.Compare(s.Workers[a].EndedUnixMillis, s.Workers[b].EndedUnixMillis),
		cmp.Compare(a.Name, b.Name), cmp.Compare(a.Started, b.Started))
}

// deleteExpiredWorkers deletes the records of the worker incarnations that ended
// before a time in milliseconds since 1970.
func (s *State) deleteExpiredWorkers(beforeMillis int64) {
	n := 0
	for n < len(s.endedWorkers) && s.Workers[s.endedWorkers[n]].EndedUnixMillis < beforeMillis {
		delete(s.Workers, s.endedWorkers[n])
		n++
	}
	s.endedWorkers = s.endedWorkers[n:]
}

// recordRunCheckpoint stores the checkpoint of a run if the run is the newest
// of its task.
func (s *State) recordRunCheckpoint(c *carobrock.RunCheckpoint) {
	j, _, t := s.Task(c.Task)
	if t == nil || t.Done || t.Attempt != c.Attempt {
		return
	}
	s.setTaskCheckpoint(j, c.Task, c.Checkpoint)
}
