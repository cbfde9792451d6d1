package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/carobrock/carobrock/internal/charter"
	"github.com/carobrock/carobrock/internal/encoder"
)

// role is the role of a replica, a state of charts/replica.yaml.
type role string

const (
	roleForming   role = "forming"
	roleFollower  role = "follower"
	roleCandidate role = "candidate"
	roleLeader    role = "leader"
)

// Events of charts/replica.yaml.
const (
	eventFormed                = "formed"
	eventContacted             = "contacted"
	eventElectionTimeout       = "electionTimeout"
	eventElected               = "elected"
	eventHigherTerm            = "higherTerm"
	eventQuorumLost            = "quorumLost"
	eventLeadershipTransferred = "handedOver"
)

// maxAppendBytes limits the data in the entries of one append message, in bytes.
const maxAppendBytes = 1 << 20

// progress is the leader's view of another member's log.
type progress struct {
	// matchIndex is the highest index known to be durable at the member.
	matchIndex uint64
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
	// inFlight is true while an append with entries or a snapshot is unanswered.
	// The message is sent again once its response timeout has expired.
	inFlight bool
	sentAt   time.Time
	// sendingSnapshot is true if the unanswered message is a snapshot.
	// inFlightBytes is the size of the entries in the unanswered append.
	sendingSnapshot bool
	inFlightBytes   int
	// ackedRound is the newest round that the member has acknowledged.
	ackedRound uint64
	// lastResponseAt is the time of the member's last response, initially the time
	// at which the leader began to track the member.
	lastResponseAt time.Time
}

// core is the consensus algorithm. It must be used from a single goroutine. Its
// methods append the required actions to the fields below "Output".
type core struct {
	self              *encoder.Member
	electionTimeout   time.Duration // minimum election timeout
	heartbeatInterval time.Duration
	maxDrift          time.Duration // clock drift allowance, subtracted from the leader's lease
	rand              *rand.Rand

	term        uint64
	votedFor    uint64
	log         entryLog
	commitIndex uint64
	roleMachine charter.Machine // state machine of this replica's role, charts/replica.yaml
	leaderID    uint64

	// members is the newest membership in the log, membersIndex the index of its
	// entry.
	members      *encoder.Members
	membersIndex uint64
	// baseMembers is the membership as of the log's base index.
	baseMembers *encoder.Members

	// lastLeaderContact is the time of the last message from the current leader.
	lastLeaderContact time.Time
	// initialMembers lists the members of a group that is not formed yet, by name
	// and address. probeResponses holds the last response to a probe by the
	// address of the process that responded.
	initialMembers []*encoder.Member
	probeResponses map[string]*encoder.Message
	// senderAddresses holds, by member ID, the addresses that other replicas sent
	// with their messages. They are used for members that the membership in this
	// log does not contain yet.
	senderAddresses map[uint64]string

	electionDeadline time.Time
	lastBroadcast    time.Time
	votes            map[uint64]bool
	preVoting        bool

	// round numbers the leader's rounds of appends. roundSentAt holds the send
	// time of each tracked round.
	round       uint64
	roundSentAt map[uint64]time.Time
	peers       map[uint64]*progress
	// electedAt is the time at which this replica became leader.
	electedAt time.Time
	// durableIndex is the highest index that is durable on this replica.
	durableIndex uint64
	// noOpIndex is the index of the no-op entry that the leader appended at the
	// start of its term.
	noOpIndex uint64

	// Output, consumed by Replica.processOutput.
	immediateMessages []*encoder.Message // may be sent before the state is durable
	deferredMessages  []*encoder.Message // sent only after the state is durable
	unsyncedEntries   []*encoder.Entry
	hardStateChanged  bool
	snapshotToInstall *encoder.Snapshot // replaces the log and the state machine
}

