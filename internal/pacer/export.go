package pacer

import (
	"maps"
	"slices"

	"github.com/carobrock/carobrock"
)

// Export returns the learned state in the form in which it is replicated for
// other leaders. The covariances between different pressure estimates are
// omitted.
func Export(m *Model, b *Baseline) *carobrock.Interference {
	out := &carobrock.Interference{Fillers: make([]string, len(m.columns))}
	for image, i := range m.columns {
		out.Fillers[i-1] = image
	}
	images := map[string]bool{}
	for image := range m.estimates {
		images[image] = true
	}
	for image := range b.minTailMillis {
		images[image] = true
	}
	for _, image := range slices.Sorted(maps.Keys(images)) {
		s := carobrock.ServiceInterference{Image: image, MinTailMillis: float32(b.minTailMillis[image])}
		if e := m.estimates[image]; e != nil {
			for i := range e.mean {
				s.Pressure = append(s.Pressure, float32(e.mean[i]))
				s.Variance = append(s.Variance, float32(e.cov[i][i]))
			}
		}
		out.Services = append(out.Services, s)
	}
	return out
}

// Import returns the model and the baseline that another leader exported. A nil x
// gives an empty model and an empty baseline.
func Import(x *carobrock.Interference) (Model, Baseline) {
	m, b := Model{}, Baseline{}
	if x == nil {
		return m, b
	}
	m.columns, m.estimates, b.minTailMillis = map[string]int{}, map[string]*estimate{}, map[string]float64{}
	for i, image := range x.Fillers {
		m.columns[image] = i + 1
	}
	for i := range x.Services {
		s := &x.Services[i]
		if s.MinTailMillis > 0 {
			b.minTailMillis[s.Image] = float64(s.MinTailMillis)
		}
		e := &estimate{}
		e.addColumns(min(len(s.Pressure), len(s.Variance)))
		for k := range e.mean {
			e.mean[k], e.cov[k][k] = float64(s.Pressure[k]), float64(s.Variance[k])
		}
		m.estimates[s.Image] = e
	}
	return m, b
}
