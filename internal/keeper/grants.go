package keeper

import (
	"fmt"

	"github.com/carobrock/carobrock"
)

// putGrants replaces all grants if their version equals the one on which the
// change is based and no upstream is granted beyond its limits.
func (k *Keeper) putGrants(c *carobrock.PutGrants, res *carobrock.Result) {
	g := &k.state.Grants
	res.Version = g.Version
	if c.Base != g.Version {
		refuseCommand(res, carobrock.CodeConflict, fmt.Sprintf("grants: the change is based on version %d, the current one is %d", c.Base, g.Version))
		return
	}
	if err := k.checkGrants(c.Grants); err != nil {
		refuseCommand(res, carobrock.CodeInvalid, err.Error())
		return
	}
	g.Rows = c.Grants
	g.Version++
	res.Version = g.Version
	k.state.GrantsIndex = res.Index
	k.markViewChanged(res)
}

// slotCounts holds a number of slots and a number of connections of one
// upstream.
type slotCounts struct{ slots, connections int }

// checkGrants returns an error that describes an upstream that is granted
// beyond its limits. Grants of an upstream that was removed, or whose limits
// were reduced, may stay as high as they were.
func (k *Keeper) checkGrants(rows []carobrock.Grant) error {
	limits := k.limitsByUpstream()
	current := heldByUpstream(k.state.Grants.Rows)
	for upstream, held := range heldByUpstream(rows) {
		limit := limits[upstream]
		if held.slots > max(limit.slots, current[upstream].slots) || held.connections > max(limit.connections, current[upstream].connections) {
			return fmt.Errorf("grants: upstream %s has %d slots and %d connections, %d and %d are granted",
				upstream, limit.slots, limit.connections, held.slots, held.connections)
		}
	}
	return nil
}

// limitsByUpstream returns the limits of all upstreams by address.
func (k *Keeper) limitsByUpstream() map[string]slotCounts {
	out := map[string]slotCounts{}
	for _, w := range k.state.Workers {
		for _, s := range w.Services {
			out[s.Address] = slotCounts{s.Slots, s.Connections}
		}
	}
	return out
}

// heldByUpstream returns, by upstream address, the sums of the slots and
// connections that gateways may still use.
func heldByUpstream(rows []carobrock.Grant) map[string]slotCounts {
	out := map[string]slotCounts{}
	for i := range rows {
		g := &rows[i]
		l := out[g.Upstream]
		l.slots += max(g.Slots, g.HeldSlots)
		l.connections += max(g.Connections, g.HeldConnections)
		out[g.Upstream] = l
	}
	return out
}
