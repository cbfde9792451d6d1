package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/carobrock/carobrock/internal/charter"
	"github.com/carobrock/carobrock/internal/encoder"
)

// role is a state of the chart charts/replica.yaml.
type role string

const (
	roleForming   role = "forming"
	roleFollower  role = "follower"
	roleCandidate role = "candidate"
	roleLeader    role = "leader"
)

// Events of the chart charts/replica.yaml.
const (
	eventFormed          = "formed"
	eventContacted       = "contacted"
	eventElectionTimeout = "electionTimeout"
	eventElected         = "elected"
	eventHigherTerm      = "higherTerm"
	eventQuorumLost      = "quorumLost"
	eventHandedOver      = "handedOver"
)

// maxAppendBytes bounds the entries of one message.
const maxAppendBytes = 1 << 20

// progress is what a leader knows of another member.
type progress struct {
	// match is the highest index known to be durable at the member.
	match uint64
	// next is the index to send next.
	next uint64
	// inFlight is set while an append or a snapshot is not answered; it is
	// sent again after a heartbeat interval without an answer.
	inFlight bool
	sentAt   time.Time
	// snapshot is set while the unanswered message is a snapshot; bytes is the
	// size of the entries in an unanswered append.
	snapshot bool
	bytes    int
	// ackedRound is the newest round that the member has answered.
	ackedRound uint64
	// heardAt is when the member's last answer came, at first when the leader
	// began to count.
	heardAt time.Time
}

// core is the algorithm. It is used from one goroutine. Its methods collect
// what is to be done in the fields under "output".
type core struct {
	self     *encoder.Member
	election time.Duration // shortest election timeout
	beat     time.Duration // heartbeat interval
	drift    time.Duration // taken off the leader's lease
	rand     *rand.Rand

	term   uint64
	vote   uint64
	log    entryLog
	commit uint64
	chart  charter.Machine // of charts/replica.yaml
	leader uint64

	// members is the newest membership in the log, memberIndex where it is.
	members     *encoder.Members
	memberIndex uint64
	// baseMembers is the membership as of the snapshot.
	baseMembers *encoder.Members

	// heardLeader is when the last message of the current leader came.
	heardLeader time.Time
	// initial lists the members of a group that is still to be formed, by name
	// and address; seen holds who answered a probe, by address.
	initial []*encoder.Member
	seen    map[string]*encoder.Message
	// addresses holds where members listen that the membership here does not
	// name yet, by id.
	addresses map[uint64]string

	deadline  time.Time // of the election timeout
	lastBeat  time.Time
	votes     map[uint64]bool
	preVoting bool

	// round numbers the leader's sends; roundSent holds when each not yet
	// superseded one was sent.
	round     uint64
	roundSent map[uint64]time.Time
	peers     map[uint64]*progress
	// leadSince is when this replica began to lead.
	leadSince time.Time
	// selfDurable is the highest index durable here.
	selfDurable uint64
	// termStart is the index of the no-op that began the leader's term.
	termStart uint64

	// output
	early       []*encoder.Message // may be sent before the state is durable
	late        []*encoder.Message // only after
	unsaved     []*encoder.Entry
	hardChanged bool
	install     *encoder.Snapshot // replaces log and state machine
}

func (c *core) reset(now time.Time) {
	c.deadline = now.Add(c.election + time.Duration(c.rand.Int64N(int64(c.election))))
}

func (c *core) isVoter(id uint64) bool {
	m := findMember(c.members, id)
	return m != nil && m.GetVoter()
}

