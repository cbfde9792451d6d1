package bookkeeper

import (
	"cmp"
	"slices"

	"github.com/carobrock/carobrock"
)

// Job is a job with the state of its tasks. Its size follows the tasks that were assigned,
// not the number of its repetitions or tasks. savedJob is its form in a snapshot.
type Job struct {
	// Spec is the submitted specification. Payload and steps of an ended job are
	// dropped.
	Spec carobrock.JobSpec
	// Queue is the job's queue in the newest configuration that contains it.
	Queue carobrock.Queue
	// SubmitNumber numbers the jobs in the order of submission.
	SubmitNumber uint64
	State        carobrock.JobState
	// SubmittedUnixMillis and EndedUnixMillis are wall-clock times of the leader in
	// milliseconds since 1970.
	SubmittedUnixMillis int64
	EndedUnixMillis     int64
	// Started holds the occurrences of which tasks were assigned and that are not done,
	// by ascending number.
	Started []*Occurrence
	// Touched holds the numbers of the occurrences in Started and of those that are done.
	Touched NumberSet
	// OpenOccurrences counts the occurrences that are not done.
	OpenOccurrences int
	// ActiveCount counts the tasks that have an active run.
	ActiveCount int
	// ExceedsRate is set if the job was submitted beyond the rate of its account.
	ExceedsRate bool
}

// IsOpen reports whether the job has not ended.
func (j *Job) IsOpen() bool {
	return j.State == carobrock.JobPending || j.State == carobrock.JobRunning
}

// IsAccessibleTo reports whether a caller with the given client account, empty if it
// has none, may refer to the job.
func (j *Job) IsAccessibleTo(account string) bool { return j.summary().IsAccessibleTo(account) }

func (j *Job) summary() JobSummary {
	return JobSummary{Queue: j.Spec.Queue, Account: j.Spec.Account, State: j.State}
}

// forEachRun calls fn for each active run of the job.
func (j *Job) forEachRun(fn func(ref carobrock.TaskRef, r *TaskRun)) {
	j.forEachTask(func(ref carobrock.TaskRef, t *Task) {
		for x := range t.Runs {
			fn(ref, &t.Runs[x])
		}
	})
}

// forEachTask calls fn for each task with a state.
func (j *Job) forEachTask(fn func(ref carobrock.TaskRef, t *Task)) {
	for _, o := range j.Started {
		for _, st := range o.Steps {
			for n, t := range st.Tasks {
				fn(carobrock.TaskRef{Job: j.Spec.ID, Occurrence: o.Number, Step: st.Number, Index: n}, t)
			}
		}
	}
}

// Occurrence returns the occurrence with number k, nil if none of its tasks was assigned
// or it is done.
func (j *Job) Occurrence(k int) *Occurrence {
	if i, ok := j.findOccurrence(k); ok {
		return j.Started[i]
	}
	return nil
}

func (j *Job) findOccurrence(k int) (i int, ok bool) {
	return slices.BinarySearchFunc(j.Started, k, func(o *Occurrence, k int) int { return cmp.Compare(o.Number, k) })
}

// startOccurrence returns the occurrence with number k, which must not be done. It
// creates it if none of its tasks was assigned.
func (j *Job) startOccurrence(k int) *Occurrence {
	i, ok := j.findOccurrence(k)
	if !ok {
		j.Started = slices.Insert(j.Started, i, &Occurrence{Number: k, OpenSteps: len(j.Spec.Steps)})
		j.Touched.Add(k)
	}
	return j.Started[i]
}

// endOccurrence removes the state of an occurrence that is done.
func (j *Job) endOccurrence(k int) {
	if i, ok := j.findOccurrence(k); ok {
		j.Started = slices.Delete(j.Started, i, i+1)
	}
}

// hasTask reports whether the job has a task with the numbers of ref.
func (j *Job) hasTask(ref carobrock.TaskRef) bool {
	return ref.Occurrence >= 0 && ref.Occurrence < j.Spec.Occurrences() && ref.Step >= 0 && ref.Step < len(j.Spec.Steps) &&
		ref.Index >= 0 && ref.Index < j.Spec.Steps[ref.Step].Count
}

