package pacer

import "math"

const (
	// QuietIntensity is how hard a filler presses between its bursts, as a part of
	// what it does in one: fillers that were set beside single services in a trial
	// pressed with a fifth to a third.
	QuietIntensity = 0.25

	// priorPressure is the factor of a pair of which nothing is known, between
	// those of light pairs, about 0.2, and of heavy ones, 3 to 5.
	priorPressure = 1.8
	// priorSpread is the standard deviation of factors over pairs.
	priorSpread = 1.8
	// noise is the standard deviation of the difference of two reported loads
	// about the model, crowdedNoise the one near full load, where a queue takes
	// its time to build up.
	noise        = 0.07
	crowdedNoise = 0.25
	// cautionSpreads is how many standard deviations above its estimate a pressure
	// is reckoned with.
	cautionSpreads = 0.5
	// forgetting lets the past fade: an estimate rests on about the last 2000
	// observations.
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

// estimate is a recursive least squares estimate for one service image.
type estimate struct {
	mean []float64
	cov  [][]float64
}

// Shares are the parts of a VM's processors that fillers use, by image, each
// weighted with how hard the filler presses.
type Shares map[string]float64

// Pressure returns by how much the load of a service task grows if fillers of
// an image use the whole VM in a burst. It is never negative.
func (m *Model) Pressure(service, filler string) float64 {
	e := m.services[service]
	i := m.fillers[filler]
	if e == nil || i == 0 || i > len(e.mean) {
		return priorPressure
	}
	return e.mean[i-1]
}

// Caution returns an upper estimate of Pressure, the higher the less is known of
// the pair.
func (m *Model) Caution(service, filler string) float64 {
	e := m.services[service]
	i := m.fillers[filler]
	if e == nil || i == 0 || i > len(e.mean) {
		return priorPressure + cautionSpreads*priorSpread
	}
	return e.mean[i-1] + cautionSpreads*math.Sqrt(e.cov[i-1][i-1])
}

// Observe takes the difference between the loads of two tasks of one service
// and between the shares of the fillers beside them. crowded is set if one of
// the loads is near the limit.
func (m *Model) Observe(service string, shares, others Shares, difference float64, crowded bool) {
	if m.fillers == nil {
		m.fillers, m.services = map[string]int{}, map[string]*estimate{}
	}
	m.learnNames(shares)
	m.learnNames(others)
	e := m.services[service]
	if e == nil {
		e = &estimate{}
		m.services[service] = e
	}
	e.grow(len(m.fillers))
	x := make([]float64, len(e.mean))
	m.add(x, shares, 1)
	m.add(x, others, -1)
	spread := noise
	if crowded {
		spread = crowdedNoise
	}
	e.update(x, difference, spread)
}

func (m *Model) learnNames(shares Shares) {
	for image := range shares {
		if m.fillers[image] == 0 && len(m.fillers) < maxFillers {
			m.fillers[image] = len(m.fillers) + 1
		}
	}
}

func (m *Model) add(x []float64, shares Shares, sign float64) {
	for image, share := range shares {
		if i := m.fillers[image]; i > 0 {
			x[i-1] += sign * share
		}
	}
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
func (e *estimate) update(x []float64, y, noise float64) {
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
		// No filler speeds a service up.
		e.mean[i] = math.Max(0, e.mean[i]+gain[i]/spread*miss)
		for j := range n {
			e.cov[i][j] = (e.cov[i][j] - gain[i]*gain[j]/spread) * (1 + forgetting)
		}
		e.cov[i][i] = math.Min(e.cov[i][i], priorSpread*priorSpread)
	}
}
