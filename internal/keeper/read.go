package keeper

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/carobrock/carobrock"
)

// ViewIndex returns the log index of the last change that affects the gateways'
// views.
func (k *Keeper) ViewIndex() uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.ViewIndex
}

// Index returns the log index of the last command applied.
func (k *Keeper) Index() uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.Index
}

// ViewDelta returns the changes for a gateway whose view has the index since, the
// index of the view after these changes, and whether the changes are the
// complete view. The view is complete if since is zero, or if it precedes the
// stored records of removed workers.
func (k *Keeper) ViewDelta(since uint64, gateway, incarnation string) (*carobrock.View, uint64, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	s := &k.state
	full := since == 0 || len(s.Removed) == maxRemoved && s.Removed[0].Index > since
	if full {
		since = 0
	}
	v := &carobrock.View{}
	if full || s.RoutesIndex > since {
		v.Routes = &s.Routes
	}
	if full || s.PoolsIndex > since {
		v.Pools = &s.Pools
	}
	if full || s.GrantsIndex > since {
		v.Grants = k.grantsOf(gateway, incarnation)
	}
	k.addChangedRows(v, since)
	return copyView(v), s.Index, full
}

// copyView copies the tables of v so that v does not share them with the state.
// A shallow copy is sufficient: the rows are replaced as a whole and never
// modified.
func copyView(v *carobrock.View) *carobrock.View {
	if v.Routes != nil {
		routes := *v.Routes
		v.Routes = &routes
	}
	if v.Pools != nil {
		pools := *v.Pools
		v.Pools = &pools
	}
	return v
}

// addChangedRows adds the zones, workers and VMs that changed after the index
// since to v.
func (k *Keeper) addChangedRows(v *carobrock.View, since uint64) {
	for _, z := range k.state.Zones {
		if z.Index > since {
			v.Zones = append(v.Zones, z.Zone)
		}
	}
	for _, w := range k.state.Workers {
		if w.Index > since {
			v.Workers = append(v.Workers, w.Worker)
		}
	}
	for name, row := range k.state.VMs {
		if row.Index > since {
			v.VMs = append(v.VMs, carobrock.VMState{Name: name, Down: row.Down})
		}
	}
	for _, row := range k.state.Removed {
		if row.Index > since && k.state.Workers[row.Name] == nil && since > 0 {
			v.Removed = append(v.Removed, row.Name)
		}
	}
}

// grantsOf returns the grants of one gateway incarnation.
func (k *Keeper) grantsOf(gateway, incarnation string) *carobrock.GrantTable {
	out := &carobrock.GrantTable{Version: k.state.Grants.Version}
	for _, g := range k.state.Grants.Rows {
		if g.Gateway == gateway && g.Incarnation == incarnation {
			out.Rows = append(out.Rows, g)
		}
	}
	return out
}

// Grants returns all grants.
func (k *Keeper) Grants() carobrock.GrantTable {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.Grants
}

// Routes returns the route table.
func (k *Keeper) Routes() carobrock.RouteTable {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.Routes
}

// Pools returns the pool table.
func (k *Keeper) Pools() carobrock.PoolTable {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.Pools
}

// Zones returns all availability zones that workers, pools, operators or
// verdicts refer to, ordered by name.
func (k *Keeper) Zones() []carobrock.Zone {
	k.mu.RLock()
	defer k.mu.RUnlock()
	known := map[string]carobrock.Zone{}
	for _, w := range k.state.Workers {
		known[w.AvailabilityZone] = carobrock.Zone{Name: w.AvailabilityZone}
	}
	for i := range k.state.Pools.Rows {
		for _, az := range k.state.Pools.Rows[i].AvailabilityZones {
			known[az] = carobrock.Zone{Name: az}
		}
	}
	for name, z := range k.state.Zones {
		known[name] = z.Zone
	}
	out := make([]carobrock.Zone, 0, len(known))
	for _, z := range known {
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b carobrock.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Worker returns the worker with the given name. The second result is false if
// there is none.
func (k *Keeper) Worker(name string) (carobrock.Worker, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	w := k.state.Workers[name]
	if w == nil {
		return carobrock.Worker{}, false
	}
	return w.Worker, true
}

// WorkerState is a worker with its committed capacity and its availability.
type WorkerState struct {
	carobrock.Worker
	// Free is the uncommitted capacity.
	Free carobrock.Capacity `json:"free"`
	// ZoneUsable is false while the worker's availability zone is out of
	// service or down.
	ZoneUsable bool `json:"zoneUsable"`
	// Down is set if the monitoring group reports the worker's VM as down.
	Down bool `json:"down"`
}

// Workers returns all workers, ordered by name.
func (k *Keeper) Workers() []WorkerState {
	k.mu.RLock()
	defer k.mu.RUnlock()
	out := make([]WorkerState, 0, len(k.state.Workers))
	for _, w := range k.state.Workers {
		out = append(out, WorkerState{
			Worker: w.Worker, Free: k.freeCapacity(&w.Worker), ZoneUsable: k.isZoneUsable(w.AvailabilityZone), Down: k.isVMDown(w.VM),
		})
	}
	slices.SortFunc(out, func(a, b WorkerState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Task returns the task with the given ID. The second result is false if there
// is none.
func (k *Keeper) Task(id string) (carobrock.Task, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	t := k.state.Tasks[id]
	if t == nil {
		return carobrock.Task{}, false
	}
	return copyTask(t), true
}

// Tasks returns the tasks for which keep returns true, in queue order: by
// descending priority, then by submission. The function keep must not retain or
// modify the task.
func (k *Keeper) Tasks(keep func(t *carobrock.Task) bool) []carobrock.Task {
	k.mu.RLock()
	var out []carobrock.Task
	for _, t := range k.state.Tasks {
		if keep(t) {
			out = append(out, copyTask(t))
		}
	}
	k.mu.RUnlock()
	slices.SortFunc(out, func(a, b carobrock.Task) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Submitted, b.Submitted))
	})
	return out
}

func copyTask(t *carobrock.Task) carobrock.Task {
	c := *t
	c.FailedOn = slices.Clone(t.FailedOn)
	return c
}

// AffectsView reports whether an encoded command can affect the gateways' views
// when it is applied.
func (k *Keeper) AffectsView(command []byte) bool {
	c := &carobrock.Command{}
	if err := json.Unmarshal(command, c); err != nil {
		return false
	}
	return c.PutTable != nil || c.PutZone != nil || c.PutVerdicts != nil || c.PutWorkers != nil || c.DropWorkers != nil || c.PutGrants != nil
}
