package admitter

import "time"

// expectedWait returns how long a request that joins the queue now is expected
// to wait, by Little's law: while all slots are used, as many come free in a
// second as there are slots, divided by the time that each is held. It is zero
// if nothing is known.
func (p *pool) expectedWait() time.Duration {
	slots := 0
	held := time.Duration(0)
	for _, m := range p.members {
		if m.usable {
			slots += m.slots
			held += time.Duration(m.slots) * m.health.latency
		}
	}
	if slots == 0 {
		return 0
	}
	each := held / time.Duration(slots)
	return time.Duration(p.waiting.Len()+1) * each / time.Duration(slots)
}

// isTooLong reports whether a request that expects to wait this long should not
// join the queue: it would get no slot before its deadline, or the wait is above
// MaxExpectedWait.
func (a *Admitter) isTooLong(wait time.Duration, now, deadline time.Time) bool {
	if !deadline.IsZero() && now.Add(wait).After(deadline) {
		return true
	}
	most := a.maxExpectedWait()
	return most > 0 && wait > most
}

// isTooLate reports whether the upstream is not expected to answer before the
// deadline. A request that is sent all the same would end undecided.
func (w *waiter) isTooLate(u *upstream, now time.Time) bool {
	return !w.deadline.IsZero() && now.Add(u.health.latency).After(w.deadline)
}
