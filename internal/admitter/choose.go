package admitter

import (
	"math/rand/v2"
	"time"
)

// choose returns an upstream with a free slot, or nil: the better of two drawn
// at random (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001). Ejected upstreams are left out unless a probe is due or
// nothing else is left.
func (a *Admitter) choose(p *pool, exclude string, now time.Time) (u *upstream, probe bool) {
	var free, excluded, ejected draw
	for _, m := range p.members {
		if !m.usable || m.inFlight >= m.slots {
			continue
		}
		switch {
		case m.address == exclude:
			excluded.add(a, m)
		case m.health.isProbeDue(now):
			return m, true
		case m.health.isEjected(now):
			ejected.add(a, m)
		default:
			free.add(a, m)
		}
	}
	for _, d := range []*draw{&free, &excluded, &ejected} {
		if d.n > 0 {
			return d.better(), false
		}
	}
	return nil, false
}

// draw draws two upstreams at random, with replacement, from those that are
// added one by one (Vitter, "Random Sampling with a Reservoir", 1985).
type draw struct {
	n    int
	x, y *upstream
}

func (d *draw) add(a *Admitter, u *upstream) {
	d.n++
	if a.intN(d.n) == 0 {
		d.x = u
	}
	if a.intN(d.n) == 0 {
		d.y = u
	}
}

// better returns the one of the two that is expected to answer sooner.
func (d *draw) better() *upstream {
	if d.y.score() < d.x.score() {
		return d.y
	}
	return d.x
}

func (a *Admitter) intN(n int) int {
	if a.Rand == nil {
		return rand.IntN(n)
	}
	return a.Rand.IntN(n)
}

// score is the expected time to an answer: lower is better.
func (u *upstream) score() float64 {
	return float64(u.inFlight+1) * float64(u.health.latency+time.Microsecond)
}
