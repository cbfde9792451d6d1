package replicator

import (
	"time"

	"github.com/carobrock/carobrock/internal/encoder"
)

// startElection starts a pre-vote, or an election if preVote is false. On a
// replica that is not a voter it only resets the election timeout and forgets the
// leader.
func (c *core) startElection(now time.Time, preVote bool) {
	c.resetElectionDeadline(now)
	c.leaderID = 0
	if !c.isVoter(c.self.GetId()) {
		return
	}
	c.roleMachine.Fire(eventElectionTimeout)
	c.preVoting = preVote
	c.votes = map[uint64]bool{c.self.GetId(): true}
	kind := encoder.MessageKind_MESSAGE_KIND_PRE_VOTE
	term := c.term + 1
	if !preVote {
		kind = encoder.MessageKind_MESSAGE_KIND_VOTE
		c.term, c.votedFor = term, c.self.GetId()
		c.hardStateChanged = true
	}
	for _, id := range voterIDs(c.members) {
		if id == c.self.GetId() {
			continue
		}
		m := c.newMessage(kind, id)
		m.Term, m.LogIndex, m.LogTerm = term, c.log.lastIndex(), c.log.lastTerm()
		c.deferredMessages = append(c.deferredMessages, m)
	}
	c.countVotes(now)
}

// hasLiveLeader reports whether this replica leads or has heard from a leader
// within the minimum election timeout. Votes are refused while this holds, which
// is what makes the leader's lease valid.
func (c *core) hasLiveLeader(now time.Time) bool {
	if c.role() == roleLeader {
		return true
	}
	return !c.lastLeaderContact.IsZero() && now.Sub(c.lastLeaderContact) < c.electionTimeout
}

func (c *core) isLogUpToDate(m *encoder.Message) bool {
	if m.GetLogTerm() != c.log.lastTerm() {
		return m.GetLogTerm() > c.log.lastTerm()
	}
	return m.GetLogIndex() >= c.log.lastIndex()
}

func (c *core) handlePreVote(now time.Time, m *encoder.Message) {
	response := c.newMessage(encoder.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER, m.GetFrom())
	response.Reject = m.GetTerm() <= c.term || c.hasLiveLeader(now) || !c.isLogUpToDate(m)
	if !response.Reject {
		response.Term = m.GetTerm()
	}
	c.deferredMessages = append(c.deferredMessages, response)
}

func (c *core) handlePreVoteResponse(now time.Time, m *encoder.Message) {
	if m.GetReject() {
		if m.GetTerm() > c.term {
			c.adoptHigherTerm(now, m.GetTerm())
		}
		return
	}
	if c.role() == roleCandidate && c.preVoting && m.GetTerm() == c.term+1 {
		c.votes[m.GetFrom()] = true
		c.countVotes(now)
	}
}

func (c *core) handleVote(now time.Time, m *encoder.Message) {
	// A leader that transferred leadership has given up its lease, and the leases
	// of leaders of earlier terms ended before it was elected.
	if m.GetTerm() > c.term && c.hasLiveLeader(now) && !m.GetHandedOver() {
		return
	}
	if m.GetTerm() > c.term {
		c.adoptHigherTerm(now, m.GetTerm())
	}
	response := c.newMessage(encoder.MessageKind_MESSAGE_KIND_VOTE_ANSWER, m.GetFrom())
	canVote := c.votedFor == 0 || c.votedFor == m.GetFrom()
	response.Reject = m.GetTerm() < c.term || !canVote || !c.isLogUpToDate(m)
	if !response.Reject {
		c.votedFor = m.GetFrom()
		c.hardStateChanged = true
		c.resetElectionDeadline(now)
	}
	c.deferredMessages = append(c.deferredMessages, response)
}

func (c *core) handleVoteResponse(now time.Time, m *encoder.Message) {
	if c.role() != roleCandidate || c.preVoting || m.GetTerm() != c.term || m.GetReject() {
		return
	}
	c.votes[m.GetFrom()] = true
	c.countVotes(now)
}

func (c *core) countVotes(now time.Time) {
	if !c.hasQuorum(func(id uint64) bool { return c.votes[id] }) {
		return
	}
	if c.preVoting {
		c.startElection(now, false)
		return
	}
	c.becomeLeader(now)
}

// becomeLeader makes this replica the leader of its term. It appends a no-op
// entry, because entries of earlier terms can be committed only together with an
// entry of the leader's own term.
func (c *core) becomeLeader(now time.Time) {
	c.roleMachine.Fire(eventElected)
	c.leaderID = c.self.GetId()
	c.peers = map[uint64]*progress{}
	c.roundSentAt = map[uint64]time.Time{}
	c.electedAt = now
	c.updatePeers(now)
	c.noOpIndex = c.appendProposals(encoder.EntryKind_ENTRY_KIND_NO_OP, [][]byte{nil})
	c.broadcastAppends(now)
}

// updatePeers adds progress for new members and deletes that of removed ones.
func (c *core) updatePeers(now time.Time) {
	for _, m := range c.members.GetMembers() {
		if m.GetId() == c.self.GetId() || c.peers[m.GetId()] != nil {
			continue
		}
		c.peers[m.GetId()] = &progress{nextIndex: c.log.lastIndex() + 1, lastResponseAt: now}
	}
	for id := range c.peers {
		if findMember(c.members, id) == nil {
			delete(c.peers, id)
		}
	}
}
