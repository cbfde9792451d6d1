package carobrock

import (
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

// Configuration is the document that operators supply: the queues that accept
// jobs and the pools of workers that run them. Queues refer to pools by name.
type Configuration struct {
	// Version is the version number chosen by the operators. The configuration
	// with the highest version is in force.
	Version int64 `cbor:"1,keyasint"`
	// Queues lists the queues. Their keys are unique.
	Queues []Queue `cbor:"2,keyasint"`
	// Pools lists the pools of workers.
	Pools []WorkerPool `cbor:"3,keyasint"`
	// Document is the document as the operator sent it, byte for byte. Reads of
	// the configuration return it.
	Document []byte `cbor:"4,keyasint"`
	// RequiresKeys is set if the configuration lists client accounts. Calls on
	// queues that are not public then need a key of one of Accounts.
	RequiresKeys bool `cbor:"5,keyasint,omitempty"`
	// Accounts lists the client accounts. Their names and their keys are unique.
	Accounts []ClientAccount `cbor:"6,keyasint,omitempty"`
	// Limits are those of callers' requests and connections.
	Limits RequestLimits `cbor:"7,keyasint,omitzero"`
}

// ClientAccount is an account on whose behalf callers submit jobs.
type ClientAccount struct {
	// Name identifies the account.
	Name string `cbor:"1,keyasint"`
	// KeyDigests are the digests of the account's keys. The keys themselves are
	// only in the operator's document.
	KeyDigests []KeyDigest `cbor:"2,keyasint"`
	// Weight is the account's share of a full pool relative to the other accounts.
	// It is also the number of jobs a second up to which jobs come before those that
	// exceed the rate of their account.
	Weight float64 `cbor:"3,keyasint"`
	// Limit is what the account's runs may take up on all workers together. A
	// component that is zero is not limited.
	Limit Capacity `cbor:"4,keyasint"`
}

// KeyDigest is the SHA-256 digest of a caller's key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a caller's key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// AccountByName returns the account with the given name, or nil.
func (c *Configuration) AccountByName(name string) *ClientAccount {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// Queue accepts jobs submitted by requests for one host and path prefix.
type Queue struct {
	// Name is the name chosen by the operators.
	Name string `cbor:"1,keyasint"`
	// Host is the host name, without a port.
	Host string `cbor:"2,keyasint"`
	// PathPrefix is the prefix of the request path.
	PathPrefix string `cbor:"3,keyasint"`
	// Pool names the pool whose workers run the tasks of the jobs.
	Pool string `cbor:"4,keyasint"`
	// Priority orders the queues; 0 is the highest priority.
	Priority int `cbor:"5,keyasint"`
	// MaxAttempts is the number of failed runs of a task after which its job
	// fails.
	MaxAttempts int `cbor:"6,keyasint"`
	// StretchFactor and TargetMillis define the target completion time of a job:
	// StretchFactor times the length of its critical path plus TargetMillis, in
	// milliseconds.
	StretchFactor float64 `cbor:"7,keyasint"`
	TargetMillis  int64   `cbor:"8,keyasint"`
	// TimeoutMillis is the timeout of one request, in milliseconds.
	TimeoutMillis int64 `cbor:"9,keyasint"`
	// Policy is set if an Advisor decides which workers may run a step.
	Policy *AdvisorPolicy `cbor:"10,keyasint,omitempty"`
	// Public is set if calls need no key.
	Public bool `cbor:"11,keyasint,omitempty"`
}

// Key returns the identity of the queue across versions of the configuration.
func (q *Queue) Key() string { return q.Host + q.PathPrefix }

// AdvisorPolicy describes the latency of an Advisor and the validity of its
// tickets.
type AdvisorPolicy struct {
	// DecisionMillis and PerWorkerMillis give the expected duration of one
	// call, in milliseconds: DecisionMillis plus PerWorkerMillis for each
	// worker.
	DecisionMillis  int64 `cbor:"1,keyasint"`
	PerWorkerMillis int64 `cbor:"2,keyasint"`
	// ValidityMillis is the validity period of a ticket, in milliseconds.
	ValidityMillis int64 `cbor:"3,keyasint"`
}

// WorkerPool is a pool of workers.
type WorkerPool struct {
	// Name identifies the pool.
	Name string `cbor:"1,keyasint"`
	// HealthPath is the HTTP path of a worker's health check.
	HealthPath string `cbor:"2,keyasint"`
	// EnforcesConstraints is set if the workers themselves refuse tasks that do
	// not fit.
	EnforcesConstraints bool `cbor:"3,keyasint"`
	// Standby is set if the pool's machines are powered off.
	Standby bool `cbor:"4,keyasint"`
}

// ErrConfiguration reports an invalid configuration.
var ErrConfiguration = eris.New("carobrock: the configuration is not valid")

// Check returns an error that wraps ErrConfiguration and describes the first
// invalid queue of c, or nil if c is valid.
func (c *Configuration) Check() error {
	pools := map[string]bool{}
	for i := range c.Pools {
		pools[c.Pools[i].Name] = true
		if err := checkText(c.Pools[i].Name, c.Pools[i].HealthPath); err != nil {
			return eris.Wrap(ErrConfiguration, err.Error())
		}
	}
	keys := map[string]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		if err := checkText(q.Name, q.Host, q.PathPrefix); err != nil {
			return eris.Wrap(ErrConfiguration, err.Error())
		}
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
	return c.checkAccounts()
}

// checkAccounts returns an error that wraps ErrConfiguration and describes the first
// invalid client account, or nil if all are valid.
func (c *Configuration) checkAccounts() error {
	names, owners := map[string]bool{}, map[KeyDigest]string{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if err := checkText(a.Name); err != nil {
			return eris.Wrap(ErrConfiguration, err.Error())
		}
		switch {
		case a.Name == "":
			return eris.Wrap(ErrConfiguration, "a client account has no name")
		case names[a.Name]:
			return eris.Wrapf(ErrConfiguration, "two client accounts have the name %q", a.Name)
		case !(a.Weight >= 0 && a.Weight <= MaxAmount):
			return eris.Wrapf(ErrConfiguration, "the weight of client account %q is out of range", a.Name)
		case !a.Limit.isWithinLimits():
			return eris.Wrapf(ErrConfiguration, "the limit of client account %q is out of range", a.Name)
		}
		names[a.Name] = true
		for _, d := range a.KeyDigests {
			if owner, ok := owners[d]; ok && owner != a.Name {
				return eris.Wrapf(ErrConfiguration, "client accounts %q and %q share a key", owner, a.Name)
			}
			owners[d] = a.Name
		}
	}
	return nil
}
