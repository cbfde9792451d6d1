package carobrock

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// JobCommand is one change to the replicated state of jobs. Any number of its
// parts may be set. They are applied in the order of the fields, except that
// Checkpoints is applied before Assign.
type JobCommand struct {
	// Configuration replaces the configuration in force if its version is
	// higher.
	Configuration *Configuration `cbor:"1,keyasint,omitempty"`
	// Zones takes availability zones out of service or returns them to service.
	Zones []ZoneChange `cbor:"2,keyasint,omitempty"`
	// Submit adds jobs whose IDs are not yet known.
	Submit []JobSpec `cbor:"3,keyasint,omitempty"`
	// Cancel cancels jobs.
	Cancel []JobKey `cbor:"4,keyasint,omitempty"`
	// Ends records runs that ended.
	Ends []WorkerEnds `cbor:"5,keyasint,omitempty"`
	// Lost records worker incarnations whose runs can no longer be in progress.
	Lost []LostWorker `cbor:"6,keyasint,omitempty"`
	// Withdrawn records assignments that were withdrawn before they reached
	// their worker.
	Withdrawn []WithdrawnRun `cbor:"12,keyasint,omitempty"`
	// Assign assigns tasks to workers.
	Assign []TaskAssignment `cbor:"7,keyasint,omitempty"`
	// Checkpoints records the newest checkpoints of runs in progress.
	Checkpoints []RunCheckpoint `cbor:"8,keyasint,omitempty"`
	// Waves starts maintenance waves.
	Waves []MaintenanceWave `cbor:"9,keyasint,omitempty"`
	// StartedMaintenance records machines whose maintenance has started.
	StartedMaintenance []MachineMaintenance `cbor:"10,keyasint,omitempty"`
	// Interference replaces the learned interference model.
	Interference *Interference `cbor:"13,keyasint,omitempty"`
	// Machines records the machines of worker incarnations that have runs. It is
	// applied after Assign.
	Machines []WorkerMachine `cbor:"14,keyasint,omitempty"`
	// Isolated marks runs as isolated: nothing else is assigned to their workers
	// until they are proven or end. It is applied after Assign.
	Isolated []WorkerRun `cbor:"15,keyasint,omitempty"`
	// Proven records isolated or suspected runs that were seen running for so
	// long that their tasks do not crash workers. It is applied before Assign.
	Proven []WorkerRun `cbor:"16,keyasint,omitempty"`
	// Survivors records worker incarnations that sent heartbeats again after
	// their runs were lost. It is applied after Lost.
	Survivors []WorkerIncarnation `cbor:"17,keyasint,omitempty"`
	// LeaseMillis is the length of the leases that the leader is about to grant to
	// workers, in milliseconds, if a longer one than before.
	LeaseMillis int64 `cbor:"18,keyasint,omitempty"`
	// AtUnixMillis is the leader's wall-clock time in milliseconds since 1970.
	// The retention period of ended jobs is counted from it.
	AtUnixMillis int64 `cbor:"11,keyasint,omitempty"`
}

// ZoneChange takes one availability zone out of service or returns it to
// service.
type ZoneChange struct {
	// Name is the availability zone.
	Name string `cbor:"1,keyasint"`
	// OutOfService is the new value of the operators' out-of-service flag.
	OutOfService bool `cbor:"2,keyasint"`
	// BaseVersion is the version of the availability zone on which the change is
	// based. The change has no effect if a later version exists. Zero, as in commands
	// of earlier releases, applies to any version and makes no new one.
	BaseVersion uint64 `cbor:"3,keyasint,omitempty"`
}

// JobKey identifies a job and the queue that it must belong to.
type JobKey struct {
	_ struct{} `cbor:",toarray"`
	// ID is the job's ID.
	ID string
	// Queue is the key of the queue.
	Queue string
}

// JobQuery refers to a job on behalf of a caller.
type JobQuery struct {
	JobKey
	// Account names the caller's client account, empty if it has none. If it is set,
	// jobs of other accounts are treated as unknown.
	Account string
}

// WorkerEnds lists ended runs reported by one worker incarnation.
type WorkerEnds struct {
	// Incarnation identifies the worker incarnation.
	Incarnation WorkerIncarnation `cbor:"1,keyasint"`
	// Ends is ordered by Number.
	Ends []RunEnd `cbor:"2,keyasint"`
}

