package carobrock

import "github.com/rotisserie/eris"

// Configuration is the operators' whole document: the queues that take jobs
// and the pools that run them, joined by the pools' names.
type Configuration struct {
	// Version is the operators' number; the highest one is in force.
	Version int64 `cbor:"1,keyasint"`
	// Queues take jobs. No two have the same Key.
	Queues []Queue `cbor:"2,keyasint"`
	// Pools run them.
	Pools []WorkerPool `cbor:"3,keyasint"`
	// Document is what the operator sent, byte for byte; it is what a read of
	// the configuration returns.
	Document []byte `cbor:"4,keyasint"`
}

// Queue takes the jobs of requests for one host and path prefix.
type Queue struct {
	// Name is the operators' name.
	Name string `cbor:"1,keyasint"`
	// Host is the host name, without a port.
	Host string `cbor:"2,keyasint"`
	// PathPrefix is the beginning of the path.
	PathPrefix string `cbor:"3,keyasint"`
	// Pool names the pool whose workers run the tasks.
	Pool string `cbor:"4,keyasint"`
	// Priority orders the queues; 0 comes first.
	Priority int `cbor:"5,keyasint"`
	// MaxAttempts is how many runs of a task may fail before its job does.
	MaxAttempts int `cbor:"6,keyasint"`
	// Stretch times the longest chain of work, plus TargetMillis, is the time
	// within which a job should be done.
	Stretch      float64 `cbor:"7,keyasint"`
	TargetMillis int64   `cbor:"8,keyasint"`
	// TimeoutMillis bounds one request.
	TimeoutMillis int64 `cbor:"9,keyasint"`
	// Policy is set if an advisor decides which workers may run a step.
	Policy *AdvisorPolicy `cbor:"10,keyasint,omitempty"`
}

// Key identifies the queue over all versions of the configuration.
func (q *Queue) Key() string { return q.Host + q.PathPrefix }

// AdvisorPolicy tells how long an advisor takes and for how long its tickets
// hold.
type AdvisorPolicy struct {
	// DecisionMillis and PerWorkerMillis add up to the time of one call.
	DecisionMillis  int64 `cbor:"1,keyasint"`
	PerWorkerMillis int64 `cbor:"2,keyasint"`
	// ValidityMillis is how long a ticket holds.
	ValidityMillis int64 `cbor:"3,keyasint"`
}

// WorkerPool is a pool of workers.
type WorkerPool struct {
	// Name identifies the pool.
	Name string `cbor:"1,keyasint"`
	// HealthPath is where a worker answers about its health.
	HealthPath string `cbor:"2,keyasint"`
	// Guarded is set if the workers themselves refuse what does not fit.
	Guarded bool `cbor:"3,keyasint"`
	// Standby is set if the pool's machines are off.
	Standby bool `cbor:"4,keyasint"`
}

// QueueByKey returns the queue with a key, or nil.
func (c *Configuration) QueueByKey(key string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Key() == key {
			return &c.Queues[i]
		}
	}
	return nil
}

// ErrConfiguration reports that a configuration is not valid.
var ErrConfiguration = eris.New("carobrock: the configuration is not valid")

// Check returns ErrConfiguration with the first fault of c, or nil.
func (c *Configuration) Check() error {
	pools := map[string]bool{}
	for i := range c.Pools {
		pools[c.Pools[i].Name] = true
	}
	keys := map[string]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		switch {
		case q.PathPrefix == "" || q.Host == "":
			return eris.Wrapf(ErrConfiguration, "queue %q has no host or no path prefix", q.Name)
		case !pools[q.Pool]:
			return eris.Wrapf(ErrConfiguration, "queue %q names the unknown pool %q", q.Name, q.Pool)
		case keys[q.Key()]:
			return eris.Wrapf(ErrConfiguration, "queue %q takes the same requests as another", q.Name)
		case q.TimeoutMillis <= 0:
			return eris.Wrapf(ErrConfiguration, "queue %q has no timeout", q.Name)
		}
		keys[q.Key()] = true
	}
	return nil
}
