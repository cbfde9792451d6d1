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

// leaderPrefix is the prefix of the names of methods that only the leader
// executes.
const leaderPrefix = "leader/"

// Controller is one control replica. Its exported fields must be set before
// Prepare and not modified afterwards.
type Controller struct {
	// Replica is the local replica of the replicated log.
	Replica *replicator.Replica
	// Keeper is the state machine of Replica.
	Keeper *keeper.Keeper
	// Messenger communicates with other processes.
	Messenger *messenger.Messenger
	// Scheduler assigns tasks while this replica is the leader.
	Scheduler *scheduler.Scheduler
	// GrantLease is how long a gateway may use its grants after a sync. If
	// zero, it is 5 s.
	GrantLease time.Duration
	Logger     zerolog.Logger

	gateways gatewayRegistry
}

var (
	_ carobrock.Control    = (*Controller)(nil)
	_ scheduler.Leadership = (*Controller)(nil)
	_ scheduler.Proposer   = (*localControl)(nil)
)

const defaultGrantLease = 5 * time.Second

// Prepare connects the parts of the replica. Replica.Prepare must have
// succeeded.
func (c *Controller) Prepare() {
	if c.GrantLease == 0 {
		c.GrantLease = defaultGrantLease
	}
	c.gateways.prepare()
	c.Scheduler.Leadership = c
	c.Scheduler.Proposer = c.localControl()
	c.Scheduler.Keeper = c.Keeper
	c.Scheduler.Prepare()
	handlers := relayer.Handlers("", c)
	for method, h := range relayer.Handlers(leaderPrefix, c.localControl()) {
		handlers[method] = h
	}
	handlers[watcher.MethodSync] = c.handleSync
	handlers[watcher.MethodTip] = c.handleTip
	handlers[methodReadIndex] = c.handleReadIndex
	c.Messenger.Handlers = handlers
	c.Messenger.OnMessage = c.Replica.ReceiveMessage
	c.Messenger.Prepare()
}

// Run runs all parts until ctx ends or one of them returns an error.
func (c *Controller) Run(ctx context.Context) error {
	parts := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	parts.Go(c.Messenger.Run)
	parts.Go(c.Replica.Run)
	parts.Go(c.Scheduler.Run)
	parts.Go(c.runGrantUpdates)
	return parts.Wait()
}

// Term implements scheduler.Leadership.
func (c *Controller) Term() (uint64, bool) {
	s := c.Replica.Status()
	return s.Term, s.Leader == s.ID
}

// RemainingLease implements scheduler.Leadership.
func (c *Controller) RemainingLease() time.Duration { return c.Replica.RemainingLease() }

// localControl returns the Control of this replica.
func (c *Controller) localControl() *localControl { return &localControl{controller: c} }

// retryInterval is the interval between attempts to reach the leader.
const retryInterval = 20 * time.Millisecond

// retryOnLeader calls fn with the Control of the current leader, local or
// remote. It retries until fn succeeds, returns an error that must not be
// retried, or ctx ends. A change with an unknown outcome is retried only if
// idempotent is set.
func (c *Controller) retryOnLeader(ctx context.Context, idempotent bool, fn func(control carobrock.Control) error) error {
	err := error(carobrock.ErrNotApplied)
	outcomeUnknown := false
	for ctx.Err() == nil {
		if control := c.leaderControl(); control != nil {
			err = fn(control)
			outcomeUnknown = outcomeUnknown || errors.Is(err, carobrock.ErrOutcomeUnknown)
			retry := errors.Is(err, carobrock.ErrNotApplied) || idempotent && errors.Is(err, carobrock.ErrOutcomeUnknown)
			if !retry {
				return err
			}
		}
		_ = sleeper.Sleep(ctx, retryInterval) // the loop condition checks ctx
	}
	if outcomeUnknown {
		return carobrock.ErrOutcomeUnknown
	}
	return err
}

