package locator

import (
	"context"
	"errors"

	"github.com/carobrock/carobrock"
)

// Nearby is the JobControl of a process that holds a replica: calls go to the
// replica itself while it leads, and else to the leader.
type Nearby struct {
	// Local is the replica's own.
	Local carobrock.JobControl
	// Remote reaches the leader.
	Remote *Locator
}

var _ carobrock.JobControl = (*Nearby)(nil)

// elsewhere reports whether a call is to be carried to another replica, and
// notes the leader that err names.
func (n *Nearby) elsewhere(err error) bool {
	var other *NotLeaderError
	if !errors.As(err, &other) {
		return false
	}
	if other.Leader != "" {
		n.Remote.setLeader(other.Leader)
	}
	return true
}

// Submit implements carobrock.JobControl.
func (n *Nearby) Submit(ctx context.Context, spec *carobrock.JobSpec) (bool, error) {
	ok, err := n.Local.Submit(ctx, spec)
	if n.elsewhere(err) {
		return n.Remote.Submit(ctx, spec)
	}
	return ok, err
}

// Cancel implements carobrock.JobControl.
func (n *Nearby) Cancel(ctx context.Context, key carobrock.JobKey) (bool, error) {
	ok, err := n.Local.Cancel(ctx, key)
	if n.elsewhere(err) {
		return n.Remote.Cancel(ctx, key)
	}
	return ok, err
}

// JobState implements carobrock.JobControl.
func (n *Nearby) JobState(ctx context.Context, key carobrock.JobKey) (carobrock.JobState, error) {
	state, err := n.Local.JobState(ctx, key)
	if n.elsewhere(err) {
		return n.Remote.JobState(ctx, key)
	}
	return state, err
}

// PendingJobs implements carobrock.JobControl.
func (n *Nearby) PendingJobs(ctx context.Context, queue string) (int, error) {
	count, err := n.Local.PendingJobs(ctx, queue)
	if n.elsewhere(err) {
		return n.Remote.PendingJobs(ctx, queue)
	}
	return count, err
}

// Configure implements carobrock.JobControl.
func (n *Nearby) Configure(ctx context.Context, c *carobrock.Configuration) error {
	err := n.Local.Configure(ctx, c)
	if n.elsewhere(err) {
		return n.Remote.Configure(ctx, c)
	}
	return err
}

// Configuration implements carobrock.JobControl.
func (n *Nearby) Configuration(ctx context.Context) (*carobrock.Configuration, error) {
	c, err := n.Local.Configuration(ctx)
	if n.elsewhere(err) {
		return n.Remote.Configuration(ctx)
	}
	return c, err
}

// WatchConfiguration implements carobrock.JobControl.
func (n *Nearby) WatchConfiguration(ctx context.Context, above int64) (*carobrock.Configuration, error) {
	c, err := n.Local.WatchConfiguration(ctx, above)
	if n.elsewhere(err) {
		return n.Remote.WatchConfiguration(ctx, above)
	}
	return c, err
}

// SetZone implements carobrock.JobControl.
func (n *Nearby) SetZone(ctx context.Context, z carobrock.ZoneOrder) error {
	err := n.Local.SetZone(ctx, z)
	if n.elsewhere(err) {
		return n.Remote.SetZone(ctx, z)
	}
	return err
}

// Heartbeat implements carobrock.JobControl.
func (n *Nearby) Heartbeat(ctx context.Context, r *carobrock.WorkerReport) (*carobrock.WorkerOrders, error) {
	o, err := n.Local.Heartbeat(ctx, r)
	if n.elsewhere(err) {
		return n.Remote.Heartbeat(ctx, r)
	}
	return o, err
}

// Leave implements carobrock.JobControl.
func (n *Nearby) Leave(ctx context.Context, worker string) error {
	err := n.Local.Leave(ctx, worker)
	if n.elsewhere(err) {
		return n.Remote.Leave(ctx, worker)
	}
	return err
}

// StartWave implements carobrock.JobControl.
func (n *Nearby) StartWave(ctx context.Context, w *carobrock.MaintenanceWave) error {
	err := n.Local.StartWave(ctx, w)
	if n.elsewhere(err) {
		return n.Remote.StartWave(ctx, w)
	}
	return err
}

// IsWaveDone implements carobrock.JobControl.
func (n *Nearby) IsWaveDone(ctx context.Context, number int64) (bool, error) {
	done, err := n.Local.IsWaveDone(ctx, number)
	if n.elsewhere(err) {
		return n.Remote.IsWaveDone(ctx, number)
	}
	return done, err
}
