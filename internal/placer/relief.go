package placer

import "github.com/carobrock/carobrock"

var (
	_ carobrock.Reliever = (*Learned)(nil)
	_ carobrock.Learner  = (*Learned)(nil)
)

// Observe implements carobrock.Learner.
func (l *Learned) Observe(kind string, neighbours map[string]float64, ratio float64) {
	l.Model.Observe(kind, neighbours, ratio)
}

// reliefFactor is the factor by which the expected slowdown must exceed
// MaxServiceSlowdown before a task is moved. The hysteresis prevents a task
// from being moved and placed back after every small change of the estimates.
const reliefFactor = 1.3

// Relieve implements carobrock.Reliever. For each worker whose services are
// expected to be slowed down beyond reliefFactor times the limit, it returns
// the kind of task that contributes most. It ignores the queued tasks of v.
func (l *Learned) Relieve(v *carobrock.PlacementView) []carobrock.Relief {
	r := l.newRound(&carobrock.PlacementView{Workers: v.Workers, Pools: v.Pools})
	var out []carobrock.Relief
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.serviceSlowdown <= reliefFactor*l.Weights.MaxServiceSlowdown {
			continue
		}
		if kind, ok := r.worstKind(c); ok {
			out = append(out, carobrock.Relief{Worker: c.Name, Kind: r.kinds[kind], Slowdown: c.serviceSlowdown})
		}
	}
	return out
}

// worstKind returns the kind on c of which a single task slows the services
// down most, considering known pairs only, and false if there is none.
func (r *placementRound) worstKind(c *candidate) (kind int, ok bool) {
	highest := 0.0
	for _, n := range c.neighbours {
		if n.isService {
			continue
		}
		slowdown := 0.0
		for _, victim := range c.neighbours {
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
