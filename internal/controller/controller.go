package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/keeper"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/relayer"
	"github.com/carobrock/carobrock/internal/replicator"
	"github.com/carobrock/carobrock/internal/scheduler"
	"github.com/carobrock/carobrock/internal/sleeper"
	"github.com/carobrock/carobrock/internal/watcher"
)

// leaderPrefix is the prefix of the methods that only the leader carries out.
const leaderPrefix = "leader/"

// Controller is one control replica. Its fields are set before Run and not
// changed after.
type Controller struct {
	// Replica is the replicated log.
	Replica *replicator.Replica
	// Keeper is the state machine of Replica.
	Keeper *keeper.Keeper
	// Messenger reaches the other processes.
	Messenger *messenger.Messenger
	// Scheduler is the loop over tasks.
	Scheduler *scheduler.Scheduler
	// GrantLease is how long a gateway may use its grants without a sync. Zero:
	// 5 s.
	GrantLease time.Duration
	// Logger takes the log.
	Logger zerolog.Logger

	gateways gatewayRoster
}

var (
	_ carobrock.Control    = (*Controller)(nil)
	_ scheduler.Leadership = (*Controller)(nil)
	_ scheduler.Proposer   = (*leader)(nil)
)

const defaultGrantLease = 5 * time.Second

// Prepare wires the parts together. Replica.Prepare must have succeeded.
func (c *Controller) Prepare() {
	if c.GrantLease == 0 {
		c.GrantLease = defaultGrantLease
	}
	c.gateways.prepare()
	c.Scheduler.Leadership = c
	c.Scheduler.Proposer = c.local()
	c.Scheduler.Keeper = c.Keeper
	c.Scheduler.Prepare()
	handlers := relayer.Handlers("", c)
	for method, h := range relayer.Handlers(leaderPrefix, c.local()) {
		handlers[method] = h
	}
	handlers[watcher.MethodSync] = c.handleSync
	handlers[watcher.MethodTip] = c.handleTip
	handlers[methodConfirm] = c.handleConfirm
	c.Messenger.Handlers = handlers
	c.Messenger.OnMessage = c.Replica.Receive
	c.Messenger.Prepare()
}

// Run runs all parts until ctx ends or one of them fails.
func (c *Controller) Run(ctx context.Context) error {
	parts := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	parts.Go(c.Messenger.Run)
	parts.Go(c.Replica.Run)
	parts.Go(c.Scheduler.Run)
	parts.Go(c.runGrants)
	return parts.Wait()
}

// Term implements scheduler.Leadership.
func (c *Controller) Term() (uint64, bool) {
	s := c.Replica.Status()
	return s.Term, s.Leader == s.ID
}

// LeaseLeft implements scheduler.Leadership.
func (c *Controller) LeaseLeft() time.Duration { return c.Replica.LeaseLeft() }

func (c *Controller) local() *leader { return &leader{c: c} }

const retryPause = 20 * time.Millisecond

// onLeader calls fn with the leader, wherever it is, until it is carried out, it
// must not be repeated, or ctx ends.
func (c *Controller) onLeader(ctx context.Context, repeatable bool, fn func(control carobrock.Control) error) error {
	err := error(carobrock.ErrNotDone)
	undecided := false
	for ctx.Err() == nil {
		if control := c.leader(); control != nil {
			err = fn(control)
			undecided = undecided || errors.Is(err, carobrock.ErrUndecided)
			again := errors.Is(err, carobrock.ErrNotDone) || repeatable && errors.Is(err, carobrock.ErrUndecided)
			if !again {
				return err
			}
		}
		_ = sleeper.Sleep(ctx, retryPause) // the loop looks at ctx itself
	}
	if undecided {
		return carobrock.ErrUndecided
	}
	return err
}

