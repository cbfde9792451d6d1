package carobrock

import "cmp"

// JobSpec describes a submitted job: steps of tasks with dependencies between
// the steps, run once or at regular times.
type JobSpec struct {
	// ID identifies the job. A second submission with the same ID refers to the
	// same job.
	ID string `cbor:"1,keyasint"`
	// Queue is the key of the queue that accepted the job.
	Queue string `cbor:"2,keyasint"`
	// Payload is passed to every task unchanged and is not interpreted.
	Payload string `cbor:"3,keyasint,omitempty"`
	// Steps lists the steps in topological order: each depends only on earlier
	// ones.
	Steps []Step `cbor:"4,keyasint"`
	// Repetitions is the number of times that the steps run. If zero, they run
	// once, immediately.
	Repetitions int `cbor:"5,keyasint,omitempty"`
	// FirstUnixMillis is the due time of the first occurrence, in milliseconds
	// since 1970.
	FirstUnixMillis int64 `cbor:"6,keyasint,omitempty"`
	// IntervalMillis is the interval between occurrences, in milliseconds.
	IntervalMillis int64 `cbor:"7,keyasint,omitempty"`
	// Account names the client account that submitted the job, empty if there is
	// none.
	Account string `cbor:"8,keyasint,omitempty"`
}

// Occurrences returns the number of times that the steps run. It is at least 1.
func (s *JobSpec) Occurrences() int { return max(1, s.Repetitions) }

// DueUnixMillis returns the due time of occurrence k in milliseconds since
// 1970, or zero if it is due immediately.
func (s *JobSpec) DueUnixMillis(k int) int64 {
	if s.Repetitions == 0 {
		return 0
	}
	return s.FirstUnixMillis + int64(k)*s.IntervalMillis
}

// DueOccurrences returns how many occurrences are due at a time in milliseconds since
// 1970. They are the first ones.
func (s *JobSpec) DueOccurrences(atMillis int64) int {
	switch elapsed := atMillis - s.FirstUnixMillis; {
	case s.Repetitions == 0:
		return 1
	case elapsed < 0:
		return 0
	case s.IntervalMillis <= 0:
		return s.Repetitions
	default:
		return int(min(int64(s.Repetitions), elapsed/s.IntervalMillis+1))
	}
}

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// Size is the capacity that each task requests.
	Size Capacity `cbor:"2,keyasint"`
	// EstimateMillis is a rough estimate of the run time of one task, in
	// milliseconds.
	EstimateMillis int64 `cbor:"3,keyasint,omitempty"`
	// After lists the indices of the earlier steps whose tasks must all succeed
	// before this step starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if the tasks save checkpoints of their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if the tasks make progress only while all of them run (gang
	// scheduling).
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set if all tasks should run on one rack. They are slower when
	// spread over several racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have. If empty, any worker is
	// eligible.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the input data. The tasks are slower on
	// other racks.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker is the maximum number of tasks of one occurrence on one
	// worker. Zero means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows several copies of a task to run concurrently. The
	// first copy to succeed determines the result.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Service is set if the tasks run until the job is cancelled. They are
	// restarted after every termination, successful or not.
	Service bool `cbor:"12,keyasint,omitempty"`
	// Image identifies the program that the tasks run. Tasks with the same
	// image are expected to behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailTargetMillis is the upper limit of the tail latency of a service
	// task's requests, in milliseconds. Zero means no limit.
	TailTargetMillis int64 `cbor:"14,keyasint,omitempty"`
	// Filler is set if no CPU is committed to the tasks: they use the CPU that
	// the other tasks on the worker leave idle.
	Filler bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the maximum number of service tasks of the step that
	// the scheduler may make unavailable at the same time. Zero means no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Committed returns the capacity that a task of the step takes up on its
// worker.
func (s *Step) Committed() Capacity {
	c := s.Size
	if s.Filler {
		c.MilliCPU = 0
	}
	return c
}

// JobState is the state of a job as reported to its caller.
type JobState string

// Values of JobState.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// TaskRef identifies one task of a job.
type TaskRef struct {
	_ struct{} `cbor:",toarray"`
	// Job is the ID of the job.
	Job string
	// Occurrence, Step and Index are zero-based.
	Occurrence int
	Step       int
	Index      int
}

// WorkerIncarnation identifies one incarnation of a worker: the time from one
// start of its process to the end of that process.
type WorkerIncarnation struct {
	_ struct{} `cbor:",toarray"`
	// Name is the worker's name.
	Name string
	// Started is the start time of the process in milliseconds since 1970, by
	// the worker's clock. It distinguishes the incarnations of a worker.
	Started int64
}

