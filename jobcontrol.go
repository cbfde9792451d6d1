package carobrock

import "context"

// JobControl is what gateways, workers and operators may ask of the control
// group about jobs, from any process. A call fails with ErrNotDone if it
// certainly changed nothing, and with ErrUndecided if that is not known; every
// call may be repeated.
type JobControl interface {
	// Submit stores a job. It reports false if the ID belongs to a job of
	// another queue.
	Submit(ctx context.Context, spec *JobSpec) (bool, error)
	// Cancel ends a job. It reports false if there is no such job.
	Cancel(ctx context.Context, key JobKey) (bool, error)
	// JobState returns a job's state, empty if there is no such job.
	JobState(ctx context.Context, key JobKey) (JobState, error)
	// PendingJobs counts the jobs of a queue of which no task has started.
	PendingJobs(ctx context.Context, queue string) (int, error)
	// Configure puts a configuration in force if its version is the highest.
	Configure(ctx context.Context, c *Configuration) error
	// Configuration returns the configuration in force, nil before the first.
	Configuration(ctx context.Context) (*Configuration, error)
	// WatchConfiguration returns the configuration in force without its
	// document as soon as its version is above the given one; after
	// WatchMillis it returns nil if there is none.
	WatchConfiguration(ctx context.Context, above int64) (*Configuration, error)
	// SetZone takes an availability zone out of service or back.
	SetZone(ctx context.Context, z ZoneOrder) error
	// Heartbeat takes a worker's report and returns its orders.
	Heartbeat(ctx context.Context, r *WorkerReport) (*WorkerOrders, error)
	// Leave notes that a worker has ended and everything on it.
	Leave(ctx context.Context, worker string) error
	// StartWave stores a wave of maintenance.
	StartWave(ctx context.Context, w *MaintenanceWave) error
	// IsWaveDone reports whether the maintenance of all machines of a wave that
	// are still there has begun.
	IsWaveDone(ctx context.Context, number int64) (bool, error)
}

// WatchMillis is how long WatchConfiguration waits for a newer configuration. It is
// below the second after which a call between processes counts as failed.
const WatchMillis = 700