// leaderControl returns the Control of the current leader, or nil if no leader
// is known.
func (c *Controller) leaderControl() carobrock.Control {
	s := c.Replica.Status()
	switch {
	case s.Leader == 0:
		return nil
	case s.Leader == s.ID:
		return c.localControl()
	case s.LeaderAddress == "":
		return nil
	default:
		return &relayer.Stub{RPCClient: c.Messenger, Address: s.LeaderAddress, Prefix: leaderPrefix}
	}
}

// Propose implements carobrock.Control.
func (c *Controller) Propose(ctx context.Context, cmd *carobrock.Command) (res *carobrock.Result, err error) {
	err = c.retryOnLeader(ctx, cmd.IsIdempotent(), func(control carobrock.Control) error {
		res, err = control.Propose(ctx, cmd)
		return err
	})
	return res, err
}

// Read implements carobrock.Control.
func (c *Controller) Read(ctx context.Context, q carobrock.Query) (data []byte, err error) {
	err = c.retryOnLeader(ctx, true, func(control carobrock.Control) error {
		data, err = control.Read(ctx, q)
		return err
	})
	return data, err
}

// Announce implements carobrock.Control.
func (c *Controller) Announce(ctx context.Context, a *carobrock.Announcement) (res *carobrock.Renewal, err error) {
	err = c.retryOnLeader(ctx, true, func(control carobrock.Control) error {
		res, err = control.Announce(ctx, a)
		return err
	})
	return res, err
}

// ReplaceReplica implements carobrock.Control.
func (c *Controller) ReplaceReplica(ctx context.Context, name, address string) error {
	return c.retryOnLeader(ctx, true, func(control carobrock.Control) error {
		return control.ReplaceReplica(ctx, name, address)
	})
}

// localControl is the Control of this replica alone. It executes requests only
// while this replica is the leader and refuses them otherwise.
type localControl struct{ controller *Controller }

var _ carobrock.Control = (*localControl)(nil)

// Propose implements carobrock.Control.
func (l *localControl) Propose(ctx context.Context, cmd *carobrock.Command) (*carobrock.Result, error) {
	data, err := cmd.Encode()
	if err != nil {
		return nil, eris.Wrap(carobrock.ErrRefused, err.Error())
	}
	value, err := l.controller.Replica.Propose(ctx, data)
	if err != nil {
		return nil, toControlError(err)
	}
	res, ok := value.(*carobrock.Result)
	if !ok {
		return nil, eris.Wrap(carobrock.ErrOutcomeUnknown, "the state machine gave no result")
	}
	if cmd.SubmitTask != nil || cmd.TaskChanges != nil || cmd.PutZone != nil || cmd.PutTable != nil {
		l.controller.Scheduler.Wake()
	}
	return res, nil
}

// toControlError converts an error of the replicated log to one of
// carobrock.Control.
func toControlError(err error) error {
	if errors.Is(err, replicator.ErrNotLeader) || errors.Is(err, replicator.ErrStopped) {
		return eris.Wrap(carobrock.ErrNotApplied, err.Error())
	}
	return eris.Wrap(carobrock.ErrOutcomeUnknown, err.Error())
}

// Announce implements carobrock.Control.
func (l *localControl) Announce(ctx context.Context, a *carobrock.Announcement) (*carobrock.Renewal, error) {
	return l.controller.Scheduler.Announce(ctx, a)
}

// ReplaceReplica implements carobrock.Control.
func (l *localControl) ReplaceReplica(ctx context.Context, name, address string) error {
	err := l.controller.Replica.ReplaceMember(ctx, name, address)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replicator.ErrNoMember):
		return eris.Wrap(carobrock.ErrNotFound, err.Error())
	case errors.Is(err, replicator.ErrNotFresh):
		return eris.Wrap(carobrock.ErrRefused, err.Error())
	default:
		return toControlError(err)
	}
}

// Read implements carobrock.Control. The response reflects everything that was
// committed before the call.
func (l *localControl) Read(ctx context.Context, q carobrock.Query) ([]byte, error) {
	if _, err := l.controller.Replica.ReadIndex(ctx); err != nil {
		return nil, toControlError(err)
	}
	result, err := l.controller.runQuery(q)
	if err != nil {
		return nil, err
	}
	return json.Marshal(result)
}
