package watcher

import (
	"cmp"
	"slices"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/router"
)

// Catalog is an immutable view, indexed for the handling of requests.
type Catalog struct {
	// Index is the log index of the state that the catalog represents.
	Index uint64
	// Routes matches requests to routes.
	Routes *router.Table
	// RoutesVersion and PoolsVersion are the versions of the route and pool
	// tables.
	RoutesVersion uint64
	PoolsVersion  uint64
	// Pools holds the pools by name.
	Pools map[string]*PoolView
	// GrantsVersion is the version of the grants.
	GrantsVersion uint64
	// Upstreams holds all known service endpoints by address.
	Upstreams map[string]*Upstream
}

// PoolView is a pool with the endpoints that can serve it.
type PoolView struct {
	carobrock.Pool
	// Upstreams lists the endpoints that may get new requests, ordered by
	// address.
	Upstreams []*Upstream
}

// Upstream is a service endpoint with the grant that this gateway holds on it.
type Upstream struct {
	// Address is the address at which the endpoint accepts requests.
	Address string
	// Worker, VM and AvailabilityZone give the location of the endpoint.
	Worker           string
	VM               string
	AvailabilityZone string
	// Slots is the maximum number of requests that this gateway may have in
	// flight at the endpoint.
	Slots int
	// HeldSlots is the number of slots that the leader does not grant to others yet,
	// because this gateway has not confirmed the present grant.
	HeldSlots int
	// TargetSlots is the target number of slots of this gateway. The gateway reaches
	// it as other gateways release slots.
	TargetSlots int
	// Connections is the maximum number of connections that this gateway may
	// hold to the endpoint.
	Connections int
	// Usable is false while the endpoint must not get new requests.
	Usable bool
}

// viewState is the mutable view to which deltas are applied.
type viewState struct {
	index   uint64
	routes  carobrock.RouteTable
	pools   carobrock.PoolTable
	zones   map[string]carobrock.Zone
	workers map[string]carobrock.Worker
	downVMs map[string]bool
	grants  carobrock.GrantTable
}

func newViewState() *viewState {
	return &viewState{zones: map[string]carobrock.Zone{}, workers: map[string]carobrock.Worker{}, downVMs: map[string]bool{}}
}

// applyDelta applies a delta. If full is set, v replaces the view.
func (m *viewState) applyDelta(v *carobrock.View, index uint64, full bool) {
	if full {
		*m = *newViewState()
	}
	m.index = index
	if v.Routes != nil {
		m.routes = *v.Routes
	}
	if v.Pools != nil {
		m.pools = *v.Pools
	}
	if v.Grants != nil {
		m.grants = *v.Grants
	}
	for _, z := range v.Zones {
		m.zones[z.Name] = z
	}
	for _, name := range v.Removed {
		delete(m.workers, name)
	}
	for _, w := range v.Workers {
		m.workers[w.Name] = w
	}
	for _, vm := range v.VMs {
		m.downVMs[vm.Name] = vm.Down
	}
}

// buildCatalog builds a Catalog from the view.
func (m *viewState) buildCatalog() *Catalog {
	c := &Catalog{
		Index: m.index, Routes: router.New(m.routes.Rows), RoutesVersion: m.routes.Version, PoolsVersion: m.pools.Version,
		Pools: map[string]*PoolView{}, GrantsVersion: m.grants.Version, Upstreams: map[string]*Upstream{},
	}
	for _, p := range m.pools.Rows {
		c.Pools[p.Name] = &PoolView{Pool: p}
	}
	granted := map[string]carobrock.Grant{}
	for _, g := range m.grants.Rows {
		granted[g.Upstream] = g
	}
	for _, w := range m.workers {
		for _, s := range w.Services {
			m.addUpstream(c, &w, &s, granted[s.Address])
		}
	}
	for _, p := range c.Pools {
		slices.SortFunc(p.Upstreams, func(a, b *Upstream) int { return cmp.Compare(a.Address, b.Address) })
	}
	return c
}

// addUpstream adds a service endpoint of w to the catalog. The grant g is zero if
// the gateway holds none.
func (m *viewState) addUpstream(c *Catalog, w *carobrock.Worker, s *carobrock.Service, g carobrock.Grant) {
	zone, known := m.zones[w.AvailabilityZone]
	u := &Upstream{
		Address: s.Address, Worker: w.Name, VM: w.VM, AvailabilityZone: w.AvailabilityZone,
		Slots: g.Slots, HeldSlots: g.HeldSlots, TargetSlots: g.TargetSlots, Connections: g.Connections,
		Usable: !w.Leaving && !m.downVMs[w.VM] && (!known || zone.IsUsable()),
	}
	c.Upstreams[s.Address] = u
	p := c.Pools[s.Pool]
	if u.Usable && p != nil && p.Allows(w) {
		p.Upstreams = append(p.Upstreams, u)
	}
}

// HoldsSlots reports whether this gateway is granted any slots, or the leader does
// not grant them to others yet.
func (c *Catalog) HoldsSlots() bool {
	for _, u := range c.Upstreams {
		if u.Slots > 0 || u.HeldSlots > 0 {
			return true
		}
	}
	return false
}

// HasEnoughSlots reports whether this gateway holds at least 90 % of its target
// number of slots, and at least one.
func (c *Catalog) HasEnoughSlots() bool {
	slots, targetSlots := 0, 0
	for _, u := range c.Upstreams {
		slots += u.Slots
		targetSlots += u.TargetSlots
	}
	return slots > 0 && float64(slots) >= minSlotShare*float64(targetSlots)
}

// minSlotShare is the share of its target number of slots that a gateway needs
// before it starts to serve.
const minSlotShare = 0.9

// HasUsableUpstream reports whether any upstream may get new requests.
func (c *Catalog) HasUsableUpstream() bool {
	for _, u := range c.Upstreams {
		if u.Usable {
			return true
		}
	}
	return false
}
