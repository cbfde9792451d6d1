package bookkeeper

import "github.com/carobrock/carobrock"

// firstZoneVersion is the version of an availability zone that was never changed.
const firstZoneVersion = 1

// ZoneVersion returns the version of an availability zone.
func (s *State) ZoneVersion(zone string) uint64 {
	return max(firstZoneVersion, s.ZoneVersions[zone])
}

// setZone applies a change of an availability zone. A change that is based on an
// earlier version has no effect: it was decided before the last one, and was held up
// on its way. setZone returns false for it, unless the zone is as it requests. A
// change makes a new version even if the zone already is as it requests, as it
// overtakes the earlier ones.
func (s *State) setZone(z carobrock.ZoneChange) bool {
	if z.BaseVersion != 0 {
		if z.BaseVersion < s.ZoneVersion(z.Name) {
			return s.OutOfServiceZones[z.Name] == z.OutOfService
		}
		// A replica that was restored from a snapshot of an earlier release may have
		// an earlier version than the one that the leader gave out.
		s.ZoneVersions[z.Name] = z.BaseVersion + 1
	}
	if z.OutOfService {
		s.OutOfServiceZones[z.Name] = true
	} else {
		delete(s.OutOfServiceZones, z.Name)
	}
	return true
}