// EndKind classifies how a run of a task ended.
type EndKind string

// Values of EndKind.
const (
	// EndSucceeded means that the task is complete.
	EndSucceeded EndKind = "succeeded"
	// EndFailed means that the run failed, through a fault of the task or of
	// the worker.
	EndFailed EndKind = "failed"
	// EndStopped means that the scheduler stopped the run.
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the lease of the run expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in
	// time.
	EndGangIncomplete EndKind = "alone"
	// EndRefused means that the worker did not start the run.
	EndRefused EndKind = "refused"
)

// RunEnd is a worker's report of a run that ended on it.
type RunEnd struct {
	_ struct{} `cbor:",toarray"`
	// Number is the sequence number of the report within the worker's
	// incarnation, from 1.
	Number uint64
	// Task and Attempt identify the run.
	Task    TaskRef
	Attempt uint64
	// Kind classifies how the run ended.
	Kind EndKind
	// Checkpoint is the newest checkpoint, or empty if there is none.
	Checkpoint string
}

// Run identifies one run of a task.
type Run struct {
	Task TaskRef
	// Attempt is the number of the run among the runs of the task, from 1.
	Attempt uint64
}

// Compare orders runs by job, position in the job and attempt. It returns a
// negative number if r comes before o, and a positive one if it comes after.
func (r Run) Compare(o Run) int {
	return cmp.Or(cmp.Compare(r.Task.Job, o.Task.Job), cmp.Compare(r.Task.Occurrence, o.Task.Occurrence),
		cmp.Compare(r.Task.Step, o.Task.Step), cmp.Compare(r.Task.Index, o.Task.Index), cmp.Compare(r.Attempt, o.Attempt))
}

// RunReport is a worker's report of a run in progress.
type RunReport struct {
	Run
	// Checkpoint is the newest checkpoint, or empty if there is none.
	Checkpoint string
	// Percent is the progress of the run, 0 to 100. For a service task, 100
	// means that it serves requests.
	Percent int
	// TailMillis is the tail latency of a service task over the last half
	// second, in milliseconds. MilliCPU is the CPU usage of a task that is not
	// a service task, in thousandths of a core.
	TailMillis int64
	MilliCPU   int64
}

// WorkerReport is the status report that a worker sends with every heartbeat.
type WorkerReport struct {
	WorkerIncarnation
	// Machine identifies the machine on which the worker runs. A later worker
	// incarnation on the same machine supersedes this one.
	Machine string
	// Pool names the pool to which the worker belongs.
	Pool string
	// AvailabilityZone and Rack give the location of the worker. Labels lists
	// the labels that steps can require.
	AvailabilityZone string
	Rack             string
	Labels           []string
	// Capacity is the total capacity that may be committed to tasks.
	Capacity Capacity
	// Leaving is set while the worker is shutting down. RemainingMillis is then
	// the minimum time until it stops, in milliseconds, negative once it has passed.
	Leaving         bool
	RemainingMillis int64
	// Sequence increases with each heartbeat of a worker incarnation.
	Sequence uint64
	// Running lists the runs in progress. Ends lists the reports of ended runs
	// that the leader has not yet acknowledged.
	Running []RunReport
	Ends    []RunEnd
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	// FencingToken is the leader's term. A worker ignores a response with a
	// lower token than the highest it has seen.
	FencingToken uint64
	// LeaseMillis is the new lease of all runs, in milliseconds from the time
	// at which the worker sent the heartbeat. If zero, no lease is renewed and
	// no run is started.
	LeaseMillis int64
	// AckedThrough is the highest RunEnd number up to which all ended runs are
	// recorded.
	AckedThrough uint64
	// Start, Stop and Pace list the runs to start, to stop and to throttle.
	Start []StartRun
	Stop  []Run
	Pace  []PaceRun
	// RetryMillis is the time until the next heartbeat, in milliseconds. If
	// zero, the worker uses its own period.
	RetryMillis int64
	// NextAddress is the address for later heartbeats. If empty, the address is
	// unchanged.
	NextAddress string
}

// StartRun requests that a worker start a run.
type StartRun struct {
	Run
	// Payload is the payload of the job.
	Payload string
	// Checkpoint is the checkpoint to resume from. If empty, the run starts
	// from the beginning.
	Checkpoint string
	// Ticket is the Advisor's admission ticket, if the queue's policy requires
	// one.
	Ticket string
}

// PaceRun sets the share of full speed at which a run works.
type PaceRun struct {
	Run
	// Percent is the share, 0 to 100.
	Percent int
}
