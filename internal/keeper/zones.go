package keeper

import (
	"fmt"
	"slices"

	"github.com/carobrock/carobrock"
)

// isKnownZone reports whether any part of the state refers to the availability
// zone.
func (k *Keeper) isKnownZone(name string) bool {
	if k.state.Zones[name] != nil {
		return true
	}
	for _, w := range k.state.Workers {
		if w.AvailabilityZone == name {
			return true
		}
	}
	for i := range k.state.Pools.Rows {
		if slices.Contains(k.state.Pools.Rows[i].AvailabilityZones, name) {
			return true
		}
	}
	return false
}

// findOrAddZone returns the row of an availability zone and creates it if
// necessary.
func (k *Keeper) findOrAddZone(name string) *zoneRow {
	z := k.state.Zones[name]
	if z == nil {
		z = &zoneRow{Zone: carobrock.Zone{Name: name}}
		k.state.Zones[name] = z
	}
	return z
}

// putZone sets the out-of-service flag of a known availability zone, unless the
// change is based on another version of the zone.
func (k *Keeper) putZone(c *carobrock.PutZone, res *carobrock.Result) {
	if !k.isKnownZone(c.Name) {
		refuseCommand(res, carobrock.CodeNotFound, fmt.Sprintf("there is no availability zone %q", c.Name))
		return
	}
	z := k.findOrAddZone(c.Name)
	if c.BaseVersion != nil && *c.BaseVersion != z.Version {
		res.Version = z.Version
		refuseCommand(res, carobrock.CodeConflict, fmt.Sprintf("availability zone %s: the change is based on version %d, the current one is %d", c.Name, *c.BaseVersion, z.Version))
		return
	}
	z.OutOfService = c.OutOfService
	z.Version++
	z.Index = res.Index
	res.Version = z.Version
	k.markViewChanged(res)
}

// putVerdicts records health verdicts. A verdict is ignored unless its sequence
// is greater than that of the last one on the same VM or zone.
func (k *Keeper) putVerdicts(c *carobrock.PutVerdicts, res *carobrock.Result) {
	for _, v := range c.Verdicts {
		if (v.VM == "") == (v.AvailabilityZone == "") {
			refuseCommand(res, carobrock.CodeInvalid, "a verdict names either a VM or an availability zone")
			return
		}
	}
	for _, v := range c.Verdicts {
		if v.VM != "" {
			k.recordVMVerdict(v, res)
		} else {
			k.recordZoneVerdict(v, res)
		}
	}
}

// recordVMVerdict records a verdict on a VM.
func (k *Keeper) recordVMVerdict(v carobrock.Verdict, res *carobrock.Result) {
	row := k.state.VMs[v.VM]
	if row == nil {
		row = &vmRow{}
		k.state.VMs[v.VM] = row
	} else if v.Sequence <= row.Sequence {
		return
	}
	row.Down, row.Sequence, row.Index = v.Down, v.Sequence, res.Index
	k.markViewChanged(res)
}

// recordZoneVerdict records a verdict on an availability zone.
func (k *Keeper) recordZoneVerdict(v carobrock.Verdict, res *carobrock.Result) {
	z := k.findOrAddZone(v.AvailabilityZone)
	if z.Sequence != 0 && v.Sequence <= z.Sequence {
		return
	}
	z.Down, z.Sequence, z.Index = v.Down, v.Sequence, res.Index
	k.markViewChanged(res)
}

func (k *Keeper) isZoneUsable(name string) bool {
	z := k.state.Zones[name]
	return z == nil || z.IsUsable()
}

func (k *Keeper) isVMDown(name string) bool {
	row := k.state.VMs[name]
	return row != nil && row.Down
}
