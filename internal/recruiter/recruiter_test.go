package recruiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
			replacedID, ok := memberToReplace(r.describeMembers(&carobrock.ReplicaStatus{ID: 1, Members: test.members}), r.wantVoters(), &test.request)
			if replacedID != test.wantReplaced || ok != test.wantOK {
				t.Errorf("replaced member %d, admitted %v; want %d, %v", replacedID, ok, test.wantReplaced, test.wantOK)
			}
		})
	}
}

// TestVotersSpreadOverZones admits replicas in random order and checks that the
// group ends with enough voters, so spread that it survives the loss of any one
// availability zone and of any tolerated number of VMs, wherever that is possible.
func TestVotersSpreadOverZones(t *testing.T) {
	for zones := 1; zones <= 7; zones++ {
		for replicas := max(3, zones); replicas <= 15; replicas++ {
			for tolerated := 1; tolerated <= 3; tolerated++ {
				for seed := range uint64(5) {
					checkSpread(t, zones, replicas, 2*tolerated+1, seed)
				}
			}
		}
	}
}

func checkSpread(t *testing.T, zones, replicas, wantVoters int, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, uint64(100*zones+replicas)))
	zoneOf := func(id uint64) string { return fmt.Sprint("az", (id-1)%uint64(zones)) }
	newMember := func(id uint64) member {
		m := member{zone: zoneOf(id), isSelf: id == 1}
		m.ID, m.Name, m.Address, m.Voter = id, fmt.Sprint("r", id), fmt.Sprint("r", id, ":1"), true
		return m
	}
	// The group is formed by up to three replicas that happen to start first.
	members := []member{newMember(1)}
	for _, i := range rnd.Perm(replicas - 1)[:2] {
		members = append(members, newMember(uint64(i)+2))
	}
	for range 20 * replicas {
		id := uint64(rnd.IntN(replicas)) + 1
		if slices.ContainsFunc(members, func(m member) bool { return m.ID == id }) {
			continue
		}
		m := newMember(id)
		replacedID, ok := memberToReplace(members, wantVoters, &joinRequest{ID: id, Name: m.Name, Address: m.Address, AvailabilityZone: m.zone})
		if !ok {
			continue
		}
		members = slices.DeleteFunc(members, func(m member) bool { return m.ID == replacedID })
		members = append(members, m)
	}
	perZone, available := map[string]int{}, map[string]int{}
	for _, m := range members {
		perZone[m.zone]++
	}
	for id := range uint64(replicas) {
		available[zoneOf(id+1)]++
	}
	if len(members) != min(wantVoters, replicas) {
		t.Fatalf("%d zones, %d replicas, seed %d: %d voters, want %d", zones, replicas, seed, len(members), wantVoters)
	}
	limit, possible := (wantVoters-1)/2, 0
	for _, n := range available {
		possible += min(n, limit)
	}
	for zone, n := range perZone {
		if possible >= wantVoters && n > limit {
			t.Errorf("%d zones, %d replicas, seed %d: %d of %d voters in %s, want at most %d", zones, replicas, seed, n, wantVoters, zone, limit)
		}
	}
}

// Guards against a group that keeps a dead voter after an interrupted admission.
func TestSurplusVoterIsRemoved(t *testing.T) {
	voter := func(id uint64, zone string, silentMillis int64) member {
		m := member{zone: zone, isSelf: id == 1, isSilent: silentMillis >= DefaultSilentAfter.Milliseconds()}
		m.ID, m.Voter, m.SilentMillis = id, true, silentMillis
		return m
	}
	learner := member{zone: "z1"}
	learner.ID = 9
	for _, test := range []struct {
		name    string
		members []member
		want    uint64
		wantOK  bool
	}{
		{name: "no surplus", members: []member{voter(1, "z1", 0), voter(2, "z2", 9000), voter(3, "z3", 10)}},
		{name: "learners do not count", members: []member{voter(1, "z1", 0), voter(2, "z2", 0), voter(3, "z3", 10), learner}},
		{name: "silent voter", members: []member{voter(1, "z1", 0), voter(2, "z1", 0), voter(3, "z2", 3000), voter(4, "z3", 10)}, want: 3, wantOK: true},
		{name: "longest silent voter", members: []member{voter(1, "z1", 0), voter(2, "z1", 2500), voter(3, "z2", 3000), voter(4, "z3", 2200)}, want: 3, wantOK: true},
		{name: "all respond, fullest zone", members: []member{voter(1, "z1", 0), voter(2, "z2", 100), voter(3, "z1", 10), voter(4, "z3", 50)}, want: 3, wantOK: true},
		{name: "never the leader", members: []member{voter(1, "z1", 9000), voter(2, "z2", 10), voter(3, "z3", 10), voter(4, "z4", 10)}, want: 2, wantOK: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, ok := surplusVoter(test.members, defaultVoters)
			if got != test.want || ok != test.wantOK {
				t.Errorf("surplus voter %d, %v; want %d, %v", got, ok, test.want, test.wantOK)
			}
		})
	}
}
