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

// relieveOver is how far above MaxServiceSlowdown the expected slowdown must be
// before work is moved. The distance between the two limits keeps a task from
// being moved and put back on every small change of what was learned.
const relieveOver = 1.3

// Relieve implements carobrock.Reliever. It returns, for each worker whose services are expected to be slowed down
// far beyond the limit by what runs beside them, the kind that hurts most.
// Queued tasks of v are not looked at.
func (l *Learned) Relieve(v *carobrock.PlacementView) []carobrock.Relief {
	r := l.newRound(&carobrock.PlacementView{Workers: v.Workers, Pools: v.Pools})
	var out []carobrock.Relief
	for i := range r.sites {
		s := &r.sites[i]
		if s.slowdown <= relieveOver*l.Weights.MaxServiceSlowdown {
			continue
		}
		if kind, ok := r.worst(s); ok {
			out = append(out, carobrock.Relief{Worker: s.Name, Kind: r.kinds[kind], Slowdown: s.slowdown})
		}
	}
	return out
}

// worst returns the kind on s that hurts the services most, each task counted by
// itself, among those that are known.
func (r *round) worst(s *site) (kind int, ok bool) {
	most := 0.0
	for _, n := range s.neighbours {
		if n.service {
			continue
		}
		hurt := 0.0
		for _, victim := range s.neighbours {
			if p := r.table[victim.kind][n.kind]; victim.service && p.known {
				hurt += p.slowdown
			}
		}
		if hurt > most {
			kind, most, ok = n.kind, hurt, true
		}
	}
	return kind, ok
}
