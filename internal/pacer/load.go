package pacer

import "math"

const (
	// idleTailRatio is the ratio of the tail latency of an idle service to the
	// lowest observed one: the lowest load of a service in use is assumed to be a
	// quarter.
	idleTailRatio = 0.75
	// maxIdleTargetRatio is the maximum ratio of the idle tail latency to the
	// target. A service whose target is less than three times its idle tail latency
	// could hardly meet it.
	maxIdleTargetRatio = 1.0 / 3
	// maxLoad is the highest load that Load returns; a queue that grows without
	// bound counts as having this load.
	maxLoad = 0.97
)

// Baseline estimates the tail latency of each service image without load. Its
// zero value is ready to use. It is not safe for concurrent use.
type Baseline struct {
	minTailMillis map[string]float64
}

// ObserveTail records a tail latency of an image, in milliseconds.
func (b *Baseline) ObserveTail(image string, tailMillis float64) {
	if b.minTailMillis == nil {
		b.minTailMillis = map[string]float64{}
	}
	if x, ok := b.minTailMillis[image]; !ok || tailMillis < x {
		b.minTailMillis[image] = tailMillis
	}
}

// Load returns the load, 0 to maxLoad, at which a service of an image has the
// given tail latency. The target and the tail latency are in milliseconds.
func (b *Baseline) Load(image string, targetMillis, tailMillis float64) float64 {
	idleTailMillis := targetMillis * maxIdleTargetRatio
	if x, ok := b.minTailMillis[image]; ok {
		idleTailMillis = math.Min(idleTailMillis, x*idleTailRatio)
	}
	return math.Max(0, math.Min(maxLoad, 1-idleTailMillis/math.Max(tailMillis, idleTailMillis)))
}
