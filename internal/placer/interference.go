package placer

import (
	"maps"
	"slices"
	"sync"
)

// Interference learns how much each kind of work slows each other kind down
// that runs on the same VM. It is safe for concurrent use; the zero value knows
// nothing and expects the prior of every pair.
//
// A kind's slowdown is modelled as the sum over its neighbours of one
// coefficient a pair. Each observation moves the coefficients of the neighbours
// that were there by the normalised least mean squares rule (Widrow and Hoff,
// 1960; Nagumo and Noda, 1967), with a step that shrinks as observations of the
// pair add up, so that few observations stay near the prior.
type Interference struct {
	// Prior is the coefficient of a pair that was never observed. Zero: 0.05.
	Prior float64
	// PriorWeight is the number of observations that the prior is worth. Zero:
	// 2.
	PriorWeight float64

	mu    sync.Mutex
	kinds map[string]*kindModel
}

// kindModel is what is known of one kind as the one that is slowed down.
type kindModel struct {
	// baseline is the smoothed usage, as a share of the declared size, while
	// the kind is alone on a VM.
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
	// baselineWeight is the weight of the newest observation of a kind alone.
	baselineWeight = 0.05
	// largestStep bounds the step of one observation.
	largestStep = 0.5
	// smallestStep keeps the model able to follow work that changes.
	smallestStep = 0.003
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

// kind returns the model of a kind. The caller holds m.mu.
func (m *Interference) kind(name string) *kindModel {
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

// Observe takes one measurement: work of a kind used ratio times its declared
// size while neighbours, counted by kind, ran on the same VM. A measurement
// without neighbours moves the kind's baseline, which follows the load.
func (m *Interference) Observe(kind string, neighbours map[string]float64, ratio float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	norm := 0.0
	expected := 0.0
	// In a fixed order, so that equal observations always give equal sums.
	names := slices.Sorted(maps.Keys(neighbours))
	for _, name := range names {
		n := neighbours[name]
		norm += n * n
		expected += n * m.coefficient(k, name)
	}
	if norm == 0 {
		k.baseline += baselineWeight * (ratio - k.baseline)
		return
	}
	if k.baseline <= 0 {
		return
	}
	miss := ratio/k.baseline - 1 - expected
	for _, name := range names {
		p := k.pairs[name]
		if p == nil {
			p = &pairModel{coefficient: m.prior()}
			k.pairs[name] = p
		}
		p.observations++
		step := min(largestStep, m.priorWeight()/(m.priorWeight()+p.observations)+smallestStep)
		p.coefficient = max(0, p.coefficient+step*miss*neighbours[name]/norm)
	}
}

// coefficient returns the expected slowdown of k by one neighbour. The caller
// holds m.mu.
func (m *Interference) coefficient(k *kindModel, neighbour string) float64 {
	if p := k.pairs[neighbour]; p != nil {
		return p.coefficient
	}
	return m.prior()
}

// Slowdown returns the expected slowdown of work of a kind by one neighbour, as
// a share: 0.1 means that it takes a tenth longer.
func (m *Interference) Slowdown(kind, neighbour string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coefficient(m.kind(kind), neighbour)
}

// pair is what a decision needs to know of two kinds.
type pair struct {
	// slowdown is the expected slowdown of the one by a neighbour of the other.
	slowdown float64
	// known is set once the pair was observed often enough to be relied on.
	known bool
}

// observationsToKnow is how often a pair must have been observed to be known.
const observationsToKnow = 4

// table returns all pairs among the kinds, so that a decision reads them without
// a lock: table[i][j] is about kind i beside one neighbour of kind j.
func (m *Interference) table(kinds []string) [][]pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([][]pair, len(kinds))
	for i, a := range kinds {
		out[i] = make([]pair, len(kinds))
		k := m.kind(a)
		for j, b := range kinds {
			p := k.pairs[b]
			out[i][j] = pair{m.coefficient(k, b), p != nil && p.observations >= observationsToKnow}
		}
	}
	return out
}
