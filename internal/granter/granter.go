// Package granter decides how the slots of the upstreams are shared out among
// the gateways.
//
// Plan is a pure function. A slot is given to another gateway only after its
// holder has said that it keeps to the smaller grant, or can no longer use it.
package granter

import (
	"cmp"
	"slices"

	"github.com/carobrock/carobrock"
)

// Gateway is a gateway as the leader knows it.
type Gateway struct {
	// Name and Incarnation identify the gateway.
	Name        string
	Incarnation string
	// Live is set while the gateway may get grants.
	Live bool
	// Expired is set when the gateway can no longer use any grant.
	Expired bool
	// Settled is the version of the grants that the gateway keeps to.
	Settled uint64
	// Demand is the smoothed number of requests in flight and waiting, by pool.
	Demand map[string]float64
}

// Input is all that Plan looks at.
type Input struct {
	// Current are the grants in force.
	Current carobrock.GrantTable
	// Services are the endpoints to share out.
	Services []carobrock.Service
	// Gateways are the gateways, at most one element each.
	Gateways []Gateway
}

type holder struct{ gateway, incarnation string }

type grantKey struct {
	holder
	upstream string
}

// Plan returns the grants that should follow the current ones, ordered by
// upstream and gateway: slots follow the gateways' demand. Nobody is granted
// what another may still use, so it can take several plans to get there.
func Plan(in *Input) []carobrock.Grant {
	live, settled, expired := sortGateways(in.Gateways)
	weights := weigh(in, live)
	rows := map[grantKey]*carobrock.Grant{}
	for _, g := range in.Current.Rows {
		h := holder{g.Gateway, g.Incarnation}
		if expired[h] {
			continue
		}
		if settled[h] >= in.Current.Version {
			g.Held, g.HeldConnections = g.Slots, g.Connections
		}
		rows[grantKey{h, g.Upstream}] = &g
	}
	services := slices.Clone(in.Services)
	slices.SortFunc(services, func(a, b carobrock.Service) int { return cmp.Compare(a.Address, b.Address) })
	share := map[grantKey]int{}
	owed := map[string][]float64{}
	for _, s := range services {
		if owed[s.Pool] == nil {
			owed[s.Pool] = make([]float64, len(live))
		}
		for j, n := range split(s.Slots, weights[s.Pool], owed[s.Pool]) {
			share[grantKey{live[j], s.Address}] = n
		}
	}
	shrink(rows, share, services)
	for _, s := range services {
		grow(rows, share, s, live)
	}
	for key, g := range rows {
		g.Wanted = share[key]
	}
	return collect(rows)
}

func sortGateways(gateways []Gateway) (live []holder, settled map[holder]uint64, expired map[holder]bool) {
	settled, expired = map[holder]uint64{}, map[holder]bool{}
	for _, g := range gateways {
		h := holder{g.Name, g.Incarnation}
		settled[h], expired[h] = g.Settled, g.Expired
		if g.Live {
			live = append(live, h)
		}
	}
	slices.SortFunc(live, func(a, b holder) int {
		return cmp.Or(cmp.Compare(a.gateway, b.gateway), cmp.Compare(a.incarnation, b.incarnation))
	})
	return live, settled, expired
}

// weigh returns the weights of the live gateways, in their order, for each pool.
func weigh(in *Input, live []holder) map[string][]float64 {
	demand := map[holder]map[string]float64{}
	for _, g := range in.Gateways {
		demand[holder{g.Name, g.Incarnation}] = g.Demand
	}
	out := map[string][]float64{}
	for _, s := range in.Services {
		if out[s.Pool] != nil {
			continue
		}
		want := make([]float64, len(live))
		for j, h := range live {
			want[j] = demand[h][s.Pool]
		}
		out[s.Pool] = mix(want)
	}
	return out
}

// floorShare is the share of the slots that is split equally whatever the
// demand, so that a gateway whose load begins has slots at once.
const floorShare = 0.3

// mix returns weights of which a part is equal and the rest follows want.
func mix(want []float64) []float64 {
	sum := 0.0
	for _, w := range want {
		sum += w
	}
	out := make([]float64, len(want))
	for j, w := range want {
		out[j] = 1 / float64(len(want))
		if sum > 0 {
			out[j] = floorShare*out[j] + (1-floorShare)*w/sum
		}
	}
	return out
}

// split returns whole shares of slots by weight: what exceeds whole numbers goes
// to those who are owed most, as in the method of largest remainders (Hamilton).
// What remains owed is carried on to the next upstream in owed, so that the sums
// over many upstreams follow the weights.
func split(slots int, weights, owed []float64) []int {
	n := len(weights)
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	shares := make([]int, n)
	if n == 0 || sum == 0 {
		return shares
	}
	left := slots
	order := make([]int, n)
	for j, w := range weights {
		exact := float64(slots) * w / sum
		shares[j] = int(exact)
		owed[j] += exact - float64(shares[j])
		left -= shares[j]
		order[j] = j
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(owed[b], owed[a]) })
	for _, j := range order[:left] {
		shares[j]++
		owed[j]--
	}
	return shares
}

// shrink lowers the grants that are above their share. What was held stays held
// until the gateway has settled.
func shrink(rows map[grantKey]*carobrock.Grant, share map[grantKey]int, services []carobrock.Service) {
	perSlot := map[string]int{}
	for _, s := range services {
		perSlot[s.Address] = connectionsPerSlot(s)
	}
	for key, g := range rows {
		g.Slots = min(g.Slots, share[key])
		g.Connections = min(g.Connections, g.Slots*perSlot[key.upstream])
	}
}

func connectionsPerSlot(s carobrock.Service) int {
	if s.Slots == 0 {
		return 0
	}
	return max(1, s.Connections/s.Slots)
}

// grow raises the grants that are below their share, as far as slots and
// connections are free that nobody holds.
func grow(rows map[grantKey]*carobrock.Grant, share map[grantKey]int, s carobrock.Service, live []holder) {
	slots, connections := s.Slots, s.Connections
	for key, g := range rows {
		if key.upstream == s.Address {
			slots -= g.Held
			connections -= g.HeldConnections
		}
	}
	for _, h := range live {
		key := grantKey{h, s.Address}
		g := rows[key]
		if g == nil {
			g = &carobrock.Grant{Gateway: h.gateway, Incarnation: h.incarnation, Upstream: s.Address}
			rows[key] = g
		}
		slots -= raise(&g.Slots, &g.Held, share[key], slots)
		connections -= raise(&g.Connections, &g.HeldConnections, g.Slots*connectionsPerSlot(s), connections)
	}
}

// raise lifts value to target as far as what is already held and room allow. It
// returns how much of room it took.
func raise(value, held *int, target, room int) int {
	if target <= *value {
		return 0
	}
	most := min(target, *held+max(0, room))
	*value = max(*value, most)
	took := max(0, *value-*held)
	*held += took
	return took
}

func collect(rows map[grantKey]*carobrock.Grant) []carobrock.Grant {
	out := make([]carobrock.Grant, 0, len(rows))
	for _, g := range rows {
		if g.Held > 0 || g.HeldConnections > 0 || g.Wanted > 0 {
			out = append(out, *g)
		}
	}
	slices.SortFunc(out, func(a, b carobrock.Grant) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}
