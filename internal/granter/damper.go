package granter

import "math"

// tolerance is by how much a gateway's share of a pool's demand may move before
// the grants follow.
const tolerance = 0.06

// Damper keeps grants from changing with every report of demand: it passes on
// the demand that it passed on last, until a gateway's share of it has moved by
// more than the tolerance. The zero value is ready. It is not safe for concurrent
// use.
type Damper struct {
	// passed is the demand passed on last, by pool.
	passed map[string]map[holder]float64
}

// Damp replaces the demand of the live gateways by what is to be acted on.
func (d *Damper) Damp(gateways []Gateway) {
	now := map[string]map[holder]float64{}
	for _, g := range gateways {
		for pool, v := range g.Demand {
			if now[pool] == nil {
				now[pool] = map[holder]float64{}
			}
			if g.Live {
				now[pool][holder{g.Name, g.Incarnation}] = v
			}
		}
	}
	if d.passed == nil {
		d.passed = map[string]map[holder]float64{}
	}
	for pool, demand := range now {
		if hasMoved(d.passed[pool], demand) {
			d.passed[pool] = demand
		}
	}
	for i := range gateways {
		g := &gateways[i]
		damped := map[string]float64{}
		for pool := range g.Demand {
			damped[pool] = d.passed[pool][holder{g.Name, g.Incarnation}]
		}
		g.Demand = damped
	}
}

// hasMoved reports whether a share of now differs from that of before by more
// than the tolerance.
func hasMoved(before, now map[holder]float64) bool {
	total := func(m map[holder]float64) float64 {
		sum := 0.0
		for _, v := range m {
			sum += v
		}
		return max(sum, math.SmallestNonzeroFloat64)
	}
	sumBefore, sumNow := total(before), total(now)
	for h, v := range now {
		if math.Abs(v/sumNow-before[h]/sumBefore) > tolerance {
			return true
		}
	}
	return false
}
