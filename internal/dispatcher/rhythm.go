package dispatcher

import "time"

const (
	// minPeriod is the time between two heartbeats of a worker if nothing happens on
	// it and the leader has processor time to spare.
	minPeriod = 140 * time.Millisecond
	// maxPeriod keeps the time without a heartbeat shorter than silentAfter.
	maxPeriod = 900 * time.Millisecond
	// heldShare is the share of a period for which a response is delayed if there
	// are no orders. A worker can be given a start order while its heartbeat is
	// unanswered, and reports the end of a run while it is not, so each is postponed
	// by about an eighth of a period on average if the shares are equal.
	heldShare = 0.5
	// Timers that fire later than highLateness show that calls wait for the
	// processor; below lowLateness there is processor time to spare. A commit passes
	// through about ten such waits.
	highLateness = 4 * time.Millisecond
	lowLateness  = 1500 * time.Microsecond
	// latenessWeight is the weight of the newest observation in the mean lateness.
	latenessWeight = 0.05
	// The period grows by a factor of periodGrowth and shrinks by periodDecay at each
	// adjustment: overload must end at once, while the return to shorter periods may
	// take seconds.
	periodGrowth = 1.2
	periodDecay  = 0.98
)

// rhythm chooses how often workers send heartbeats from how late the leader's
// timers fire. Under overload, as with more workers than it can answer in the
// shortest period, reports become rarer instead of later.
type rhythm struct {
	period       time.Duration
	meanLateness time.Duration
}

// currentPeriod returns the time between two heartbeats of a worker.
func (r *rhythm) currentPeriod() time.Duration { return max(minPeriod, r.period) }

// responseDelay returns the time for which a response without orders is delayed.
func (r *rhythm) responseDelay() time.Duration {
	return time.Duration(heldShare * float64(r.currentPeriod()))
}

// retryMillis returns the time from a response to the worker's next heartbeat, in
// milliseconds.
func (r *rhythm) retryMillis() int64 {
	return (r.currentPeriod() - r.responseDelay()).Milliseconds()
}

// observe records that a timer fired late by the given time.
func (r *rhythm) observe(lateness time.Duration) {
	r.meanLateness += time.Duration(latenessWeight * float64(lateness-r.meanLateness))
}

// adjust changes the period according to the mean lateness. It is called at a
// fixed interval.
func (r *rhythm) adjust() {
	switch p := float64(r.currentPeriod()); {
	case r.meanLateness > highLateness:
		r.period = min(maxPeriod, time.Duration(p*periodGrowth))
	case r.meanLateness < lowLateness:
		r.period = time.Duration(p * periodDecay)
	}
}
