package controller

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/granter"
)

// gatewayRoster is the leader's memory of the gateways.
type gatewayRoster struct {
	mu         sync.Mutex
	term       uint64
	since      time.Time // when the term was first seen here
	rowsByName map[gatewayID]*gatewayRow
	damper     granter.Damper
}

type gatewayID struct{ name, incarnation string }

type gatewayRow struct {
	zone     string
	lastSync time.Time
	inForce  uint64
	settled  uint64
	draining bool
	demand   map[string]float64 // smoothed, by pool
}

// demandWeight is the weight of the newest report in the smoothed demand.
const demandWeight = 0.5

// noteDemand takes a report of the load.
func (row *gatewayRow) noteDemand(report []*encoder.PoolDemand) {
	now := map[string]float64{}
	for _, d := range report {
		now[d.GetPool()] = float64(d.GetInFlight() + d.GetQueued())
	}
	for pool, old := range row.demand {
		now[pool] = demandWeight*now[pool] + (1-demandWeight)*old
	}
	row.demand = now
}

// gatewayStateRow is a gateway as operators see it.
type gatewayStateRow struct {
	Gateway          string `json:"gateway"`
	Incarnation      string `json:"incarnation"`
	AvailabilityZone string `json:"availabilityZone,omitempty"`
	// InForce is the index of the configuration that the gateway serves.
	InForce      uint64 `json:"inForce"`
	Draining     bool   `json:"draining,omitempty"`
	SilentMillis int64  `json:"silentMillis"`
	// Live is set while the gateway's lease is running.
	Live bool `json:"live"`
}

func (r *gatewayRoster) prepare() { r.rowsByName = map[gatewayID]*gatewayRow{} }

// enter starts anew in a new term. The caller holds r.mu.
func (r *gatewayRoster) enter(term uint64) {
	if term == r.term {
		return
	}
	r.term, r.since = term, time.Now()
	r.rowsByName = map[gatewayID]*gatewayRow{}
}

// note takes a gateway's request. It is noted before the leader proves that it
// leads, so that a lease is never counted from a later moment than here.
func (r *gatewayRoster) note(term uint64, read *encoder.ReadRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enter(term)
	id := gatewayID{read.GetGateway(), read.GetIncarnation()}
	row := r.rowsByName[id]
	if row == nil {
		row = &gatewayRow{}
		r.rowsByName[id] = row
	}
	row.zone, row.lastSync, row.draining = read.GetAvailabilityZone(), time.Now(), read.GetDraining()
	row.inForce = max(row.inForce, read.GetInForce())
	row.settled = max(row.settled, read.GetGrantsSettled())
	row.noteDemand(read.GetDemand())
}

func (r *gatewayRoster) rows(lease time.Duration) []gatewayStateRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []gatewayStateRow{}
	for id, row := range r.rowsByName {
		silent := time.Since(row.lastSync)
		out = append(out, gatewayStateRow{
			Gateway: id.name, Incarnation: id.incarnation, AvailabilityZone: row.zone, InForce: row.inForce,
			Draining: row.draining, SilentMillis: silent.Milliseconds(), Live: silent < lease,
		})
	}
	slices.SortFunc(out, func(a, b gatewayStateRow) int {
		return cmp.Or(cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// Settings of grants.
const (
	grantInterval = 200 * time.Millisecond
	// grantMargin is added before an unused grant goes to another gateway.
	grantMargin = 3 * time.Second
	// forgetGatewayAfter is how long a gateway may be silent before it is no
	// longer shown.
	forgetGatewayAfter = 20 * time.Minute
)

// plan returns the gateways for the granter. A gateway that holds grants and
// has not been heard of in this term counts as heard of when the term began.
func (r *gatewayRoster) plan(term uint64, grants *carobrock.GrantTable, lease, longest time.Duration) []granter.Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enter(term)
	for _, g := range grants.Rows {
		id := gatewayID{g.Gateway, g.Incarnation}
		if r.rowsByName[id] == nil {
			r.rowsByName[id] = &gatewayRow{lastSync: r.since}
		}
	}
	var out []granter.Gateway
	for id, row := range r.rowsByName {
		silent := time.Since(row.lastSync)
		g := granter.Gateway{Name: id.name, Incarnation: id.incarnation, Settled: row.settled, Demand: row.demand}
		g.Live = silent < lease && !row.draining
		g.Expired = silent > lease+longest+grantMargin
		if g.Expired && silent > forgetGatewayAfter {
			delete(r.rowsByName, id)
		}
		out = append(out, g)
	}
	r.damper.Damp(out)
	return out
}

// runGrants shares the slots out among the gateways while this replica leads.
func (c *Controller) runGrants(ctx context.Context) error {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if term, ok := c.Term(); ok && c.LeaseLeft() > 0 {
			c.shareOut(ctx, term)
		}
	}
}

func (c *Controller) shareOut(ctx context.Context, term uint64) {
	current := c.Keeper.Grants()
	in := &granter.Input{
		Current:  current,
		Gateways: c.gateways.plan(term, &current, c.GrantLease, c.longestRequest()),
	}
	for _, w := range c.Keeper.Workers() {
		in.Services = append(in.Services, w.Services...)
	}
	rows := granter.Plan(in)
	if slices.Equal(rows, current.Rows) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	res, err := c.local().Propose(ctx, &carobrock.Command{PutGrants: &carobrock.PutGrants{Base: current.Version, Grants: rows}})
	if err != nil {
		c.Logger.Debug().Err(err).Msg("control: grants not committed")
		return
	}
	if res.Code != "" {
		c.Logger.Warn().Str("reason", res.Text).Msg("control: grants refused")
	}
}

// longestRequest returns how long a request that was forwarded may go on.
func (c *Controller) longestRequest() time.Duration {
	longest := time.Duration(carobrock.DefaultTimeoutMillis) * time.Millisecond
	for _, r := range c.Keeper.Routes().Rows {
		longest = max(longest, time.Duration(r.TimeoutMillis)*time.Millisecond)
	}
	return longest
}
