package admitter

import (
	"cmp"
	"slices"

	"github.com/carobrock/carobrock/internal/encoder"
)

// Settled returns version if it is in force and no upstream is used beyond its
// grant, else zero: the leader must not give the slots to another gateway yet.
func (a *Admitter) Settled(version uint64) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version != a.version {
		return 0
	}
	for _, u := range a.upstreams {
		if u.inFlight > u.slots {
			return 0
		}
	}
	return version
}

// Demand returns the load of each pool, by name.
func (a *Admitter) Demand() []*encoder.PoolDemand {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*encoder.PoolDemand
	for name, p := range a.pools {
		if p.inFlight == 0 && p.waiting.Len() == 0 {
			continue
		}
		out = append(out, &encoder.PoolDemand{Pool: name, InFlight: uint64(p.inFlight), Queued: uint64(p.waiting.Len())})
	}
	slices.SortFunc(out, func(x, y *encoder.PoolDemand) int { return cmp.Compare(x.GetPool(), y.GetPool()) })
	return out
}

// InFlight returns how many requests hold a slot.
func (a *Admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, u := range a.upstreams {
		n += u.inFlight
	}
	return n
}

// UpstreamState is the use of one upstream, for the dump.
type UpstreamState struct {
	// Address is the upstream's address.
	Address string `json:"address"`
	// Slots and InFlight are the granted and the used slots.
	Slots    int `json:"slots"`
	InFlight int `json:"inFlight"`
	// LatencyMicros is the smoothed time to an answer, in microseconds.
	LatencyMicros int64 `json:"latencyMicros"`
	// Failures counts the failures in a row.
	Failures int `json:"failures"`
}

// State returns the use of every upstream, by address.
func (a *Admitter) State() []UpstreamState {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]UpstreamState, 0, len(a.upstreams))
	for _, u := range a.upstreams {
		out = append(out, UpstreamState{
			Address: u.address, Slots: u.slots, InFlight: u.inFlight,
			LatencyMicros: u.health.latency.Microseconds(), Failures: u.health.failures,
		})
	}
	slices.SortFunc(out, func(x, y UpstreamState) int { return cmp.Compare(x.Address, y.Address) })
	return out
}
