package granter

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/carobrock/carobrock"
)

// TestMain fixes the seed of rapid, so that every run performs the same checks.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestSplitSlots(t *testing.T) {
	for _, slots := range []int{0, 1, 7, 8, 9, 64} {
		for _, n := range []int{1, 2, 3, 9, 11} {
			weights := make([]float64, n)
			for j := range weights {
				weights[j] = 1
			}
			sums := make([]int, n)
			remainders := make([]float64, n)
			for upstream := range 10 * n {
				total, minShare, maxShare := 0, slots, 0
				for j, share := range splitSlots(slots, weights, remainders) {
					total += share
					sums[j] += share
					minShare, maxShare = min(minShare, share), max(maxShare, share)
				}
				if total != slots || maxShare-minShare > 1 {
					t.Errorf("splitSlots of %d slots over %d equal weights, upstream %d: sum %d, shares %d to %d", slots, n, upstream, total, minShare, maxShare)
				}
			}
			for j := range sums {
				if sums[j] < 10*slots-1 || sums[j] > 10*slots+1 {
					t.Errorf("%d slots over %d upstreams give gateway %d of %d %d slots, want about %d", slots, 10*n, j, n, sums[j], 10*slots)
				}
			}
		}
	}
}

// TestSlotsFollowDemand checks that a gateway with more demand gets more slots,
// that one without demand keeps some, and that small changes have no effect.
func TestSlotsFollowDemand(t *testing.T) {
	in := &Input{}
	for i := range 10 {
		in.Services = append(in.Services, carobrock.Service{Pool: "p", Address: fmt.Sprint("u", i), Slots: 8, Connections: 64})
	}
	damper := &Damper{}
	plan := func(demand ...float64) map[string]int {
		in.Gateways = nil
		for j, d := range demand {
			in.Gateways = append(in.Gateways, Gateway{
				Name: fmt.Sprint("g", j), Live: true, SettledVersion: in.Current.Version, Demand: map[string]float64{"p": d},
			})
		}
		damper.DampDemand(in.Gateways)
		for range 4 {
			in.Current = carobrock.GrantTable{Version: in.Current.Version + 1, Rows: Plan(in)}
			for j := range in.Gateways {
				in.Gateways[j].SettledVersion = in.Current.Version
			}
		}
		out := map[string]int{}
		for _, g := range in.Current.Rows {
			out[g.Gateway] += g.Slots
		}
		return out
	}
	tests := []struct {
		name     string
		demand   []float64
		minSlots []int
		maxSlots []int
	}{
		{"no demand", []float64{0, 0, 0, 0}, []int{19, 19, 19, 19}, []int{21, 21, 21, 21}},
		{"even demand", []float64{9, 9, 9, 9}, []int{18, 18, 18, 18}, []int{22, 22, 22, 22}},
		{"half of the demand on one gateway", []float64{30, 10, 10, 10}, []int{32, 13, 13, 13}, []int{36, 18, 18, 18}},
		{"slightly less demand on that gateway", []float64{29, 10, 10, 10}, []int{32, 13, 13, 13}, []int{36, 18, 18, 18}},
		{"all demand on one gateway", []float64{50, 0, 0, 0}, []int{60, 5, 5, 5}, []int{65, 7, 7, 7}},
	}
	for _, tt := range tests {
		got := plan(tt.demand...)
		total := 0
		for j := range tt.demand {
			n := got[fmt.Sprint("g", j)]
			total += n
			if n < tt.minSlots[j] || n > tt.maxSlots[j] {
				t.Errorf("%s: gateway %d has %d slots, want %d to %d", tt.name, j, n, tt.minSlots[j], tt.maxSlots[j])
			}
		}
		if total != 80 {
			t.Errorf("%s: %d of 80 slots are granted", tt.name, total)
		}
	}
}

// gatewayModel is a gateway that uses all slots that it was ever granted, until
// it has received the smaller grant and confirmed it.
type gatewayModel struct {
	Gateway
	terminated bool
	// knownVersion is the version of the grant table that the gateway received
	// last.
	knownVersion uint64
	grantsInUse  map[string]carobrock.Grant
}

type grantModel struct {
	services        []carobrock.Service
	table           carobrock.GrantTable
	gateways        []*gatewayModel
	gatewaysCreated int
}

