package replicator

import (
	"slices"
	"time"

	"github.com/carobrock/carobrock/internal/encoder"
)

// broadcast sends to every member what it lacks, or a heartbeat.
func (c *core) broadcast(now time.Time) {
	c.lastBeat = now
	c.newRound(now)
	for _, m := range c.members.GetMembers() {
		if m.GetId() != c.self.GetId() {
			c.sendAppend(now, m.GetId())
		}
	}
}

func (c *core) newRound(now time.Time) {
	c.round++
	c.roundSent[c.round] = now
	delete(c.roundSent, c.round-maxRoundsKept)
}

// maxRoundsKept is how many rounds may be on their way before an answer to the
// oldest one counts for nothing.
const maxRoundsKept = 4096

// flush sends new entries to the members that wait for none.
func (c *core) flush(now time.Time) {
	if c.role() != roleLeader {
		return
	}
	fresh := false
	for _, m := range c.members.GetMembers() {
		p := c.peers[m.GetId()]
		if p == nil || p.inFlight || p.next > c.log.last() {
			continue
		}
		if !fresh {
			c.newRound(now)
			fresh = true
		}
		c.sendAppend(now, m.GetId())
	}
}

// sendAppend sends one member its next entries. While an earlier send is not
// answered it is a heartbeat without entries.
func (c *core) sendAppend(now time.Time, id uint64) {
	p := c.peers[id]
	if p == nil {
		return
	}
	if p.inFlight && now.Sub(p.sentAt) >= c.patience(p) {
		p.inFlight, p.snapshot = false, false
		p.next = p.match + 1
	}
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(now, id, p)
		return
	}
	m := c.message(encoder.MessageKind_MESSAGE_KIND_APPEND, id)
	m.Sender = c.introduction(p)
	m.LogIndex, m.LogTerm, m.Round = prev, prevTerm, c.round
	m.Commit = c.commit
	if !p.inFlight {
		m.Entries = c.log.slice(p.next, c.log.last(), maxAppendBytes)
		p.inFlight = len(m.Entries) > 0
		p.sentAt, p.bytes = now, entryBytes(m.GetEntries())
	}
	c.early = append(c.early, m)
}

// introduction returns this replica, if the member may not know yet where to
// send its answer.
func (c *core) introduction(p *progress) *encoder.Member {
	if p.match > 0 {
		return nil
	}
	return c.self
}

// patience returns how long an answer may take before the message counts as
// lost.
func (c *core) patience(p *progress) time.Duration {
	if p.snapshot {
		return snapshotBeats * c.beat
	}
	return time.Duration(appendBeats+p.bytes/bytesPerBeat) * c.beat
}

const (
	appendBeats   = 2  // heartbeat intervals
	snapshotBeats = 30 // heartbeat intervals
	// bytesPerBeat is what a member takes in within a heartbeat interval at the
	// least: decoding and writing on a small share of a processor. An append that
	// is sent again before it can be answered only adds to its work.
	bytesPerBeat = 64 << 10
)

func entryBytes(entries []*encoder.Entry) (n int) {
	for _, e := range entries {
		n += len(e.GetData())
	}
	return n
}

// sendSnapshot asks the runner to send the newest snapshot: core has no access
// to the state machine, so the message goes out with an empty snapshot.
func (c *core) sendSnapshot(now time.Time, id uint64, p *progress) {
	if p.inFlight {
		return
	}
	m := c.message(encoder.MessageKind_MESSAGE_KIND_SNAPSHOT, id)
	m.Sender = c.introduction(p)
	m.Round = c.round
	p.inFlight, p.snapshot, p.sentAt = true, true, now
	c.early = append(c.early, m)
}

func (c *core) onAppend(now time.Time, m *encoder.Message) {
	a := c.message(encoder.MessageKind_MESSAGE_KIND_APPEND_ANSWER, m.GetFrom())
	a.Round = m.GetRound()
	if m.GetTerm() < c.term {
		a.Reject = true
		c.late = append(c.late, a)
		return
	}
	c.hear(now, m.GetFrom())
	defer func() { c.late = append(c.late, a) }()
	term, ok := c.log.term(m.GetLogIndex())
	switch {
	case m.GetLogIndex() < c.log.baseIndex:
		// Everything up to baseIndex is committed and so the same everywhere.
	case !ok || term != m.GetLogTerm():
		a.Reject = true
		a.LogIndex = c.hint(m.GetLogIndex())
		return
	}
	c.accept(m.GetEntries())
	last := m.GetLogIndex() + uint64(len(m.GetEntries()))
	a.LogIndex = max(last, c.log.baseIndex)
	c.commit = max(c.commit, min(m.GetCommit(), a.GetLogIndex()))
}

