// Package granter divides the slots of the upstreams among the gateways.
//
// Plan is a pure function. A slot is granted to another gateway only after its
// holder has confirmed that it complies with a smaller grant, or can no longer
// use the slot.
package granter

import (
	"cmp"
	"slices"

	"github.com/carobrock/carobrock"
)

// Gateway is the leader's view of a gateway.
type Gateway struct {
	// Name and Incarnation identify the gateway.
	Name        string
	Incarnation string
	// Live reports whether the gateway may receive grants.
	Live bool
	// Expired reports whether the gateway can no longer use any grant.
	Expired bool
	// SettledVersion is the version of the grant table with which the gateway
	// has confirmed that it complies: it has applied that version and has no
	// more requests in flight to any upstream than granted slots.
	SettledVersion uint64
	// Demand is the smoothed number of requests in flight and queued, by pool.
	Demand map[string]float64
}

// Input is the input of Plan.
type Input struct {
	// Current is the current grant table.
	Current carobrock.GrantTable
	// Services are the endpoints whose slots are divided.
	Services []carobrock.Service
	// Gateways are the known gateways, each at most once.
	Gateways []Gateway
}

// gatewayID identifies one incarnation of a gateway.
type gatewayID struct{ gateway, incarnation string }

// grantID identifies the grant of one upstream's slots to a gateway.
type grantID struct {
	gatewayID
	upstream string
}

// Plan returns the grants that should replace the current ones, ordered by
// upstream and gateway. The division of slots follows the demand of the
// gateways. A slot that another gateway may still use is not granted, so
// reaching the target division can take several plans.
func Plan(in *Input) []carobrock.Grant {
	live, settled, expired := classifyGateways(in.Gateways)
	weights := poolWeights(in, live)
	grants := map[grantID]*carobrock.Grant{}
	for _, g := range in.Current.Rows {
		id := gatewayID{g.Gateway, g.Incarnation}
		if expired[id] {
			continue
		}
		if settled[id] >= in.Current.Version {
			g.HeldSlots, g.HeldConnections = g.Slots, g.Connections
		}
		grants[grantID{id, g.Upstream}] = &g
	}
	services := slices.Clone(in.Services)
	slices.SortFunc(services, func(a, b carobrock.Service) int { return cmp.Compare(a.Address, b.Address) })
	shares := map[grantID]int{}
	remainders := map[string][]float64{}
	for _, s := range services {
		if remainders[s.Pool] == nil {
			remainders[s.Pool] = make([]float64, len(live))
		}
		for j, n := range splitSlots(s.Slots, weights[s.Pool], remainders[s.Pool]) {
			shares[grantID{live[j], s.Address}] = n
		}
	}
	lowerGrants(grants, shares, services)
	for _, s := range services {
		raiseGrants(grants, shares, s, live)
	}
	for key, g := range grants {
		g.TargetSlots = shares[key]
	}
	return sortedGrants(grants)
}

// classifyGateways returns the live gateways in a fixed order, the version with
// which each gateway has confirmed that it complies, and the expired gateways.
func classifyGateways(gateways []Gateway) (live []gatewayID, settled map[gatewayID]uint64, expired map[gatewayID]bool) {
	settled, expired = map[gatewayID]uint64{}, map[gatewayID]bool{}
	for _, g := range gateways {
		id := gatewayID{g.Name, g.Incarnation}
		settled[id], expired[id] = g.SettledVersion, g.Expired
		if g.Live {
			live = append(live, id)
		}
	}
	slices.SortFunc(live, func(a, b gatewayID) int {
		return cmp.Or(cmp.Compare(a.gateway, b.gateway), cmp.Compare(a.incarnation, b.incarnation))
	})
	return live, settled, expired
}

// poolWeights returns, for each pool, the weights of the live gateways in the
// order of live.
func poolWeights(in *Input, live []gatewayID) map[string][]float64 {
	demand := map[gatewayID]map[string]float64{}
	for _, g := range in.Gateways {
		demand[gatewayID{g.Name, g.Incarnation}] = g.Demand
	}
	out := map[string][]float64{}
	for _, s := range in.Services {
		if out[s.Pool] != nil {
			continue
		}
		demands := make([]float64, len(live))
		for j, id := range live {
			demands[j] = demand[id][s.Pool]
		}
		out[s.Pool] = blendWeights(demands)
	}
	return out
}

