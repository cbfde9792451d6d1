package admitter

import (
	"math/rand/v2"
	"time"
)

// chooseUpstream returns an upstream with a free slot, or nil: the one with the
// lower score of two drawn at random (Mitzenmacher, "The Power of Two Choices
// in Randomized Load Balancing", 2001). The upstream exclude is chosen only if
// every other upstream with a free slot is ejected, and ejected upstreams only
// if no other has a free slot. An upstream whose probe is due is chosen at
// once, and probe is then true.
func (a *Admitter) chooseUpstream(p *pool, exclude string, now time.Time) (u *upstream, probe bool) {
	var free, excluded, ejected twoChoices
	for _, candidate := range p.upstreams {
		if !candidate.usable || candidate.inFlight >= candidate.slots {
			continue
		}
		switch {
		case candidate.address == exclude:
			excluded.addUpstream(a, candidate)
		case candidate.health.isProbeDue(now):
			return candidate, true
		case candidate.health.isEjected(now):
			ejected.addUpstream(a, candidate)
		default:
			free.addUpstream(a, candidate)
		}
	}
	for _, choices := range []*twoChoices{&free, &excluded, &ejected} {
		if choices.count > 0 {
			return choices.lowerScore(), false
		}
	}
	return nil, false
}

// twoChoices draws two upstreams at random, with replacement, from those that
// are added one by one (Vitter, "Random Sampling with a Reservoir", 1985).
type twoChoices struct {
	count         int
	first, second *upstream
}

func (c *twoChoices) addUpstream(a *Admitter, u *upstream) {
	c.count++
	if a.randIntN(c.count) == 0 {
		c.first = u
	}
	if a.randIntN(c.count) == 0 {
		c.second = u
	}
}

// lowerScore returns the one of the two that is expected to respond sooner.
func (c *twoChoices) lowerScore() *upstream {
	if c.second.score() < c.first.score() {
		return c.second
	}
	return c.first
}

func (a *Admitter) randIntN(n int) int {
	if a.Rand == nil {
		return rand.IntN(n)
	}
	return a.Rand.IntN(n)
}

// score is the expected response time in nanoseconds; lower is better.
func (u *upstream) score() float64 {
	return float64(u.inFlight+1) * float64(u.health.latency+time.Microsecond)
}