// addActive adds n to the number of tasks of a step that have an active run.
func (j *Job) addActive(st *StepState, n int) {
	st.ActiveCount += n
	j.ActiveCount += n
}

// IsOccurrenceDone reports whether occurrence k is done.
func (j *Job) IsOccurrenceDone(k int) bool { return j.Touched.Has(k) && j.Occurrence(k) == nil }

// IsReady reports whether all steps that step i depends on are done. In a nil
// occurrence no step is done.
func (j *Job) IsReady(o *Occurrence, i int) bool {
	for _, before := range j.Spec.Steps[i].After {
		if !o.IsStepDone(before) {
			return false
		}
	}
	return true
}

// WaitingCount returns the number of tasks of step i that are neither done nor have an
// active run. In a nil occurrence all wait.
func (j *Job) WaitingCount(o *Occurrence, i int) int {
	if o.IsStepDone(i) {
		return 0
	}
	if st := o.Step(i); st != nil {
		return st.WaitingCount()
	}
	return j.Spec.Steps[i].Count
}

// Occurrence is the state of an occurrence of which tasks were assigned.
type Occurrence struct {
	// Number is that of the occurrence, from 0.
	Number int `cbor:"1,keyasint"`
	// DoneSteps holds the numbers of the steps that are done.
	DoneSteps NumberSet `cbor:"2,keyasint,omitempty"`
	// Steps holds the other steps with tasks that have a state, by ascending number.
	Steps []*StepState `cbor:"3,keyasint,omitempty"`
	// OpenSteps counts the steps that are not done.
	OpenSteps int `cbor:"4,keyasint"`
}

// IsStepDone reports whether all tasks of step i are done. In a nil occurrence no step is.
func (o *Occurrence) IsStepDone(i int) bool { return o != nil && o.DoneSteps.Has(i) }

// Step returns the state of step i, nil if none of its tasks has one or it is done.
func (o *Occurrence) Step(i int) *StepState {
	if o == nil {
		return nil
	}
	if at, ok := o.findStep(i); ok {
		return o.Steps[at]
	}
	return nil
}

func (o *Occurrence) findStep(i int) (at int, ok bool) {
	return slices.BinarySearchFunc(o.Steps, i, func(st *StepState, i int) int { return cmp.Compare(st.Number, i) })
}

// startStep returns the state of step i, which must not be done and has count tasks. It
// creates the state if there is none.
func (o *Occurrence) startStep(i, count int) *StepState {
	at, ok := o.findStep(i)
	if !ok {
		o.Steps = slices.Insert(o.Steps, at, &StepState{Number: i, Count: count, Tasks: map[int]*Task{}})
	}
	return o.Steps[at]
}

// endStep removes the state of step i, which is done.
func (o *Occurrence) endStep(i int) {
	if at, ok := o.findStep(i); ok {
		o.Steps = slices.Delete(o.Steps, at, at+1)
	}
	o.DoneSteps.Add(i)
	o.OpenSteps--
}

// StepState is the state of one step of an occurrence.
type StepState struct {
	// Number is that of the step, from 0, and Count the number of its tasks.
	Number int `cbor:"1,keyasint"`
	Count  int `cbor:"2,keyasint"`
	// Done holds the indices of the tasks that are done.
	Done NumberSet `cbor:"3,keyasint,omitempty"`
	// Tasks holds the other tasks that were assigned, by index.
	Tasks map[int]*Task `cbor:"4,keyasint,omitempty"`
	// DoneCount counts the tasks that are done.
	DoneCount int `cbor:"5,keyasint,omitempty"`
	// ActiveCount counts the tasks that have an active run.
	ActiveCount int `cbor:"6,keyasint,omitempty"`
	// FailedAttempt is the last attempt of a gang that was counted as failed.
	FailedAttempt uint64 `cbor:"7,keyasint,omitempty"`
}

