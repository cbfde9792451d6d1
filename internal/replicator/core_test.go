package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/charter"
	"github.com/carobrock/carobrock/internal/encoder"
)

var testStart = time.Unix(1_000_000, 0)

// newTestCore returns the core of a follower with ID 1 in a group of three voters
// 1, 2 and 3 in term 5. Its log holds the membership (index 1, term 1) and one
// entry (index 2, term 4).
func newTestCore(t *testing.T) *core {
	t.Helper()
	ms := &encoder.Members{}
	for id := uint64(1); id <= 3; id++ {
		ms.Members = append(ms.Members, &encoder.Member{Id: id, Voter: true})
	}
	data, err := proto.Marshal(ms)
	if err != nil {
		t.Fatal(err)
	}
	c := &core{
		self: &encoder.Member{Id: 1}, electionTimeout: time.Second, heartbeatInterval: 100 * time.Millisecond, maxDrift: 100 * time.Millisecond,
		rand: rand.New(rand.NewPCG(1, 1)), term: 5, roleMachine: charter.Machine{Chart: charter.MustLoad("replica.yaml"), State: string(roleFollower)}, baseMembers: &encoder.Members{},
		probeResponses: map[string]*encoder.Message{}, senderAddresses: map[uint64]string{},
	}
	c.appendEntries([]*encoder.Entry{
		{Term: 1, Index: 1, Kind: encoder.EntryKind_ENTRY_KIND_MEMBERS, Data: data},
		{Term: 4, Index: 2},
	})
	c.markSynced()
	c.resetElectionDeadline(testStart)
	return c
}

func takeDeferredMessage(c *core) *encoder.Message {
	if len(c.deferredMessages) == 0 {
		return nil
	}
	m := c.deferredMessages[0]
	c.deferredMessages = nil
	return m
}

func TestVoteRequests(t *testing.T) {
	vote := encoder.MessageKind_MESSAGE_KIND_VOTE
	preVote := encoder.MessageKind_MESSAGE_KIND_PRE_VOTE
	tests := []struct {
		name         string
		kind         encoder.MessageKind
		vote         uint64 // vote already cast in term 5
		leaderAlive  bool   // a message from a leader has just arrived
		term         uint64
		logTerm      uint64
		logIndex     uint64
		wantResponse bool
		wantReject   bool
	}{
		{"vote in a new term", vote, 0, false, 6, 4, 2, true, false},
		{"vote in the same term", vote, 0, false, 5, 4, 2, true, false},
		{"second vote for the same candidate", vote, 2, false, 5, 4, 2, true, false},
		{"second vote for another candidate", vote, 3, false, 5, 4, 2, true, true},
		{"vote of an older term", vote, 0, false, 4, 4, 2, true, true},
		{"candidate with a shorter log", vote, 0, false, 6, 4, 1, true, true},
		{"candidate with an older last term", vote, 0, false, 6, 3, 9, true, true},
		{"candidate with a newer last term", vote, 0, false, 6, 5, 1, true, false},
		{"vote while a leader is alive", vote, 0, true, 6, 4, 2, false, false},
		{"pre-vote", preVote, 0, false, 6, 4, 2, true, false},
		{"pre-vote while a leader is alive", preVote, 0, true, 6, 4, 2, true, true},
		{"pre-vote with a shorter log", preVote, 0, false, 6, 4, 1, true, true},
		{"pre-vote of the same term", preVote, 0, false, 5, 4, 2, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestCore(t)
			c.votedFor = tt.vote
			if tt.leaderAlive {
				c.lastLeaderContact = testStart
			}
			c.handleMessage(testStart.Add(time.Millisecond), &encoder.Message{
				Kind: tt.kind, From: 2, To: 1, Term: tt.term, LogTerm: tt.logTerm, LogIndex: tt.logIndex,
			})
			a := takeDeferredMessage(c)
			if (a != nil) != tt.wantResponse {
				t.Fatalf("got response %v, want a response: %v", a, tt.wantResponse)
			}
			if a != nil && a.GetReject() != tt.wantReject {
				t.Errorf("reject = %v, want %v", a.GetReject(), tt.wantReject)
			}
			voteGranted := a != nil && !a.GetReject() && tt.kind == vote
			if voteGranted && (c.votedFor != 2 || !c.hardStateChanged) {
				t.Errorf("vote = %d, durable = %v; the vote must become durable before it is sent", c.votedFor, c.hardStateChanged)
			}
		})
	}
}

