package locator

import (
	"context"
	"errors"

	"github.com/carobrock/carobrock"
)

// LocalFirstControl is the JobControl of a process with a replica. Calls go to
// the local replica while it is the leader, and otherwise to the leader.
type LocalFirstControl struct {
	// Local is the JobControl of the local replica.
	Local carobrock.JobControl
	// Remote forwards calls to the leader.
	Remote *Locator
}

var _ carobrock.JobControl = (*LocalFirstControl)(nil)

// shouldForward reports whether err means that this replica is not the leader,
// and records the leader's address if err contains it.
func (n *LocalFirstControl) shouldForward(err error) bool {
	var notLeader *NotLeaderError
	if !errors.As(err, &notLeader) {
		return false
	}
	n.Remote.adoptLeader(notLeader.Leader)
	return true
}

// SubmitJob implements carobrock.JobControl.
func (n *LocalFirstControl) SubmitJob(ctx context.Context, spec *carobrock.JobSpec) (bool, error) {
	ok, err := n.Local.SubmitJob(ctx, spec)
	if n.shouldForward(err) {
		return n.Remote.SubmitJob(ctx, spec)
	}
	return ok, err
}

// CancelJob implements carobrock.JobControl.
func (n *LocalFirstControl) CancelJob(ctx context.Context, q carobrock.JobQuery) (bool, error) {
	ok, err := n.Local.CancelJob(ctx, q)
	if n.shouldForward(err) {
		return n.Remote.CancelJob(ctx, q)
	}
	return ok, err
}

// JobState implements carobrock.JobControl.
func (n *LocalFirstControl) JobState(ctx context.Context, q carobrock.JobQuery) (carobrock.JobState, error) {
	state, err := n.Local.JobState(ctx, q)
	if n.shouldForward(err) {
		return n.Remote.JobState(ctx, q)
	}
	return state, err
}

// PendingJobs implements carobrock.JobControl.
func (n *LocalFirstControl) PendingJobs(ctx context.Context, queue string) (int, error) {
	count, err := n.Local.PendingJobs(ctx, queue)
	if n.shouldForward(err) {
		return n.Remote.PendingJobs(ctx, queue)
	}
	return count, err
}

// Configure implements carobrock.JobControl.
func (n *LocalFirstControl) Configure(ctx context.Context, c *carobrock.Configuration) error {
	err := n.Local.Configure(ctx, c)
	if n.shouldForward(err) {
		return n.Remote.Configure(ctx, c)
	}
	return err
}

// Configuration implements carobrock.JobControl.
func (n *LocalFirstControl) Configuration(ctx context.Context) (*carobrock.Configuration, error) {
	c, err := n.Local.Configuration(ctx)
	if n.shouldForward(err) {
		return n.Remote.Configuration(ctx)
	}
	return c, err
}

// WatchConfiguration implements carobrock.JobControl.
func (n *LocalFirstControl) WatchConfiguration(ctx context.Context, afterVersion int64) (*carobrock.Configuration, error) {
	c, err := n.Local.WatchConfiguration(ctx, afterVersion)
	if n.shouldForward(err) {
		return n.Remote.WatchConfiguration(ctx, afterVersion)
	}
	return c, err
}

// ZoneVersion implements carobrock.JobControl.
func (n *LocalFirstControl) ZoneVersion(ctx context.Context, zone string) (uint64, error) {
	version, err := n.Local.ZoneVersion(ctx, zone)
	if n.shouldForward(err) {
		return n.Remote.ZoneVersion(ctx, zone)
	}
	return version, err
}

// SetZone implements carobrock.JobControl.
func (n *LocalFirstControl) SetZone(ctx context.Context, z carobrock.ZoneChange) error {
	err := n.Local.SetZone(ctx, z)
	if n.shouldForward(err) {
		return n.Remote.SetZone(ctx, z)
	}
	return err
}

// Heartbeat implements carobrock.JobControl.
func (n *LocalFirstControl) Heartbeat(ctx context.Context, r *carobrock.WorkerReport) (*carobrock.HeartbeatResponse, error) {
	response, err := n.Local.Heartbeat(ctx, r)
	if n.shouldForward(err) {
		return n.Remote.Heartbeat(ctx, r)
	}
	return response, err
}

// RemoveWorker implements carobrock.JobControl.
func (n *LocalFirstControl) RemoveWorker(ctx context.Context, worker string) error {
	err := n.Local.RemoveWorker(ctx, worker)
	if n.shouldForward(err) {
		return n.Remote.RemoveWorker(ctx, worker)
	}
	return err
}

// StartWave implements carobrock.JobControl.
func (n *LocalFirstControl) StartWave(ctx context.Context, w *carobrock.MaintenanceWave) error {
	err := n.Local.StartWave(ctx, w)
	if n.shouldForward(err) {
		return n.Remote.StartWave(ctx, w)
	}
	return err
}

// IsWaveDone implements carobrock.JobControl.
func (n *LocalFirstControl) IsWaveDone(ctx context.Context, number int64) (bool, error) {
	done, err := n.Local.IsWaveDone(ctx, number)
	if n.shouldForward(err) {
		return n.Remote.IsWaveDone(ctx, number)
	}
	return done, err
}

// Accounts implements carobrock.JobControl.
func (n *LocalFirstControl) Accounts(ctx context.Context) ([]carobrock.AccountStatus, error) {
	out, err := n.Local.Accounts(ctx)
	if n.shouldForward(err) {
		return n.Remote.Accounts(ctx)
	}
	return out, err
}