// equalShare is the share of the slots that is divided equally whatever the
// demand, so that a gateway whose load starts to rise has slots at once.
const equalShare = 0.3

// blendWeights returns weights of which equalShare is equal and the rest is
// proportional to demands. Without demand all weights are equal.
func blendWeights(demands []float64) []float64 {
	sum := 0.0
	for _, d := range demands {
		sum += d
	}
	out := make([]float64, len(demands))
	for j, d := range demands {
		out[j] = 1 / float64(len(demands))
		if sum > 0 {
			out[j] = equalShare*out[j] + (1-equalShare)*d/sum
		}
	}
	return out
}

// splitSlots divides slots into whole shares by weight. The slots that remain
// after rounding down go to the largest remainders (Hamilton's method).
// remainders accumulates each gateway's rounding error from one upstream to the
// next, so that the sums over many upstreams follow the weights.
func splitSlots(slots int, weights, remainders []float64) []int {
	n := len(weights)
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	shares := make([]int, n)
	if n == 0 || sum == 0 {
		return shares
	}
	remaining := slots
	order := make([]int, n)
	for j, w := range weights {
		quota := float64(slots) * w / sum
		shares[j] = int(quota)
		remainders[j] += quota - float64(shares[j])
		remaining -= shares[j]
		order[j] = j
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for _, j := range order[:remaining] {
		shares[j]++
		remainders[j]--
	}
	return shares
}

// lowerGrants lowers the grants that are above their share. The held slots and
// connections are unchanged: the gateway may use them until it has confirmed
// that it complies with the lower grant.
func lowerGrants(grants map[grantID]*carobrock.Grant, shares map[grantID]int, services []carobrock.Service) {
	perSlot := map[string]int{}
	for _, s := range services {
		perSlot[s.Address] = connectionsPerSlot(s)
	}
	for key, g := range grants {
		g.Slots = min(g.Slots, shares[key])
		g.Connections = min(g.Connections, g.Slots*perSlot[key.upstream])
	}
}

func connectionsPerSlot(s carobrock.Service) int {
	if s.Slots == 0 {
		return 0
	}
	return max(1, s.Connections/s.Slots)
}

// raiseGrants raises the grants that are below their share, as far as there are
// slots and connections that no gateway holds.
func raiseGrants(grants map[grantID]*carobrock.Grant, shares map[grantID]int, s carobrock.Service, live []gatewayID) {
	slots, connections := s.Slots, s.Connections
	for key, g := range grants {
		if key.upstream == s.Address {
			slots -= g.HeldSlots
			connections -= g.HeldConnections
		}
	}
	for _, id := range live {
		key := grantID{id, s.Address}
		g := grants[key]
		if g == nil {
			g = &carobrock.Grant{Gateway: id.gateway, Incarnation: id.incarnation, Upstream: s.Address}
			grants[key] = g
		}
		slots -= raiseGrant(&g.Slots, &g.HeldSlots, shares[key], slots)
		connections -= raiseGrant(&g.Connections, &g.HeldConnections, g.Slots*connectionsPerSlot(s), connections)
	}
}

// raiseGrant raises value towards target, limited by held plus available. It
// returns the amount taken from available.
func raiseGrant(value, held *int, target, available int) int {
	if target <= *value {
		return 0
	}
	limit := min(target, *held+max(0, available))
	*value = max(*value, limit)
	taken := max(0, *value-*held)
	*held += taken
	return taken
}

// sortedGrants returns the grants that are not empty, ordered by upstream,
// gateway and incarnation.
func sortedGrants(grants map[grantID]*carobrock.Grant) []carobrock.Grant {
	out := make([]carobrock.Grant, 0, len(grants))
	for _, g := range grants {
		if g.HeldSlots > 0 || g.HeldConnections > 0 || g.TargetSlots > 0 {
			out = append(out, *g)
		}
	}
	slices.SortFunc(out, func(a, b carobrock.Grant) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}