// WaitingCount returns the number of tasks that are neither done nor have an
// active run.
func (s *StepState) WaitingCount() int { return s.Count - s.DoneCount - s.ActiveCount }

// startTask returns the state of task n, which must not be done. It creates the state if
// there is none.
func (s *StepState) startTask(n int) *Task {
	t := s.Tasks[n]
	if t == nil {
		t = &Task{}
		s.Tasks[n] = t
	}
	return t
}

// Task is the state of one task.
type Task struct {
	// Attempt is the number of the newest run, zero before the first.
	Attempt uint64 `cbor:"1,keyasint,omitempty"`
	// Failures counts the runs that failed.
	Failures int `cbor:"2,keyasint,omitempty"`
	// Done is set if a run has succeeded. No stored task has it set: those that are done
	// have no state of their own.
	Done bool `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the newest recorded checkpoint, "" if there is none.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Runs are the active runs: those that were assigned and may be running. Only a
	// task of a speculative step has more than one.
	Runs []TaskRun `cbor:"5,keyasint,omitempty"`
	// Crashes counts the crashes of workers under unproven runs of the task since a
	// run was last proven. CrashedInIsolation is set if one of these runs was
	// isolated.
	Crashes            int  `cbor:"6,keyasint,omitempty"`
	CrashedInIsolation bool `cbor:"7,keyasint,omitempty"`
	// ProvenAttempt is the newest run that was recorded as proven, zero if there is
	// none. Crashes under it and under earlier runs are not counted.
	ProvenAttempt uint64 `cbor:"8,keyasint,omitempty"`
}

// TaskRun is an active run of a task.
type TaskRun struct {
	_ struct{} `cbor:",toarray"`
	// Attempt is the number of the run.
	Attempt uint64
	// Incarnation is the worker incarnation that the run was assigned to.
	Incarnation carobrock.WorkerIncarnation
	// Ticket is the admission ticket, "" if the queue has no policy.
	Ticket string
}

// WorkerRecord is the recorded state of one worker incarnation.
type WorkerRecord struct {
	// LastEndNumber is the number of the last recorded end of a run.
	LastEndNumber uint64 `cbor:"1,keyasint"`
	// EndedUnixMillis is when the end of the incarnation was recorded, in
	// milliseconds since 1970, zero while it lasts. The record of an ended
	// incarnation has no runs. It remains for the retention time of jobs, so that
	// ends in late heartbeats are not counted again.
	EndedUnixMillis int64 `cbor:"-"`
	// Runs are the runs that may be running on the worker, with their steps. A run
	// of an ended job remains until its own end is recorded.
	Runs map[carobrock.Run]*carobrock.Step `cbor:"-"`
	// Accounts holds the client accounts of those of Runs whose jobs have one. Jobs
	// are forgotten, and their IDs used again, while runs may still be recorded.
	Accounts map[carobrock.Run]string `cbor:"-"`
	// Machine is the machine on which the worker runs, "" if it is not known.
	Machine string `cbor:"-"`
	// LostRuns are the unproven runs that were lost while the worker was silent. They
	// are kept until it is known whether it has crashed.
	LostRuns []LostRun `cbor:"-"`
	// Isolated holds those of Runs that were assigned in isolation and are not
	// proven. While there are any, no other task is assigned to the worker.
	Isolated map[carobrock.Run]bool `cbor:"-"`
	// Version changes whenever Runs changes or one of them becomes inactive, and
	// whenever Isolated changes. It differs between replicas.
	Version uint64 `cbor:"-"`
}

// Wave is a maintenance wave with its progress.
type Wave struct {
	carobrock.MaintenanceWave
	// StartedUnixMillis is when the wave was recorded, in milliseconds since 1970.
	StartedUnixMillis int64 `cbor:"10,keyasint"`
	// StartedMachines holds the machines whose maintenance has started.
	StartedMachines map[string]bool `cbor:"11,keyasint"`
}
