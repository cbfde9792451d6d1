package admitter

import "time"

// expectedWait returns the expected wait of a request that joins the queue now,
// by Little's law: while all slots are in use, slots become free at a rate of
// the number of slots divided by the mean time for which a slot is held. It
// returns zero if nothing is known.
func (p *pool) expectedWait() time.Duration {
	slots := 0
	totalLatency := time.Duration(0)
	for _, u := range p.upstreams {
		if u.usable {
			slots += u.slots
			totalLatency += time.Duration(u.slots) * u.health.latency
		}
	}
	if slots == 0 {
		return 0
	}
	meanLatency := totalLatency / time.Duration(slots)
	return time.Duration(p.queue.Len()+1) * meanLatency / time.Duration(slots)
}

// isWaitTooLong reports whether a request with this expected wait should be
// rejected, because the wait would end after its deadline or is above
// MaxExpectedWait.
func (a *Admitter) isWaitTooLong(wait time.Duration, now, deadline time.Time) bool {
	if !deadline.IsZero() && now.Add(wait).After(deadline) {
		return true
	}
	limit := a.maxExpectedWait()
	return limit > 0 && wait > limit
}

// missesDeadline reports whether the upstream is not expected to respond before
// the deadline. If such a request were sent, its outcome would be unknown to
// the caller.
func (w *waiter) missesDeadline(u *upstream, now time.Time) bool {
	return !w.deadline.IsZero() && now.Add(u.health.latency).After(w.deadline)
}
