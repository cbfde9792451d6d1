package carobrock

// Route directs matching requests to a pool.
type Route struct {
	// Name identifies the route. It must be unique in its table and not empty.
	Name string `json:"name" yaml:"name"`
	// Host restricts the route to one host name, without a port. If empty, any
	// host matches.
	Host string `json:"host,omitempty" yaml:"host,omitempty"`
	// PathPrefix restricts the route to paths with this prefix. It must begin
	// with a slash.
	PathPrefix string `json:"pathPrefix" yaml:"pathPrefix"`
	// Pool names the pool that serves the route. The pool does not have to
	// exist.
	Pool string `json:"pool" yaml:"pool"`
	// Idempotent overrides whether a request may be retried. If nil, the
	// request method decides, according to RFC 9110, section 9.2.2.
	Idempotent *bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// TimeoutMillis is the timeout of the whole request, in milliseconds, 1 to
	// 600000. If zero, DefaultTimeoutMillis applies.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty" yaml:"timeoutMillis,omitempty"`
}

// Pool selects the workers and availability zones that may serve its routes and
// run its tasks.
type Pool struct {
	// Name identifies the pool. It must be unique in its table and not empty.
	Name string `json:"name" yaml:"name"`
	// Workers lists worker names or glob patterns in the syntax of path.Match.
	// If empty, all workers match.
	Workers []string `json:"workers,omitempty" yaml:"workers,omitempty"`
	// AvailabilityZones lists the availability zones that the pool may use. If
	// empty, the pool may use all of them.
	AvailabilityZones []string `json:"availabilityZones,omitempty" yaml:"availabilityZones,omitempty"`
}

// Limits of the tables.
const (
	// DefaultTimeoutMillis is the timeout of a request whose route sets none.
	DefaultTimeoutMillis = 10_000
	// MaxTimeoutMillis is the longest timeout that a route may set.
	MaxTimeoutMillis = 600_000
	// MaxTableRows is the maximum number of rows in a table.
	MaxTableRows = 10_000
)

// Table names one of the two tables that operators edit.
type Table string

// Values of Table.
const (
	TableRoutes Table = "routes"
	TablePools  Table = "pools"
)

// TablesFile is the content of a table file, which holds one of the tables or
// both. A nil slice means that the file does not contain that table.
type TablesFile struct {
	// Routes is the complete route table.
	Routes []Route `json:"routes,omitempty" yaml:"routes,omitempty"`
	// Pools is the complete pool table.
	Pools []Pool `json:"pools,omitempty" yaml:"pools,omitempty"`
}

// Zone is an availability zone with its two independent status flags.
type Zone struct {
	// Name identifies the availability zone.
	Name string `json:"name"`
	// OutOfService is set and cleared by operators only.
	OutOfService bool `json:"outOfService"`
	// Down is set and cleared by the monitoring group only.
	Down bool `json:"down"`
	// Version counts the operators' changes.
	Version uint64 `json:"version"`
}

// IsUsable reports whether the zone may get new work.
func (z Zone) IsUsable() bool { return !z.OutOfService && !z.Down }

// Verdict is the monitoring group's health verdict on one VM or one
// availability zone.
type Verdict struct {
	// VM names the VM. Exactly one of VM and AvailabilityZone is set.
	VM string `json:"vm,omitempty"`
	// AvailabilityZone names the availability zone.
	AvailabilityZone string `json:"availabilityZone,omitempty"`
	// Down is set if the VM or the availability zone is down.
	Down bool `json:"down"`
	// Sequence orders the verdicts on one VM or availability zone. A verdict is
	// ignored unless its sequence is greater than that of the newest known
	// verdict.
	Sequence uint64 `json:"sequence"`
}
