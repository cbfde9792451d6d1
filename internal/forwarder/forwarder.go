package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/admitter"
	"github.com/carobrock/carobrock/internal/router"
	"github.com/carobrock/carobrock/internal/watcher"
)

// Limits of requests and answers, in bytes.
const (
	// DefaultMaxBodyBytes bounds a request's body.
	DefaultMaxBodyBytes = 16 << 20
	maxHeldBytes        = 64 << 10
)

// maxAttempts bounds how often one request is sent.
const maxAttempts = 3

// View is what the forwarder needs to know of the configuration.
type View interface {
	// Current returns the catalog in force, nil if there is none yet.
	Current() *watcher.Catalog
	// IsFresh reports whether the catalog is known to be in force.
	IsFresh() bool
	// HoldsGrants reports whether the granted slots may be used.
	HoldsGrants() bool
}

// Forwarder is the handler for callers' requests. Its fields are set before use
// and not changed after.
type Forwarder struct {
	// View is the configuration.
	View View
	// Admitter hands out the slots.
	Admitter *admitter.Admitter
	// Keys claims idempotency keys. Nil: a request with a key is treated as one
	// without.
	Keys KeyKeeper
	// MaxBodyBytes bounds a request's body. Zero: DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Dial opens connections to upstreams. Nil: TCP with keepalive and
	// TCP_USER_TIMEOUT.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// NewRequestID returns a new request ID.
	NewRequestID func() string
	// Logger takes the log.
	Logger zerolog.Logger

	// Counts are the numbers of requests by outcome.
	Counts Counts

	mu     sync.Mutex
	lines  map[string]*line
	budget retryBudget
}

var _ http.Handler = (*Forwarder)(nil)

// exchange is one caller's request on its way.
type exchange struct {
	f          *Forwarder
	w          http.ResponseWriter
	r          *http.Request
	ctx        context.Context //nolint:containedctx // the request's own, with its deadline
	requestID  string
	route      *carobrock.Route
	idempotent bool
	body       *heldBody
	recorder   *recorder // set while an answer is to be recorded for a key
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{f: f, w: w, r: r, requestID: f.NewRequestID()}
	rf := x.serve()
	if rf == nil {
		f.Counts.Answered.Add(1)
		return
	}
	f.Counts.refused(rf.outcome)
	f.Logger.Debug().Str("requestId", x.requestID).Int("status", rf.status).
		Str("outcome", string(rf.outcome)).Str("reason", rf.reason).Msg("forwarder: request refused")
	rf.write(w, x.requestID)
}

// serve carries out the request. It returns nil if the caller got the
// upstream's answer.
func (x *exchange) serve() *refusal {
	if rf := x.admit(); rf != nil {
		return rf
	}
	timeout := time.Duration(x.route.TimeoutMillis) * time.Millisecond
	if timeout == 0 {
		timeout = carobrock.DefaultTimeoutMillis * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), timeout)
	defer cancel()
	x.ctx = ctx
	if rf := x.hold(timeout); rf != nil {
		return rf
	}
	key := x.r.Header.Get(carobrock.HeaderIdempotencyKey)
	if key != "" && !x.idempotent && x.f.Keys != nil {
		return x.sendOnce(key)
	}
	return x.sendWithRetries()
}

// admit finds the route and turns away what carobrock does not serve.
func (x *exchange) admit() *refusal {
	if x.r.Method == http.MethodConnect || x.r.Header.Get("Upgrade") != "" {
		return notRun(http.StatusNotImplemented, "CONNECT and Upgrade are not supported")
	}
	c := x.f.View.Current()
	if c == nil || !x.f.View.IsFresh() {
		return notRun(http.StatusServiceUnavailable, "the configuration of this gateway is not confirmed")
	}
	route, ok := c.Routes.Match(x.r.Host, x.r.URL.Path)
	if !ok {
		return notRun(http.StatusNotFound, "no route matches the request")
	}
	if c.Pools[route.Pool] == nil {
		return notRun(http.StatusServiceUnavailable, "the route's pool does not exist")
	}
	x.route = route
	x.idempotent = router.IsIdempotent(x.r.Method, route.Idempotent, x.r.Header.Get(carobrock.HeaderIdempotent))
	return nil
}

