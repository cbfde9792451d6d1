package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/replicator"
)

// commandBatcher collects parts of the next command, so that one commit covers
// all of them.
type commandBatcher struct {
	wakeup chan struct{}

	mu      sync.Mutex
	next    *carobrock.JobCommand
	waiters []*waiter
	// committing is the command that was taken last until it is committed, else nil.
	committing *carobrock.JobCommand
}

// waiter receives the result of the command that contains its part. index is the
// position of the part in its list in the command.
type waiter struct {
	index int
	done  chan commitResult // buffered, receives one value
}

// commitResult is the result of a proposed command.
type commitResult struct {
	result *carobrock.JobResult
	err    error
}

func (b *commandBatcher) reset() {
	b.wakeup = make(chan struct{}, 1)
	b.next = &carobrock.JobCommand{}
}

// addPart calls fn to add a part to the next command. fn returns the index of the
// part in its list.
func (b *commandBatcher) addPart(fn func(c *carobrock.JobCommand) int) *waiter {
	b.mu.Lock()
	w := &waiter{index: fn(b.next), done: make(chan commitResult, 1)}
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
	return w
}

// takeBatch removes and returns the collected command and its waiters.
func (b *commandBatcher) takeBatch() (*carobrock.JobCommand, []*waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ws := b.next, b.waiters
	b.next, b.waiters, b.committing = &carobrock.JobCommand{}, nil, c
	return c, ws
}

// endCommit records that the command that was taken last has been committed or has
// failed.
func (b *commandBatcher) endCommit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.committing = nil
}

// tasksWithUncommittedEnds returns the tasks of which ends of runs are collected
// but not committed yet.
func (b *commandBatcher) tasksWithUncommittedEnds() map[carobrock.TaskRef]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[carobrock.TaskRef]bool{}
	for _, c := range []*carobrock.JobCommand{b.committing, b.next} {
		if c == nil {
			continue
		}
		for i := range c.Ends {
			for _, e := range c.Ends[i].Ends {
				out[e.Task] = true
			}
		}
	}
	return out
}

// runBatcher commits the collected commands until ctx is done.
func (d *Dispatcher) runBatcher(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.batcher.wakeup:
		}
		c, ws := d.batcher.takeBatch()
		if len(ws) == 0 {
			continue
		}
		d.mu.Lock()
		term := d.term
		d.mu.Unlock()
		res, err := d.proposeCommand(ctx, term, c)
		d.batcher.endCommit()
		for _, w := range ws {
			w.done <- commitResult{result: res, err: err}
		}
	}
}

// commitPart adds a part to the next command and waits until that command is
// committed. It returns the result and the index of the part. It fails with a
// *locator.NotLeaderError if this replica is not the leader, and with
// carobrock.ErrOutcomeUnknown if it is unknown whether the command was committed.
func (d *Dispatcher) commitPart(ctx context.Context, fn func(c *carobrock.JobCommand) int) (*carobrock.JobResult, int, error) {
	if err := d.ensureLeader(); err != nil {
		return nil, 0, err
	}
	w := d.batcher.addPart(fn)
	select {
	case o := <-w.done:
		return o.result, w.index, o.err
	case <-ctx.Done():
		return nil, 0, eris.Wrap(carobrock.ErrOutcomeUnknown, ctx.Err().Error())
	}
}

// proposeTimeout is the timeout of one commit. A leader that needs longer is
// assumed to have lost its majority.
const proposeTimeout = 5 * time.Second

// proposeCommand commits a command and returns its result. It fails with a
// *locator.NotLeaderError if this replica is not the leader in the term, with
// carobrock.ErrNotApplied if the command cannot be encoded or decoded, and with
// carobrock.ErrOutcomeUnknown if it is unknown whether the command was committed.
func (d *Dispatcher) proposeCommand(ctx context.Context, term uint64, c *carobrock.JobCommand) (*carobrock.JobResult, error) {
	c.AtUnixMillis = d.Now().UnixMilli()
	if !d.isLeaseRecorded() {
		c.LeaseMillis = d.Settings.Lease.Milliseconds()
	}
	data, err := c.Encode()
	if err != nil {
		return nil, eris.Wrap(carobrock.ErrNotApplied, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	value, err := d.Leadership.Propose(ctx, term, data)
	switch {
	case errors.Is(err, replicator.ErrNotLeader):
		return nil, &locator.NotLeaderError{Leader: d.Leadership.LeaderAddress()}
	case err != nil:
		return nil, eris.Wrap(carobrock.ErrOutcomeUnknown, err.Error())
	}
	switch res := value.(type) {
	case *carobrock.JobResult:
		return res, nil
	case error:
		d.Logger.Error().Err(res).Int("bytes", len(data)).Int("submitted", len(c.Submit)).Int("ends", len(c.Ends)).Int("lost", len(c.Lost)).
			Int("assignments", len(c.Assign)).Int("zones", len(c.Zones)).Int("waves", len(c.Waves)).
			Msg("dispatcher: no replica can decode a committed command; none of its parts has taken effect")
		return nil, eris.Wrap(carobrock.ErrNotApplied, res.Error())
	default:
		return nil, eris.Wrap(carobrock.ErrOutcomeUnknown, "the state machine returned no job result")
	}
}
