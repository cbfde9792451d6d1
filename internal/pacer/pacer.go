package pacer

import "math"

// Service is a service task on a VM.
type Service struct {
	// Image names what the task runs.
	Image string
	// Load is its load, Limit the load at which its tail latency reaches the
	// target.
	Load  float64
	Limit float64
	// Easing is set while the tail falls: what queued up before is being worked
	// off, and the load is lower than the tail tells.
	Easing bool
	// Overdue is set once the tail has been above the target for a while: what
	// is known of the fillers beside it has not helped, so all of them are
	// stopped until it is below.
	Overdue bool
}

// Filler is filling work on a VM.
type Filler struct {
	// Image names what the filler runs.
	Image string
	// Share is the part of the VM's processors that it uses at full pace.
	Share float64
	// Pace is its present pace, 0 to 100.
	Pace int
	// Felt is how much of its present pace the reported tails contain, 0 for a
	// filler that has just started, to 1.
	Felt float64
}

// Margins of the load below its limit.
const (
	// lowerMargin is where fillers are slowed: the tail is then about five
	// sixths of the target.
	lowerMargin = 0.03
	// raiseMargin is where they are let go again. The gap between the two keeps
	// paces from swinging with the noise of the tails.
	raiseMargin = 0.07
	// minEffect is the least growth of the load for which a filler is slowed at
	// all: many light fillers press as much as a heavy one.
	minEffect = 0.005
	// paceStep rounds paces, in percent.
	paceStep = 5
	// maxRaise bounds how much a pace grows at a time, in percent.
	maxRaise = 30
)

// Decide returns the paces of fillers at which no service task is expected to
// be above its target: the fillers that press most on a slow service are slowed
// first. A service that is slow without them slows nothing.
func Decide(m *Model, services []Service, fillers []Filler) []int {
	low := fit(m, services, fillers, lowerMargin)
	high := fit(m, services, fillers, raiseMargin)
	paces := make([]int, len(fillers))
	for i := range fillers {
		now := fillers[i].Pace
		switch {
		case low[i] < now:
			paces[i] = low[i]
		case high[i] > now:
			paces[i] = min(high[i], now+maxRaise)
		default:
			paces[i] = now
		}
	}
	return paces
}

// fit returns the highest paces, lowered greedily, at which the expected
// loads stay below their limits by margin.
func fit(m *Model, services []Service, fillers []Filler, margin float64) []int {
	effect := effects(m, services, fillers)
	excess := make([]float64, len(services))
	for s := range services {
		excess[s] = services[s].Load - services[s].Limit + margin
		if services[s].Easing {
			excess[s] = min(excess[s], 0)
		}
		if services[s].Overdue {
			excess[s] = math.Inf(1)
		}
		for f := range fillers {
			excess[s] += effect[s][f] * (1 - fillers[f].Felt*float64(fillers[f].Pace)/100)
		}
	}
	pace := make([]float64, len(fillers))
	for f := range pace {
		pace[f] = 1
	}
	for range len(services) * (len(fillers) + 1) {
		s := worst(excess)
		if s < 0 {
			break
		}
		f := strongest(effect[s], pace)
		if f < 0 {
			excess[s] = 0 // nothing beside it helps
			continue
		}
		cut := math.Min(pace[f], excess[s]/effect[s][f]) // all of it where the excess is infinite
		pace[f] -= cut
		for k := range services {
			excess[k] -= effect[k][f] * cut
		}
	}
	out := make([]int, len(fillers))
	for f := range pace {
		out[f] = int(pace[f]*100) / paceStep * paceStep
	}
	return out
}

// effects returns by how much each filler at full pace raises the load of
// each service.
func effects(m *Model, services []Service, fillers []Filler) [][]float64 {
	out := make([][]float64, len(services))
	for s := range services {
		out[s] = make([]float64, len(fillers))
		for f := range fillers {
			p := m.Pressure(services[s].Image, fillers[f].Image)
			if services[s].Overdue {
				p = math.Max(p, priorPressure)
			}
			out[s][f] = p * fillers[f].Share
		}
	}
	return out
}

// worst returns the service with the largest excess above zero, -1 if none is.
func worst(excess []float64) int {
	at, most := -1, 1e-6
	for s, x := range excess {
		if x > most {
			at, most = s, x
		}
	}
	return at
}

// strongest returns the filler with the largest effect that can still be
// slowed, -1 if none has an effect worth it.
func strongest(effect, pace []float64) int {
	at, most := -1, minEffect
	for f, x := range effect {
		if pace[f] > 0.01 && x > most {
			at, most = f, x
		}
	}
	return at
}

// Risk returns how much a new filler presses on services without room for it, in
// units of about one service task brought above its target: next to nothing far
// below the limits, and in proportion to the pressure above them. The soft step
// between the two stands for the noise of the loads and for their changes while
// the filler runs.
func Risk(m *Model, services []Service, filler Filler) float64 {
	sum := 0.0
	for i := range services {
		s := &services[i]
		if s.Overdue {
			return math.Inf(1)
		}
		over := s.Load - s.Limit + lowerMargin
		sum += softStep(over+m.Hope(s.Image, filler.Image)*filler.Share) - softStep(over)
	}
	return sum
}

// riskWidth is the width of the soft step in load: about the change of a
// service's load within the run time of a filler.
const riskWidth = 0.07

// softStep is the softplus function: zero far below zero, x / riskWidth far
// above it.
func softStep(x float64) float64 {
	return math.Log1p(math.Exp(x / riskWidth))
}
