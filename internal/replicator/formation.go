package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
)

// A group is formed once. The replica with the lowest name among the initial
// members asks all of them who they are. If, and only if, every one of them has
// never held any state, it writes the first membership, with the incarnations
// that it was told. Those that answer that they hold no seat are left out. So a replica that has lost its disk never forms a second
// group beside the first: the others are not fresh.

// isFresh reports whether this replica has never held any state.
func (c *core) isFresh() bool {
	return c.term == 0 && c.log.last() == 0
}

func (c *core) tickForming(now time.Time) {
	if now.Sub(c.lastBeat) < c.beat {
		return
	}
	c.lastBeat = now
	for _, m := range c.initial {
		if m.GetName() != c.self.GetName() {
			c.probe(m.GetAddress())
		}
	}
	c.form(now)
}

// probe asks who listens on address.
func (c *core) probe(address string) {
	m := c.message(encoder.MessageKind_MESSAGE_KIND_PROBE, 0)
	m.ToAddress = address
	m.Sender = c.self
	c.early = append(c.early, m)
}

func (c *core) onProbe(m *encoder.Message) {
	a := c.message(encoder.MessageKind_MESSAGE_KIND_PROBE_ANSWER, m.GetFrom())
	a.ToAddress = m.GetSender().GetAddress()
	a.Sender = c.self
	a.Fresh = c.isFresh()
	c.late = append(c.late, a)
}

func (c *core) onProbeAnswer(now time.Time, m *encoder.Message) {
	c.seen[m.GetSender().GetAddress()] = m
	if c.role() == roleForming {
		c.form(now)
	}
}

// form writes the first membership if this replica is to do it and all initial
// members are known to be fresh.
func (c *core) form(now time.Time) {
	if !c.isFresh() {
		return
	}
	ms := &encoder.Members{}
	for _, want := range c.initial {
		if c.isSeatless(want) {
			continue
		}
		if want.GetName() < c.self.GetName() {
			return
		}
		m := c.freshMember(want)
		if m == nil {
			return
		}
		ms.Members = append(ms.Members, m)
	}
	data, err := proto.Marshal(ms)
	if err != nil {
		return
	}
	c.term = 1
	c.hardChanged = true
	first := &encoder.Entry{Term: 1, Index: 1, Kind: encoder.EntryKind_ENTRY_KIND_MEMBERS, Data: data}
	c.accept([]*encoder.Entry{first})
	c.chart.Fire(eventFormed)
	c.campaign(now, true)
}

// isSeatless reports whether an initial member has answered that it is a process
// without a replica.
func (c *core) isSeatless(want *encoder.Member) bool {
	m := c.seen[want.GetAddress()]
	return m != nil && m.GetSender().GetName() == want.GetName() && m.GetSender().GetId() == 0
}

// AnswerSeatless answers a replica's question who is there for a process without
// a replica. Other messages are dropped.
func AnswerSeatless(link carobrock.Link, self *encoder.Member, m *encoder.Message) {
	if m.GetKind() != encoder.MessageKind_MESSAGE_KIND_PROBE {
		return
	}
	link.Send(m.GetSender().GetAddress(), &encoder.Message{
		Kind: encoder.MessageKind_MESSAGE_KIND_PROBE_ANSWER, To: m.GetFrom(), ToAddress: m.GetSender().GetAddress(),
		Sender: &encoder.Member{Name: self.GetName(), Address: self.GetAddress()},
	})
}

// freshMember returns the initial member want with its incarnation, or nil if
// it has not answered or is not fresh.
func (c *core) freshMember(want *encoder.Member) *encoder.Member {
	id := c.self.GetId()
	if want.GetName() != c.self.GetName() {
		m := c.seen[want.GetAddress()]
		if m == nil || !m.GetFresh() || m.GetSender().GetName() != want.GetName() {
			return nil
		}
		id = m.GetSender().GetId()
	}
	return &encoder.Member{Id: id, Name: want.GetName(), Address: want.GetAddress(), Voter: true}
}
