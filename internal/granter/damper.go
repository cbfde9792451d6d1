package granter

import "math"

// shareTolerance is the change in a gateway's share of a pool's demand above
// which the grants are adjusted.
const shareTolerance = 0.06

// Damper keeps grants from changing with every report of demand: it returns the
// same demand until a gateway's share of it has changed by more than
// shareTolerance. The zero value is ready to use. It is not safe for concurrent
// use.
type Damper struct {
	// lastDemand is the demand returned last, by pool.
	lastDemand map[string]map[gatewayID]float64
}

// DampDemand replaces the demand of the gateways by the demand on which Plan
// should act. Gateways that are not live count as without demand.
func (d *Damper) DampDemand(gateways []Gateway) {
	current := map[string]map[gatewayID]float64{}
	for _, g := range gateways {
		for pool, v := range g.Demand {
			if current[pool] == nil {
				current[pool] = map[gatewayID]float64{}
			}
			if g.Live {
				current[pool][gatewayID{g.Name, g.Incarnation}] = v
			}
		}
	}
	if d.lastDemand == nil {
		d.lastDemand = map[string]map[gatewayID]float64{}
	}
	for pool, demand := range current {
		if haveSharesChanged(d.lastDemand[pool], demand) {
			d.lastDemand[pool] = demand
		}
	}
	for i := range gateways {
		g := &gateways[i]
		damped := map[string]float64{}
		for pool := range g.Demand {
			damped[pool] = d.lastDemand[pool][gatewayID{g.Name, g.Incarnation}]
		}
		g.Demand = damped
	}
}

// haveSharesChanged reports whether the share of any gateway differs between
// previous and current by more than shareTolerance.
func haveSharesChanged(previous, current map[gatewayID]float64) bool {
	total := func(m map[gatewayID]float64) float64 {
		sum := 0.0
		for _, v := range m {
			sum += v
		}
		return max(sum, math.SmallestNonzeroFloat64)
	}
	previousTotal, currentTotal := total(previous), total(current)
	for id, v := range current {
		if math.Abs(v/currentTotal-previous[id]/previousTotal) > shareTolerance {
			return true
		}
	}
	return false
}
