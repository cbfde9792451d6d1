package dispatcher

import (
	"time"

	"github.com/carobrock/carobrock"
)

const (
	// paceDelay is how long after its order a pace takes effect, about the middle
	// of what workers were seen to take: 0.1 to 0.4 s.
	paceDelay = 250 * time.Millisecond
	// paceHold is how long an order that has left is not followed by another one,
	// which would put the first off: the longest delay that was seen.
	paceHold = 400 * time.Millisecond
	// paceResend is when the order of a pace is repeated, in case the answer that
	// carried it was lost. A worker begins its delay anew with every order, also
	// with one of the same pace, so that frequent repetition would put the pace
	// off for ever.
	paceResend = time.Second
)

// throttle is the pace of one filler, from its first change on.
type throttle struct {
	// percent is the pace that is ordered, before the one that was in force until
	// the order took effect.
	percent int
	before  int
	// orderedAt is when percent was decided, sentAt when it was last sent; zero
	// if it is still to be sent.
	orderedAt time.Time
	sentAt    time.Time
	// slowSince is when percent fell to slowPace or below, zero while it is above.
	slowSince time.Time
}

// order changes the pace.
func (t *throttle) order(percent int, now time.Time) {
	t.before = t.inForce(now)
	t.percent, t.orderedAt, t.sentAt = percent, now, time.Time{}
	switch {
	case percent > slowPace:
		t.slowSince = time.Time{}
	case t.slowSince.IsZero():
		t.slowSince = now
	}
}

// inForce returns the pace at which the filler is taken to work at a time.
func (t *throttle) inForce(now time.Time) int {
	if now.Sub(t.orderedAt) < paceDelay {
		return t.before
	}
	return t.percent
}

// isOnItsWay reports whether an order has left that may not have taken effect.
func (t *throttle) isOnItsWay(now time.Time) bool {
	return !t.sentAt.IsZero() && now.Sub(t.sentAt) < paceHold
}

// isDue reports whether the pace is to be sent.
func (t *throttle) isDue(now time.Time) bool {
	return t.sentAt.IsZero() || now.Sub(t.sentAt) >= paceResend
}

// paceOf returns the ordered pace of a run, 100 if none was ever ordered.
func (w *worker) paceOf(run carobrock.Run) int {
	if t := w.throttles[run]; t != nil {
		return t.percent
	}
	return 100
}

// paceInForce returns the pace at which a run is taken to work.
func (w *worker) paceInForce(run carobrock.Run, now time.Time) int {
	if t := w.throttles[run]; t != nil {
		return t.inForce(now)
	}
	return 100
}

// adopt takes over a filler that another leader started: its pace is guessed from
// what it uses and ordered, whatever it was.
func (w *worker) adopt(run carobrock.Run, step *carobrock.Step, now time.Time) {
	if !w.inherited[run] || w.throttles[run] != nil {
		return
	}
	delete(w.inherited, run)
	pace := 100
	used := float64(w.listed[run].MilliCPU) / float64(max(1, step.Size.MilliCPU))
	if used < quietUse*burstUse {
		pace = int(100 * used / quietUse)
	}
	t := &throttle{percent: pace, before: pace, orderedAt: now}
	if pace <= slowPace {
		t.slowSince = now
	}
	w.throttles[run] = t
}

// hasNewPaces reports whether a pace waits to be sent for the first time.
func (w *worker) hasNewPaces() bool {
	for _, t := range w.throttles {
		if t.sentAt.IsZero() {
			return true
		}
	}
	return false
}

// duePaces returns the paces that are to be sent now.
func (w *worker) duePaces(now time.Time) []carobrock.PaceRun {
	var out []carobrock.PaceRun
	for run, t := range w.throttles {
		if t.isDue(now) {
			out = append(out, carobrock.PaceRun{Run: run, Percent: t.percent})
		}
	}
	return out
}

// notePaces notes that paces have left.
func (w *worker) notePaces(sent []carobrock.PaceRun, now time.Time) {
	for i := range sent {
		if t := w.throttles[sent[i].Run]; t != nil {
			t.sentAt = now
		}
	}
}
