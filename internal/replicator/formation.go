package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
)

// A group is formed once. The replica with the lowest name among the initial
// members probes all of them. Only if every one of them reports that it has never
// held any state does it write the first membership, with the incarnations from
// the responses. Members that report that they run no replica are left out. A
// replica that has lost its disk therefore never forms a second group beside the
// first, because the other members are not fresh.

// isFresh reports whether this replica has never held any state.
func (c *core) isFresh() bool {
	return c.term == 0 && c.log.lastIndex() == 0
}

func (c *core) handleFormingTick(now time.Time) {
	if now.Sub(c.lastBroadcast) < c.heartbeatInterval {
		return
	}
	c.lastBroadcast = now
	for _, m := range c.initialMembers {
		if m.GetName() != c.self.GetName() {
			c.sendProbe(m.GetAddress())
		}
	}
	c.formGroup(now)
}

// sendProbe asks the process that listens on address for its identity.
func (c *core) sendProbe(address string) {
	m := c.newMessage(encoder.MessageKind_MESSAGE_KIND_PROBE, 0)
	m.ToAddress = address
	m.Sender = c.self
	c.immediateMessages = append(c.immediateMessages, m)
}

func (c *core) handleProbe(m *encoder.Message) {
	response := c.newMessage(encoder.MessageKind_MESSAGE_KIND_PROBE_ANSWER, m.GetFrom())
	response.ToAddress = m.GetSender().GetAddress()
	response.Sender = c.self
	response.Fresh = c.isFresh()
	c.deferredMessages = append(c.deferredMessages, response)
}

func (c *core) handleProbeResponse(now time.Time, m *encoder.Message) {
	c.probeResponses[m.GetSender().GetAddress()] = m
	if c.role() == roleForming {
		c.formGroup(now)
	}
}

// formGroup writes the first membership if this replica has the lowest name among
// the initial members that run a replica and all of those are known to be fresh.
func (c *core) formGroup(now time.Time) {
	if !c.isFresh() {
		return
	}
	ms := &encoder.Members{}
	for _, initial := range c.initialMembers {
		if c.hasNoReplica(initial) {
			continue
		}
		if initial.GetName() < c.self.GetName() {
			return
		}
		m := c.freshInitialMember(initial)
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
	c.hardStateChanged = true
	membersEntry := &encoder.Entry{Term: 1, Index: 1, Kind: encoder.EntryKind_ENTRY_KIND_MEMBERS, Data: data}
	c.appendEntries([]*encoder.Entry{membersEntry})
	c.roleMachine.Fire(eventFormed)
	c.startElection(now, true)
}

// hasNoReplica reports whether an initial member has responded that it runs no
// replica.
func (c *core) hasNoReplica(initial *encoder.Member) bool {
	m := c.probeResponses[initial.GetAddress()]
	return m != nil && m.GetSender().GetName() == initial.GetName() && m.GetSender().GetId() == 0
}

// AnswerProbeWithoutReplica answers a probe on behalf of a process without a
// replica. It drops all other messages.
func AnswerProbeWithoutReplica(transport carobrock.Transport, self *encoder.Member, m *encoder.Message) {
	if m.GetKind() != encoder.MessageKind_MESSAGE_KIND_PROBE {
		return
	}
	transport.Send(m.GetSender().GetAddress(), &encoder.Message{
		Kind: encoder.MessageKind_MESSAGE_KIND_PROBE_ANSWER, To: m.GetFrom(), ToAddress: m.GetSender().GetAddress(),
		Sender: &encoder.Member{Name: self.GetName(), Address: self.GetAddress()},
	})
}

// freshInitialMember returns the member record of initial with its incarnation as
// ID, or nil if that member has not responded or is not fresh.
func (c *core) freshInitialMember(initial *encoder.Member) *encoder.Member {
	id := c.self.GetId()
	if initial.GetName() != c.self.GetName() {
		m := c.probeResponses[initial.GetAddress()]
		if m == nil || !m.GetFresh() || m.GetSender().GetName() != initial.GetName() {
			return nil
		}
		id = m.GetSender().GetId()
	}
	return &encoder.Member{Id: id, Name: initial.GetName(), Address: initial.GetAddress(), Voter: true}
}
