package pacer

import "math"

const (
	// restShare is the tail latency of an idle service over the least one seen:
	// the least load of a service in use is taken to be a quarter.
	restShare = 0.75
	// maxRestShare bounds the latency at rest by the target: a target below three
	// times of it could hardly be kept.
	maxRestShare = 1.0 / 3
	// maxLoad is the load that a queue without bound is taken to have.
	maxLoad = 0.97
)

// Rest estimates the tail latency at rest of each service image. Its zero value
// is ready to use.
type Rest struct {
	least map[string]float64
}

// Observe takes a tail latency of an image, in milliseconds.
func (r *Rest) Observe(image string, tailMillis float64) {
	if r.least == nil {
		r.least = map[string]float64{}
	}
	if x, ok := r.least[image]; !ok || tailMillis < x {
		r.least[image] = tailMillis
	}
}

// Load returns the load, 0 to maxLoad, at which a service of an image with a
// target has a tail latency, both in milliseconds.
func (r *Rest) Load(image string, targetMillis, tailMillis float64) float64 {
	rest := targetMillis * maxRestShare
	if x, ok := r.least[image]; ok {
		rest = math.Min(rest, x*restShare)
	}
	return math.Max(0, math.Min(maxLoad, 1-rest/math.Max(tailMillis, rest)))
}
