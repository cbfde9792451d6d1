package carobrock

// JobSpec is what a caller asks for when submitting a job: steps of tasks that
// depend on each other, run once or at set times.
type JobSpec struct {
	// ID identifies the job. A second submission with the same ID is the same
	// job.
	ID string `cbor:"1,keyasint"`
	// Queue is the key of the queue that took the job.
	Queue string `cbor:"2,keyasint"`
	// Payload is handed to every task unread.
	Payload string `cbor:"3,keyasint,omitempty"`
	// Steps are in an order in which each depends only on earlier ones.
	Steps []Step `cbor:"4,keyasint"`
	// Repetitions is how often the steps run. Zero: once, at once.
	Repetitions int `cbor:"5,keyasint,omitempty"`
	// FirstUnixMillis is when the first repetition is due.
	FirstUnixMillis int64 `cbor:"6,keyasint,omitempty"`
	// IntervalMillis is the time between repetitions.
	IntervalMillis int64 `cbor:"7,keyasint,omitempty"`
}

// Occurrences returns how often the steps run, at least once.
func (s *JobSpec) Occurrences() int { return max(1, s.Repetitions) }

// DueUnixMillis returns when occurrence k is due, zero for at once.
func (s *JobSpec) DueUnixMillis(k int) int64 {
	if s.Repetitions == 0 {
		return 0
	}
	return s.FirstUnixMillis + int64(k)*s.IntervalMillis
}

// Step is a set of equal tasks.
type Step struct {
	// Count is how many tasks the step has.
	Count int `cbor:"1,keyasint"`
	// Size is what each task requests.
	Size Capacity `cbor:"2,keyasint"`
	// EstimateMillis is a rough estimate of a task's run time.
	EstimateMillis int64 `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps whose tasks must all have succeeded.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if the tasks work only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack asks for all tasks on one rack; spread over several they are
	// slower.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have. Empty: any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the data; elsewhere the tasks are slower.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker. Zero: no
	// bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows copies of a task to run at the same time; the first to
	// succeed counts.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Service is set if the tasks run until the job is cancelled and are
	// restarted however they end.
	Service bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailTargetMillis is the latency that the tail of a service task's requests
	// must stay below. Zero: none.
	TailTargetMillis int64 `cbor:"14,keyasint,omitempty"`
	// Filler is set if the tasks' processors are not committed: they use what
	// the other tasks on the worker leave.
	Filler bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds the service tasks of the step that may be away at
	// the same time because of the scheduler. Zero: no bound.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Committed returns what a task of the step takes of a worker's capacity.
func (s *Step) Committed() Capacity {
	c := s.Size
	if s.Filler {
		c.MilliCPU = 0
	}
	return c
}

// JobState is the state of a job as its caller sees it.
type JobState string

// The states of a job.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// TaskRef names a task of a job.
type TaskRef struct {
	_ struct{} `cbor:",toarray"`
	// Job is the job's ID.
	Job string
	// Occurrence, Step and Index count from 0.
	Occurrence int
	Step       int
	Index      int
}

// WorkerLife names one life of a worker: the time from one start to its end.
type WorkerLife struct {
	_ struct{} `cbor:",toarray"`
	// Name is the worker's name.
	Name string
	// Started identifies the life, in milliseconds since 1970 on the worker's
	// clock.
	Started int64
}

// EndKind tells how a run of a task ended.
type EndKind string

// The ways in which a run ends.
const (
	// EndSucceeded: the task is done.
	EndSucceeded EndKind = "succeeded"
	// EndFailed: the run failed, through its own fault or the worker's.
	EndFailed EndKind = "failed"
	// EndStopped: the scheduler stopped it.
	EndStopped EndKind = "stopped"
	// EndLapsed: its lease expired.
	EndLapsed EndKind = "lapsed"
	// EndBroken: another member of its gang ended.
	EndBroken EndKind = "broken"
	// EndAlone: the other members of its gang did not come in time.
	EndAlone EndKind = "alone"
	// EndRefused: the worker did not start it.
	EndRefused EndKind = "refused"
)

// RunEnd is what a worker says of a run that ended there.
type RunEnd struct {
	_ struct{} `cbor:",toarray"`
	// Number counts the ends of one worker life from 1.
	Number uint64
	// Task and Attempt name the run.
	Task    TaskRef
	Attempt uint64
	// Kind tells how it ended.
	Kind EndKind
	// Checkpoint is the newest checkpoint, empty if there is none.
	Checkpoint string
}

// Run names one run of a task.
type Run struct {
	// Task is the task.
	Task TaskRef
	// Attempt numbers the task's runs from 1.
	Attempt uint64
}

// RunReport is what a worker says of a run that is under way.
type RunReport struct {
	Run
	// Checkpoint is the newest checkpoint, empty if there is none.
	Checkpoint string
	// Percent is how far the run is; a service task is at work at 100.
	Percent int
	// TailMillis is the tail latency of a service task over the last half
	// second, MilliCPU the processor time that any other task uses.
	TailMillis int64
	MilliCPU   int64
}

// WorkerReport is what a worker says of itself with every heartbeat.
type WorkerReport struct {
	WorkerLife
	// Machine identifies what the worker runs on. A later life on the same
	// machine ends this one.
	Machine string
	// Pool names the pool that the worker serves.
	Pool string
	// AvailabilityZone, Rack and Labels tell where it is and what it offers.
	AvailabilityZone string
	Rack             string
	Labels           []string
	// Capacity is all that may be committed.
	Capacity Capacity
	// Leaving is set while the worker is about to stop; RemainingMillis is the
	// least time it has left then.
	Leaving         bool
	RemainingMillis int64
	// Sequence rises with each heartbeat of a life.
	Sequence uint64
	// Running lists what runs, Ends what ended and is not acknowledged.
	Running []RunReport
	Ends    []RunEnd
}

// WorkerOrders is the answer to a heartbeat.
type WorkerOrders struct {
	// FencingToken is the leader's term; a worker ignores a lower one.
	FencingToken uint64
	// LeaseMillis renews the leases of all runs, counted from the sending of
	// the heartbeat. Zero: nothing is renewed or started.
	LeaseMillis int64
	// AckedThrough is the number up to which ends are recorded.
	AckedThrough uint64
	// Start, Stop and Pace are orders.
	Start []StartRun
	Stop  []Run
	Pace  []PaceRun
	// RetryMillis is when the next heartbeat is due. Zero: the worker's period.
	RetryMillis int64
	// NextAddress is where later heartbeats go. Empty: unchanged.
	NextAddress string
}

// StartRun tells a worker to start a run.
type StartRun struct {
	Run
	// Payload is the job's payload.
	Payload string
	// Checkpoint is where to resume from, empty for the beginning.
	Checkpoint string
	// Ticket admits the run where the queue's policy asks for one.
	Ticket string
}

// PaceRun sets the share of its speed at which a run works.
type PaceRun struct {
	Run
	// Percent is 0 to 100.
	Percent int
}