// TestMessageForOtherIncarnationIsDropped checks that a message for another
// incarnation, such as that of a replica that lost its disk, has no effect.
func TestMessageForOtherIncarnationIsDropped(t *testing.T) {
	c := newTestCore(t)
	for kind := range encoder.MessageKind_name {
		k := encoder.MessageKind(kind)
		if k == encoder.MessageKind_MESSAGE_KIND_PROBE {
			continue
		}
		c.handleMessage(testStart, &encoder.Message{Kind: k, From: 2, To: 99, Term: 9, LogTerm: 9, LogIndex: 9})
		if c.term != 5 || len(c.deferredMessages)+len(c.immediateMessages) != 0 {
			t.Errorf("%v for another incarnation was processed", k)
		}
	}
}

func acknowledgeAppend(c *core, from, index uint64) {
	c.handleMessage(testStart, &encoder.Message{
		Kind: encoder.MessageKind_MESSAGE_KIND_APPEND_ANSWER, From: from, To: 1, Term: c.term, LogIndex: index, Round: c.round,
	})
}

// TestCommitOnlyOwnTerm checks that an entry of an earlier term is committed only
// together with an entry of the leader's own term (Ongaro 2014, figure 3.7). Until
// then another leader may replace it.
func TestCommitOnlyOwnTerm(t *testing.T) {
	c := newTestCore(t)
	c.term = 6
	c.roleMachine.State = string(roleCandidate)
	c.becomeLeader(testStart)
	c.markSynced()
	acknowledgeAppend(c, 2, 2)
	if c.commitIndex != 0 {
		t.Errorf("commit = %d after a majority holds an entry of term 4, want 0", c.commitIndex)
	}
	acknowledgeAppend(c, 2, 3)
	if c.commitIndex != 3 {
		t.Errorf("commit = %d after a majority holds the leader's no-op, want 3", c.commitIndex)
	}
}

// TestCommitNeedsDurableLeader checks that the leader counts its own entries
// towards a majority only once they are durable.
func TestCommitNeedsDurableLeader(t *testing.T) {
	c := newTestCore(t)
	c.term = 6
	c.roleMachine.State = string(roleCandidate)
	c.becomeLeader(testStart)
	acknowledgeAppend(c, 2, 3)
	if c.commitIndex != 0 {
		t.Errorf("commit = %d before the leader's entry is durable, want 0", c.commitIndex)
	}
	c.markSynced()
	if c.commitIndex != 3 {
		t.Errorf("commit = %d, want 3", c.commitIndex)
	}
}

// TestLeaseExpiry checks that the lease is measured from the send time of the
// round that a majority has acknowledged, and that there is no lease before an
// entry of the term is committed.
func TestLeaseExpiry(t *testing.T) {
	c := newTestCore(t)
	c.term = 6
	c.roleMachine.State = string(roleCandidate)
	c.becomeLeader(testStart)
	c.markSynced()
	if !c.leaseExpiry().IsZero() {
		t.Error("lease held before the no-op is committed")
	}
	acknowledgeAppend(c, 2, 3)
	want := testStart.Add(c.electionTimeout - c.maxDrift)
	if got := c.leaseExpiry(); !got.Equal(want) {
		t.Errorf("lease ends at %v, want %v", got, want)
	}
	c.handleTick(testStart.Add(50 * time.Millisecond))
	c.broadcastAppends(testStart.Add(500 * time.Millisecond))
	if got := c.leaseExpiry(); !got.Equal(want) {
		t.Errorf("lease ends at %v after an unanswered round, want %v", got, want)
	}
}

