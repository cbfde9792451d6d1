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

// newTestCore returns a follower 1 of three voters 1, 2, 3 in term 5, whose log
// holds the membership (index 1, term 1) and one entry (index 2, term 4).
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
		self: &encoder.Member{Id: 1}, election: time.Second, beat: 100 * time.Millisecond, drift: 100 * time.Millisecond,
		rand: rand.New(rand.NewPCG(1, 1)), term: 5, chart: charter.Machine{Chart: charter.MustLoad("replica.yaml"), State: string(roleFollower)}, baseMembers: &encoder.Members{},
		seen: map[string]*encoder.Message{}, addresses: map[uint64]string{},
	}
	c.accept([]*encoder.Entry{
		{Term: 1, Index: 1, Kind: encoder.EntryKind_ENTRY_KIND_MEMBERS, Data: data},
		{Term: 4, Index: 2},
	})
	c.saved()
	c.reset(testStart)
	return c
}

func takeLate(c *core) *encoder.Message {
	if len(c.late) == 0 {
		return nil
	}
	m := c.late[0]
	c.late = nil
	return m
}

func TestVote(t *testing.T) {
	vote := encoder.MessageKind_MESSAGE_KIND_VOTE
	preVote := encoder.MessageKind_MESSAGE_KIND_PRE_VOTE
	tests := []struct {
		name       string
		kind       encoder.MessageKind
		vote       uint64 // already given in term 5
		heard      bool   // a leader was heard of just now
		term       uint64
		logTerm    uint64
		logIndex   uint64
		wantAnswer bool
		wantReject bool
	}{
		{"fresh vote", vote, 0, false, 6, 4, 2, true, false},
		{"vote in the same term", vote, 0, false, 5, 4, 2, true, false},
		{"second vote for the same candidate", vote, 2, false, 5, 4, 2, true, false},
		{"second vote for another candidate", vote, 3, false, 5, 4, 2, true, true},
		{"vote of an older term", vote, 0, false, 4, 4, 2, true, true},
		{"candidate with a shorter log", vote, 0, false, 6, 4, 1, true, true},
		{"candidate with an older last term", vote, 0, false, 6, 3, 9, true, true},
		{"candidate with a newer last term", vote, 0, false, 6, 5, 1, true, false},
		{"vote while a leader is heard of", vote, 0, true, 6, 4, 2, false, false},
		{"pre-vote", preVote, 0, false, 6, 4, 2, true, false},
		{"pre-vote while a leader is heard of", preVote, 0, true, 6, 4, 2, true, true},
		{"pre-vote with a shorter log", preVote, 0, false, 6, 4, 1, true, true},
		{"pre-vote of the same term", preVote, 0, false, 5, 4, 2, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestCore(t)
			c.vote = tt.vote
			if tt.heard {
				c.heardLeader = testStart
			}
			c.step(testStart.Add(time.Millisecond), &encoder.Message{
				Kind: tt.kind, From: 2, To: 1, Term: tt.term, LogTerm: tt.logTerm, LogIndex: tt.logIndex,
			})
			a := takeLate(c)
			if (a != nil) != tt.wantAnswer {
				t.Fatalf("answer %v, want one: %v", a, tt.wantAnswer)
			}
			if a != nil && a.GetReject() != tt.wantReject {
				t.Errorf("reject = %v, want %v", a.GetReject(), tt.wantReject)
			}
			given := a != nil && !a.GetReject() && tt.kind == vote
			if given && (c.vote != 2 || !c.hardChanged) {
				t.Errorf("vote = %d, durable = %v; a vote must be durable before it is sent", c.vote, c.hardChanged)
			}
		})
	}
}

// A message for another incarnation, as of a replica that lost its disk, does
// nothing.
func TestOtherIncarnation(t *testing.T) {
	c := newTestCore(t)
	for kind := range encoder.MessageKind_name {
		k := encoder.MessageKind(kind)
		if k == encoder.MessageKind_MESSAGE_KIND_PROBE {
			continue
		}
		c.step(testStart, &encoder.Message{Kind: k, From: 2, To: 99, Term: 9, LogTerm: 9, LogIndex: 9})
		if c.term != 5 || len(c.late)+len(c.early) != 0 {
			t.Errorf("%v for another incarnation was taken", k)
		}
	}
}

func answerAppend(c *core, from, index uint64) {
	c.step(testStart, &encoder.Message{
		Kind: encoder.MessageKind_MESSAGE_KIND_APPEND_ANSWER, From: from, To: 1, Term: c.term, LogIndex: index, Round: c.round,
	})
}

// An entry of an earlier term is committed only with one of the leader's own
// term (Ongaro 2014, figure 3.7): until then another leader may replace it.
func TestCommitOnlyOwnTerm(t *testing.T) {
	c := newTestCore(t)
	c.term = 6
	c.chart.State = string(roleCandidate)
	c.lead(testStart)
	c.saved()
	answerAppend(c, 2, 2)
	if c.commit != 0 {
		t.Errorf("commit = %d after a majority holds an entry of term 4, want 0", c.commit)
	}
	answerAppend(c, 2, 3)
	if c.commit != 3 {
		t.Errorf("commit = %d after a majority holds the leader's no-op, want 3", c.commit)
	}
}