// leader returns the leader that this replica knows, nil if it knows none.
func (c *Controller) leader() carobrock.Control {
	s := c.Replica.Status()
	switch {
	case s.Leader == 0:
		return nil
	case s.Leader == s.ID:
		return c.local()
	case s.LeaderAddress == "":
		return nil
	default:
		return &relayer.Stub{Caller: c.Messenger, Address: s.LeaderAddress, Prefix: leaderPrefix}
	}
}

// Propose implements carobrock.Control.
func (c *Controller) Propose(ctx context.Context, cmd *carobrock.Command) (res *carobrock.Result, err error) {
	err = c.onLeader(ctx, cmd.IsRepeatable(), func(control carobrock.Control) error {
		res, err = control.Propose(ctx, cmd)
		return err
	})
	return res, err
}

// Read implements carobrock.Control.
func (c *Controller) Read(ctx context.Context, q carobrock.Query) (data []byte, err error) {
	err = c.onLeader(ctx, true, func(control carobrock.Control) error {
		data, err = control.Read(ctx, q)
		return err
	})
	return data, err
}

// Announce implements carobrock.Control.
func (c *Controller) Announce(ctx context.Context, a *carobrock.Announcement) (res *carobrock.Renewal, err error) {
	err = c.onLeader(ctx, true, func(control carobrock.Control) error {
		res, err = control.Announce(ctx, a)
		return err
	})
	return res, err
}

// ReplaceReplica implements carobrock.Control.
func (c *Controller) ReplaceReplica(ctx context.Context, name, address string) error {
	return c.onLeader(ctx, true, func(control carobrock.Control) error {
		return control.ReplaceReplica(ctx, name, address)
	})
}

// leader is the Control of this replica alone: it does what a leader does and
// refuses the rest.
type leader struct{ c *Controller }

var _ carobrock.Control = (*leader)(nil)

// Propose implements carobrock.Control.
func (l *leader) Propose(ctx context.Context, cmd *carobrock.Command) (*carobrock.Result, error) {
	data, err := cmd.Encode()
	if err != nil {
		return nil, eris.Wrap(carobrock.ErrRefused, err.Error())
	}
	value, err := l.c.Replica.Propose(ctx, data)
	if err != nil {
		return nil, translate(err)
	}
	res, ok := value.(*carobrock.Result)
	if !ok {
		return nil, eris.Wrap(carobrock.ErrUndecided, "the state machine gave no result")
	}
	if cmd.SubmitTask != nil || cmd.TaskChanges != nil || cmd.PutZone != nil || cmd.PutTable != nil {
		l.c.Scheduler.Wake()
	}
	return res, nil
}

func translate(err error) error {
	if errors.Is(err, replicator.ErrNotLeader) || errors.Is(err, replicator.ErrStopped) {
		return eris.Wrap(carobrock.ErrNotDone, err.Error())
	}
	return eris.Wrap(carobrock.ErrUndecided, err.Error())
}

// Announce implements carobrock.Control.
func (l *leader) Announce(ctx context.Context, a *carobrock.Announcement) (*carobrock.Renewal, error) {
	return l.c.Scheduler.Announce(ctx, a)
}

// ReplaceReplica implements carobrock.Control.
func (l *leader) ReplaceReplica(ctx context.Context, name, address string) error {
	err := l.c.Replica.Replace(ctx, name, address)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replicator.ErrNoMember):
		return eris.Wrap(carobrock.ErrNotFound, err.Error())
	case errors.Is(err, replicator.ErrNotFresh):
		return eris.Wrap(carobrock.ErrRefused, err.Error())
	default:
		return translate(err)
	}
}

// Read implements carobrock.Control. The answer holds everything that was
// committed before the call.
func (l *leader) Read(ctx context.Context, q carobrock.Query) ([]byte, error) {
	if _, err := l.c.Replica.Confirm(ctx); err != nil {
		return nil, translate(err)
	}
	value, err := l.c.lookUp(q)
	if err != nil {
		return nil, err
	}
	return json.Marshal(value)
}
