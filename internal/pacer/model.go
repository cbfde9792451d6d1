package pacer

import "math"

const (
	// QuietIntensity is the ratio of the interference that a filler causes between
	// its bursts to that during a burst. In a trial with fillers beside single
	// services, it was a fifth to a third.
	QuietIntensity = 0.25

	// priorPressure is the assumed pressure of a pair without observations. It lies
	// between that of light pairs, about 0.2, and that of heavy ones, 3 to 5.
	priorPressure = 1.8
	// priorStdDev is the standard deviation of the pressure over pairs.
	priorStdDev = 1.8
	// noiseStdDev is the standard deviation of the difference of two measured loads
	// from the model. saturatedNoiseStdDev applies near full load, where a queue
	// takes time to build up.
	noiseStdDev          = 0.07
	saturatedNoiseStdDev = 0.25
	// upperBoundStdDevs is the number of standard deviations that PressureUpperBound
	// adds to an estimate.
	upperBoundStdDevs = 0.5
	// forgettingRate gives older observations less weight: an estimate rests on
	// about the last 2000 observations.
	forgettingRate = 1.0 / 2000
	// maxFillers bounds the filler images that a model distinguishes. Later ones are
	// treated as images without observations.
	maxFillers = 32
)

// Model estimates the pressure of filler images on service images. Its zero value
// is ready to use. It is not safe for concurrent use.
type Model struct {
	columns   map[string]int // column of each filler image, from 1
	estimates map[string]*estimate
}

// estimate is the recursive least squares state for one service image: the mean
// and the covariance of the pressures, indexed by filler column.
type estimate struct {
	mean []float64
	cov  [][]float64
}

// Shares maps each filler image to the fraction of a VM's processors that its
// fillers use, weighted by the intensity of their interference.
type Shares map[string]float64

// Pressure returns the load that fillers of an image add to a service task if
// they use the whole VM in a burst. It is never negative.
func (m *Model) Pressure(service, filler string) float64 {
	e := m.estimates[service]
	i := m.columns[filler]
	if e == nil || i == 0 || i > len(e.mean) {
		return priorPressure
	}
	return e.mean[i-1]
}

// PressureUpperBound returns Pressure plus a margin that is larger for pairs with
// fewer observations.
func (m *Model) PressureUpperBound(service, filler string) float64 {
	e := m.estimates[service]
	i := m.columns[filler]
	if e == nil || i == 0 || i > len(e.mean) {
		return priorPressure + upperBoundStdDevs*priorStdDev
	}
	return e.mean[i-1] + upperBoundStdDevs*math.Sqrt(e.cov[i-1][i-1])
}

// ObserveDifference updates the model with the difference between the loads of
// two tasks of a service and the shares of the fillers beside each of them.
// nearSaturation is set if one of the loads is close to 1.
func (m *Model) ObserveDifference(service string, shares, others Shares, difference float64, nearSaturation bool) {
	if m.columns == nil {
		m.columns, m.estimates = map[string]int{}, map[string]*estimate{}
	}
	m.registerFillers(shares)
	m.registerFillers(others)
	e := m.estimates[service]
	if e == nil {
		e = &estimate{}
		m.estimates[service] = e
	}
	e.addColumns(len(m.columns))
	x := make([]float64, len(e.mean))
	m.addShares(x, shares, 1)
	m.addShares(x, others, -1)
	stdDev := noiseStdDev
	if nearSaturation {
		stdDev = saturatedNoiseStdDev
	}
	e.update(x, difference, stdDev)
}

// registerFillers gives a column to each filler image that has none, up to
// maxFillers.
func (m *Model) registerFillers(shares Shares) {
	for image := range shares {
		if m.columns[image] == 0 && len(m.columns) < maxFillers {
			m.columns[image] = len(m.columns) + 1
		}
	}
}

// addShares adds the shares, multiplied by sign, to the columns x. It ignores
// images without a column.
func (m *Model) addShares(x []float64, shares Shares, sign float64) {
	for image, share := range shares {
		if i := m.columns[image]; i > 0 {
			x[i-1] += sign * share
		}
	}
}

// addColumns extends the estimate to n columns, initialized with the prior.
func (e *estimate) addColumns(n int) {
	for len(e.mean) < n {
		e.mean = append(e.mean, priorPressure)
		for i := range e.cov {
			e.cov[i] = append(e.cov[i], 0)
		}
		row := make([]float64, len(e.mean))
		row[len(row)-1] = priorStdDev * priorStdDev
		e.cov = append(e.cov, row)
	}
}

// update performs one step of recursive least squares with the regressors x, the
// measured value y and the standard deviation of its noise.
func (e *estimate) update(x []float64, y, stdDev float64) {
	n := len(x)
	gain := make([]float64, n)
	variance, predicted := stdDev*stdDev, 0.0
	for i := range n {
		for j := range n {
			if x[j] != 0 {
				gain[i] += e.cov[i][j] * x[j]
			}
		}
		variance += gain[i] * x[i]
		predicted += e.mean[i] * x[i]
	}
	residual := y - predicted
	for i := range n {
		// A filler cannot speed up a service, so pressures are not negative.
		e.mean[i] = math.Max(0, e.mean[i]+gain[i]/variance*residual)
		for j := range n {
			e.cov[i][j] = (e.cov[i][j] - gain[i]*gain[j]/variance) * (1 + forgettingRate)
		}
		e.cov[i][i] = math.Min(e.cov[i][i], priorStdDev*priorStdDev)
	}
}
