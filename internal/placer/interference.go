package placer

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// Interference learns how much each kind of work slows down each other kind on
// the same VM. It is safe for concurrent use; the zero value has no
// observations and expects the prior for every pair.
//
// The slowdown of a kind is modeled as the sum over its neighbors of one
// coefficient per pair. Each observation updates the coefficients of the
// neighbors that were present by the normalized least mean squares rule
// (Widrow and Hoff, 1960; Nagumo and Noda, 1967), with a step size that
// decreases as observations of the pair accumulate, so that a pair with few
// observations stays near the prior.
//
// How much a service slows down depends on its load, which is not observed. The
// coefficients of a service estimate an upper expectile instead of the mean
// (asymmetric least squares, Newey and Powell, 1987), so that limits on its
// slowdown also hold when its load is high.
type Interference struct {
	// Prior is the coefficient of a pair without observations. Zero means 0.05.
	Prior float64
	// PriorWeight is the number of observations that the prior is worth. Zero
	// means 2.
	PriorWeight float64

	mu    sync.Mutex
	kinds map[string]*kindModel
}

// kindModel is the model of one kind as the work that is slowed down.
type kindModel struct {
	// baseline is the exponential moving average of the usage, as a fraction of the
	// declared size, while the kind runs alone on a VM.
	baseline float64
	pairs    map[string]*pairModel
}

type pairModel struct {
	coefficient  float64
	observations float64
}

const (
	defaultPrior       = 0.05
	defaultPriorWeight = 2
	// baselineSmoothing is the weight of the latest observation in the
	// baseline.
	baselineSmoothing = 0.05
	// maxStep bounds the step size of one observation.
	maxStep = 0.5
	// minStep keeps the model adaptive when the behavior of work changes.
	minStep = 0.003
	// lowerResidualWeight is the weight of an observation of a service that lies
	// below the estimate, relative to one above it.
	lowerResidualWeight = 0.5
)

func (m *Interference) prior() float64 {
	if m.Prior == 0 {
		return defaultPrior
	}
	return m.Prior
}

func (m *Interference) priorWeight() float64 {
	if m.PriorWeight == 0 {
		return defaultPriorWeight
	}
	return m.PriorWeight
}

// kindModelOf returns the model of a kind and creates it if necessary. The
// caller holds m.mu.
func (m *Interference) kindModelOf(name string) *kindModel {
	if m.kinds == nil {
		m.kinds = map[string]*kindModel{}
	}
	k := m.kinds[name]
	if k == nil {
		k = &kindModel{baseline: 1, pairs: map[string]*pairModel{}}
		m.kinds[name] = k
	}
	return k
}

// Observe records one measurement: work of a kind used ratio times its declared
// size while neighbors, counted by kind, ran on the same VM. A measurement
// without neighbors updates the kind's baseline, which follows the load.
func (m *Interference) Observe(kind string, neighbors map[string]float64, ratio float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kindModelOf(kind)
	squaredNorm := 0.0
	expected := 0.0
	// The order is fixed, because floating-point sums depend on it.
	names := slices.Sorted(maps.Keys(neighbors))
	for _, name := range names {
		n := neighbors[name]
		squaredNorm += n * n
		expected += n * m.coefficient(k, name)
	}
	if squaredNorm == 0 {
		k.baseline += baselineSmoothing * (ratio - k.baseline)
		return
	}
	if k.baseline <= 0 {
		return
	}
	residual := ratio/k.baseline - 1 - expected
	if residual < 0 && strings.HasPrefix(kind, servicePrefix) {
		residual *= lowerResidualWeight
	}
	for _, name := range names {
		p := k.pairs[name]
		if p == nil {
			p = &pairModel{coefficient: m.prior()}
			k.pairs[name] = p
		}
		p.observations++
		step := min(maxStep, m.priorWeight()/(m.priorWeight()+p.observations)+minStep)
		p.coefficient = max(0, p.coefficient+step*residual*neighbors[name]/squaredNorm)
	}
}

// coefficient returns the expected slowdown of k by one neighbor, as a
// fraction. The caller holds m.mu.
func (m *Interference) coefficient(k *kindModel, neighbor string) float64 {
	if p := k.pairs[neighbor]; p != nil {
		return p.coefficient
	}
	return m.prior()
}

// Slowdown returns the expected slowdown of work of a kind by one neighbor, as
// a fraction: 0.1 means that the work takes a tenth longer.
func (m *Interference) Slowdown(kind, neighbor string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coefficient(m.kindModelOf(kind), neighbor)
}

// pairEstimate is what a placement decision uses about a pair of kinds.
type pairEstimate struct {
	// slowdown is the expected slowdown of the first kind by one neighbor of the
	// second, as a fraction.
	slowdown float64
	// known reports whether the pair has enough observations for the estimate
	// to be reliable.
	known bool
}

// minObservations is the number of observations from which a pair is known.
const minObservations = 4

// pairTable returns the estimates for all pairs of the kinds, so that a
// decision reads them without a lock: element [i][j] is the slowdown of kind i
// by one neighbor of kind j.
func (m *Interference) pairTable(kinds []string) [][]pairEstimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([][]pairEstimate, len(kinds))
	for i, victim := range kinds {
		out[i] = make([]pairEstimate, len(kinds))
		k := m.kindModelOf(victim)
		for j, neighbor := range kinds {
			p := k.pairs[neighbor]
			out[i][j] = pairEstimate{m.coefficient(k, neighbor), p != nil && p.observations >= minObservations}
		}
	}
	return out
}
