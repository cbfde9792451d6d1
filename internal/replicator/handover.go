package replicator

import (
	"context"
	"time"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// transferTimeout is the time that a leader waits for a follower whose log is
	// complete: several round trips.
	transferTimeout = 300 * time.Millisecond
	// maxSuccessorSilence is the maximum time since a successor's last response.
	maxSuccessorSilence = 300 * time.Millisecond
)

// TransferLeadership transfers leadership: it makes another replica start an
// election at once and steps down, as described by Ongaro (2014), section 3.10.
// From the start of the call proposals fail with ErrNotLeader; they are
// accepted again only after TransferLeadership has returned false. It returns
// false if this replica does not lead, or if no other replica holds its whole
// log within transferTimeout; in the latter case this replica continues to
// lead, and the others elect a leader once it stops. It fails with ErrStopped
// or the context's error.
func (r *Replica) TransferLeadership(ctx context.Context) (bool, error) {
	for deadline := time.Now().Add(transferTimeout); ; {
		res, err := r.submitRequest(ctx, &loopRequest{transferLeadership: true, done: make(chan requestResult, 1)})
		if err != nil {
			return false, err
		}
		if res == true {
			return true, nil
		}
		if s := r.Status(); s.Leader != s.ID || time.Now().After(deadline) {
			_, err := r.submitRequest(ctx, &loopRequest{cancelTransfer: true, done: make(chan requestResult, 1)})
			return false, err
		}
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return false, err
		}
	}
}

// tryTransferLeadership steps down if a follower can take over and reports
// whether it did. The lease ends before the follower is notified. The replica
// rejects proposals until the transfer is cancelled.
func (r *Replica) tryTransferLeadership() bool {
	r.transferTerm = r.core.term
	to := r.core.findSuccessor(r.now())
	if to == 0 {
		return false
	}
	r.leaseExpiry.Store(nil)
	r.core.transferLeadershipTo(r.now(), to)
	r.Logger.Info().Uint64("to", to).Uint64("term", r.core.term).Msg("replica: leadership transferred")
	return true
}

// findSuccessor returns the voter with a complete log that responded most
// recently. It returns zero if there is none or if this replica does not lead.
func (c *core) findSuccessor(now time.Time) uint64 {
	if c.role() != roleLeader || c.commitIndex < c.log.lastIndex() {
		return 0
	}
	best, silence := uint64(0), maxSuccessorSilence
	for _, id := range voterIDs(c.members) {
		if id == c.self.GetId() || c.matchIndexOf(id) < c.log.lastIndex() {
			continue
		}
		if s := c.timeSinceResponse(now, id); s < silence {
			best, silence = id, s
		}
	}
	return best
}

// transferLeadershipTo makes this replica a follower and asks the given member
// to start an election.
func (c *core) transferLeadershipTo(now time.Time, to uint64) {
	m := c.newMessage(encoder.MessageKind_MESSAGE_KIND_HAND_OVER, to)
	c.becomeFollower(now, eventLeadershipTransferred, c.term, 0)
	c.deferredMessages = append(c.deferredMessages, m)
}

// handleLeadershipTransfer starts an election without a pre-vote.
func (c *core) handleLeadershipTransfer(now time.Time, m *encoder.Message) {
	if m.GetTerm() != c.term || c.role() != roleFollower {
		return
	}
	before := len(c.deferredMessages)
	c.startElection(now, false)
	for _, vote := range c.deferredMessages[before:] {
		vote.HandedOver = true
	}
}
