package recruiter

import (
	"testing"

	"github.com/carobrock/carobrock"
)

func TestSeatFor(t *testing.T) {
	voter := func(id uint64, name string, silent int64) carobrock.MemberStatus {
		return carobrock.MemberStatus{ID: id, Name: name, Address: name + ":1", Voter: true, SilentMillis: silent}
	}
	three := []carobrock.MemberStatus{voter(1, "a", 0), voter(2, "b", 10), voter(3, "c", 10)}
	for _, test := range []struct {
		name    string
		members []carobrock.MemberStatus
		joins   candidate
		leaving uint64
		ok      bool
	}{
		{name: "full group", members: three, joins: candidate{ID: 9, Name: "d", Address: "d:1"}},
		{name: "lost data folder", members: three, joins: candidate{ID: 9, Name: "b", Address: "b:1"}, leaving: 2, ok: true},
		{name: "same address under another name", members: three, joins: candidate{ID: 9, Name: "x", Address: "c:1"}, leaving: 3, ok: true},
		{name: "silent member", members: []carobrock.MemberStatus{three[0], voter(2, "b", 2500), three[2]}, joins: candidate{ID: 9, Name: "d", Address: "d:1"}, leaving: 2, ok: true},
		{name: "two silent members, the longer one goes", members: []carobrock.MemberStatus{three[0], voter(2, "b", 2500), voter(3, "c", 9000)}, joins: candidate{ID: 9, Name: "d", Address: "d:1"}, leaving: 3, ok: true},
		{name: "group too small", members: three[:2], joins: candidate{ID: 9, Name: "d", Address: "d:1"}, ok: true},
		{name: "the leader keeps its seat", members: []carobrock.MemberStatus{voter(1, "a", 9000), three[1], three[2]}, joins: candidate{ID: 9, Name: "d", Address: "d:1"}},
		{name: "learner of before goes on", members: []carobrock.MemberStatus{three[0], three[1], {ID: 9, Name: "d", Address: "d:1"}}, joins: candidate{ID: 9, Name: "d", Address: "d:1"}, ok: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &Recruiter{}
			leaving, ok := r.seatFor(&carobrock.ReplicaStatus{ID: 1, Members: test.members}, &test.joins)
			if leaving != test.leaving || ok != test.ok {
				t.Errorf("seat of %d, %v; want %d, %v", leaving, ok, test.leaving, test.ok)
			}
		})
	}
}