// LostWorker records that no run of a worker incarnation can be in progress.
type LostWorker struct {
	// Incarnation identifies the worker incarnation.
	Incarnation WorkerIncarnation `cbor:"1,keyasint"`
	// Checkpoints lists the newest known checkpoints of its runs.
	Checkpoints []RunCheckpoint `cbor:"2,keyasint,omitempty"`
	// IncarnationEnded is set if the incarnation itself has ended.
	IncarnationEnded bool `cbor:"3,keyasint,omitempty"`
	// MayHaveCrashed is set unless the worker had reported that it was leaving.
	// If the incarnation has also ended, it has crashed.
	MayHaveCrashed bool `cbor:"4,keyasint,omitempty"`
	// Proven lists the runs that are not the cause of a crash: those that were seen
	// running for so long, and those that were never sent to the worker.
	Proven []Run `cbor:"5,keyasint,omitempty"`
	// IsWidespread is set if most workers of the availability zone were lost at
	// about the same time, or if that is not known.
	IsWidespread bool `cbor:"6,keyasint,omitempty"`
}

// WorkerMachine names the machine of a worker incarnation.
type WorkerMachine struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation identifies the worker incarnation.
	Incarnation WorkerIncarnation
	// Machine identifies the machine.
	Machine string
}

// WorkerRun identifies a run together with its worker incarnation.
type WorkerRun struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation identifies the worker incarnation.
	Incarnation WorkerIncarnation
	// Task and Attempt identify the run.
	Task    TaskRef
	Attempt uint64
}

// WithdrawnRun is an assignment that was withdrawn before it reached its
// worker.
type WithdrawnRun struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation identifies the worker incarnation.
	Incarnation WorkerIncarnation
	// Task and Attempt identify the run.
	Task    TaskRef
	Attempt uint64
}

// RunCheckpoint is the newest checkpoint of one run.
type RunCheckpoint struct {
	_ struct{} `cbor:",toarray"`
	// Task and Attempt identify the run.
	Task    TaskRef
	Attempt uint64
	// Checkpoint names the checkpoint.
	Checkpoint string
}

// TaskAssignment assigns the next attempt of a task to a worker.
type TaskAssignment struct {
	_    struct{} `cbor:",toarray"`
	Task TaskRef
	// Attempt is the task's last attempt plus one.
	Attempt uint64
	// Incarnation identifies the worker incarnation.
	Incarnation WorkerIncarnation
	// Ticket is the Advisor's admission ticket, if the queue's policy requires
	// one.
	Ticket string
}

// MaintenanceWave requests the maintenance of a set of machines.
type MaintenanceWave struct {
	// Number identifies the wave.
	Number int64 `cbor:"1,keyasint"`
	// Machines lists the machines by name.
	Machines []string `cbor:"2,keyasint"`
	// DurationMillis is the time within which the maintenance of all machines
	// should be complete, in milliseconds.
	DurationMillis int64 `cbor:"3,keyasint"`
	// MaxDown is the maximum number of machines that may be down at the same
	// time.
	MaxDown int `cbor:"4,keyasint"`
}

// MachineMaintenance records that the maintenance of a machine has started.
type MachineMaintenance struct {
	// Wave is the number of the maintenance wave and Machine the name of the
	// machine.
	Wave    int64  `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
}

// JobResult is the state machine's result of a JobCommand.
type JobResult struct {
	// Submitted has one element for each job of Submit. It is false if the ID
	// belongs to a job of another queue.
	Submitted []bool
	// Cancelled has one element for each key of Cancel. It is false if the
	// queue has no job with this ID.
	Cancelled []bool
	// Zones has one element for each change of Zones. It is false if the change had
	// no effect because a later one was made before.
	Zones []bool
	// Crashes lists the runs of Lost against which a crash was counted.
	Crashes []RunCrash
}

// RunCrash is a crash of a worker that was counted against the task of a run.
type RunCrash struct {
	Run
	// Incarnation is the worker incarnation that crashed.
	Incarnation WorkerIncarnation
	// Crashes is the number of crashes counted against the task, this one
	// included.
	Crashes int
	// IsSuspect is set if the task's next run will be isolated, IsGivenUp if the
	// job failed.
	IsSuspect bool
	IsGivenUp bool
}

// Encode returns the CBOR encoding of c for the replicated log. It never begins
// with a brace, which distinguishes it from the JSON encoding of a Command.
func (c *JobCommand) Encode() ([]byte, error) { return cbor.Marshal(c) }

// DecodeJobCommand decodes a command that JobCommand.Encode returned.
func DecodeJobCommand(data []byte) (*JobCommand, error) {
	c := &JobCommand{}
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, eris.Wrap(err, "carobrock: cannot decode job command")
	}
	return c, nil
}
