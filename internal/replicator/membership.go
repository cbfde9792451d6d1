package replicator

import (
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
)

// reloadMembers sets the membership to the newest one in the log, committed or
// not, as Ongaro (2014), section 4.1, requires.
func (c *core) reloadMembers() {
	c.members, c.membersIndex = c.baseMembers, c.log.baseIndex
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		e := c.log.entries[i]
		if e.GetKind() != encoder.EntryKind_ENTRY_KIND_MEMBERS {
			continue
		}
		ms := &encoder.Members{}
		if proto.Unmarshal(e.GetData(), ms) == nil {
			c.members, c.membersIndex = ms, e.GetIndex()
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

// canChangeMembers reports whether this replica leads, the last membership change
// is committed, and the leader has committed an entry of its own term. Without
// the last condition two leaders could change the membership into disjoint
// majorities.
func (c *core) canChangeMembers() bool {
	return c.role() == roleLeader && c.commitIndex >= c.membersIndex && c.commitIndex >= c.noOpIndex
}

// withMember returns a copy of ms in which m is added or replaces the member with
// the same ID.
func withMember(ms *encoder.Members, m *encoder.Member) *encoder.Members {
	out := withoutMember(ms, m.GetId())
	out.Members = append(out.Members, m)
	return out
}

// withoutMember returns a copy of ms without the member with the given ID.
func withoutMember(ms *encoder.Members, id uint64) *encoder.Members {
	out := &encoder.Members{}
	for _, m := range ms.GetMembers() {
		if m.GetId() != id {
			out.Members = append(out.Members, m)
		}
	}
	return out
}