// The leader's own entries count only when they are durable.
func TestCommitNeedsDurableLeader(t *testing.T) {
	c := newTestCore(t)
	c.term = 6
	c.chart.State = string(roleCandidate)
	c.lead(testStart)
	answerAppend(c, 2, 3)
	if c.commit != 0 {
		t.Errorf("commit = %d before the leader's entry is durable, want 0", c.commit)
	}
	c.saved()
	if c.commit != 3 {
		t.Errorf("commit = %d, want 3", c.commit)
	}
}

// The lease counts from when the round was sent that a majority answered, and
// there is none before an entry of the term is committed.
func TestLeaseEnd(t *testing.T) {
	c := newTestCore(t)
	c.term = 6
	c.chart.State = string(roleCandidate)
	c.lead(testStart)
	c.saved()
	if !c.leaseEnd().IsZero() {
		t.Error("a lease before the no-op is committed")
	}
	answerAppend(c, 2, 3)
	want := testStart.Add(c.election - c.drift)
	if got := c.leaseEnd(); !got.Equal(want) {
		t.Errorf("lease ends at %v, want %v", got, want)
	}
	c.tick(testStart.Add(50 * time.Millisecond))
	c.broadcast(testStart.Add(500 * time.Millisecond))
	if got := c.leaseEnd(); !got.Equal(want) {
		t.Errorf("lease ends at %v after a round that nobody answered, want %v", got, want)
	}
}

// An append that contradicts the log replaces its tail; a late repetition of an
// older one does not.
func TestAppendConflict(t *testing.T) {
	c := newTestCore(t)
	send := func(logIndex, logTerm uint64, entries ...*encoder.Entry) *encoder.Message {
		c.step(testStart, &encoder.Message{
			Kind: encoder.MessageKind_MESSAGE_KIND_APPEND, From: 2, To: 1, Term: 6, LogIndex: logIndex, LogTerm: logTerm, Entries: entries,
		})
		return takeLate(c)
	}
	if a := send(9, 6); !a.GetReject() || a.GetLogIndex() != 2 {
		t.Errorf("append behind a gap: %v, want a rejection with hint 2", a)
	}
	e2, e3 := &encoder.Entry{Term: 6, Index: 2}, &encoder.Entry{Term: 6, Index: 3}
	if a := send(1, 1, e2, e3); a.GetReject() || a.GetLogIndex() != 3 {
		t.Errorf("append that replaces the tail: %v, want index 3", a)
	}
	if a := send(1, 1, e2); a.GetLogIndex() != 2 || c.log.last() != 3 {
		t.Errorf("a repetition cut the log to %d, want 3", c.log.last())
	}
	if term, _ := c.log.term(2); term != 6 {
		t.Errorf("term at 2 = %d, want 6", term)
	}
}

// A large append that was sent again before its member could answer it kept a
// slow newcomer busy for ever.
func TestPatienceGrowsWithTheAppend(t *testing.T) {
	for _, test := range []struct {
		name  string
		bytes int
		after time.Duration
		again bool
	}{
		{name: "small, answer due", bytes: 100, after: 250 * time.Millisecond, again: true},
		{name: "small, still on its way", bytes: 100, after: 150 * time.Millisecond},
		{name: "large, still at work", bytes: maxAppendBytes / 2, after: 250 * time.Millisecond},
		{name: "large, lost", bytes: maxAppendBytes / 2, after: 1100 * time.Millisecond, again: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCore(t)
			c.campaign(testStart, false)
			for id := uint64(2); id <= 3; id++ {
				c.votes[id] = true
			}
			c.countVotes(testStart)
			answerAppend(c, 2, c.log.last())
			c.propose(encoder.EntryKind_ENTRY_KIND_COMMAND, [][]byte{make([]byte, test.bytes)})
			c.flush(testStart)
			c.early = nil
			c.sendAppend(testStart.Add(test.after), 2)
			if got := len(c.early[0].GetEntries()) > 0; got != test.again {
				t.Errorf("entries sent again: %t, want %t", got, test.again)
			}
		})
	}
}

// A process without a replica is named as an initial member: the others form the
// group without it.
func TestSeatlessMemberIsLeftOut(t *testing.T) {
	a := &encoder.Member{Name: "a", Address: "a0"}
	c := newTestCore(t)
	c.self = &encoder.Member{Id: 7, Name: "b", Address: "b0"}
	c.term, c.log, c.members = 0, entryLog{}, &encoder.Members{}
	c.unsaved = nil
	c.chart.State = string(roleForming)
	c.initial = []*encoder.Member{a, {Name: "b", Address: "b0"}, {Name: "c", Address: "c0"}}
	c.onProbeAnswer(testStart, &encoder.Message{Sender: &encoder.Member{Id: 8, Name: "c", Address: "c0"}, Fresh: true})
	if c.role() != roleForming {
		t.Fatal("formed before the first member answered")
	}
	var sent *encoder.Message
	AnswerSeatless(linkFunc(func(_ string, m *encoder.Message) { sent = m }), a, &encoder.Message{
		Kind: encoder.MessageKind_MESSAGE_KIND_PROBE, From: 7, Sender: c.self,
	})
	c.step(testStart, sent)
	if c.role() == roleForming {
		t.Fatal("not formed after all members answered")
	}
	if got := len(c.members.GetMembers()); got != 2 {
		t.Errorf("%d members, want 2", got)
	}
}

type linkFunc func(address string, m *encoder.Message)

func (f linkFunc) Send(address string, m *encoder.Message) { f(address, m) }
