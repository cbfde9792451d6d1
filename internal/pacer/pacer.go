package pacer

import "math"

// Service describes a service task on a VM to the model.
type Service struct {
	// Image is the image that the task runs.
	Image string
	// Load is the load of the task without the load that the fillers under
	// consideration add. Limit is the load at which its tail latency reaches the
	// target.
	Load  float64
	Limit float64
	// OverTarget is set once the tail latency has been above the target for some
	// time. The learned pressures have then not helped, so all fillers on the VM are
	// stopped until the tail latency is below the target again.
	OverTarget bool
}

// Filler describes a filler task on a VM to the model.
type Filler struct {
	// Image is the image that the filler runs.
	Image string
	// Share is the fraction of the VM's processors that the filler uses at full
	// pace.
	Share float64
	// Pace is its current pace, 0 to 100 percent.
	Pace int
}

// Margins between the expected load and its limit. The expected load assumes that
// all fillers are in a burst at the same time, which is rare.
const (
	// slowMargin is the margin below which fillers are slowed: when an expected
	// load exceeds its limit by more than -slowMargin.
	slowMargin = -0.02
	// raiseMargin is the margin that remains when paces are raised or new fillers
	// are placed. The gap between the two margins keeps paces from oscillating with
	// the noise of the tail latencies.
	raiseMargin = 0.01
	// minFillerLoad is the smallest load contribution for which a filler is slowed.
	// It is low because many light fillers together slow a service as much as one
	// heavy filler.
	minFillerLoad = 0.005
	// paceStep is the step, in percent, to which paces are rounded down.
	paceStep = 5
	// maxRaise is the maximum increase of a pace in one decision, in percent.
	maxRaise = 30
)

// DecidePaces returns the paces of the fillers, in percent, at which no service
// task is expected to exceed its target. The fillers that add most load to a
// service above its limit are slowed first. Fillers that add at most
// minFillerLoad to it are not slowed. A pace is raised by at most maxRaise per
// call.
func DecidePaces(m *Model, services []Service, fillers []Filler) []int {
	slowTo := maxPaces(m, services, fillers, slowMargin)
	raiseTo := maxPaces(m, services, fillers, raiseMargin)
	paces := make([]int, len(fillers))
	for i := range fillers {
		current := fillers[i].Pace
		switch {
		case slowTo[i] < current:
			paces[i] = slowTo[i]
		case raiseTo[i] > current:
			paces[i] = min(raiseTo[i], current+maxRaise)
		default:
			paces[i] = current
		}
	}
	return paces
}

// maxPaces returns the highest paces, found greedily, at which the expected loads
// stay below their limits by margin.
func maxPaces(m *Model, services []Service, fillers []Filler, margin float64) []int {
	added := fillerLoads(m, services, fillers)
	excess := make([]float64, len(services))
	for s := range services {
		excess[s] = services[s].Load - services[s].Limit + margin
		for f := range fillers {
			excess[s] += added[s][f]
		}
		if services[s].OverTarget {
			excess[s] = math.Inf(1)
		}
	}
	pace := make([]float64, len(fillers))
	for f := range pace {
		pace[f] = 1
	}
	for range len(services) * (len(fillers) + 1) {
		s := indexOfLargestExcess(excess)
		if s < 0 {
			break
		}
		f := indexOfLargestLoad(added[s], pace)
		if f < 0 {
			excess[s] = 0 // no filler is left that can be slowed with effect
			continue
		}
		reduction := math.Min(pace[f], excess[s]/added[s][f]) // the whole pace if the excess is infinite
		pace[f] -= reduction
		for k := range services {
			excess[k] -= added[k][f] * reduction
		}
	}
	out := make([]int, len(fillers))
	for f := range pace {
		out[f] = int(pace[f]*100) / paceStep * paceStep
	}
	return out
}

// fillerLoads returns the load that each filler at full pace adds to each
// service, indexed by service and filler.
func fillerLoads(m *Model, services []Service, fillers []Filler) [][]float64 {
	out := make([][]float64, len(services))
	for s := range services {
		out[s] = make([]float64, len(fillers))
		for f := range fillers {
			p := m.Pressure(services[s].Image, fillers[f].Image)
			if services[s].OverTarget {
				p = math.Max(p, priorPressure)
			}
			out[s][f] = p * fillers[f].Share
		}
	}
	return out
}

// indexOfLargestExcess returns the index of the service with the largest positive
// excess, -1 if there is none.
func indexOfLargestExcess(excess []float64) int {
	at, largest := -1, 1e-6
	for s, x := range excess {
		if x > largest {
			at, largest = s, x
		}
	}
	return at
}

// indexOfLargestLoad returns the index of the filler that adds the largest load
// and can still be slowed, -1 if no such load exceeds minFillerLoad.
func indexOfLargestLoad(load, pace []float64) int {
	at, largest := -1, minFillerLoad
	for f, x := range load {
		if pace[f] > 0.01 && x > largest {
			at, largest = f, x
		}
	}
	return at
}

// HeadroomUse returns the largest fraction of a service's headroom below its
// limit that a new filler at full pace would use. If the result is at most 1,
// no service is expected to exceed its target. It is infinite if a service is
// over its target or has no headroom. It uses PressureUpperBound, so that
// fillers with few observations are first placed where there is ample headroom.
func HeadroomUse(m *Model, services []Service, filler Filler) (use float64) {
	for i := range services {
		s := &services[i]
		load := m.PressureUpperBound(s.Image, filler.Image) * filler.Share
		headroom := s.Limit - raiseMargin - s.Load
		if s.OverTarget || headroom <= 0 {
			return math.Inf(1)
		}
		use = max(use, load/headroom)
	}
	return use
}
