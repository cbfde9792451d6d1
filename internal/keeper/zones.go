package keeper

import (
	"fmt"
	"slices"

	"github.com/carobrock/carobrock"
)

// isKnownZone reports whether any part of the state names the zone.
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

func (k *Keeper) zone(name string) *zoneRow {
	z := k.state.Zones[name]
	if z == nil {
		z = &zoneRow{Zone: carobrock.Zone{Name: name}}
		k.state.Zones[name] = z
	}
	return z
}

func (k *Keeper) putZone(c *carobrock.PutZone, res *carobrock.Result) {
	if !k.isKnownZone(c.Name) {
		refuse(res, carobrock.CodeNotFound, fmt.Sprintf("there is no availability zone %q", c.Name))
		return
	}
	z := k.zone(c.Name)
	z.OutOfService = c.OutOfService
	z.Version++
	z.Index = res.Index
	res.Version = z.Version
	k.touchView(res)
}

// putVerdicts takes verdicts; one that is not newer than the known one on its
// subject is ignored.
func (k *Keeper) putVerdicts(c *carobrock.PutVerdicts, res *carobrock.Result) {
	for _, v := range c.Verdicts {
		if (v.VM == "") == (v.AvailabilityZone == "") {
			refuse(res, carobrock.CodeInvalid, "a verdict names either a VM or an availability zone")
			return
		}
	}
	for _, v := range c.Verdicts {
		if v.VM != "" {
			k.judgeVM(v, res)
		} else {
			k.judgeZone(v, res)
		}
	}
}

func (k *Keeper) judgeVM(v carobrock.Verdict, res *carobrock.Result) {
	row := k.state.VMs[v.VM]
	if row == nil {
		row = &vmRow{}
		k.state.VMs[v.VM] = row
	} else if v.Sequence <= row.Sequence {
		return
	}
	row.Down, row.Sequence, row.Index = v.Down, v.Sequence, res.Index
	k.touchView(res)
}

func (k *Keeper) judgeZone(v carobrock.Verdict, res *carobrock.Result) {
	z := k.zone(v.AvailabilityZone)
	if z.Sequence != 0 && v.Sequence <= z.Sequence {
		return
	}
	z.Down, z.Sequence, z.Index = v.Down, v.Sequence, res.Index
	k.touchView(res)
}

func (k *Keeper) isZoneUsable(name string) bool {
	z := k.state.Zones[name]
	return z == nil || z.IsUsable()
}

func (k *Keeper) isVMDown(name string) bool {
	row := k.state.VMs[name]
	return row != nil && row.Down
}
