package placer

import "github.com/carobrock/carobrock"

var (
	_ carobrock.EvictionAdvisor = (*InterferenceAware)(nil)
	_ carobrock.UsageObserver   = (*InterferenceAware)(nil)
)

// ObserveUsage implements carobrock.UsageObserver.
func (a *InterferenceAware) ObserveUsage(kind string, neighbors map[string]float64, ratio float64) {
	a.Model.Observe(kind, neighbors, ratio)
}

// evictionFactor is the factor by which the expected slowdown must exceed
// MaxServiceSlowdown before a task is moved. The hysteresis prevents a task
// from being moved and placed back after every small change of the estimates.
const evictionFactor = 1.3

// SuggestEvictions implements carobrock.EvictionAdvisor. For each worker whose
// services are expected to be slowed down beyond evictionFactor times the
// limit, it returns the kind of task that contributes most. It ignores the
// queued tasks of v.
func (a *InterferenceAware) SuggestEvictions(v *carobrock.PlacementView) []carobrock.EvictionSuggestion {
	r := a.newRound(&carobrock.PlacementView{Workers: v.Workers, Pools: v.Pools})
	var out []carobrock.EvictionSuggestion
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.serviceSlowdown <= evictionFactor*a.Weights.MaxServiceSlowdown {
			continue
		}
		if kind, ok := r.worstKind(c); ok {
			out = append(out, carobrock.EvictionSuggestion{Worker: c.Name, Kind: r.kinds[kind], Slowdown: c.serviceSlowdown})
		}
	}
	return out
}

// worstKind returns the kind on c of which a single task slows the services
// down most, considering known pairs only, and false if there is none.
func (r *placementRound) worstKind(c *candidate) (kind int, ok bool) {
	highest := 0.0
	for _, n := range c.neighbors {
		if n.isService {
			continue
		}
		slowdown := 0.0
		for _, victim := range c.neighbors {
			if p := r.pairs[victim.kind][n.kind]; victim.isService && p.known {
				slowdown += p.slowdown
			}
		}
		if slowdown > highest {
			kind, highest, ok = n.kind, slowdown, true
		}
	}
	return kind, ok
}
