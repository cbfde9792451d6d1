package admitter

import (
	"cmp"
	"slices"

	"github.com/carobrock/carobrock/internal/encoder"
)

// SettledVersion returns version if that version of the grant table is applied
// and no upstream has more requests in flight than granted slots. Otherwise it
// returns zero: the leader must not grant the slots to another gateway yet.
func (a *Admitter) SettledVersion(version uint64) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version != a.grantsVersion {
		return 0
	}
	for _, u := range a.upstreams {
		if u.inFlight > u.slots {
			return 0
		}
	}
	return version
}

// Demand returns the requests in flight and queued for each pool that has any,
// ordered by pool name.
func (a *Admitter) Demand() []*encoder.PoolDemand {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*encoder.PoolDemand
	for name, p := range a.pools {
		if p.inFlight == 0 && p.queue.Len() == 0 {
			continue
		}
		out = append(out, &encoder.PoolDemand{Pool: name, InFlight: uint64(p.inFlight), Queued: uint64(p.queue.Len())})
	}
	slices.SortFunc(out, func(x, y *encoder.PoolDemand) int { return cmp.Compare(x.GetPool(), y.GetPool()) })
	return out
}

// InFlight returns the number of requests that hold a slot.
func (a *Admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, u := range a.upstreams {
		n += u.inFlight
	}
	return n
}

// UpstreamState is the state of one upstream in the debug dump.
type UpstreamState struct {
	// Address is the upstream's address.
	Address string `json:"address"`
	// Slots and InFlight are the numbers of granted slots and of slots in use.
	Slots    int `json:"slots"`
	InFlight int `json:"inFlight"`
	// LatencyMicros is the exponential moving average of the time for which
	// requests hold a slot, in microseconds.
	LatencyMicros int64 `json:"latencyMicros"`
	// Failures is the number of consecutive failures.
	Failures int `json:"failures"`
}

// UpstreamStates returns the state of every upstream, ordered by address.
func (a *Admitter) UpstreamStates() []UpstreamState {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]UpstreamState, 0, len(a.upstreams))
	for _, u := range a.upstreams {
		out = append(out, UpstreamState{
			Address: u.address, Slots: u.slots, InFlight: u.inFlight,
			LatencyMicros: u.health.latency.Microseconds(), Failures: u.health.consecutiveFailures,
		})
	}
	slices.SortFunc(out, func(x, y UpstreamState) int { return cmp.Compare(x.Address, y.Address) })
	return out
}
