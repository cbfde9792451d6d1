package pacer

import "math"

const (
	// priorPressure is the factor of a pair of which nothing is known: some of
	// the light pairs' and some of the heavy pairs'.
	priorPressure = 2.0
	// priorSpread is the standard deviation of factors over pairs.
	priorSpread = 3.0
	// baseSpread is the standard deviation of the log tail of images at rest.
	baseSpread = 5.0
	// noise is the standard deviation of a reported log tail about the model.
	noise = 0.7
	// forgetting lets the past fade, as the load behind a tail swings: an
	// estimate rests on about the last 2000 observations.
	forgetting = 1.0 / 2000
	// maxFillers bounds the filler images that a model tells apart; later ones
	// are taken for unknown.
	maxFillers = 32
)

// Model estimates the pressure of filler images on service images. Its zero
// value is ready to use. It is not safe for concurrent use.
type Model struct {
	fillers  map[string]int // column of each filler image, from 1
	services map[string]*estimate
}

// estimate is a recursive least squares estimate for one service image: column
// 0 is its log tail at rest, the others are pressures.
type estimate struct {
	mean []float64
	cov  [][]float64
}

// Share is the part of a VM's processors that fillers of one image use.
type Share struct {
	// Image names what the fillers run.
	Image string
	// Share is 0 to 1, or above on a VM that is asked for too much.
	Share float64
}

// Pressure returns by how much the log tail of a service task grows if fillers
// of an image use the whole VM. It is never negative.
func (m *Model) Pressure(service, filler string) float64 {
	e := m.services[service]
	i := m.fillers[filler]
	if e == nil || i == 0 || i >= len(e.mean) {
		return priorPressure
	}
	return math.Max(0, e.mean[i])
}

// Observe takes one report: the log tail of a service task while fillers used
// the shares.
func (m *Model) Observe(service string, shares []Share, logTail float64) {
	if m.fillers == nil {
		m.fillers, m.services = map[string]int{}, map[string]*estimate{}
	}
	for _, s := range shares {
		if m.fillers[s.Image] == 0 && len(m.fillers) < maxFillers {
			m.fillers[s.Image] = len(m.fillers) + 1
		}
	}
	e := m.services[service]
	if e == nil {
		e = &estimate{mean: []float64{logTail}, cov: [][]float64{{baseSpread * baseSpread}}}
		m.services[service] = e
	}
	e.grow(len(m.fillers) + 1)
	x := make([]float64, len(e.mean))
	x[0] = 1
	for _, s := range shares {
		if i := m.fillers[s.Image]; i > 0 {
			x[i] += s.Share
		}
	}
	e.update(x, logTail)
}

// grow adds columns with the prior.
func (e *estimate) grow(n int) {
	for len(e.mean) < n {
		e.mean = append(e.mean, priorPressure)
		for i := range e.cov {
			e.cov[i] = append(e.cov[i], 0)
		}
		row := make([]float64, len(e.mean))
		row[len(row)-1] = priorSpread * priorSpread
		e.cov = append(e.cov, row)
	}
}

// update is one step of recursive least squares.
func (e *estimate) update(x []float64, y float64) {
	n := len(x)
	gain := make([]float64, n)
	spread, guess := noise*noise, 0.0
	for i := range n {
		for j := range n {
			if x[j] != 0 {
				gain[i] += e.cov[i][j] * x[j]
			}
		}
		spread += gain[i] * x[i]
		guess += e.mean[i] * x[i]
	}
	miss := y - guess
	for i := range n {
		e.mean[i] += gain[i] / spread * miss
		for j := range n {
			e.cov[i][j] -= gain[i] * gain[j] / spread
			e.cov[i][j] *= 1 + forgetting
		}
		e.cov[i][i] = math.Min(e.cov[i][i], baseSpread*baseSpread)
	}
}
