package keeper

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/carobrock/carobrock"
)

// ViewIndex returns the index of the last change that is part of the gateways'
// view.
func (k *Keeper) ViewIndex() uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.ViewIndex
}

// Index returns the index of the last command applied.
func (k *Keeper) Index() uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.Index
}

// Delta returns what changed for a gateway behind the index since, the index
// that the gateway then has, and whether the delta is the whole view. A since of
// zero gives the whole view; so does one that is too old to know the removals.
func (k *Keeper) Delta(since uint64, gateway, incarnation string) (*carobrock.View, uint64, bool) {
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
	k.addRows(v, since)
	return copyView(v), s.Index, full
}

// copyView detaches v from the state: the tables' rows are replaced and never
// changed in place, so that copying the headers is enough.
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

func (k *Keeper) addRows(v *carobrock.View, since uint64) {
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

// Routes returns the table of routes.
func (k *Keeper) Routes() carobrock.RouteTable {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.Routes
}

// Pools returns the table of pools.
func (k *Keeper) Pools() carobrock.PoolTable {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.Pools
}

// Zones returns every zone that the state names, by name.
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

// Worker returns a worker, and false if there is none of that name.
func (k *Keeper) Worker(name string) (carobrock.Worker, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	w := k.state.Workers[name]
	if w == nil {
		return carobrock.Worker{}, false
	}
	return w.Worker, true
}

// WorkerState is a worker with what the state says of its use.
type WorkerState struct {
	carobrock.Worker
	// Free is the capacity that nothing is committed to.
	Free carobrock.Capacity `json:"free"`
	// ZoneUsable is false while its availability zone is out of service or down.
	ZoneUsable bool `json:"zoneUsable"`
	// Down is the monitoring group's verdict on its VM.
	Down bool `json:"down"`
}

// Workers returns all workers, by name.
func (k *Keeper) Workers() []WorkerState {
	k.mu.RLock()
	defer k.mu.RUnlock()
	out := make([]WorkerState, 0, len(k.state.Workers))
	for _, w := range k.state.Workers {
		out = append(out, WorkerState{
			Worker: w.Worker, Free: k.free(&w.Worker), ZoneUsable: k.isZoneUsable(w.AvailabilityZone), Down: k.isVMDown(w.VM),
		})
	}
	slices.SortFunc(out, func(a, b WorkerState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Task returns a task, and false if there is none of that ID.
func (k *Keeper) Task(id string) (carobrock.Task, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	t := k.state.Tasks[id]
	if t == nil {
		return carobrock.Task{}, false
	}
	return copyTask(t), true
}

// Tasks returns the tasks for which keep returns true, in queue order: highest
// priority first, then by submission. Keep must not keep or change the task.
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

// ChangesView reports whether a command, once applied, can change a gateway's
// view.
func (k *Keeper) ChangesView(command []byte) bool {
	c := &carobrock.Command{}
	if err := json.Unmarshal(command, c); err != nil {
		return false
	}
	return c.PutTable != nil || c.PutZone != nil || c.PutVerdicts != nil || c.PutWorkers != nil || c.DropWorkers != nil || c.PutGrants != nil
}
