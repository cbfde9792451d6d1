package replicator

import (
	"context"
	"time"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// handOverWait is how long a leader waits for a follower that holds its whole
	// log: some round trips.
	handOverWait = 300 * time.Millisecond
	// handOverSilence is how long ago a follower may last have been heard of.
	handOverSilence = 300 * time.Millisecond
)

// HandOver makes another replica stand for election at once and gives up the
// lead, as Ongaro (2014), section 3.10, describes it. Proposals fail with
// ErrNotLeader meanwhile. It returns false if this
// replica does not lead, or if no other holds its log within handOverWait; then
// the others elect a leader in their own time. It fails with ErrStopped or the
// context's error.
func (r *Replica) HandOver(ctx context.Context) (bool, error) {
	for deadline := time.Now().Add(handOverWait); ; {
		res, err := r.ask(ctx, &loopRequest{handOver: true, done: make(chan proposalResult, 1)})
		if err != nil {
			return false, err
		}
		if res == true {
			return true, nil
		}
		if s := r.Status(); s.Leader != s.ID || time.Now().After(deadline) {
			_, err := r.ask(ctx, &loopRequest{resume: true, done: make(chan proposalResult, 1)})
			return false, err
		}
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return false, err
		}
	}
}

// takeHandOver gives up the lead if a follower can take it. The lease ends before
// the follower hears of it.
func (r *Replica) takeHandOver() bool {
	r.handingOver = true
	to := r.core.successor(r.now())
	if to == 0 {
		return false
	}
	r.leaseEnd.Store(nil)
	r.core.handOver(r.now(), to)
	r.Logger.Info().Uint64("to", to).Uint64("term", r.core.term).Msg("replica: lead handed over")
	return true
}

// successor returns the voter that holds the whole log and was heard of last,
// zero if this replica does not lead or there is none.
func (c *core) successor(now time.Time) uint64 {
	if c.role() != roleLeader || c.commit < c.log.last() {
		return 0
	}
	best, silence := uint64(0), handOverSilence
	for _, id := range voters(c.members) {
		if id == c.self.GetId() || c.matchOf(id) < c.log.last() {
			continue
		}
		if s := c.silence(now, id); s < silence {
			best, silence = id, s
		}
	}
	return best
}

// handOver makes this replica a follower and asks another to stand.
func (c *core) handOver(now time.Time, to uint64) {
	m := c.message(encoder.MessageKind_MESSAGE_KIND_HAND_OVER, to)
	c.follow(now, eventHandedOver, c.term, 0)
	c.late = append(c.late, m)
}

// onHandOver stands for election without asking whether others would vote.
func (c *core) onHandOver(now time.Time, m *encoder.Message) {
	if m.GetTerm() != c.term || c.role() != roleFollower {
		return
	}
	before := len(c.late)
	c.campaign(now, false)
	for _, vote := range c.late[before:] {
		vote.HandedOver = true
	}
}
