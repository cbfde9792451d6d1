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

// gatewayRegistry holds the leader's volatile records of the gateways. They are
// discarded when the term changes.
type gatewayRegistry struct {
	mu        sync.Mutex
	term      uint64
	termStart time.Time // when this replica first observed the term
	rows      map[gatewayID]*gatewayRow
	damper    granter.Damper
}

type gatewayID struct{ name, incarnation string }

// gatewayRow is the leader's record of one gateway incarnation.
type gatewayRow struct {
	availabilityZone     string
	lastSync             time.Time
	viewIndex            uint64
	settledGrantsVersion uint64
	draining             bool
	demand               map[string]float64 // by pool name; exponentially smoothed number of requests
}

// demandWeight is the weight of the newest report in the exponential smoothing
// of the demand.
const demandWeight = 0.5

// updateDemand updates the smoothed demand with a report. The demand of a pool is
// its number of requests in flight and queued.
func (row *gatewayRow) updateDemand(report []*encoder.PoolDemand) {
	demand := map[string]float64{}
	for _, d := range report {
		demand[d.GetPool()] = float64(d.GetInFlight() + d.GetQueued())
	}
	for pool, previous := range row.demand {
		demand[pool] = demandWeight*demand[pool] + (1-demandWeight)*previous
	}
	row.demand = demand
}

// gatewayStateRow is the status of a gateway in responses to operators.
type gatewayStateRow struct {
	Gateway          string `json:"gateway"`
	Incarnation      string `json:"incarnation"`
	AvailabilityZone string `json:"availabilityZone,omitempty"`
	// ViewIndex is the index of the view that the gateway uses.
	ViewIndex uint64 `json:"inForce"`
	Draining  bool   `json:"draining,omitempty"`
	// SilentMillis is the time since the last request, in milliseconds.
	SilentMillis int64 `json:"silentMillis"`
	// HasLease is set while the lease of the gateway's grants is unexpired.
	HasLease bool `json:"live"`
}

func (r *gatewayRegistry) prepare() { r.rows = map[gatewayID]*gatewayRow{} }

// resetForTerm discards the records if the term has changed. The caller must hold
// r.mu.
func (r *gatewayRegistry) resetForTerm(term uint64) {
	if term == r.term {
		return
	}
	r.term, r.termStart = term, time.Now()
	r.rows = map[gatewayID]*gatewayRow{}
}

// recordRequest records a request of a gateway. It must be called before the
// leader confirms its leadership, so that no gateway is granted a lease that
// the leader has not recorded. The leader counts the lease from this call, the
// gateway from the earlier time at which it sent the request.
func (r *gatewayRegistry) recordRequest(term uint64, req *encoder.ReadRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetForTerm(term)
	id := gatewayID{req.GetGateway(), req.GetIncarnation()}
	row := r.rows[id]
	if row == nil {
		row = &gatewayRow{}
		r.rows[id] = row
	}
	row.availabilityZone, row.lastSync, row.draining = req.GetAvailabilityZone(), time.Now(), req.GetDraining()
	row.viewIndex = max(row.viewIndex, req.GetInForce())
	row.settledGrantsVersion = max(row.settledGrantsVersion, req.GetGrantsSettled())
	row.updateDemand(req.GetDemand())
}

// stateRows returns the status of all gateways, ordered by name and incarnation.
func (r *gatewayRegistry) stateRows(lease time.Duration) []gatewayStateRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []gatewayStateRow{}
	for id, row := range r.rows {
		silent := time.Since(row.lastSync)
		out = append(out, gatewayStateRow{
			Gateway: id.name, Incarnation: id.incarnation, AvailabilityZone: row.availabilityZone, ViewIndex: row.viewIndex,
			Draining: row.draining, SilentMillis: silent.Milliseconds(), HasLease: silent < lease,
		})
	}
	slices.SortFunc(out, func(a, b gatewayStateRow) int {
		return cmp.Or(cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// Constants of the distribution of grants.
const (
	// grantInterval is the interval between updates of the grants.
	grantInterval = 200 * time.Millisecond
	// grantExpiryMargin is added to the lease and the longest request timeout
	// before the grants of a silent gateway are reassigned.
	grantExpiryMargin = 3 * time.Second
	// forgetGatewayAfter is the time without requests after which the record of
	// a gateway is deleted.
	forgetGatewayAfter = 20 * time.Minute
)

// gatewaysForGranter returns the gateways as input for the granter, with damped
// demand. It deletes the records of gateways that have sent no request for
// forgetGatewayAfter and whose grants have expired. If a gateway holds grants
// and has sent no request in this term, its silence is counted from the start
// of the term.
func (r *gatewayRegistry) gatewaysForGranter(term uint64, grants *carobrock.GrantTable, lease, longestRequest time.Duration) []granter.Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetForTerm(term)
	for _, g := range grants.Rows {
		id := gatewayID{g.Gateway, g.Incarnation}
		if r.rows[id] == nil {
			r.rows[id] = &gatewayRow{lastSync: r.termStart}
		}
	}
	var out []granter.Gateway
	for id, row := range r.rows {
		silent := time.Since(row.lastSync)
		g := granter.Gateway{Name: id.name, Incarnation: id.incarnation, SettledVersion: row.settledGrantsVersion, Demand: row.demand}
		g.Live = silent < lease && !row.draining
		g.Expired = silent > lease+longestRequest+grantExpiryMargin
		if g.Expired && silent > forgetGatewayAfter {
			delete(r.rows, id)
		}
		out = append(out, g)
	}
	r.damper.DampDemand(out)
	return out
}

// runGrantUpdates periodically distributes the upstream slots among the
// gateways while this replica is the leader.
func (c *Controller) runGrantUpdates(ctx context.Context) error {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if term, ok := c.Term(); ok && c.RemainingLease() > 0 {
			c.updateGrants(ctx, term)
		}
	}
}

// updateGrants computes new grants and commits them if they differ from the
// current ones.
func (c *Controller) updateGrants(ctx context.Context, term uint64) {
	current := c.Keeper.Grants()
	in := &granter.Input{
		Current:  current,
		Gateways: c.gateways.gatewaysForGranter(term, &current, c.GrantLease, c.longestRequestTimeout()),
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
	res, err := c.localControl().Propose(ctx, &carobrock.Command{PutGrants: &carobrock.PutGrants{Base: current.Version, Grants: rows}})
	if err != nil {
		c.Logger.Debug().Err(err).Msg("control: cannot commit the grants")
		return
	}
	if res.Code != "" {
		c.Logger.Warn().Str("reason", res.Text).Msg("control: the state machine refused the grants")
	}
}

// longestRequestTimeout returns the longest timeout of any route, which bounds
// the duration of a forwarded request.
func (c *Controller) longestRequestTimeout() time.Duration {
	longest := time.Duration(carobrock.DefaultTimeoutMillis) * time.Millisecond
	for _, r := range c.Keeper.Routes().Rows {
		longest = max(longest, time.Duration(r.TimeoutMillis)*time.Millisecond)
	}
	return longest
}
