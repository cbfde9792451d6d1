package bookkeeper

import (
	"slices"

	"github.com/carobrock/carobrock"
)

// rebuildIndexes rebuilds the worker records and the indexes from the decoded
// jobs and workers.
func (s *State) rebuildIndexes(workers []savedWorker) {
	s.indexQueues()
	for _, x := range workers {
		rec := s.workerRecord(x.Incarnation)
		rec.LastEndNumber, rec.EndedUnixMillis = x.LastEndNumber, x.EndedUnixMillis
		rec.Machine, rec.LostRuns = x.Machine, x.LostRuns
		if x.EndedUnixMillis != 0 {
			s.endedWorkers = append(s.endedWorkers, x.Incarnation)
		}
		for _, r := range x.Isolated {
			if rec.Isolated == nil {
				rec.Isolated = map[carobrock.Run]bool{}
			}
			rec.Isolated[r] = true
		}
		for i := range x.InactiveRuns {
			r := &x.InactiveRuns[i]
			s.addRun(x.Incarnation, carobrock.Run{Task: r.Task, Attempt: r.Attempt}, &r.Step, r.Account)
		}
	}
	for _, j := range s.Jobs {
		if !j.IsOpen() {
			s.ended = append(s.ended, j)
			continue
		}
		s.Open = append(s.Open, j)
		s.indexRuns(j)
		s.indexCrashedTasks(j)
	}
	for _, rec := range s.Workers {
		s.indexSuspects(rec)
	}
	for _, c := range s.EarlyCancels {
		s.earlyCancelled[c.Key] = true
	}
	slices.SortFunc(s.Open, func(a, b *Job) int { return int(a.SubmitNumber) - int(b.SubmitNumber) })
	slices.SortFunc(s.ended, compareEnds)
	slices.SortFunc(s.endedWorkers, s.compareWorkerEnds)
}

// indexQueues rebuilds the index of the queues. Of queues with the same key, which
// Configuration.Check does not allow, the first one counts.
func (s *State) indexQueues() {
	s.queues = nil
	if s.Configuration == nil {
		return
	}
	s.queues = make(map[string]*carobrock.Queue, len(s.Configuration.Queues))
	for i := range s.Configuration.Queues {
		q := &s.Configuration.Queues[i]
		if key := q.Key(); s.queues[key] == nil {
			s.queues[key] = q
		}
	}
}

// indexRuns adds the active runs of j to the records of their workers.
func (s *State) indexRuns(j *Job) {
	j.forEachRun(func(ref carobrock.TaskRef, r *TaskRun) {
		s.addRun(r.Incarnation, carobrock.Run{Task: ref, Attempt: r.Attempt}, &j.Spec.Steps[ref.Step], j.Spec.Account)
	})
}

// workerRecord returns the record of a worker incarnation and creates it if there
// is none.
func (s *State) workerRecord(incarnation carobrock.WorkerIncarnation) *WorkerRecord {
	rec := s.Workers[incarnation]
	if rec == nil {
		rec = &WorkerRecord{Runs: map[carobrock.Run]*carobrock.Step{}}
		s.Workers[incarnation] = rec
		s.markChanged(incarnation)
	}
	return rec
}

// markChanged gives the record of a worker incarnation, if there is one, a new
// version.
func (s *State) markChanged(incarnation carobrock.WorkerIncarnation) {
	if rec := s.Workers[incarnation]; rec != nil {
		s.changeCount++
		rec.Version = s.changeCount
	}
}

// Task returns a task with the state of its step, nil if no task of the step has one, and
// its job. It returns nil values if the job is unknown or has ended, if no task of the
// occurrence was ever assigned, or if ref is out of range. A task that was never assigned
// or is done has no state of its own; a change of the one returned for it has no effect.
func (s *State) Task(ref carobrock.TaskRef) (*Job, *StepState, *Task) {
	j := s.Jobs[ref.Job]
	if j == nil || !j.IsOpen() || !j.hasTask(ref) || !j.Touched.Has(ref.Occurrence) {
		return nil, nil, nil
	}
	o := j.Occurrence(ref.Occurrence)
	if o == nil || o.IsStepDone(ref.Step) {
		return j, nil, &Task{Done: true}
	}
	st := o.Step(ref.Step)
	switch {
	case st == nil:
		return j, nil, &Task{}
	case st.Done.Has(ref.Index):
		return j, st, &Task{Done: true}
	case st.Tasks[ref.Index] == nil:
		return j, st, &Task{}
	}
	return j, st, st.Tasks[ref.Index]
}

// startTask returns the state of a task for which Task returns one that is not done. It
// creates the state if there is none.
func (s *State) startTask(ref carobrock.TaskRef) *Task {
	j := s.Jobs[ref.Job]
	return j.Occurrence(ref.Occurrence).startStep(ref.Step, j.Spec.Steps[ref.Step].Count).startTask(ref.Index)
}

// IsActive reports whether the run is among the active runs of its task, on the
// given worker incarnation.
func (s *State) IsActive(incarnation carobrock.WorkerIncarnation, r carobrock.Run) bool {
	return s.activeRun(incarnation, r) != nil
}

// Ticket returns the admission ticket of an active run, "" if there is none.
func (s *State) Ticket(incarnation carobrock.WorkerIncarnation, r carobrock.Run) string {
	if x := s.activeRun(incarnation, r); x != nil {
		return x.Ticket
	}
	return ""
}

func (s *State) activeRun(incarnation carobrock.WorkerIncarnation, r carobrock.Run) *TaskRun {
	_, _, t := s.Task(r.Task)
	if t == nil {
		return nil
	}
	for i := range t.Runs {
		if t.Runs[i].Attempt == r.Attempt && t.Runs[i].Incarnation == incarnation {
			return &t.Runs[i]
		}
	}
	return nil
}

// inactiveRuns returns the runs of a worker incarnation that are no longer
// among the active runs of a task.
func (s *State) inactiveRuns(incarnation carobrock.WorkerIncarnation, rec *WorkerRecord) []savedInactiveRun {
	var out []savedInactiveRun
	for r, step := range rec.Runs {
		if !s.IsActive(incarnation, r) {
			out = append(out, savedInactiveRun{Task: r.Task, Attempt: r.Attempt, Step: *step, Account: rec.Accounts[r]})
		}
	}
	return out
}
