package pacer

import (
	"maps"
	"slices"

	"github.com/carobrock/carobrock"
)

// Export returns what was learned, for another leader. What the errors of two
// estimates have in common is left out.
func Export(m *Model, r *Rest) *carobrock.Interference {
	out := &carobrock.Interference{Fillers: make([]string, len(m.fillers))}
	for image, i := range m.fillers {
		out.Fillers[i-1] = image
	}
	images := map[string]bool{}
	for image := range m.services {
		images[image] = true
	}
	for image := range r.least {
		images[image] = true
	}
	for _, image := range slices.Sorted(maps.Keys(images)) {
		s := carobrock.ServiceInterference{Image: image, LeastTailMillis: float32(r.least[image])}
		if e := m.services[image]; e != nil {
			for i := range e.mean {
				s.Pressure = append(s.Pressure, float32(e.mean[i]))
				s.Variance = append(s.Variance, float32(e.cov[i][i]))
			}
		}
		out.Services = append(out.Services, s)
	}
	return out
}

// Import replaces a model and the latencies at rest by what another leader
// learned; nil empties them.
func Import(x *carobrock.Interference) (Model, Rest) {
	m, r := Model{}, Rest{}
	if x == nil {
		return m, r
	}
	m.fillers, m.services, r.least = map[string]int{}, map[string]*estimate{}, map[string]float64{}
	for i, image := range x.Fillers {
		m.fillers[image] = i + 1
	}
	for i := range x.Services {
		s := &x.Services[i]
		if s.LeastTailMillis > 0 {
			r.least[s.Image] = float64(s.LeastTailMillis)
		}
		e := &estimate{}
		e.grow(min(len(s.Pressure), len(s.Variance)))
		for k := range e.mean {
			e.mean[k], e.cov[k][k] = float64(s.Pressure[k]), float64(s.Variance[k])
		}
		m.services[s.Image] = e
	}
	return m, r
}
