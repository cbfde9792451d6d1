package replicator

import (
	"slices"
	"time"

	"github.com/carobrock/carobrock/internal/encoder"
)

// broadcastAppends starts a round and sends every other member the entries it
// lacks, or a heartbeat.
func (c *core) broadcastAppends(now time.Time) {
	c.lastBroadcast = now
	c.startRound(now)
	for _, m := range c.members.GetMembers() {
		if m.GetId() != c.self.GetId() {
			c.sendAppend(now, m.GetId())
		}
	}
}

func (c *core) startRound(now time.Time) {
	c.round++
	c.roundSentAt[c.round] = now
	delete(c.roundSentAt, c.round-maxTrackedRounds)
}

// maxTrackedRounds is the number of rounds whose send time is kept. A response to
// an older round does not extend the lease.
const maxTrackedRounds = 4096

// sendNewEntries sends new entries to the members that have no unanswered append.
func (c *core) sendNewEntries(now time.Time) {
	if c.role() != roleLeader {
		return
	}
	roundStarted := false
	for _, m := range c.members.GetMembers() {
		p := c.peers[m.GetId()]
		if p == nil || p.inFlight || p.nextIndex > c.log.lastIndex() {
			continue
		}
		if !roundStarted {
			c.startRound(now)
			roundStarted = true
		}
		c.sendAppend(now, m.GetId())
	}
}

// sendAppend sends one member its next entries, or a heartbeat without entries
// while an earlier append is unanswered.
func (c *core) sendAppend(now time.Time, id uint64) {
	p := c.peers[id]
	if p == nil {
		return
	}
	if p.inFlight && now.Sub(p.sentAt) >= c.responseTimeout(p) {
		p.inFlight, p.sendingSnapshot = false, false
		p.nextIndex = p.matchIndex + 1
	}
	prev := p.nextIndex - 1
	prevTerm, ok := c.log.termAt(prev)
	if !ok {
		c.sendSnapshot(now, id, p)
		return
	}
	m := c.newMessage(encoder.MessageKind_MESSAGE_KIND_APPEND, id)
	m.Sender = c.senderFor(p)
	m.LogIndex, m.LogTerm, m.Round = prev, prevTerm, c.round
	m.Commit = c.commitIndex
	if !p.inFlight {
		m.Entries = c.log.slice(p.nextIndex, c.log.lastIndex(), maxAppendBytes)
		p.inFlight = len(m.Entries) > 0
		p.sentAt, p.inFlightBytes = now, dataSize(m.GetEntries())
	}
	c.immediateMessages = append(c.immediateMessages, m)
}

// senderFor returns this replica's member record if the member may not know yet
// where to send its response, else nil.
func (c *core) senderFor(p *progress) *encoder.Member {
	if p.matchIndex > 0 {
		return nil
	}
	return c.self
}

// responseTimeout returns the time after which an unanswered message counts as
// lost.
func (c *core) responseTimeout(p *progress) time.Duration {
	if p.sendingSnapshot {
		return snapshotTimeoutHeartbeats * c.heartbeatInterval
	}
	return time.Duration(appendTimeoutHeartbeats+p.inFlightBytes/minBytesPerHeartbeat) * c.heartbeatInterval
}

const (
	appendTimeoutHeartbeats   = 2  // heartbeat intervals
	snapshotTimeoutHeartbeats = 30 // heartbeat intervals
	// minBytesPerHeartbeat is the minimum amount of entry data that a member
	// decodes and writes per heartbeat interval on a small share of a processor.
	// Sending an append again before the member can respond to it only adds to its
	// work.
	minBytesPerHeartbeat = 64 << 10
)

func dataSize(entries []*encoder.Entry) (n int) {
	for _, e := range entries {
		n += len(e.GetData())
	}
	return n
}

// sendSnapshot queues a snapshot message without its content.
// Replica.sendMessages fills in the newest snapshot, because core has no access
// to the state machine.
func (c *core) sendSnapshot(now time.Time, id uint64, p *progress) {
	if p.inFlight {
		return
	}
	m := c.newMessage(encoder.MessageKind_MESSAGE_KIND_SNAPSHOT, id)
	m.Sender = c.senderFor(p)
	m.Round = c.round
	p.inFlight, p.sendingSnapshot, p.sentAt = true, true, now
	c.immediateMessages = append(c.immediateMessages, m)
}

func (c *core) handleAppend(now time.Time, m *encoder.Message) {
	response := c.newMessage(encoder.MessageKind_MESSAGE_KIND_APPEND_ANSWER, m.GetFrom())
	response.Round = m.GetRound()
	if m.GetTerm() < c.term {
		response.Reject = true
		c.deferredMessages = append(c.deferredMessages, response)
		return
	}
	c.recordLeaderContact(now, m.GetFrom())
	defer func() { c.deferredMessages = append(c.deferredMessages, response) }()
	term, ok := c.log.termAt(m.GetLogIndex())
	switch {
	case m.GetLogIndex() < c.log.baseIndex:
		// Entries up to baseIndex are committed and therefore identical on all
		// replicas.
	case !ok || term != m.GetLogTerm():
		response.Reject = true
		response.LogIndex = c.conflictHint(m.GetLogIndex())
		return
	}
	c.appendEntries(m.GetEntries())
	last := m.GetLogIndex() + uint64(len(m.GetEntries()))
	response.LogIndex = max(last, c.log.baseIndex)
	c.commitIndex = max(c.commitIndex, min(m.GetCommit(), response.GetLogIndex()))
}

