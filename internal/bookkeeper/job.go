package bookkeeper

import "github.com/carobrock/carobrock"

// Job is a job with the state of its tasks.
type Job struct {
	// Spec is the submitted specification. Payload and steps of an ended job are
	// dropped.
	Spec carobrock.JobSpec `cbor:"1,keyasint"`
	// Queue is the job's queue in the newest configuration that contains it.
	Queue carobrock.Queue `cbor:"2,keyasint"`
	// SubmitNumber numbers the jobs in the order of submission.
	SubmitNumber uint64             `cbor:"3,keyasint"`
	State        carobrock.JobState `cbor:"4,keyasint"`
	// SubmittedUnixMillis and EndedUnixMillis are wall-clock times of the leader in
	// milliseconds since 1970.
	SubmittedUnixMillis int64 `cbor:"5,keyasint"`
	EndedUnixMillis     int64 `cbor:"6,keyasint,omitempty"`
	// Occurrences has an element for each occurrence, which is nil until a task of
	// the occurrence is assigned.
	Occurrences []*Occurrence `cbor:"7,keyasint"`
	// OpenOccurrences counts the occurrences that are not done.
	OpenOccurrences int `cbor:"8,keyasint"`
	// ExceedsRate is set if the job was submitted beyond the rate of its account.
	ExceedsRate bool `cbor:"9,keyasint,omitempty"`
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
	for k, o := range j.Occurrences {
		if o == nil {
			continue
		}
		for i := range o.Steps {
			for n := range o.Steps[i].Tasks {
				runs := o.Steps[i].Tasks[n].Runs
				for x := range runs {
					fn(carobrock.TaskRef{Job: j.Spec.ID, Occurrence: k, Step: i, Index: n}, &runs[x])
				}
			}
		}
	}
}

// Occurrence is the state of one occurrence of a job.
type Occurrence struct {
	// Steps has an element for each step.
	Steps []StepState `cbor:"1,keyasint"`
	// OpenSteps counts the steps that are not done.
	OpenSteps int `cbor:"2,keyasint"`
}

// StepState is the state of one step of an occurrence.
type StepState struct {
	// Tasks has an element for each task of the step.
	Tasks []Task `cbor:"1,keyasint"`
	// DoneCount counts the tasks that are done.
	DoneCount int `cbor:"2,keyasint,omitempty"`
	// ActiveCount counts the tasks that have an active run.
	ActiveCount int `cbor:"3,keyasint,omitempty"`
	// FailedAttempt is the last attempt of a gang that was counted as failed.
	FailedAttempt uint64 `cbor:"4,keyasint,omitempty"`
}

// WaitingCount returns the number of tasks that are neither done nor have an
// active run.
func (s *StepState) WaitingCount() int { return len(s.Tasks) - s.DoneCount - s.ActiveCount }

// Task is the state of one task.
type Task struct {
	// Attempt is the number of the newest run, zero before the first.
	Attempt uint64 `cbor:"1,keyasint,omitempty"`
	// Failures counts the runs that failed.
	Failures int `cbor:"2,keyasint,omitempty"`
	// Done is set when a run succeeds. It is never cleared.
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

// newOccurrence returns an occurrence without runs.
func newOccurrence(spec *carobrock.JobSpec) *Occurrence {
	o := &Occurrence{Steps: make([]StepState, len(spec.Steps)), OpenSteps: len(spec.Steps)}
	for i := range spec.Steps {
		o.Steps[i].Tasks = make([]Task, spec.Steps[i].Count)
	}
	return o
}

// IsReady reports whether all steps that step i depends on are done. In a nil
// occurrence no step is done.
func (j *Job) IsReady(o *Occurrence, i int) bool {
	for _, before := range j.Spec.Steps[i].After {
		if o == nil || o.Steps[before].DoneCount < len(o.Steps[before].Tasks) {
			return false
		}
	}
	return true
}