// hint returns an index below which the leader may try to match.
func (c *core) hint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	term, _ := c.log.term(index)
	for index > c.log.baseIndex {
		index--
		t, _ := c.log.term(index)
		if t != term {
			break
		}
	}
	return index
}

// hear notes a message of the leader of the current term.
func (c *core) hear(now time.Time, leader uint64) {
	if c.role() != roleFollower || c.leader != leader {
		c.follow(now, eventContacted, c.term, leader)
	}
	c.heardLeader = now
	c.reset(now)
}

func (c *core) onSnapshot(now time.Time, m *encoder.Message) {
	a := c.message(encoder.MessageKind_MESSAGE_KIND_APPEND_ANSWER, m.GetFrom())
	a.Round = m.GetRound()
	defer func() { c.late = append(c.late, a) }()
	if m.GetTerm() < c.term {
		a.Reject = true
		return
	}
	c.hear(now, m.GetFrom())
	s := m.GetSnapshot()
	if s.GetIndex() <= c.commit {
		a.LogIndex = c.commit
		return
	}
	c.install = s
	c.log.reset(s.GetIndex(), s.GetTerm())
	c.unsaved = nil
	c.baseMembers = s.GetMembers()
	c.refreshMembers()
	c.commit = s.GetIndex()
	a.LogIndex = s.GetIndex()
}

func (c *core) onAppendAnswer(now time.Time, m *encoder.Message) {
	p := c.peers[m.GetFrom()]
	if c.role() != roleLeader || m.GetTerm() != c.term || p == nil {
		return
	}
	p.ackedRound = max(p.ackedRound, m.GetRound())
	p.heardAt = now
	if m.GetReject() {
		p.inFlight, p.snapshot = false, false
		p.next = max(p.match+1, min(p.next-1, m.GetLogIndex()+1))
		c.sendAppend(now, m.GetFrom())
		return
	}
	if m.GetLogIndex() > p.match {
		p.match = m.GetLogIndex()
		c.advanceCommit()
	}
	if m.GetLogIndex() >= p.next {
		p.next = m.GetLogIndex() + 1
		p.inFlight, p.snapshot = false, false
	} else if p.inFlight && p.match+1 == p.next && m.GetLogIndex() == p.match {
		// A heartbeat was answered while entries are on their way.
		return
	}
	if p.next <= c.log.last() && !p.inFlight {
		c.sendAppend(now, m.GetFrom())
	}
}

// advanceCommit commits what a majority of the voters holds, if it ends in an
// entry of this term.
func (c *core) advanceCommit() {
	ids := voters(c.members)
	if len(ids) == 0 {
		return
	}
	matches := make([]uint64, 0, len(ids))
	for _, id := range ids {
		matches = append(matches, c.matchOf(id))
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	term, ok := c.log.term(index)
	if ok && term == c.term && index > c.commit {
		c.commit = index
	}
}

func (c *core) matchOf(id uint64) uint64 {
	if id == c.self.GetId() {
		return c.selfDurable
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// quorumRound returns the newest round that a majority of the voters answered.
func (c *core) quorumRound() uint64 {
	ids := voters(c.members)
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

// quorumAcked returns when the newest round that a majority has answered was
// sent. Before the first one it is when the replica began to lead.
func (c *core) quorumAcked() time.Time {
	sent, ok := c.roundSent[c.quorumRound()]
	if !ok {
		return c.leadSince
	}
	return sent
}

// leaseEnd returns until when no other leader can be elected. It is zero unless
// this replica leads and has committed an entry of its term.
func (c *core) leaseEnd() time.Time {
	if c.role() != roleLeader || c.commit < c.termStart {
		return time.Time{}
	}
	return c.quorumAcked().Add(c.election - c.drift)
}

// silence returns how long ago the leader last heard from a member.
func (c *core) silence(now time.Time, id uint64) time.Duration {
	if p := c.peers[id]; p != nil {
		return now.Sub(p.heardAt)
	}
	return 0
}