// conflictHint returns an index at or below which the leader may find a matching
// entry. It skips all entries of the conflicting term.
func (c *core) conflictHint(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	term, _ := c.log.termAt(index)
	for index > c.log.baseIndex {
		index--
		t, _ := c.log.termAt(index)
		if t != term {
			break
		}
	}
	return index
}

// recordLeaderContact records a message from the leader of the current term and
// makes this replica its follower.
func (c *core) recordLeaderContact(now time.Time, leader uint64) {
	if c.role() != roleFollower || c.leaderID != leader {
		c.becomeFollower(now, eventContacted, c.term, leader)
	}
	c.lastLeaderContact = now
	c.resetElectionDeadline(now)
}

func (c *core) handleSnapshot(now time.Time, m *encoder.Message) {
	response := c.newMessage(encoder.MessageKind_MESSAGE_KIND_APPEND_ANSWER, m.GetFrom())
	response.Round = m.GetRound()
	defer func() { c.deferredMessages = append(c.deferredMessages, response) }()
	if m.GetTerm() < c.term {
		response.Reject = true
		return
	}
	c.recordLeaderContact(now, m.GetFrom())
	s := m.GetSnapshot()
	if s.GetIndex() <= c.commitIndex {
		response.LogIndex = c.commitIndex
		return
	}
	c.snapshotToInstall = s
	c.log.resetTo(s.GetIndex(), s.GetTerm())
	c.unsyncedEntries = nil
	c.baseMembers = s.GetMembers()
	c.reloadMembers()
	c.commitIndex = s.GetIndex()
	response.LogIndex = s.GetIndex()
}

func (c *core) handleAppendResponse(now time.Time, m *encoder.Message) {
	p := c.peers[m.GetFrom()]
	if c.role() != roleLeader || m.GetTerm() != c.term || p == nil {
		return
	}
	p.ackedRound = max(p.ackedRound, m.GetRound())
	p.lastResponseAt = now
	if m.GetReject() {
		p.inFlight, p.sendingSnapshot = false, false
		p.nextIndex = max(p.matchIndex+1, min(p.nextIndex-1, m.GetLogIndex()+1))
		c.sendAppend(now, m.GetFrom())
		return
	}
	if m.GetLogIndex() > p.matchIndex {
		p.matchIndex = m.GetLogIndex()
		c.advanceCommitIndex()
	}
	if m.GetLogIndex() >= p.nextIndex {
		p.nextIndex = m.GetLogIndex() + 1
		p.inFlight, p.sendingSnapshot = false, false
	} else if p.inFlight && p.matchIndex+1 == p.nextIndex && m.GetLogIndex() == p.matchIndex {
		// The member responded to a heartbeat while entries are in flight.
		return
	}
	if p.nextIndex <= c.log.lastIndex() && !p.inFlight {
		c.sendAppend(now, m.GetFrom())
	}
}

// advanceCommitIndex commits up to the highest index that a majority of the
// voters holds, provided that entry is of the current term.
func (c *core) advanceCommitIndex() {
	ids := voterIDs(c.members)
	if len(ids) == 0 {
		return
	}
	matches := make([]uint64, 0, len(ids))
	for _, id := range ids {
		matches = append(matches, c.matchIndexOf(id))
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	term, ok := c.log.termAt(index)
	if ok && term == c.term && index > c.commitIndex {
		c.commitIndex = index
	}
}

func (c *core) matchIndexOf(id uint64) uint64 {
	if id == c.self.GetId() {
		return c.durableIndex
	}
	if p := c.peers[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// quorumRound returns the newest round that a majority of the voters has
// acknowledged.
func (c *core) quorumRound() uint64 {
	ids := voterIDs(c.members)
	if len(ids) == 0 {
		return 0
	}
	rounds := make([]uint64, 0, len(ids))
	for _, id := range ids {
		switch p := c.peers[id]; {
		case id == c.self.GetId():
			rounds = append(rounds, c.round)
		case p != nil:
			rounds = append(rounds, p.ackedRound)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	return rounds[(len(rounds)-1)/2]
}

// quorumRoundSentAt returns the send time of the newest round that a majority has
// acknowledged, or the time of the leader's election if that send time is not
// tracked.
func (c *core) quorumRoundSentAt() time.Time {
	sent, ok := c.roundSentAt[c.quorumRound()]
	if !ok {
		return c.electedAt
	}
	return sent
}

// leaseExpiry returns the time until which no other leader can be elected. It is
// zero unless this replica leads and has committed an entry of its term.
func (c *core) leaseExpiry() time.Time {
	if c.role() != roleLeader || c.commitIndex < c.noOpIndex {
		return time.Time{}
	}
	return c.quorumRoundSentAt().Add(c.electionTimeout - c.maxDrift)
}

// timeSinceResponse returns the time since the member's last response, zero if the
// member is not tracked.
func (c *core) timeSinceResponse(now time.Time, id uint64) time.Duration {
	if p := c.peers[id]; p != nil {
		return now.Sub(p.lastResponseAt)
	}
	return 0
}