func (c *core) resetElectionDeadline(now time.Time) {
	c.electionDeadline = now.Add(c.electionTimeout + time.Duration(c.rand.Int64N(int64(c.electionTimeout))))
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

func voterIDs(ms *encoder.Members) []uint64 {
	var ids []uint64
	for _, m := range ms.GetMembers() {
		if m.GetVoter() {
			ids = append(ids, m.GetId())
		}
	}
	return ids
}

// hasQuorum reports whether holds is true for a majority of the voters.
func (c *core) hasQuorum(holds func(id uint64) bool) bool {
	ids := voterIDs(c.members)
	n := 0
	for _, id := range ids {
		if holds(id) {
			n++
		}
	}
	return n > len(ids)/2
}

func (c *core) newMessage(kind encoder.MessageKind, to uint64) *encoder.Message {
	return &encoder.Message{Kind: kind, From: c.self.GetId(), To: to, Term: c.term}
}

// role returns the current role.
func (c *core) role() role { return role(c.roleMachine.Current()) }

// becomeFollower makes this replica a follower in term by firing event. A higher
// term clears the vote.
func (c *core) becomeFollower(now time.Time, event string, term, leader uint64) {
	if term > c.term {
		c.term, c.votedFor = term, 0
		c.hardStateChanged = true
	}
	c.roleMachine.Fire(event)
	c.leaderID = leader
	c.preVoting = false
	c.peers, c.roundSentAt = nil, nil
	c.resetElectionDeadline(now)
}

// adoptHigherTerm makes this replica a follower in a higher term.
func (c *core) adoptHigherTerm(now time.Time, term uint64) {
	if c.role() == roleForming {
		c.becomeFollower(now, eventContacted, term, 0)
		return
	}
	c.becomeFollower(now, eventHigherTerm, term, 0)
}

// handleTick performs the actions that are due at now: elections, heartbeats and
// probes.
func (c *core) handleTick(now time.Time) {
	switch c.role() {
	case roleLeader:
		c.handleLeaderTick(now)
	case roleFollower, roleCandidate:
		if !now.Before(c.electionDeadline) {
			c.startElection(now, true)
		}
	case roleForming:
		c.handleFormingTick(now)
	}
}

func (c *core) handleLeaderTick(now time.Time) {
	if now.Sub(c.quorumRoundSentAt()) > 2*c.electionTimeout {
		c.becomeFollower(now, eventQuorumLost, c.term, 0)
		return
	}
	if now.Sub(c.lastBroadcast) >= c.heartbeatInterval {
		c.broadcastAppends(now)
	}
}

// handleMessage processes one message. Messages addressed to another incarnation
// are dropped, except probes, whose sender does not know the incarnation.
func (c *core) handleMessage(now time.Time, m *encoder.Message) {
	if s := m.GetSender(); s != nil {
		c.senderAddresses[s.GetId()] = s.GetAddress()
	}
	if m.GetKind() == encoder.MessageKind_MESSAGE_KIND_PROBE {
		c.handleProbe(m)
		return
	}
	if m.GetTo() != c.self.GetId() {
		return
	}
	switch m.GetKind() {
	case encoder.MessageKind_MESSAGE_KIND_PROBE_ANSWER:
		c.handleProbeResponse(now, m)
		return
	case encoder.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.handlePreVote(now, m)
		return
	case encoder.MessageKind_MESSAGE_KIND_VOTE:
		c.handleVote(now, m)
		return
	case encoder.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER:
		c.handlePreVoteResponse(now, m)
		return
	}
	if m.GetTerm() > c.term {
		c.adoptHigherTerm(now, m.GetTerm())
	}
	switch m.GetKind() {
	case encoder.MessageKind_MESSAGE_KIND_VOTE_ANSWER:
		c.handleVoteResponse(now, m)
	case encoder.MessageKind_MESSAGE_KIND_APPEND:
		c.handleAppend(now, m)
	case encoder.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.handleSnapshot(now, m)
	case encoder.MessageKind_MESSAGE_KIND_APPEND_ANSWER:
		c.handleAppendResponse(now, m)
	case encoder.MessageKind_MESSAGE_KIND_HAND_OVER:
		c.handleLeadershipTransfer(now, m)
	}
}

// appendProposals appends one entry of the given kind per payload to the leader's
// log and returns the last index.
func (c *core) appendProposals(kind encoder.EntryKind, payloads [][]byte) uint64 {
	entries := make([]*encoder.Entry, len(payloads))
	for i, data := range payloads {
		entries[i] = &encoder.Entry{Term: c.term, Index: c.log.lastIndex() + uint64(i) + 1, Kind: kind, Data: data}
	}
	c.appendEntries(entries)
	return c.log.lastIndex()
}

// appendEntries merges entries into the log and records those that must be made
// durable.
func (c *core) appendEntries(entries []*encoder.Entry) {
	added := c.log.merge(entries)
	if len(added) == 0 {
		return
	}
	first := added[0].GetIndex()
	if c.durableIndex >= first {
		c.durableIndex = first - 1
	}
	for len(c.unsyncedEntries) > 0 && c.unsyncedEntries[len(c.unsyncedEntries)-1].GetIndex() >= first {
		c.unsyncedEntries = c.unsyncedEntries[:len(c.unsyncedEntries)-1]
	}
	c.unsyncedEntries = append(c.unsyncedEntries, added...)
	c.reloadMembers()
}

// markSynced records that the whole log and the hard state are durable on this
// replica.
func (c *core) markSynced() {
	c.durableIndex = c.log.lastIndex()
	c.unsyncedEntries, c.hardStateChanged = nil, false
	if c.role() == roleLeader {
		c.advanceCommitIndex()
	}
}
