package admitter

import "time"

// Result tells the outlier detection how a request to an upstream ended.
type Result int

const (
	// ResultOK means that the upstream responded.
	ResultOK Result = iota
	// ResultFailed means that the upstream was unreachable, closed the
	// connection early or did not respond in time.
	ResultFailed
	// ResultNone means that nothing was sent or that the caller gave up, so the
	// outcome says nothing about the upstream.
	ResultNone
)

// Settings of the passive outlier detection.
const (
	// ejectAfterFailures is the number of consecutive failures after which an
	// upstream is ejected.
	ejectAfterFailures = 3
	// minEjection and maxEjection bound the length of an ejection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// health is this gateway's recent experience with an upstream. It only affects
// load balancing on this gateway and is not a verdict that the upstream is
// down.
type health struct {
	latency             time.Duration // exponential moving average
	latencyWeight       float64       // sum of the weights of the values in latency
	consecutiveFailures int
	ejectedUntil        time.Time     // end of the ejection
	ejectionDuration    time.Duration // length of the current or most recent ejection
	probing             bool          // a probe request is in flight
}

// isEjected reports whether the upstream is ejected or its probe has not ended.
func (h *health) isEjected(now time.Time) bool {
	return h.probing || now.Before(h.ejectedUntil)
}

// isProbeDue reports whether the ejection has ended but no request has
// succeeded since.
func (h *health) isProbeDue(now time.Time) bool {
	return h.consecutiveFailures >= ejectAfterFailures && !h.probing && !now.Before(h.ejectedUntil)
}

// recordResult records the result of a request that held a slot for latency and
// was one of inFlight, and ejects the upstream after consecutive failures, for
// twice as long each time.
func (h *health) recordResult(result Result, now time.Time, latency time.Duration, inFlight int, probe bool) {
	if probe {
		h.probing = false
	}
	switch result {
	case ResultOK:
		h.consecutiveFailures, h.ejectionDuration = 0, 0
		h.recordLatency(latency, inFlight)
	case ResultFailed:
		h.consecutiveFailures++
		if h.consecutiveFailures >= ejectAfterFailures && !now.Before(h.ejectedUntil) {
			h.ejectionDuration = min(maxEjection, max(minEjection, 2*h.ejectionDuration))
			h.ejectedUntil = now.Add(h.ejectionDuration)
		}
	case ResultNone:
	}
}

// smoothingFactor is the weight in the average latency of the values that are
// measured during one latency.
const smoothingFactor = 0.1

// recordLatency updates the average. Requests that are in flight together measure
// the same pause of the upstream, so they share the weight of one (RFC 7323,
// appendix G). The first values are averaged with these weights alone.
func (h *health) recordLatency(latency time.Duration, inFlight int) {
	share := 1 / float64(max(1, inFlight))
	h.latencyWeight += share
	share *= max(smoothingFactor, 1/h.latencyWeight)
	h.latency += time.Duration(share * float64(latency-h.latency))
}