// TestAppendConflict checks that an append that conflicts with the log replaces
// its tail, and that a delayed duplicate of an older append does not truncate the
// log.
func TestAppendConflict(t *testing.T) {
	c := newTestCore(t)
	receiveAppend := func(logIndex, logTerm uint64, entries ...*encoder.Entry) *encoder.Message {
		c.handleMessage(testStart, &encoder.Message{
			Kind: encoder.MessageKind_MESSAGE_KIND_APPEND, From: 2, To: 1, Term: 6, LogIndex: logIndex, LogTerm: logTerm, Entries: entries,
		})
		return takeDeferredMessage(c)
	}
	if a := receiveAppend(9, 6); !a.GetReject() || a.GetLogIndex() != 2 {
		t.Errorf("append after a gap: %v, want a rejection with hint 2", a)
	}
	e2, e3 := &encoder.Entry{Term: 6, Index: 2}, &encoder.Entry{Term: 6, Index: 3}
	if a := receiveAppend(1, 1, e2, e3); a.GetReject() || a.GetLogIndex() != 3 {
		t.Errorf("append that replaces the tail: %v, want index 3", a)
	}
	if a := receiveAppend(1, 1, e2); a.GetLogIndex() != 2 || c.log.lastIndex() != 3 {
		t.Errorf("a duplicate truncated the log to %d, want 3", c.log.lastIndex())
	}
	if term, _ := c.log.termAt(2); term != 6 {
		t.Errorf("term at 2 = %d, want 6", term)
	}
}

// TestResponseTimeoutGrowsWithAppendSize checks that the response timeout grows
// with the size of the append. Sending a large append again before its member
// could respond kept a slow new member busy forever.
func TestResponseTimeoutGrowsWithAppendSize(t *testing.T) {
	for _, test := range []struct {
		name       string
		bytes      int
		elapsed    time.Duration
		wantResend bool
	}{
		{name: "small, answer overdue", bytes: 100, elapsed: 250 * time.Millisecond, wantResend: true},
		{name: "small, answer not due", bytes: 100, elapsed: 150 * time.Millisecond},
		{name: "large, answer not due", bytes: maxAppendBytes / 2, elapsed: 250 * time.Millisecond},
		{name: "large, lost", bytes: maxAppendBytes / 2, elapsed: 1100 * time.Millisecond, wantResend: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCore(t)
			c.startElection(testStart, false)
			for id := uint64(2); id <= 3; id++ {
				c.votes[id] = true
			}
			c.countVotes(testStart)
			acknowledgeAppend(c, 2, c.log.lastIndex())
			c.appendProposals(encoder.EntryKind_ENTRY_KIND_COMMAND, [][]byte{make([]byte, test.bytes)})
			c.sendNewEntries(testStart)
			c.immediateMessages = nil
			c.sendAppend(testStart.Add(test.elapsed), 2)
			if got := len(c.immediateMessages[0].GetEntries()) > 0; got != test.wantResend {
				t.Errorf("entries sent again: %t, want %t", got, test.wantResend)
			}
		})
	}
}

// TestMemberWithoutReplicaIsLeftOut checks that, if a process without a replica is
// listed as an initial member, the other members form the group without it.
func TestMemberWithoutReplicaIsLeftOut(t *testing.T) {
	a := &encoder.Member{Name: "a", Address: "a0"}
	c := newTestCore(t)
	c.self = &encoder.Member{Id: 7, Name: "b", Address: "b0"}
	c.term, c.log, c.members = 0, entryLog{}, &encoder.Members{}
	c.unsyncedEntries = nil
	c.roleMachine.State = string(roleForming)
	c.initialMembers = []*encoder.Member{a, {Name: "b", Address: "b0"}, {Name: "c", Address: "c0"}}
	c.handleProbeResponse(testStart, &encoder.Message{Sender: &encoder.Member{Id: 8, Name: "c", Address: "c0"}, Fresh: true})
	if c.role() != roleForming {
		t.Fatal("group formed before all members answered")
	}
	var sent *encoder.Message
	AnswerProbeWithoutReplica(transportFunc(func(_ string, m *encoder.Message) { sent = m }), a, &encoder.Message{
		Kind: encoder.MessageKind_MESSAGE_KIND_PROBE, From: 7, Sender: c.self,
	})
	c.handleMessage(testStart, sent)
	if c.role() == roleForming {
		t.Fatal("group not formed after all members answered")
	}
	if got := len(c.members.GetMembers()); got != 2 {
		t.Errorf("%d members, want 2", got)
	}
}

type transportFunc func(address string, m *encoder.Message)

func (f transportFunc) Send(address string, m *encoder.Message) { f(address, m) }
