package carobrock

// View is what a gateway knows of the replicated state, or a change of it. In a
// change, a nil part is one that has not changed.
type View struct {
	// Routes is the table of routes.
	Routes *RouteTable `json:"routes,omitempty"`
	// Pools is the table of pools.
	Pools *PoolTable `json:"pools,omitempty"`
	// Zones are the changed availability zones.
	Zones []Zone `json:"zones,omitempty"`
	// Workers are the changed workers.
	Workers []Worker `json:"workers,omitempty"`
	// Removed names the workers that are gone.
	Removed []string `json:"removed,omitempty"`
	// VMs are the changed verdicts on VMs.
	VMs []VMState `json:"vms,omitempty"`
	// Grants are all grants of the gateway.
	Grants *GrantTable `json:"grants,omitempty"`
}

// RouteTable is the table of routes with its version.
type RouteTable struct {
	// Version counts the changes of the table, from 0 for the empty one.
	Version uint64 `json:"version"`
	// Rows are the routes.
	Rows []Route `json:"rows"`
}

// PoolTable is the table of pools with its version.
type PoolTable struct {
	// Version counts the changes of the table, from 0 for the empty one.
	Version uint64 `json:"version"`
	// Rows are the pools.
	Rows []Pool `json:"rows"`
}

// GrantTable is a set of grants with its version.
type GrantTable struct {
	// Version counts the changes of all grants.
	Version uint64 `json:"version"`
	// Rows are the grants.
	Rows []Grant `json:"rows"`
}

// VMState is the monitoring group's newest verdict on a VM.
type VMState struct {
	// Name identifies the VM.
	Name string `json:"vm"`
	// Down is the verdict.
	Down bool `json:"down"`
}
