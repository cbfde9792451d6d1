package forwarder

import (
	"expvar"
	"sync"

	"github.com/carobrock/carobrock"
)

// retryBudget is a token bucket that limits retries to a fraction of the
// requests, so that they cannot multiply the load on failing upstreams. The
// bucket starts full.
type retryBudget struct {
	mu          sync.Mutex
	tokens      float64
	initialized bool
}

const (
	tokensPerRequest = 0.1 // retries per request
	maxRetryTokens   = 20  // capacity of the bucket, in retries
)

// deposit adds the tokens that one request earns.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fillOnce()
	b.tokens = min(maxRetryTokens, b.tokens+tokensPerRequest)
}

// fillOnce fills the bucket at its first use. The caller holds b.mu.
func (b *retryBudget) fillOnce() {
	if !b.initialized {
		b.tokens, b.initialized = maxRetryTokens, true
	}
}

// withdraw takes the token for one retry. It reports false if there is none left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fillOnce()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Counts are the numbers of requests by outcome since the process started.
type Counts struct {
	// Answered counts requests that received the upstream's complete response, or
	// the recorded response to an earlier request with the same idempotency key.
	Answered expvar.Int
	// NotRun and Unknown count requests refused with that outcome.
	NotRun  expvar.Int
	Unknown expvar.Int
	// Aborted counts responses that were aborted after their first byte was sent.
	Aborted expvar.Int
	// Retried counts attempts after the first one of a request.
	Retried expvar.Int
}

// countRefusal counts a request refused with the given outcome.
func (c *Counts) countRefusal(outcome carobrock.Outcome) {
	if outcome == carobrock.OutcomeNotRun {
		c.NotRun.Add(1)
		return
	}
	c.Unknown.Add(1)
}
