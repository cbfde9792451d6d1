package keeper

import (
	"fmt"

	"github.com/carobrock/carobrock"
)

// putGrants replaces all grants if they are still those that the change was
// computed from and no upstream is granted beyond its limits.
func (k *Keeper) putGrants(c *carobrock.PutGrants, res *carobrock.Result) {
	g := &k.state.Grants
	res.Version = g.Version
	if c.Base != g.Version {
		refuse(res, carobrock.CodeConflict, fmt.Sprintf("grants: the change is based on version %d, the current one is %d", c.Base, g.Version))
		return
	}
	if err := k.checkGrants(c.Grants); err != nil {
		refuse(res, carobrock.CodeInvalid, err.Error())
		return
	}
	g.Rows = c.Grants
	g.Version++
	res.Version = g.Version
	k.state.GrantsIndex = res.Index
	k.touchView(res)
}

type limits struct{ slots, connections int }

// checkGrants reports the first upstream that is granted beyond its limits. A
// grant of an upstream that is gone, or has shrunk, may stay as it was.
func (k *Keeper) checkGrants(rows []carobrock.Grant) error {
	limit := k.serviceLimits()
	before := heldByUpstream(k.state.Grants.Rows)
	for upstream, held := range heldByUpstream(rows) {
		most := limit[upstream]
		if held.slots > max(most.slots, before[upstream].slots) || held.connections > max(most.connections, before[upstream].connections) {
			return fmt.Errorf("grants: upstream %s has %d slots and %d connections, %d and %d are granted",
				upstream, most.slots, most.connections, held.slots, held.connections)
		}
	}
	return nil
}

func (k *Keeper) serviceLimits() map[string]limits {
	out := map[string]limits{}
	for _, w := range k.state.Workers {
		for _, s := range w.Services {
			out[s.Address] = limits{s.Slots, s.Connections}
		}
	}
	return out
}

func heldByUpstream(rows []carobrock.Grant) map[string]limits {
	out := map[string]limits{}
	for i := range rows {
		g := &rows[i]
		l := out[g.Upstream]
		l.slots += max(g.Slots, g.Held)
		l.connections += max(g.Connections, g.HeldConnections)
		out[g.Upstream] = l
	}
	return out
}
