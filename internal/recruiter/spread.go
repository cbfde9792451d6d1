package recruiter

import "github.com/carobrock/carobrock"

// member is a member of the group as memberToReplace sees it.
type member struct {
	carobrock.MemberStatus
	// zone is the member's availability zone, empty if it is not known yet.
	zone string
	// isSilent is set if the member has not responded for some time, isSelf for the
	// leader.
	isSilent bool
	isSelf   bool
}

// memberToReplace returns the ID of the member that the requesting replica
// replaces, zero if it becomes an additional voter, and whether the replica may be
// admitted. The group keeps a majority when any one availability zone is lost if
// no zone has more than half of the voters, rounded down; so a replica from a zone
// that has fewer voters may replace a voter of a zone that has more.
func memberToReplace(members []member, wantVoters int, request *joinRequest) (uint64, bool) {
	var silent, excess *member
	voters, perZone := 0, map[string]int{}
	for i := range members {
		m := &members[i]
		if m.ID == request.ID {
			continue
		}
		if !m.isSelf && (m.Name == request.Name || m.Address == request.Address) {
			return m.ID, true // a new ID with the same name or address means that the replica has lost its data directory
		}
		if m.Voter {
			voters++
			perZone[m.zone]++
		}
		if !m.isSelf && m.isSilent && (silent == nil || m.SilentMillis > silent.SilentMillis) {
			silent = m
		}
	}
	maxPerZone := (wantVoters - 1) / 2
	inZone := func(zone string) int {
		if zone == "" {
			return 0 // unknown
		}
		return perZone[zone]
	}
	for i := range members {
		m := &members[i]
		if m.Voter && !m.isSelf && inZone(m.zone) > maxPerZone && inZone(request.AvailabilityZone) < maxPerZone {
			excess = m
		}
	}
	switch {
	case silent != nil:
		return silent.ID, true
	case voters < wantVoters:
		return 0, true
	case excess != nil:
		return excess.ID, true
	default:
		return 0, false
	}
}

// surplusVoter returns the ID of the voter to remove and whether there are more
// than wantVoters voters. It is the voter that has been silent for the longest
// time, else one in the availability zone with the most voters. It is never the
// leader.
func surplusVoter(members []member, wantVoters int) (uint64, bool) {
	voters, perZone := 0, map[string]int{}
	for i := range members {
		if members[i].Voter {
			voters++
			perZone[members[i].zone]++
		}
	}
	if voters <= wantVoters {
		return 0, false
	}
	var surplus *member
	for i := range members {
		m := &members[i]
		if !m.Voter || m.isSelf {
			continue
		}
		switch {
		case surplus == nil, m.isSilent && !surplus.isSilent:
			surplus = m
		case m.isSilent != surplus.isSilent:
		case m.isSilent && m.SilentMillis > surplus.SilentMillis, !m.isSilent && perZone[m.zone] > perZone[surplus.zone]:
			surplus = m
		}
	}
	return surplus.ID, true
}
