package carobrock

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// JobCommand is one change of the replicated state of jobs. It carries any
// number of the parts, which are applied in the order of the fields.
type JobCommand struct {
	// Configuration replaces the configuration if its version is higher.
	Configuration *Configuration `cbor:"1,keyasint,omitempty"`
	// Zones take availability zones out of service or back.
	Zones []ZoneOrder `cbor:"2,keyasint,omitempty"`
	// Submit adds jobs that are not known yet.
	Submit []JobSpec `cbor:"3,keyasint,omitempty"`
	// Cancel ends jobs.
	Cancel []JobKey `cbor:"4,keyasint,omitempty"`
	// Ends records runs that ended.
	Ends []WorkerEnds `cbor:"5,keyasint,omitempty"`
	// Lost records worker lives whose runs can no longer be under way.
	Lost []LostWorker `cbor:"6,keyasint,omitempty"`
	// Withdrawn records runs that never reached their worker.
	Withdrawn []WithdrawnRun `cbor:"12,keyasint,omitempty"`
	// Assign gives tasks to workers.
	Assign []TaskAssignment `cbor:"7,keyasint,omitempty"`
	// Checkpoints records the newest checkpoints of runs under way.
	Checkpoints []RunCheckpoint `cbor:"8,keyasint,omitempty"`
	// Waves starts waves of maintenance.
	Waves []MaintenanceWave `cbor:"9,keyasint,omitempty"`
	// Maintained records machines whose maintenance has begun.
	Maintained []MachineMaintenance `cbor:"10,keyasint,omitempty"`
	// Learned replaces what is known of interference.
	Learned *Interference `cbor:"13,keyasint,omitempty"`
	// AtUnixMillis is the leader's wall-clock time, from which the retention of
	// ended jobs counts.
	AtUnixMillis int64 `cbor:"11,keyasint,omitempty"`
}

// ZoneOrder is the operators' word on one availability zone.
type ZoneOrder struct {
	// Name is the availability zone.
	Name string `cbor:"1,keyasint"`
	// OutOfService is the new value.
	OutOfService bool `cbor:"2,keyasint"`
}

// JobKey names a job and the queue that it must belong to.
type JobKey struct {
	_ struct{} `cbor:",toarray"`
	// ID is the job's ID.
	ID string
	// Queue is the queue's key.
	Queue string
}

// WorkerEnds are the ends that one worker life reports.
type WorkerEnds struct {
	// Life is the worker's life.
	Life WorkerLife `cbor:"1,keyasint"`
	// Ends are in the order of their numbers.
	Ends []RunEnd `cbor:"2,keyasint"`
}

// LostWorker is a worker life whose runs have all ended.
type LostWorker struct {
	// Life is the worker's life.
	Life WorkerLife `cbor:"1,keyasint"`
	// Checkpoints are the newest ones known of its runs.
	Checkpoints []RunCheckpoint `cbor:"2,keyasint,omitempty"`
	// Gone is set if the life itself is over, so that nothing of it needs to be
	// remembered.
	Gone bool `cbor:"3,keyasint,omitempty"`
}

// WithdrawnRun is an assignment that was taken back before the run began.
type WithdrawnRun struct {
	_ struct{} `cbor:",toarray"`
	// Life is the worker's life.
	Life WorkerLife
	// Task and Attempt name the run.
	Task    TaskRef
	Attempt uint64
}

// RunCheckpoint is the newest checkpoint of one run.
type RunCheckpoint struct {
	_ struct{} `cbor:",toarray"`
	// Task and Attempt name the run.
	Task    TaskRef
	Attempt uint64
	// Checkpoint is the checkpoint.
	Checkpoint string
}

// TaskAssignment gives the next attempt of a task to a worker.
type TaskAssignment struct {
	_ struct{} `cbor:",toarray"`
	// Task is the task.
	Task TaskRef
	// Attempt is one above the task's last attempt.
	Attempt uint64
	// Life is the worker's life.
	Life WorkerLife
	// Ticket admits the run where the queue's policy asks for one.
	Ticket string
}

// MaintenanceWave asks for the maintenance of some machines.
type MaintenanceWave struct {
	// Number identifies the wave.
	Number int64 `cbor:"1,keyasint"`
	// Machines are the machines.
	Machines []string `cbor:"2,keyasint"`
	// DurationMillis is the time within which all should be done.
	DurationMillis int64 `cbor:"3,keyasint"`
	// MaxDown bounds the machines that are down at the same time.
	MaxDown int `cbor:"4,keyasint"`
}

// MachineMaintenance records that the maintenance of a machine has begun.
type MachineMaintenance struct {
	// Wave and Machine name it.
	Wave    int64  `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
}

// JobResult is what the state machine answers to a JobCommand.
type JobResult struct {
	// Submitted has an element for each job of Submit: false if the ID belongs
	// to another job.
	Submitted []bool
	// Cancelled has an element for each key of Cancel: false if there is no
	// such job.
	Cancelled []bool
}

// Encode returns the bytes of c for the log. They never begin with a brace, so
// that they can be told from those of a Command.
func (c *JobCommand) Encode() ([]byte, error) { return cbor.Marshal(c) }

// DecodeJobCommand returns the command with the given bytes.
func DecodeJobCommand(data []byte) (*JobCommand, error) {
	c := &JobCommand{}
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, eris.Wrap(err, "carobrock: not a command on jobs")
	}
	return c, nil
}