func findMember(ms *encoder.Members, id uint64) *encoder.Member {
	for _, m := range ms.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

func voters(ms *encoder.Members) []uint64 {
	var ids []uint64
	for _, m := range ms.GetMembers() {
		if m.GetVoter() {
			ids = append(ids, m.GetId())
		}
	}
	return ids
}

// hasQuorum reports whether yes holds for a majority of the voters.
func (c *core) hasQuorum(yes func(id uint64) bool) bool {
	ids := voters(c.members)
	n := 0
	for _, id := range ids {
		if yes(id) {
			n++
		}
	}
	return n > len(ids)/2
}

func (c *core) message(kind encoder.MessageKind, to uint64) *encoder.Message {
	return &encoder.Message{Kind: kind, From: c.self.GetId(), To: to, Term: c.term}
}

// role returns the present state of the chart.
func (c *core) role() role { return role(c.chart.Current()) }

// follow makes this replica a follower in term because of event. A higher term
// forgets the vote.
func (c *core) follow(now time.Time, event string, term, leader uint64) {
	if term > c.term {
		c.term, c.vote = term, 0
		c.hardChanged = true
	}
	c.chart.Fire(event)
	c.leader = leader
	c.preVoting = false
	c.peers, c.roundSent = nil, nil
	c.reset(now)
}

// followHigher makes this replica a follower in a higher term.
func (c *core) followHigher(now time.Time, term uint64) {
	if c.role() == roleForming {
		c.follow(now, eventContacted, term, 0)
		return
	}
	c.follow(now, eventHigherTerm, term, 0)
}

// tick does what the passing of time asks for.
func (c *core) tick(now time.Time) {
	switch c.role() {
	case roleLeader:
		c.tickLeader(now)
	case roleFollower, roleCandidate:
		if !now.Before(c.deadline) {
			c.campaign(now, true)
		}
	case roleForming:
		c.tickForming(now)
	}
}

func (c *core) tickLeader(now time.Time) {
	if now.Sub(c.quorumAcked()) > 2*c.election {
		c.follow(now, eventQuorumLost, c.term, 0)
		return
	}
	if now.Sub(c.lastBeat) >= c.beat {
		c.broadcast(now)
	}
}

// step takes one message. Messages for another incarnation are dropped, but for
// probes, which ask who is there.
func (c *core) step(now time.Time, m *encoder.Message) {
	if s := m.GetSender(); s != nil {
		c.addresses[s.GetId()] = s.GetAddress()
	}
	if m.GetKind() == encoder.MessageKind_MESSAGE_KIND_PROBE {
		c.onProbe(m)
		return
	}
	if m.GetTo() != c.self.GetId() {
		return
	}
	switch m.GetKind() {
	case encoder.MessageKind_MESSAGE_KIND_PROBE_ANSWER:
		c.onProbeAnswer(now, m)
		return
	case encoder.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.onPreVote(now, m)
		return
	case encoder.MessageKind_MESSAGE_KIND_VOTE:
		c.onVote(now, m)
		return
	case encoder.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER:
		c.onPreVoteAnswer(now, m)
		return
	}
	if m.GetTerm() > c.term {
		c.followHigher(now, m.GetTerm())
	}
	switch m.GetKind() {
	case encoder.MessageKind_MESSAGE_KIND_VOTE_ANSWER:
		c.onVoteAnswer(now, m)
	case encoder.MessageKind_MESSAGE_KIND_APPEND:
		c.onAppend(now, m)
	case encoder.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.onSnapshot(now, m)
	case encoder.MessageKind_MESSAGE_KIND_APPEND_ANSWER:
		c.onAppendAnswer(now, m)
	case encoder.MessageKind_MESSAGE_KIND_HAND_OVER:
		c.onHandOver(now, m)
	}
}

// propose appends entries to the leader's log and returns the last index.
func (c *core) propose(kind encoder.EntryKind, datas [][]byte) uint64 {
	entries := make([]*encoder.Entry, len(datas))
	for i, data := range datas {
		entries[i] = &encoder.Entry{Term: c.term, Index: c.log.last() + uint64(i) + 1, Kind: kind, Data: data}
	}
	c.accept(entries)
	return c.log.last()
}

// accept adds entries to the log and notes what must become durable.
func (c *core) accept(entries []*encoder.Entry) {
	added := c.log.add(entries)
	if len(added) == 0 {
		return
	}
	first := added[0].GetIndex()
	if c.selfDurable >= first {
		c.selfDurable = first - 1
	}
	for len(c.unsaved) > 0 && c.unsaved[len(c.unsaved)-1].GetIndex() >= first {
		c.unsaved = c.unsaved[:len(c.unsaved)-1]
	}
	c.unsaved = append(c.unsaved, added...)
	c.refreshMembers()
}

// saved notes that everything in the log is durable here.
func (c *core) saved() {
	c.selfDurable = c.log.last()
	c.unsaved, c.hardChanged = nil, false
	if c.role() == roleLeader {
		c.advanceCommit()
	}
}
