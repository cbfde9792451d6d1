package replicator

import (
	"context"
	"errors"
	"time"

	"github.com/carobrock/carobrock/internal/journaler"
)

const (
	// spaceProbeInterval is the interval at which a replica whose disk is full tries
	// to write. A probe usually writes and syncs 1 MiB if there is space.
	spaceProbeInterval = time.Second
	// snapshotRetryInterval is the time between two attempts at a snapshot for which
	// there is no space. An attempt encodes the whole state.
	snapshotRetryInterval = 10 * time.Second
)

// waitForSpace runs the replica while the journal cannot write for lack of space. It
// returns nil when the journal can write again or ctx ends, and the error if the
// journal fails for another reason.
//
// Meanwhile the replica takes no part in the group: it drops all messages and sends
// none, so that it acknowledges nothing and neither votes nor stands for election. It
// therefore adopts no higher term either, and no space has to be reserved for the
// term and the vote. Its state in memory is the durable one.
func (r *Replica) waitForSpace(ctx context.Context, cause error) error {
	r.fullError = cause
	r.leaseExpiry.Store(nil)
	start := time.Now()
	r.Logger.Error().Err(cause).Uint64("term", r.core.term).Msg("replica: disk is full; the replica takes no part in the group until it can write")
	r.releaseLeadership()
	if err := r.reloadState(); err != nil {
		return err
	}
	ticker := time.NewTicker(spaceProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.inbox:
		case p := <-r.proposals:
			r.handleProposals(p)
		case request := <-r.readIndexRequests:
			r.handleReadIndexRequests(request)
		case request := <-r.requests:
			r.handleRequest(request)
		case <-ticker.C:
			if err := r.probeSpace(); err != nil {
				return err
			}
			if r.fullError == nil {
				r.Logger.Info().Dur("after", time.Since(start)).Msg("replica: disk has space again; the replica takes part in the group")
				return nil
			}
		}
	}
}

// releaseLeadership asks another voter to take over if this replica leads, so that
// the group need not wait for an election timeout. The lease has ended before. The
// term of the message is durable unless it has just changed.
func (r *Replica) releaseLeadership() {
	c := r.core
	c.deferredMessages = nil
	to := c.mostCompleteVoter(r.now())
	if to == 0 || c.hardStateChanged {
		return
	}
	c.transferLeadershipTo(r.now(), to)
	r.sendMessages(c.deferredMessages)
}

// mostCompleteVoter returns the voter that holds most of the log among those that
// responded recently. It returns zero if there is none or if this replica does not
// lead.
func (c *core) mostCompleteVoter(now time.Time) (best uint64) {
	if c.role() != roleLeader {
		return 0
	}
	for _, id := range voterIDs(c.members) {
		if id == c.self.GetId() || c.timeSinceResponse(now, id) >= maxSuccessorSilence {
			continue
		}
		if best == 0 || c.matchIndexOf(id) > c.matchIndexOf(best) {
			best = id
		}
	}
	return best
}

// reloadState replaces the core by one with the state of the journal, and ends all
// proposals and reads. If the journal cannot be read for lack of space, the core has
// no state. It fails if the journal fails for another reason.
func (r *Replica) reloadState() error {
	r.unloadState()
	defer r.publishStatus()
	r.failPendingProposals()
	failReadIndexRequests(r.pendingReadIndexes)
	r.pendingReadIndexes, r.transferTerm = nil, 0
	state, err := r.Journal.Reopen()
	if errors.Is(err, journaler.ErrFull) {
		return nil
	}
	if err != nil {
		return err
	}
	return r.loadState(state)
}

// unloadState replaces the core by one without state. Before the journal was opened
// for the first time, it has a random ID, which is never sent.
func (r *Replica) unloadState() {
	id := r.Rand.Uint64() | 1
	if r.core != nil {
		id = r.core.self.GetId()
	}
	r.core, r.loaded = r.newCore(id), false
}

// probeSpace clears fullError if the journal can be read and written. It fails if the
// journal fails for another reason than lack of space.
func (r *Replica) probeSpace() error {
	if !r.loaded {
		if err := r.reloadState(); err != nil || !r.loaded {
			return err
		}
	}
	err := r.Journal.Probe()
	if errors.Is(err, journaler.ErrFull) {
		return nil
	}
	if err != nil {
		return err
	}
	r.fullError = nil
	r.core.resetElectionDeadline(r.now())
	r.publishStatus()
	return nil
}
