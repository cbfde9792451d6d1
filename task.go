package carobrock

// TaskSpec describes a submitted task.
type TaskSpec struct {
	// ID identifies the task. A second submission with the same ID and content
	// refers to the same task; one with different content is refused.
	ID string `json:"id" yaml:"id"`
	// Pool names the pool that the task may run in.
	Pool string `json:"pool" yaml:"pool"`
	// Kind groups tasks with similar resource usage, such as "sheetImport".
	Kind string `json:"kind,omitempty" yaml:"kind,omitempty"`
	// Team is the team to which the task is charged.
	Team string `json:"team,omitempty" yaml:"team,omitempty"`
	// Size is the declared resource request.
	Size Capacity `json:"size" yaml:"size"`
	// RunMillis is the declared run time, in milliseconds. Zero means unknown.
	RunMillis int64 `json:"runMillis,omitempty" yaml:"runMillis,omitempty"`
	// Priority orders the queue, highest first. Urgent tasks have a priority of
	// 100 or more.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
}

// TaskState is a state of the state chart charts/task.yaml.
type TaskState string

// Values of TaskState.
const (
	TaskQueued        TaskState = "queued"
	TaskStarting      TaskState = "starting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "checkpointing"
	TaskEvicted       TaskState = "evicted"
	TaskStopping      TaskState = "stopping"
	TaskSucceeded     TaskState = "succeeded"
	TaskFailed        TaskState = "failed"
	TaskCancelled     TaskState = "cancelled"
	TaskUnplaceable   TaskState = "unplaceable"
)

// TaskEvent is an event of the state chart charts/task.yaml.
type TaskEvent string

// Values of TaskEvent.
const (
	EventAssign    TaskEvent = "assign"
	EventStarted   TaskEvent = "started"
	EventSucceeded TaskEvent = "succeeded"
	EventFailed    TaskEvent = "failed"
	// EventGaveUp means that the attempt failed and that the task has now failed
	// on too many workers to be retried.
	EventGaveUp       TaskEvent = "gaveUp"
	EventEvict        TaskEvent = "evict"
	EventCheckpointed TaskEvent = "checkpointed"
	EventStopped      TaskEvent = "stopped"
	EventLeaseExpired TaskEvent = "leaseExpired"
	EventCancel       TaskEvent = "cancel"
	// EventNoFit means that the task fits no allowed worker, even an empty one.
	EventNoFit TaskEvent = "noFit"
	// EventFitAgain means that an unplaceable task fits an allowed worker again.
	EventFitAgain TaskEvent = "fitAgain"
)

// Task is a task with its committed state.
type Task struct {
	TaskSpec
	// Submitted is the log index of the submission. It orders tasks of equal
	// priority.
	Submitted uint64 `json:"submitted"`
	// State is the current state.
	State TaskState `json:"state"`
	// Attempt is the number of the current or last attempt, from 1. It is zero
	// if the task was never assigned.
	Attempt uint64 `json:"attempt"`
	// Worker and VM identify where the current attempt is assigned. Both are
	// empty exactly if no attempt can be running anywhere.
	Worker string `json:"assignedWorker,omitempty"`
	VM     string `json:"assignedVM,omitempty"`
	// Incarnation is the incarnation of the worker to which the attempt was
	// assigned.
	Incarnation string `json:"assignedIncarnation,omitempty"`
	// Checkpoint names the committed checkpoint from which the next attempt
	// resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
	// CancelRequested is set when a cancel request is accepted. It is never
	// cleared.
	CancelRequested bool `json:"cancelRequested,omitempty"`
	// FailedOn lists the distinct workers on which the task failed.
	FailedOn []string `json:"failedOn,omitempty"`
	// Evictions is the number of evictions.
	Evictions int `json:"evictions,omitempty"`
	// Reason explains why the task waits, failed or cannot be placed.
	Reason string `json:"reason,omitempty"`
}

// HoldsCapacity reports whether an attempt of the task may still be running, so
// that its size remains committed on its VM.
func (t *Task) HoldsCapacity() bool { return t.Worker != "" }

// IsFinal reports whether the task is in a final state.
func (t *Task) IsFinal() bool {
	switch t.State {
	case TaskSucceeded, TaskFailed, TaskCancelled:
		return true
	default:
		return false
	}
}

// StartTaskRequest is the body of a request to a worker to start an attempt.
type StartTaskRequest struct {
	// Attempt is the fencing token. A worker refuses a new attempt unless it is
	// higher than every attempt that it has seen for the task.
	Attempt uint64 `json:"attempt"`
	// Incarnation is the worker incarnation that the request addresses.
	Incarnation string `json:"incarnation"`
	// Spec describes the task.
	Spec TaskSpec `json:"spec"`
	// Checkpoint names the checkpoint to resume from. If empty, the attempt
	// starts from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// QuotedMillis is the SentMillis of the worker's newest announcement that
	// the leader held when it sent the request. It is the reference time of
	// StartWithinMillis and LeaseMillis. It comes from the worker's own clock,
	// so that clocks of different machines are not compared.
	QuotedMillis int64 `json:"quotedMillis"`
	// StartWithinMillis is the time after QuotedMillis within which the attempt
	// may be started, in milliseconds.
	StartWithinMillis int64 `json:"startWithinMillis"`
	// LeaseMillis is the duration of the lease, in milliseconds from
	// QuotedMillis.
	LeaseMillis int64 `json:"leaseMillis"`
}
