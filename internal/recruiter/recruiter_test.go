package recruiter

import (
	"testing"

	"github.com/carobrock/carobrock"
)

// TestSeatFor checks which member memberToReplace selects.
func TestSeatFor(t *testing.T) {
	voter := func(id uint64, name string, silent int64) carobrock.MemberStatus {
		return carobrock.MemberStatus{ID: id, Name: name, Address: name + ":1", Voter: true, SilentMillis: silent}
	}
	threeVoters := []carobrock.MemberStatus{voter(1, "a", 0), voter(2, "b", 10), voter(3, "c", 10)}
	for _, test := range []struct {
		name         string
		members      []carobrock.MemberStatus
		request      joinRequest
		wantReplaced uint64
		wantOK       bool
	}{
		{name: "full group, not admitted", members: threeVoters, request: joinRequest{ID: 9, Name: "d", Address: "d:1"}},
		{name: "lost data folder", members: threeVoters, request: joinRequest{ID: 9, Name: "b", Address: "b:1"}, wantReplaced: 2, wantOK: true},
		{name: "same address under another name", members: threeVoters, request: joinRequest{ID: 9, Name: "x", Address: "c:1"}, wantReplaced: 3, wantOK: true},
		{name: "silent member", members: []carobrock.MemberStatus{threeVoters[0], voter(2, "b", 2500), threeVoters[2]}, request: joinRequest{ID: 9, Name: "d", Address: "d:1"}, wantReplaced: 2, wantOK: true},
		{name: "two silent members, the one silent longer is replaced", members: []carobrock.MemberStatus{threeVoters[0], voter(2, "b", 2500), voter(3, "c", 9000)}, request: joinRequest{ID: 9, Name: "d", Address: "d:1"}, wantReplaced: 3, wantOK: true},
		{name: "group too small", members: threeVoters[:2], request: joinRequest{ID: 9, Name: "d", Address: "d:1"}, wantOK: true},
		{name: "leader is not replaced", members: []carobrock.MemberStatus{voter(1, "a", 9000), threeVoters[1], threeVoters[2]}, request: joinRequest{ID: 9, Name: "d", Address: "d:1"}},
		{name: "learner from an interrupted admission", members: []carobrock.MemberStatus{threeVoters[0], threeVoters[1], {ID: 9, Name: "d", Address: "d:1"}}, request: joinRequest{ID: 9, Name: "d", Address: "d:1"}, wantOK: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &Recruiter{}
			replacedID, ok := r.memberToReplace(&carobrock.ReplicaStatus{ID: 1, Members: test.members}, &test.request)
			if replacedID != test.wantReplaced || ok != test.wantOK {
				t.Errorf("replaced member %d, admitted %v; want %d, %v", replacedID, ok, test.wantReplaced, test.wantOK)
			}
		})
	}
}
