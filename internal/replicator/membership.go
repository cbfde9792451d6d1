package replicator

import (
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
)

// refreshMembers takes the newest membership in the log, committed or not, as
// Ongaro (2014), section 4.1, asks for.
func (c *core) refreshMembers() {
	c.members, c.memberIndex = c.baseMembers, c.log.baseIndex
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		e := c.log.entries[i]
		if e.GetKind() != encoder.EntryKind_ENTRY_KIND_MEMBERS {
			continue
		}
		ms := &encoder.Members{}
		if proto.Unmarshal(e.GetData(), ms) == nil {
			c.members, c.memberIndex = ms, e.GetIndex()
			return
		}
	}
}

// membersAt returns the membership as of index, which must be in the log.
func (c *core) membersAt(index uint64) *encoder.Members {
	for i := int(index) - int(c.log.baseIndex) - 1; i >= 0; i-- {
		e := c.log.entries[i]
		if e.GetKind() != encoder.EntryKind_ENTRY_KIND_MEMBERS {
			continue
		}
		ms := &encoder.Members{}
		if proto.Unmarshal(e.GetData(), ms) == nil {
			return ms
		}
	}
	return c.baseMembers
}

// canChangeMembers reports whether the last change is committed and the leader
// has committed an entry of its own term. Without the second condition two
// leaders could change the membership into disjoint majorities.
func (c *core) canChangeMembers() bool {
	return c.role() == roleLeader && c.commit >= c.memberIndex && c.commit >= c.termStart
}

// withMember returns ms with m added or replaced.
func withMember(ms *encoder.Members, m *encoder.Member) *encoder.Members {
	out := withoutMember(ms, m.GetId())
	out.Members = append(out.Members, m)
	return out
}

// withoutMember returns ms without the member id.
func withoutMember(ms *encoder.Members, id uint64) *encoder.Members {
	out := &encoder.Members{}
	for _, m := range ms.GetMembers() {
		if m.GetId() != id {
			out.Members = append(out.Members, m)
		}
	}
	return out
}
