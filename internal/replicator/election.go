package replicator

import (
	"time"

	"github.com/carobrock/carobrock/internal/encoder"
)

// campaign starts a pre-vote, or with pre unset an election. A replica that is
// no voter only waits on.
func (c *core) campaign(now time.Time, pre bool) {
	c.reset(now)
	if !c.isVoter(c.self.GetId()) {
		return
	}
	c.chart.Fire(eventElectionTimeout)
	c.leader = 0
	c.preVoting = pre
	c.votes = map[uint64]bool{c.self.GetId(): true}
	kind := encoder.MessageKind_MESSAGE_KIND_PRE_VOTE
	term := c.term + 1
	if !pre {
		kind = encoder.MessageKind_MESSAGE_KIND_VOTE
		c.term, c.vote = term, c.self.GetId()
		c.hardChanged = true
	}
	for _, id := range voters(c.members) {
		if id == c.self.GetId() {
			continue
		}
		m := c.message(kind, id)
		m.Term, m.LogIndex, m.LogTerm = term, c.log.last(), c.log.lastTerm()
		c.late = append(c.late, m)
	}
	c.countVotes(now)
}

// hasLiveLeader reports whether a leader was heard of within the shortest
// election timeout. While it is, votes are refused: the leader's lease rests
// on this.
func (c *core) hasLiveLeader(now time.Time) bool {
	if c.role() == roleLeader {
		return true
	}
	return !c.heardLeader.IsZero() && now.Sub(c.heardLeader) < c.election
}

func (c *core) isUpToDate(m *encoder.Message) bool {
	if m.GetLogTerm() != c.log.lastTerm() {
		return m.GetLogTerm() > c.log.lastTerm()
	}
	return m.GetLogIndex() >= c.log.last()
}

func (c *core) onPreVote(now time.Time, m *encoder.Message) {
	a := c.message(encoder.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER, m.GetFrom())
	a.Reject = m.GetTerm() <= c.term || c.hasLiveLeader(now) || !c.isUpToDate(m)
	if !a.Reject {
		a.Term = m.GetTerm()
	}
	c.late = append(c.late, a)
}

func (c *core) onPreVoteAnswer(now time.Time, m *encoder.Message) {
	if m.GetReject() {
		if m.GetTerm() > c.term {
			c.followHigher(now, m.GetTerm())
		}
		return
	}
	if c.role() == roleCandidate && c.preVoting && m.GetTerm() == c.term+1 {
		c.votes[m.GetFrom()] = true
		c.countVotes(now)
	}
}

func (c *core) onVote(now time.Time, m *encoder.Message) {
	// A leader that handed over has no lease; those of earlier terms ended before
	// it was elected.
	if m.GetTerm() > c.term && c.hasLiveLeader(now) && !m.GetHandedOver() {
		return
	}
	if m.GetTerm() > c.term {
		c.followHigher(now, m.GetTerm())
	}
	a := c.message(encoder.MessageKind_MESSAGE_KIND_VOTE_ANSWER, m.GetFrom())
	free := c.vote == 0 || c.vote == m.GetFrom()
	a.Reject = m.GetTerm() < c.term || !free || !c.isUpToDate(m)
	if !a.Reject {
		c.vote = m.GetFrom()
		c.hardChanged = true
		c.reset(now)
	}
	c.late = append(c.late, a)
}

func (c *core) onVoteAnswer(now time.Time, m *encoder.Message) {
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
		c.campaign(now, false)
		return
	}
	c.lead(now)
}

// lead makes this replica the leader of its term. A no-op entry commits what
// earlier terms left.
func (c *core) lead(now time.Time) {
	c.chart.Fire(eventElected)
	c.leader = c.self.GetId()
	c.peers = map[uint64]*progress{}
	c.roundSent = map[uint64]time.Time{}
	c.leadSince = now
	c.syncPeers(now)
	c.termStart = c.propose(encoder.EntryKind_ENTRY_KIND_NO_OP, [][]byte{nil})
	c.broadcast(now)
}

// syncPeers makes the known progress match the membership.
func (c *core) syncPeers(now time.Time) {
	for _, m := range c.members.GetMembers() {
		if m.GetId() == c.self.GetId() || c.peers[m.GetId()] != nil {
			continue
		}
		c.peers[m.GetId()] = &progress{next: c.log.last() + 1, heardAt: now}
	}
	for id := range c.peers {
		if findMember(c.members, id) == nil {
			delete(c.peers, id)
		}
	}
}
