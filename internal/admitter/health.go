package admitter

import "time"

// Result tells how a request to an upstream went.
type Result int

// The results.
const (
	// ResultOK: the upstream answered.
	ResultOK Result = iota
	// ResultFailed: the upstream could not be reached, broke off or was silent.
	ResultFailed
	// ResultUnused: nothing was sent, or the caller gave up.
	ResultUnused
)

// Settings of the passive outlier detection.
const (
	// failuresToEject is the number of failures in a row.
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
)

// health is what this gateway has seen of an upstream lately. It is a reason to
// choose others for the moment and never a verdict that the upstream is down.
type health struct {
	latency  time.Duration // smoothed
	failures int           // in a row
	until    time.Time     // end of the ejection
	ejection time.Duration // length of the present or last ejection
	probing  bool          // one request tries whether it works again
}

func (h *health) isEjected(now time.Time) bool {
	return h.probing || now.Before(h.until)
}

// isProbeDue reports whether the ejection is over but nothing has shown yet that
// the upstream works.
func (h *health) isProbeDue(now time.Time) bool {
	return h.failures >= failuresToEject && !h.probing && !now.Before(h.until)
}

func (h *health) record(result Result, now time.Time, took time.Duration, probe bool) {
	if probe {
		h.probing = false
	}
	switch result {
	case ResultOK:
		h.failures, h.ejection = 0, 0
		h.latency = smooth(h.latency, took)
	case ResultFailed:
		h.failures++
		if h.failures >= failuresToEject && !now.Before(h.until) {
			h.ejection = min(longestEjection, max(firstEjection, 2*h.ejection))
			h.until = now.Add(h.ejection)
		}
	case ResultUnused:
	}
}
