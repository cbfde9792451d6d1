package carobrock

// TaskSpec is what a caller asks for when submitting a task.
type TaskSpec struct {
	// ID identifies the task. A second submission with the same ID and the same
	// content is the same task; with other content it is refused.
	ID string `json:"id" yaml:"id"`
	// Pool names the pool that the task may run in.
	Pool string `json:"pool" yaml:"pool"`
	// Kind names tasks that behave alike, such as "sheetImport".
	Kind string `json:"kind,omitempty" yaml:"kind,omitempty"`
	// Team is charged for the task.
	Team string `json:"team,omitempty" yaml:"team,omitempty"`
	// Size is the declared size.
	Size Capacity `json:"size" yaml:"size"`
	// RunMillis is the declared run time in milliseconds. Zero: unknown.
	RunMillis int64 `json:"runMillis,omitempty" yaml:"runMillis,omitempty"`
	// Priority orders the queue, highest first. Urgent work has 100 or more.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
}

// TaskState is a state of the chart charts/task.yaml.
type TaskState string

// The states of a task.
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

// TaskEvent is an event of the chart charts/task.yaml.
type TaskEvent string

// The events of a task.
const (
	EventAssign       TaskEvent = "assign"
	EventStarted      TaskEvent = "started"
	EventSucceeded    TaskEvent = "succeeded"
	EventFailed       TaskEvent = "failed"
	EventGaveUp       TaskEvent = "gaveUp"
	EventEvict        TaskEvent = "evict"
	EventCheckpointed TaskEvent = "checkpointed"
	EventStopped      TaskEvent = "stopped"
	EventLeaseExpired TaskEvent = "leaseExpired"
	EventCancel       TaskEvent = "cancel"
	EventNoFit        TaskEvent = "noFit"
	EventFitAgain     TaskEvent = "fitAgain"
)

// Task is a task with the state that the control group has committed.
type Task struct {
	TaskSpec
	// Submitted is the log index of the submission; it orders equal priorities.
	Submitted uint64 `json:"submitted"`
	// State is the task's state.
	State TaskState `json:"state"`
	// Attempt numbers the current or last attempt, from 1. Zero: never placed.
	Attempt uint64 `json:"attempt"`
	// Worker and VM hold the current attempt. Both are empty exactly when no
	// attempt can be running anywhere.
	Worker string `json:"assignedWorker,omitempty"`
	VM     string `json:"assignedVM,omitempty"`
	// Incarnation is the worker incarnation that the attempt was assigned to.
	Incarnation string `json:"assignedIncarnation,omitempty"`
	// Checkpoint names the committed checkpoint that the next attempt resumes
	// from.
	Checkpoint string `json:"checkpoint,omitempty"`
	// CancelRequested is set once a cancel was accepted; it is never cleared.
	CancelRequested bool `json:"cancelRequested,omitempty"`
	// FailedOn lists the distinct workers on which the task failed.
	FailedOn []string `json:"failedOn,omitempty"`
	// Evictions counts the evictions so far.
	Evictions int `json:"evictions,omitempty"`
	// Reason tells why the task waits, failed or cannot be placed.
	Reason string `json:"reason,omitempty"`
}

// HoldsCapacity reports whether an attempt of the task may still be running,
// so that its size stays committed on its VM.
func (t *Task) HoldsCapacity() bool { return t.Worker != "" }

// IsFinal reports whether the task has reached its end.
func (t *Task) IsFinal() bool {
	switch t.State {
	case TaskSucceeded, TaskFailed, TaskCancelled:
		return true
	default:
		return false
	}
}

// StartOrder is the body of a start command to a worker.
type StartOrder struct {
	// Attempt is the fencing token: a worker refuses a lower one than it knows.
	Attempt uint64 `json:"attempt"`
	// Incarnation is the worker incarnation that the order is for.
	Incarnation string `json:"incarnation"`
	// Spec is the task.
	Spec TaskSpec `json:"spec"`
	// Checkpoint names the checkpoint to resume from. Empty: from the start.
	Checkpoint string `json:"checkpoint,omitempty"`
	// QuotedMillis is the SentMillis of the worker's newest announcement that
	// the leader had when it sent the order. It dates the order on the worker's
	// own clock, so that no two clocks are compared.
	QuotedMillis int64 `json:"quotedMillis"`
	// StartWithinMillis is how long after QuotedMillis the order may be begun.
	StartWithinMillis int64 `json:"startWithinMillis"`
	// LeaseMillis is the lease, counted from QuotedMillis.
	LeaseMillis int64 `json:"leaseMillis"`
}
