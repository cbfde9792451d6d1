package pacer

import "math"

// Service is a service task on a VM.
type Service struct {
	// Image names what the task runs.
	Image string
	// Load is its load without the pressure of the fillers that are looked at,
	// Limit the load at which its tail latency reaches the target.
	Load  float64
	Limit float64
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
}

// Margins of the expected load below its limit. The load is expected as if all
// fillers were in a burst at once, which they seldom are.
const (
	// lowerMargin is where fillers are slowed.
	lowerMargin = -0.02
	// raiseMargin is where they are let go again, and up to where new ones are
	// placed. The gap between the two keeps paces from swinging with the noise of
	// the tails.
	raiseMargin = 0.01
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
		for f := range fillers {
			excess[s] += effect[s][f]
		}
		if services[s].Overdue {
			excess[s] = math.Inf(1)
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

// Use returns which part a new filler at full pace uses of the room that the
// services leave below their limits: up to 1 it harms none of them. Where little
// is known of a pair, its pressure is taken to be higher than estimated: what
// harms is found out where there is room for it.
func Use(m *Model, services []Service, filler Filler) (use float64) {
	for i := range services {
		s := &services[i]
		effect := m.Caution(s.Image, filler.Image) * filler.Share
		room := s.Limit - raiseMargin - s.Load
		if s.Overdue || room <= 0 {
			return math.Inf(1)
		}
		use = max(use, effect/room)
	}
	return use
}