func (m *grantModel) replan() {
	in := &Input{Current: m.table, Services: m.services}
	for _, g := range m.gateways {
		in.Gateways = append(in.Gateways, g.Gateway)
	}
	m.table = carobrock.GrantTable{Version: m.table.Version + 1, Rows: Plan(in)}
}

// deliverGrants delivers the current grants to a gateway.
func (m *grantModel) deliverGrants(g *gatewayModel) {
	g.knownVersion, g.grantsInUse = m.table.Version, map[string]carobrock.Grant{}
	for _, row := range m.table.Rows {
		if row.Gateway == g.Name {
			g.grantsInUse[row.Upstream] = row
		}
	}
}

// checkLimits checks the invariant: the slots and connections that all gateways
// may use together never exceed the limits of an upstream.
func (m *grantModel) checkLimits(t *rapid.T) {
	for _, s := range m.services {
		slots, connections := 0, 0
		for _, g := range m.gateways {
			if !g.terminated {
				slots += g.grantsInUse[s.Address].Slots
				connections += g.grantsInUse[s.Address].Connections
			}
		}
		if slots > s.Slots || connections > s.Connections {
			t.Fatalf("%s: %d slots and %d connections are used, the limits are %d and %d", s.Address, slots, connections, s.Slots, s.Connections)
		}
	}
}

func (m *grantModel) drawGateway(t *rapid.T) *gatewayModel {
	var running []*gatewayModel
	for _, g := range m.gateways {
		if !g.terminated {
			running = append(running, g)
		}
	}
	if len(running) == 0 {
		t.Skip("no gateway")
	}
	return rapid.SampledFrom(running).Draw(t, "gateway")
}

// TestNeverGrantedTwice checks that no slot or connection is granted twice
// while gateways join, become unreachable, return, expire, receive grants and
// confirm them in any order.
func TestNeverGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &grantModel{}
		for i := range rapid.IntRange(1, 4).Draw(t, "services") {
			slots := rapid.IntRange(1, 9).Draw(t, "slots")
			m.services = append(m.services, carobrock.Service{
				Address: fmt.Sprint("u", i), Slots: slots, Connections: rapid.IntRange(slots, 64).Draw(t, "connections"),
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				if len(m.gateways) >= 11 {
					t.Skip("enough gateways")
				}
				m.gatewaysCreated++
				m.gateways = append(m.gateways, &gatewayModel{Gateway: Gateway{Name: fmt.Sprint("g", m.gatewaysCreated), Incarnation: "1", Live: true}})
			},
			"learn":       func(t *rapid.T) { m.deliverGrants(m.drawGateway(t)) },
			"settle":      func(t *rapid.T) { g := m.drawGateway(t); g.SettledVersion = g.knownVersion },
			"fall silent": func(t *rapid.T) { m.drawGateway(t).Live = false },
			"come back":   func(t *rapid.T) { m.drawGateway(t).Live = true },
			"expire": func(t *rapid.T) {
				g := m.drawGateway(t)
				g.Live, g.Expired, g.terminated = false, true, true
			},
			"plan": func(*rapid.T) { m.replan() },
			"":     m.checkLimits,
		})
		m.checkConvergence(t)
	})
}

// checkConvergence delivers the grants to all gateways and lets them confirm
// the version. If a gateway is live, every slot must then be granted.
func (m *grantModel) checkConvergence(t *rapid.T) {
	live := 0
	for _, g := range m.gateways {
		if g.Live {
			live++
		}
	}
	for range 4 {
		for _, g := range m.gateways {
			if !g.terminated {
				m.deliverGrants(g)
				g.SettledVersion = g.knownVersion
			}
		}
		m.replan()
		m.checkLimits(t)
	}
	if live == 0 {
		return
	}
	for _, s := range m.services {
		total := 0
		for _, row := range m.table.Rows {
			if row.Upstream == s.Address {
				total += row.Slots
			}
		}
		if total != s.Slots {
			t.Fatalf("%s: %d of %d slots are granted to %d live gateways", s.Address, total, s.Slots, live)
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, upstreams := range []int{50, 440} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			in := &Input{}
			for i := range upstreams {
				in.Services = append(in.Services, carobrock.Service{Address: fmt.Sprint("u", i), Slots: 8, Connections: 64})
			}
			for i := range 11 {
				in.Gateways = append(in.Gateways, Gateway{Name: fmt.Sprint("g", i), Live: true})
			}
			in.Current.Rows = Plan(in)
			for b.Loop() {
				Plan(in)
			}
		})
	}
}