// hold reads the beginning of the body.
func (x *exchange) hold(timeout time.Duration) *refusal {
	limit := x.f.MaxBodyBytes
	if limit == 0 {
		limit = DefaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return notRun(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	body, err := readBody(x.r)
	switch {
	case isTooLarge(err):
		return notRun(http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil:
		return notRun(http.StatusBadRequest, "the body could not be read")
	}
	if body.isWhole() {
		_ = control.SetReadDeadline(time.Time{})
	}
	x.body = body
	return nil
}

// sendWithRetries sends the request until it is answered or must not or cannot
// be sent again.
func (x *exchange) sendWithRetries() *refusal {
	x.f.budget.deposit()
	exclude := ""
	var last *refusal
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		slot, rf := x.acquire(exclude)
		if rf != nil {
			return firstRefusal(last, rf)
		}
		a := x.send(slot)
		if a.refusal == nil {
			return nil
		}
		last = worse(last, a.refusal)
		if !x.mayRetry(a) {
			break
		}
		exclude = slot.Address
		x.f.Counts.Retried.Add(1)
	}
	return last
}

// worse returns the refusal that promises less: once one attempt may have run,
// the request may have run.
func worse(last, now *refusal) *refusal {
	if last != nil && last.outcome == carobrock.OutcomeUnknown && now.outcome == carobrock.OutcomeNotRun {
		return last
	}
	return now
}

func firstRefusal(last, now *refusal) *refusal {
	if last != nil {
		return last
	}
	return now
}

// mayRetry reports whether the request may be sent again after attempt a.
func (x *exchange) mayRetry(a attempt) bool {
	if x.ctx.Err() != nil || a.bodyUsed && !x.body.isWhole() {
		return false
	}
	if a.refusal.outcome == carobrock.OutcomeUnknown && !x.idempotent {
		return false
	}
	return x.f.budget.withdraw()
}

// acquire gets a slot.
func (x *exchange) acquire(exclude string) (*admitter.Slot, *refusal) {
	if !x.f.View.HoldsGrants() {
		return nil, notRun(http.StatusServiceUnavailable, "this gateway holds no slots")
	}
	slot, err := x.f.Admitter.Acquire(x.ctx, x.route.Pool, exclude)
	switch {
	case err == nil && !x.f.View.HoldsGrants():
		slot.Release(admitter.ResultUnused)
		return nil, notRun(http.StatusServiceUnavailable, "this gateway holds no slots")
	case err == nil:
		return slot, nil
	case errors.Is(err, admitter.ErrNoUpstream):
		return nil, notRun(http.StatusServiceUnavailable, "the pool has no usable upstream")
	case errors.Is(err, admitter.ErrQueueFull), errors.Is(err, admitter.ErrOverloaded):
		return nil, notRun(http.StatusServiceUnavailable, "the pool is overloaded")
	case errors.Is(err, admitter.ErrTooLate):
		return nil, notRun(http.StatusServiceUnavailable, "no slot was free in time")
	default:
		return nil, notRun(http.StatusServiceUnavailable, "the caller gave up waiting")
	}
}

// Update puts a catalog in force: connections follow the grants.
func (f *Forwarder) Update(c *watcher.Catalog) {
	f.Admitter.Update(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, l := range f.lines {
		if u := c.Upstreams[address]; u != nil {
			l.setLimit(u.Connections)
			continue
		}
		l.setLimit(0)
		if l.openConnections() == 0 {
			delete(f.lines, address)
		}
	}
}

// line returns the connections to an upstream.
func (f *Forwarder) line(address string) *line {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.lines[address]; l != nil {
		return l
	}
	dial := f.Dial
	if dial == nil {
		dial = dialUpstream
	}
	l := newLine(address, dial)
	if c := f.View.Current(); c != nil && c.Upstreams[address] != nil {
		l.limit = c.Upstreams[address].Connections
	}
	if f.lines == nil {
		f.lines = map[string]*line{}
	}
	f.lines[address] = l
	return l
}

// Settled returns version if no upstream is used beyond the grants of that
// version, else zero.
func (f *Forwarder) Settled(version uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.lines {
		if l.isOverLimit() {
			return 0
		}
	}
	return f.Admitter.Settled(version)
}

// Close closes the idle connections to all upstreams.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.lines {
		l.transport.CloseIdleConnections()
	}
}
