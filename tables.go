package carobrock

// Route sends the requests that match it to a pool.
type Route struct {
	// Name identifies the route. It is unique in its table and not empty.
	Name string `json:"name" yaml:"name"`
	// Host limits the route to one host name, without a port. Empty: any host.
	Host string `json:"host,omitempty" yaml:"host,omitempty"`
	// PathPrefix limits the route to the paths that begin with it. It begins
	// with a slash.
	PathPrefix string `json:"pathPrefix" yaml:"pathPrefix"`
	// Pool names the pool that serves the route. The pool need not exist.
	Pool string `json:"pool" yaml:"pool"`
	// Idempotent overrides whether a request may be repeated. Nil: the
	// request's method decides, as RFC 9110, section 9.2.2, says.
	Idempotent *bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// TimeoutMillis bounds the whole request, in milliseconds, 1 to 600000.
	// Zero: DefaultTimeoutMillis.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty" yaml:"timeoutMillis,omitempty"`
}

// Pool names the workers and availability zones that may serve its routes and
// run its tasks.
type Pool struct {
	// Name identifies the pool. It is unique in its table and not empty.
	Name string `json:"name" yaml:"name"`
	// Workers holds names of workers or glob patterns, as path.Match reads
	// them. Empty: all workers.
	Workers []string `json:"workers,omitempty" yaml:"workers,omitempty"`
	// AvailabilityZones lists the zones that the pool may use. Empty: all.
	AvailabilityZones []string `json:"availabilityZones,omitempty" yaml:"availabilityZones,omitempty"`
}

// Limits of the tables.
const (
	// DefaultTimeoutMillis bounds a request whose route sets no timeout.
	DefaultTimeoutMillis = 10_000
	// MaxTimeoutMillis is the longest timeout that a route may set.
	MaxTimeoutMillis = 600_000
	// MaxTableRows is the most rows that a table may hold.
	MaxTableRows = 10_000
)

// Table is the name of one of the two tables that operators edit.
type Table string

// The tables.
const (
	TableRoutes Table = "routes"
	TablePools  Table = "pools"
)

// TablesFile is the content of a table file. A file holds either table or
// both; a nil slice means that the file does not hold that table.
type TablesFile struct {
	// Routes is the whole table of routes.
	Routes []Route `json:"routes,omitempty" yaml:"routes,omitempty"`
	// Pools is the whole table of pools.
	Pools []Pool `json:"pools,omitempty" yaml:"pools,omitempty"`
}

// Zone is an availability zone with its two independent bits.
type Zone struct {
	// Name identifies the availability zone.
	Name string `json:"name"`
	// OutOfService is set and cleared by operators.
	OutOfService bool `json:"outOfService"`
	// Down is set and cleared by the monitoring group alone.
	Down bool `json:"down"`
}

// IsUsable reports whether the zone may get new work.
func (z Zone) IsUsable() bool { return !z.OutOfService && !z.Down }

// Verdict is the monitoring group's word on one VM or one availability zone.
type Verdict struct {
	// VM names the VM. Exactly one of VM and AvailabilityZone is set.
	VM string `json:"vm,omitempty"`
	// AvailabilityZone names the availability zone.
	AvailabilityZone string `json:"availabilityZone,omitempty"`
	// Down is the verdict.
	Down bool `json:"down"`
	// Sequence orders the verdicts on one subject. A verdict whose sequence is
	// not above the newest one known is ignored.
	Sequence uint64 `json:"sequence"`
}
