package dispatcher

import (
	"time"

	"github.com/carobrock/carobrock"
)

const (
	// paceDelay is the assumed time from a pace order to its effect, about the
	// middle of the 0.1 to 0.4 s that were observed.
	paceDelay = 250 * time.Millisecond
	// minPaceInterval is the minimum time between two pace orders for a run. A
	// second order would delay the first one's effect, so this is the longest delay
	// that was observed.
	minPaceInterval = 400 * time.Millisecond
	// paceResendInterval is the time after which a pace order is repeated, in case
	// the response that carried it was lost. A worker restarts its delay with every
	// order, even if the pace is the same, so an order that is repeated too often
	// never takes effect.
	paceResendInterval = time.Second
)

// throttle holds the pace of one filler. It is created when the pace is first
// changed, or when a new leader first sees the filler running.
type throttle struct {
	// percent is the ordered pace, previousPercent the pace in effect until the
	// order takes effect.
	percent         int
	previousPercent int
	// decidedAt is when percent was decided. sentAt is when it was last sent, zero
	// if it has not been sent yet.
	decidedAt time.Time
	sentAt    time.Time
	// slowSince is when percent fell to slowPacePercent or below, zero while it is
	// above.
	slowSince time.Time
}

// setPace sets the ordered pace, in percent.
func (t *throttle) setPace(percent int, now time.Time) {
	t.previousPercent = t.effectivePace(now)
	t.percent, t.decidedAt, t.sentAt = percent, now, time.Time{}
	switch {
	case percent > slowPacePercent:
		t.slowSince = time.Time{}
	case t.slowSince.IsZero():
		t.slowSince = now
	}
}

// effectivePace returns the pace, in percent, at which the filler is assumed to
// run at the given time.
func (t *throttle) effectivePace(now time.Time) int {
	if now.Sub(t.decidedAt) < paceDelay {
		return t.previousPercent
	}
	return t.percent
}

// isInFlight reports whether an order was sent so recently that it may not have
// taken effect.
func (t *throttle) isInFlight(now time.Time) bool {
	return !t.sentAt.IsZero() && now.Sub(t.sentAt) < minPaceInterval
}

// isDue reports whether the pace must be sent: it was never sent, or
// paceResendInterval has passed.
func (t *throttle) isDue(now time.Time) bool {
	return t.sentAt.IsZero() || now.Sub(t.sentAt) >= paceResendInterval
}

// orderedPace returns the ordered pace of a run in percent, 100 if none was ever
// ordered.
func (w *worker) orderedPace(run carobrock.Run) int {
	if t := w.throttles[run]; t != nil {
		return t.percent
	}
	return 100
}

// effectivePace returns the pace, in percent, at which a run is assumed to run at
// the given time.
func (w *worker) effectivePace(run carobrock.Run, now time.Time) int {
	if t := w.throttles[run]; t != nil {
		return t.effectivePace(now)
	}
	return 100
}

// adoptThrottle creates the throttle of a filler that an earlier leader
// started. The pace is estimated from the reported CPU use and then sent as an
// order, since the earlier leader's orders are unknown.
func (w *worker) adoptThrottle(run carobrock.Run, step *carobrock.Step, now time.Time) {
	if !w.inherited[run] || w.throttles[run] != nil {
		return
	}
	delete(w.inherited, run)
	pace := 100
	used := float64(w.reported[run].MilliCPU) / float64(max(1, step.Size.MilliCPU))
	if used < quietUseRatio*burstUseRatio {
		pace = int(100 * used / quietUseRatio)
	}
	t := &throttle{percent: pace, previousPercent: pace, decidedAt: now}
	if pace <= slowPacePercent {
		t.slowSince = now
	}
	w.throttles[run] = t
}

// hasUnsentPaces reports whether a pace has not been sent yet.
func (w *worker) hasUnsentPaces() bool {
	for _, t := range w.throttles {
		if t.sentAt.IsZero() {
			return true
		}
	}
	return false
}

// duePaces returns the pace orders that must be sent now.
func (w *worker) duePaces(now time.Time) []carobrock.PaceRun {
	var out []carobrock.PaceRun
	for run, t := range w.throttles {
		if t.isDue(now) {
			out = append(out, carobrock.PaceRun{Run: run, Percent: t.percent})
		}
	}
	return out
}

// markPacesSent records when the given pace orders were sent.
func (w *worker) markPacesSent(sent []carobrock.PaceRun, now time.Time) {
	for i := range sent {
		if t := w.throttles[sent[i].Run]; t != nil {
			t.sentAt = now
		}
	}
}
