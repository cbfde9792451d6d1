package bookkeeper

import (
	"slices"

	"github.com/carobrock/carobrock"
)

const (
	// SuspectCrashes is the number of worker crashes under unproven runs of a task
	// from which the task is a suspect.
	SuspectCrashes = 2
	// MaxCrashes is the number of such crashes at which a task is given up if one of
	// them ended an isolated run and was not part of a widespread outage. Without
	// isolation a crash may be the fault of another task on the worker.
	MaxCrashes = 3
	// maxInconclusiveCrashes is the number at which a task is given up in any case.
	maxInconclusiveCrashes = 4
)

// LostRun is an unproven run that was lost with its worker.
type LostRun struct {
	// Task and Attempt identify the run.
	Task    carobrock.TaskRef `cbor:"1,keyasint"`
	Attempt uint64            `cbor:"2,keyasint"`
	// Isolated is set if the run was isolated and the loss of its worker was not
	// widespread.
	Isolated bool `cbor:"3,keyasint,omitempty"`
}

// UnprovenRuns returns the runs whose task may be the cause if the worker has
// crashed: those that were lost while it was silent, and the recorded ones except
// for those that lost lists as proven.
func (w *WorkerRecord) UnprovenRuns(lost *carobrock.LostWorker) []LostRun {
	out := slices.Clone(w.LostRuns)
	for r := range w.Runs {
		if !slices.Contains(lost.Proven, r) {
			out = append(out, LostRun{Task: r.Task, Attempt: r.Attempt, Isolated: w.Isolated[r] && !lost.IsWidespread})
		}
	}
	slices.SortFunc(out, func(a, b LostRun) int {
		return carobrock.Run{Task: a.Task, Attempt: a.Attempt}.Compare(carobrock.Run{Task: b.Task, Attempt: b.Attempt})
	})
	return out
}

// recordLostWorker stores the checkpoints of a lost worker incarnation, deletes its
// runs and records whether the incarnation has ended. If it may have crashed, its
// unproven runs are kept until its end is known, and then counted.
func (s *State) recordLostWorker(w *carobrock.LostWorker, atMillis int64, res *carobrock.JobResult) {
	for i := range w.Checkpoints {
		s.recordRunCheckpoint(&w.Checkpoints[i])
	}
	rec := s.Workers[w.Incarnation]
	if rec == nil && w.IncarnationEnded {
		rec = s.workerRecord(w.Incarnation)
	}
	if rec == nil || rec.EndedUnixMillis != 0 {
		return
	}
	unproven := rec.UnprovenRuns(w)
	for r := range rec.Runs {
		s.removeRun(w.Incarnation, r)
	}
	if w.MayHaveCrashed {
		rec.LostRuns = unproven
		s.indexSuspects(rec)
	}
	if !w.IncarnationEnded {
		return
	}
	rec.EndedUnixMillis = max(1, atMillis) // zero means that it lasts
	rec.LostRuns = nil
	position, _ := slices.BinarySearchFunc(s.endedWorkers, w.Incarnation, s.compareWorkerEnds)
	s.endedWorkers = slices.Insert(s.endedWorkers, position, w.Incarnation)
	if w.MayHaveCrashed {
		for i := range unproven {
			s.countCrash(&unproven[i], w.Incarnation, atMillis, res)
		}
	}
}

// countCrash counts a crash of a worker against the task of an unproven run, and
// fails the job if the task is to be given up.
func (s *State) countCrash(r *LostRun, incarnation carobrock.WorkerIncarnation, atMillis int64, res *carobrock.JobResult) {
	j, _, t := s.Task(r.Task)
	if t == nil || t.Done || r.Attempt <= t.ProvenAttempt {
		return
	}
	t = s.startTask(r.Task)
	t.Crashes++
	t.CrashedInIsolation = t.CrashedInIsolation || r.Isolated
	c := carobrock.RunCrash{
		Run: carobrock.Run{Task: r.Task, Attempt: r.Attempt}, Incarnation: incarnation, Crashes: t.Crashes, IsSuspect: t.Crashes >= SuspectCrashes,
	}
	if t.Crashes >= MaxCrashes && t.CrashedInIsolation || t.Crashes >= maxInconclusiveCrashes {
		c.IsGivenUp = true
		s.endJob(j, carobrock.JobFailed, atMillis)
	}
	res.Crashes = append(res.Crashes, c)
}

// recordProven records that a run was seen running for so long that its task is
// no longer suspected because of earlier crashes.
func (s *State) recordProven(r *carobrock.WorkerRun) {
	run := carobrock.Run{Task: r.Task, Attempt: r.Attempt}
	if !s.IsActive(r.Incarnation, run) {
		return
	}
	t := s.startTask(r.Task)
	t.Crashes, t.CrashedInIsolation, t.ProvenAttempt = 0, false, r.Attempt
	delete(s.Suspects, r.Task)
	delete(s.Workers[r.Incarnation].Isolated, run)
	s.markChanged(r.Incarnation)
}

// recordIsolated marks an active run as isolated.
func (s *State) recordIsolated(r *carobrock.WorkerRun) {
	run := carobrock.Run{Task: r.Task, Attempt: r.Attempt}
	if !s.IsActive(r.Incarnation, run) {
		return
	}
	rec := s.workerRecord(r.Incarnation)
	if rec.Isolated == nil {
		rec.Isolated = map[carobrock.Run]bool{}
	}
	rec.Isolated[run] = true
	s.markChanged(r.Incarnation)
}

// recordSurvivor records that a worker incarnation whose runs were lost has not
// crashed.
func (s *State) recordSurvivor(incarnation carobrock.WorkerIncarnation) {
	if rec := s.Workers[incarnation]; rec != nil {
		rec.LostRuns = nil
	}
}

// indexSuspects adds the tasks of the lost runs of a worker to Suspects.
func (s *State) indexSuspects(rec *WorkerRecord) {
	for i := range rec.LostRuns {
		r := &rec.LostRuns[i]
		if _, _, t := s.Task(r.Task); t != nil && !t.Done && r.Attempt > t.ProvenAttempt {
			s.Suspects[r.Task] = true
		}
	}
}

// indexCrashedTasks adds the tasks of j with counted crashes to Suspects.
func (s *State) indexCrashedTasks(j *Job) {
	j.forEachTask(func(ref carobrock.TaskRef, t *Task) {
		if t.Crashes > 0 {
			s.Suspects[ref] = true
		}
	})
}

// UnresolvedLosses counts, for each task with such runs, the unproven runs that
// were lost with a silent worker of which it is not known whether it has crashed.
func (s *State) UnresolvedLosses() map[carobrock.TaskRef]int {
	out := map[carobrock.TaskRef]int{}
	for _, rec := range s.Workers {
		for i := range rec.LostRuns {
			r := &rec.LostRuns[i]
			if _, _, t := s.Task(r.Task); t != nil && !t.Done && r.Attempt > t.ProvenAttempt {
				out[r.Task]++
			}
		}
	}
	return out
}
