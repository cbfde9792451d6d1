package dispatcher

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/locator"
)

// readState calls fn with the state, which includes everything committed before
// the call. It checks leadership before fn, as a new leader replays the rest of its
// log before it holds the lease, and after fn: if the leader was suspended during fn
// and its lease expired, readState fails. The result of fn must then not be used.
func (d *Dispatcher) readState(fn func(s *bookkeeper.State)) error {
	if err := d.checkLeader(); err != nil {
		return err
	}
	d.StateMachine.View(fn)
	return d.checkLeader()
}

// checkLeader returns nil if this replica is the leader, else a
// *locator.NotLeaderError. Unlike ensureLeader it does not wait for a placement round,
// and it does not start a term.
func (d *Dispatcher) checkLeader() error {
	if _, ok := d.Leadership.Term(); !ok {
		return &locator.NotLeaderError{Leader: d.Leadership.LeaderAddress()}
	}
	return nil
}

// SubmitJob implements carobrock.JobControl.
func (d *Dispatcher) SubmitJob(ctx context.Context, spec *carobrock.JobSpec) (bool, error) {
	if err := spec.Check(); err != nil {
		return false, err
	}
	if err := d.checkLeader(); err != nil {
		return false, err
	}
	if !d.StateMachine.MayStore(spec.ID, spec.Queue) {
		return false, d.refuseQueue(spec.Queue)
	}
	res, i, err := d.commitPart(ctx, func(c *carobrock.JobCommand) int {
		c.Submit = append(c.Submit, *spec)
		return len(c.Submit) - 1
	})
	if err != nil {
		return false, err
	}
	return res.Submitted[i], nil
}

// CancelJob implements carobrock.JobControl.
func (d *Dispatcher) CancelJob(ctx context.Context, q carobrock.JobQuery) (bool, error) {
	if err := q.Check(); err != nil {
		return false, err
	}
	// The account of a job never changes, so the check may precede the command.
	foreign := false
	err := d.readState(func(s *bookkeeper.State) {
		j := s.Jobs[q.ID]
		foreign = j != nil && !j.IsAccessibleTo(q.Account)
	})
	if err != nil || foreign {
		return false, err
	}
	res, i, err := d.commitPart(ctx, func(c *carobrock.JobCommand) int {
		c.Cancel = append(c.Cancel, q.JobKey)
		return len(c.Cancel) - 1
	})
	if err != nil {
		return false, err
	}
	return res.Cancelled[i], nil
}

// JobState implements carobrock.JobControl. It waits neither for a placement round nor
// for a snapshot. It checks leadership like readState.
func (d *Dispatcher) JobState(_ context.Context, q carobrock.JobQuery) (state carobrock.JobState, err error) {
	if err := d.checkLeader(); err != nil {
		return "", err
	}
	if j, ok := d.StateMachine.JobSummary(q.ID); ok && j.Queue == q.Queue && j.IsAccessibleTo(q.Account) {
		state = j.State
	}
	return state, d.checkLeader()
}

// PendingJobs implements carobrock.JobControl. It waits no longer than JobState and
// checks leadership in the same way.
func (d *Dispatcher) PendingJobs(_ context.Context, queue string) (int, error) {
	if err := d.checkLeader(); err != nil {
		return 0, err
	}
	n := d.StateMachine.PendingJobs(queue)
	if !d.StateMachine.HasQueue(queue) {
		return 0, d.refuseQueue(queue)
	}
	return n, d.checkLeader()
}

// refuseQueue returns the error for a queue that the configuration in force does not
// have: one that wraps carobrock.ErrNotFound, or a *locator.NotLeaderError if this
// replica is no longer the leader. The copy of the configuration at a gateway may be
// older and have the queue still.
func (d *Dispatcher) refuseQueue(key string) error {
	if err := d.checkLeader(); err != nil {
		return err
	}
	return eris.Wrapf(carobrock.ErrNotFound, "there is no queue %q", key)
}

// Configure implements carobrock.JobControl.
func (d *Dispatcher) Configure(ctx context.Context, c *carobrock.Configuration) error {
	if err := c.Check(); err != nil {
		return eris.Wrap(carobrock.ErrRefused, err.Error())
	}
	_, _, err := d.commitPart(ctx, func(next *carobrock.JobCommand) int {
		if next.Configuration == nil || c.Version > next.Configuration.Version {
			next.Configuration = c
		}
		return 0
	})
	return err
}

// Configuration implements carobrock.JobControl.
func (d *Dispatcher) Configuration(context.Context) (c *carobrock.Configuration, err error) {
	err = d.readState(func(s *bookkeeper.State) { c = s.Configuration })
	return c, err
}

// WatchConfiguration implements carobrock.JobControl.
func (d *Dispatcher) WatchConfiguration(ctx context.Context, afterVersion int64) (*carobrock.Configuration, error) {
	timer := time.NewTimer(watchTime(ctx))
	defer timer.Stop()
	for {
		d.mu.Lock()
		nextChange := d.nextChange
		d.mu.Unlock()
		c, err := d.Configuration(ctx)
		if err != nil {
			return nil, err
		}
		if c != nil && c.Version > afterVersion {
			withoutDocument := *c
			withoutDocument.Document = nil
			return &withoutDocument, nil
		}
		select {
		case <-nextChange:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// watchTime returns how long a watch call with the context ctx waits for a newer
// configuration. It may be negative.
func watchTime(ctx context.Context) time.Duration {
	wait := carobrock.WatchTimeoutMillis * time.Millisecond
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-carobrock.WatchMarginMillis*time.Millisecond)
	}
	return wait
}

// SetZone implements carobrock.JobControl.
func (d *Dispatcher) SetZone(ctx context.Context, z carobrock.ZoneChange) error {
	if err := z.Check(); err != nil {
		return err
	}
	res, i, err := d.commitPart(ctx, func(c *carobrock.JobCommand) int {
		c.Zones = append(c.Zones, z)
		return len(c.Zones) - 1
	})
	if err == nil && !res.Zones[i] {
		err = carobrock.ErrVersionConflict
	}
	d.Logger.Info().Str("availabilityZone", z.Name).Bool("outOfService", z.OutOfService).Uint64("baseVersion", z.BaseVersion).Err(err).
		Msg("dispatcher: order for an availability zone handled")
	return err
}

// ZoneVersion implements carobrock.JobControl.
func (d *Dispatcher) ZoneVersion(_ context.Context, zone string) (version uint64, err error) {
	if err := (carobrock.ZoneChange{Name: zone}).Check(); err != nil {
		return 0, err
	}
	err = d.readState(func(s *bookkeeper.State) { version = s.ZoneVersion(zone) })
	return version, err
}

// StartWave implements carobrock.JobControl.
func (d *Dispatcher) StartWave(ctx context.Context, w *carobrock.MaintenanceWave) error {
	if err := w.Check(); err != nil {
		return err
	}
	_, _, err := d.commitPart(ctx, func(c *carobrock.JobCommand) int {
		c.Waves = append(c.Waves, *w)
		return 0
	})
	return err
}

// IsWaveDone implements carobrock.JobControl.
func (d *Dispatcher) IsWaveDone(_ context.Context, number int64) (done bool, err error) {
	err = d.readState(func(s *bookkeeper.State) {
		w := s.Waves[number]
		done = w != nil && len(w.StartedMachines) == len(w.Machines)
	})
	return done, err
}
