package carobrock

import (
	"context"

	"github.com/rotisserie/eris"
)

// JobControl is the interface of the control group for jobs. Gateways, workers
// and operators use it from any process. A call returns ErrNotApplied if it made
// no change, and ErrOutcomeUnknown if its outcome is unknown. Every call may be
// retried.
type JobControl interface {
	// SubmitJob stores a job. It returns false if the ID belongs to a job of
	// another queue or client account. It returns an *OverloadError if the job was
	// refused for lack of capacity, and ErrNotFound if it was not stored because the
	// configuration in force does not have its queue.
	SubmitJob(ctx context.Context, spec *JobSpec) (bool, error)
	// CancelJob cancels a job. It returns false if the queue has no job with
	// this ID, or if the job belongs to another client account.
	CancelJob(ctx context.Context, q JobQuery) (bool, error)
	// JobState returns the state of a job, or the empty string if there is no
	// such job or it belongs to another client account.
	JobState(ctx context.Context, q JobQuery) (JobState, error)
	// PendingJobs returns the number of jobs in a queue that have no started
	// task, or ErrNotFound if the configuration in force does not have the queue.
	PendingJobs(ctx context.Context, queue string) (int, error)
	// Configure stores a configuration. It takes effect if its version is
	// higher than that of the configuration in force.
	Configure(ctx context.Context, c *Configuration) error
	// Configuration returns the configuration in force, or nil if none was ever
	// stored.
	Configuration(ctx context.Context) (*Configuration, error)
	// WatchConfiguration waits until the configuration in force has a version
	// greater than afterVersion and returns it without its Document. It returns
	// nil if that does not happen within WatchTimeoutMillis, or earlier so that the
	// response is sent WatchMarginMillis before the deadline of ctx.
	WatchConfiguration(ctx context.Context, afterVersion int64) (*Configuration, error)
	// ZoneVersion returns the current version of an availability zone, at least 1.
	ZoneVersion(ctx context.Context, zone string) (uint64, error)
	// SetZone takes an availability zone out of service or returns it to
	// service. It returns ErrVersionConflict, and makes no change, if the zone was
	// changed otherwise since the version on which the change is based.
	SetZone(ctx context.Context, z ZoneChange) error
	// Heartbeat processes a worker's report and returns the response to it.
	Heartbeat(ctx context.Context, r *WorkerReport) (*HeartbeatResponse, error)
	// RemoveWorker records that the worker, and every run on it, has ended.
	RemoveWorker(ctx context.Context, worker string) error
	// StartWave starts a maintenance wave.
	StartWave(ctx context.Context, w *MaintenanceWave) error
	// IsWaveDone reports whether maintenance has started on all machines of a
	// wave that still exist.
	IsWaveDone(ctx context.Context, number int64) (bool, error)
	// Accounts returns the status of each client account, in the order of the
	// configuration, followed by that of the jobs without an account.
	Accounts(ctx context.Context) ([]AccountStatus, error)
}

// TransferWatcher is implemented by a JobControl that receives the configuration in
// parts, so that other calls do not wait until a slow link has carried all of it.
type TransferWatcher interface {
	// WatchTransfer is WatchConfiguration, but may return a transfer of the newer
	// configuration instead, which is then larger than one part. At most one of the
	// configuration and the transfer is not nil. If the first part is not valid, it
	// returns an error that wraps ErrTransferLost. base is the version afterVersion, of
	// which the leader may send only the difference, or nil. It is not modified.
	WatchTransfer(ctx context.Context, afterVersion int64, base *Configuration) (*Configuration, ConfigurationTransfer, error)
}

// ConfigurationTransfer is a transfer of one version of the configuration. It is for use
// by one goroutine.
type ConfigurationTransfer interface {
	// Next fetches the next part and returns the configuration after the last one, nil
	// before. After an error that wraps ErrTransferLost the transfer must be abandoned, and
	// the next one be started without a base.
	// After any other error the next call fetches the same part.
	Next(ctx context.Context) (*Configuration, error)
}

// ErrTransferLost reports that the leader does not hold the version of a transfer any
// more, that the parts are damaged, or that the base is not the one of the leader.
var ErrTransferLost = eris.New("carobrock: the transfer of the configuration cannot be continued")

// AccountStatus is what a client account has running and waiting.
type AccountStatus struct {
	// Name is the name of the account, empty for the jobs without an account.
	Name string `json:"name" cbor:"1,keyasint"`
	// Weight and Limit are those of the configuration in force.
	Weight float64  `json:"weight" cbor:"2,keyasint"`
	Limit  Capacity `json:"limit" cbor:"3,keyasint"`
	// Usage is the size of all runs that may be running.
	Usage Capacity `json:"usage" cbor:"4,keyasint"`
	// Runs counts these runs, Waiting the tasks that wait for a worker, and Limited
	// those of them that wait because of the limit.
	Runs    int `json:"runs" cbor:"5,keyasint"`
	Waiting int `json:"waiting" cbor:"6,keyasint"`
	Limited int `json:"limited" cbor:"7,keyasint"`
	// ExcessJobs counts the open jobs that were submitted beyond the account's rate.
	ExcessJobs int `json:"excessJobs" cbor:"8,keyasint"`
	// NeverFits lists open jobs with a task or a gang that exceeds the limit by itself,
	// at most MaxListedJobs.
	NeverFits []string `json:"neverFits,omitempty" cbor:"9,keyasint,omitempty"`
}

// MaxListedJobs is the maximum number of jobs listed in an AccountStatus.
const MaxListedJobs = 20

// WatchTimeoutMillis is the time for which WatchConfiguration waits for a newer
// configuration, in milliseconds. It is below the timeout of calls between
// processes, one second.
const WatchTimeoutMillis = 700

// WatchMarginMillis is the part of the time until the caller's deadline that
// WatchConfiguration leaves for the response, in milliseconds. A call with the usual
// timeout of one second so waits for WatchTimeoutMillis.
const WatchMarginMillis = 300
