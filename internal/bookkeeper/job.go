package bookkeeper

import "github.com/carobrock/carobrock"

// Job is a job with the state of its tasks.
type Job struct {
	// Spec is what the caller asked for. The steps of an ended job are dropped.
	Spec carobrock.JobSpec `cbor:"1,keyasint"`
	// Queue is the job's queue as of the newest configuration that has it.
	Queue carobrock.Queue `cbor:"2,keyasint"`
	// Order numbers the jobs by their submission.
	Order uint64 `cbor:"3,keyasint"`
	// State is the job's state.
	State carobrock.JobState `cbor:"4,keyasint"`
	// SubmittedUnixMillis and EndedUnixMillis are wall-clock times of the leader.
	SubmittedUnixMillis int64 `cbor:"5,keyasint"`
	EndedUnixMillis     int64 `cbor:"6,keyasint,omitempty"`
	// Occurrences has an element for each repetition; nil while no task of it
	// was ever assigned.
	Occurrences []*Occurrence `cbor:"7,keyasint"`
	// LeftOccurrences counts the occurrences that are not done.
	LeftOccurrences int `cbor:"8,keyasint"`
}

// IsOpen reports whether the job has not ended.
func (j *Job) IsOpen() bool {
	return j.State == carobrock.JobPending || j.State == carobrock.JobRunning
}

// Occurrence is one repetition of a job's steps.
type Occurrence struct {
	// Steps has an element for each step.
	Steps []StepState `cbor:"1,keyasint"`
	// LeftSteps counts the steps that are not done.
	LeftSteps int `cbor:"2,keyasint"`
}

// StepState is the state of one step of an occurrence.
type StepState struct {
	// Tasks has Count elements.
	Tasks []Task `cbor:"1,keyasint"`
	// Done counts the tasks that are done.
	Done int `cbor:"2,keyasint,omitempty"`
	// Active counts the tasks that have a run.
	Active int `cbor:"3,keyasint,omitempty"`
	// FailedAttempt is the last attempt of a gang that counted as failed.
	FailedAttempt uint64 `cbor:"4,keyasint,omitempty"`
}

// Waiting counts the tasks that are neither done nor have a run.
func (s *StepState) Waiting() int { return len(s.Tasks) - s.Done - s.Active }

// Task is the state of one task.
type Task struct {
	// Attempt numbers the newest run, zero before the first.
	Attempt uint64 `cbor:"1,keyasint,omitempty"`
	// Failures counts the runs that failed.
	Failures int `cbor:"2,keyasint,omitempty"`
	// Done is set once a run has succeeded. It is never cleared.
	Done bool `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the newest recorded checkpoint, empty if there is none.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Runs may be under way. Only a speculative step has more than one.
	Runs []TaskRun `cbor:"5,keyasint,omitempty"`
}

// TaskRun is one run of a task that may be under way.
type TaskRun struct {
	_ struct{} `cbor:",toarray"`
	// Attempt numbers the run.
	Attempt uint64
	// Life is the worker life that the run was given to.
	Life carobrock.WorkerLife
	// Ticket admits the run where the queue's policy asks for one.
	Ticket string
}

// Life is what is recorded of one worker life.
type Life struct {
	// Acked is the number of the last recorded end.
	Acked uint64 `cbor:"1,keyasint"`
	// Runs are the runs that may be under way there, with their steps. A run of
	// a job that has ended stays until its own end is recorded.
	Runs map[carobrock.Run]*carobrock.Step `cbor:"-"`
}

// Wave is a wave of maintenance with its progress.
type Wave struct {
	carobrock.MaintenanceWave
	// StartedUnixMillis is when the wave was recorded.
	StartedUnixMillis int64 `cbor:"10,keyasint"`
	// Begun names the machines whose maintenance has begun.
	Begun map[string]bool `cbor:"11,keyasint"`
}

// newOccurrence returns an occurrence in which no task has run.
func newOccurrence(spec *carobrock.JobSpec) *Occurrence {
	o := &Occurrence{Steps: make([]StepState, len(spec.Steps)), LeftSteps: len(spec.Steps)}
	for i := range spec.Steps {
		o.Steps[i].Tasks = make([]Task, spec.Steps[i].Count)
	}
	return o
}

// IsReady reports whether all steps that step i depends on are done. A nil
// occurrence has no step done.
func (j *Job) IsReady(o *Occurrence, i int) bool {
	for _, before := range j.Spec.Steps[i].After {
		if o == nil || o.Steps[before].Done < len(o.Steps[before].Tasks) {
			return false
		}
	}
	return true
}
