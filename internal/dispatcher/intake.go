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

// intake gathers what is to be committed next.
type intake struct {
	kick chan struct{}

	mu      sync.Mutex
	next    *carobrock.JobCommand
	waiters []*waiter
}

// waiter waits for the command that holds its part. index is the place of the
// part in its list.
type waiter struct {
	index int
	done  chan outcome // has room for one
}

type outcome struct {
	result *carobrock.JobResult
	err    error
}

func (q *intake) prepare() {
	q.kick = make(chan struct{}, 1)
	q.next = &carobrock.JobCommand{}
}

// add lets fn put its part into the next command; fn returns its index there.
func (q *intake) add(fn func(c *carobrock.JobCommand) int) *waiter {
	q.mu.Lock()
	w := &waiter{index: fn(q.next), done: make(chan outcome, 1)}
	q.waiters = append(q.waiters, w)
	q.mu.Unlock()
	select {
	case q.kick <- struct{}{}:
	default:
	}
	return w
}

// take returns the next command and who waits for it.
func (q *intake) take() (*carobrock.JobCommand, []*waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, ws := q.next, q.waiters
	q.next, q.waiters = &carobrock.JobCommand{}, nil
	return c, ws
}

// runIntake commits what gathers until ctx ends.
func (d *Dispatcher) runIntake(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.intake.kick:
		}
		c, ws := d.intake.take()
		if len(ws) == 0 {
			continue
		}
		res, err := d.propose(ctx, c)
		for _, w := range ws {
			w.done <- outcome{result: res, err: err}
		}
	}
}

// commit puts a part into the next command and waits until that is committed.
// It returns the result and the index of the part.
func (d *Dispatcher) commit(ctx context.Context, fn func(c *carobrock.JobCommand) int) (*carobrock.JobResult, int, error) {
	if err := d.lead(); err != nil {
		return nil, 0, err
	}
	w := d.intake.add(fn)
	select {
	case o := <-w.done:
		return o.result, w.index, o.err
	case <-ctx.Done():
		return nil, 0, eris.Wrap(carobrock.ErrUndecided, ctx.Err().Error())
	}
}

// proposeTimeout bounds one commit; a leader that needs longer has lost its
// majority.
const proposeTimeout = 5 * time.Second

// propose commits a command.
func (d *Dispatcher) propose(ctx context.Context, c *carobrock.JobCommand) (*carobrock.JobResult, error) {
	c.AtUnixMillis = d.Now().UnixMilli()
	data, err := c.Encode()
	if err != nil {
		return nil, eris.Wrap(carobrock.ErrNotDone, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	value, err := d.Leadership.Propose(ctx, data)
	switch {
	case errors.Is(err, replicator.ErrNotLeader):
		return nil, &locator.NotLeaderError{Leader: d.Leadership.LeaderAddress()}
	case err != nil:
		return nil, eris.Wrap(carobrock.ErrUndecided, err.Error())
	}
	res, ok := value.(*carobrock.JobResult)
	if !ok {
		return nil, eris.Wrap(carobrock.ErrUndecided, "the state machine gave no result")
	}
	return res, nil
}
