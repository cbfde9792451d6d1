package watcher

import (
	"cmp"
	"slices"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/router"
)

// Catalog is the view that is in force, prepared for requests. It does not
// change after it was made.
type Catalog struct {
	// Index is the state machine's index that the catalog shows.
	Index uint64
	// Routes finds the route of a request.
	Routes *router.Table
	// RoutesVersion and PoolsVersion are the versions of the tables.
	RoutesVersion uint64
	PoolsVersion  uint64
	// Pools holds the pools by name.
	Pools map[string]*PoolView
	// GrantsVersion is the version of the grants.
	GrantsVersion uint64
	// Upstreams holds every service endpoint that is known, by address.
	Upstreams map[string]*Upstream
}

// PoolView is a pool with the endpoints that may serve it.
type PoolView struct {
	carobrock.Pool
	// Upstreams are the endpoints that may get new requests, by address.
	Upstreams []*Upstream
}

// Upstream is a service endpoint with what this gateway may use of it.
type Upstream struct {
	// Address is where the endpoint takes requests.
	Address string
	// Worker, VM and AvailabilityZone tell where it is.
	Worker           string
	VM               string
	AvailabilityZone string
	// Slots is how many requests this gateway may have in flight there.
	Slots int
	// Wanted is how many slots this gateway is to get there as others give them
	// up.
	Wanted int
	// Connections is how many connections this gateway may hold there.
	Connections int
	// Usable is false while it may get no new request.
	Usable bool
}

// model is the view as the deltas built it up.
type model struct {
	index   uint64
	routes  carobrock.RouteTable
	pools   carobrock.PoolTable
	zones   map[string]carobrock.Zone
	workers map[string]carobrock.Worker
	downVMs map[string]bool
	grants  carobrock.GrantTable
}

func newModel() *model {
	return &model{zones: map[string]carobrock.Zone{}, workers: map[string]carobrock.Worker{}, downVMs: map[string]bool{}}
}

// apply adds a delta, or with full set starts anew with it.
func (m *model) apply(v *carobrock.View, index uint64, full bool) {
	if full {
		*m = *newModel()
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

// catalog prepares the model for requests.
func (m *model) catalog() *Catalog {
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

func (m *model) addUpstream(c *Catalog, w *carobrock.Worker, s *carobrock.Service, g carobrock.Grant) {
	zone, known := m.zones[w.AvailabilityZone]
	u := &Upstream{
		Address: s.Address, Worker: w.Name, VM: w.VM, AvailabilityZone: w.AvailabilityZone,
		Slots: g.Slots, Wanted: g.Wanted, Connections: g.Connections,
		Usable: !w.Leaving && !m.downVMs[w.VM] && (!known || zone.IsUsable()),
	}
	c.Upstreams[s.Address] = u
	p := c.Pools[s.Pool]
	if u.Usable && p != nil && p.Allows(w) {
		p.Upstreams = append(p.Upstreams, u)
	}
}

// HoldsSlots reports whether this gateway has a grant.
func (c *Catalog) HoldsSlots() bool {
	for _, u := range c.Upstreams {
		if u.Slots > 0 {
			return true
		}
	}
	return false
}

// IsEquipped reports whether this gateway has nearly all the slots that it is to
// get.
func (c *Catalog) IsEquipped() bool {
	slots, wanted := 0, 0
	for _, u := range c.Upstreams {
		slots += u.Slots
		wanted += u.Wanted
	}
	return slots > 0 && float64(slots) >= equippedShare*float64(wanted)
}

// equippedShare is the share of the wanted slots that a gateway needs to begin.
const equippedShare = 0.9

// HasUsableUpstream reports whether any upstream may get requests.
func (c *Catalog) HasUsableUpstream() bool {
	for _, u := range c.Upstreams {
		if u.Usable {
			return true
		}
	}
	return false
}
