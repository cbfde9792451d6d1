package forwarder

import (
	"expvar"
	"sync"

	"github.com/carobrock/carobrock"
)

// retryBudget limits retries to a share of the requests, so that they cannot
// multiply the load on upstreams that fail.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	filled bool
}

const (
	retryShare     = 0.1 // retries per request
	retryTokensMax = 20  // retries that may be saved up
)

// deposit counts a request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens = min(retryTokensMax, b.tokens+retryShare)
}

func (b *retryBudget) fill() {
	if !b.filled {
		b.tokens, b.filled = retryTokensMax, true
	}
}

// withdraw reports whether a retry may be made, and counts it.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Counts are the numbers of requests by outcome since the start.
type Counts struct {
	// Answered requests got the upstream's whole answer.
	Answered expvar.Int
	// NotRun and Unknown requests were refused with that outcome.
	NotRun  expvar.Int
	Unknown expvar.Int
	// Aborted answers broke off on the way.
	Aborted expvar.Int
	// Retried counts attempts beyond the first.
	Retried expvar.Int
}

func (c *Counts) refused(o carobrock.Outcome) {
	if o == carobrock.OutcomeNotRun {
		c.NotRun.Add(1)
		return
	}
	c.Unknown.Add(1)
}
