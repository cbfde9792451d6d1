package carobrock

// View is a gateway's view of the replicated state, or a delta of it. In a
// delta, nil fields are unchanged.
type View struct {
	// Routes is the route table.
	Routes *RouteTable `json:"routes,omitempty"`
	// Pools is the pool table.
	Pools *PoolTable `json:"pools,omitempty"`
	// Zones lists the changed availability zones.
	Zones []Zone `json:"zones,omitempty"`
	// Workers lists the changed workers.
	Workers []Worker `json:"workers,omitempty"`
	// Removed lists the names of removed workers.
	Removed []string `json:"removed,omitempty"`
	// VMs lists the changed health verdicts on VMs.
	VMs []VMState `json:"vms,omitempty"`
	// Grants holds all grants of the gateway.
	Grants *GrantTable `json:"grants,omitempty"`
}

// RouteTable is the route table with its version.
type RouteTable struct {
	// Version is the number of changes made to the table. It is 0 for the
	// initial, empty table.
	Version uint64  `json:"version"`
	Rows    []Route `json:"rows"`
}

// PoolTable is the pool table with its version.
type PoolTable struct {
	// Version is the number of changes made to the table. It is 0 for the
	// initial, empty table.
	Version uint64 `json:"version"`
	Rows    []Pool `json:"rows"`
}

// GrantTable is a set of grants with its version.
type GrantTable struct {
	// Version is the number of changes made to the set of all grants.
	Version uint64  `json:"version"`
	Rows    []Grant `json:"rows"`
}

// VMState is the newest health verdict on a VM.
type VMState struct {
	// Name identifies the VM.
	Name string `json:"vm"`
	// Down is set if the VM is down.
	Down bool `json:"down"`
}
