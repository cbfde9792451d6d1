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

// Limits of request bodies, in bytes.
const (
	// DefaultMaxBodyBytes is the default limit of a request body.
	DefaultMaxBodyBytes = 16 << 20
	// maxBufferedBytes limits the part of a request body that is buffered.
	maxBufferedBytes = 64 << 10
)

// maxAttempts limits how often one request is sent.
const maxAttempts = 3

// View provides the configuration that a Forwarder uses.
type View interface {
	// Current returns the current catalog, nil if there is none yet.
	Current() *watcher.Catalog
	// IsFresh reports whether the catalog was confirmed recently enough to use it.
	IsFresh() bool
	// HasGrantLease reports whether the granted slots may be used.
	HasGrantLease() bool
}

// Forwarder is the handler for callers' requests. Its exported fields must be set
// before use and not changed afterwards.
type Forwarder struct {
	// View is the configuration.
	View View
	// Admitter allocates the slots.
	Admitter *admitter.Admitter
	// Keys claims idempotency keys. If nil, keys are ignored.
	Keys KeyStore
	// MaxBodyBytes limits a request body. Zero means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Dial opens connections to upstreams. If nil, TCP with keepalive and
	// TCP_USER_TIMEOUT is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// NewRequestID returns a new request ID.
	NewRequestID func() string
	// Logger receives log messages.
	Logger zerolog.Logger

	// Counts are the numbers of requests by outcome.
	Counts Counts

	mu     sync.Mutex
	conns  map[string]*upstreamConns
	budget retryBudget
}

var _ http.Handler = (*Forwarder)(nil)

// exchange is the state of one caller's request.
type exchange struct {
	f          *Forwarder
	w          http.ResponseWriter
	r          *http.Request
	ctx        context.Context //nolint:containedctx // the context of the request, with its deadline
	requestID  string
	route      *carobrock.Route
	idempotent bool
	body       *bufferedBody
	recorder   *responseRecorder // set if the response is recorded for an idempotency key
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{f: f, w: w, r: r, requestID: f.NewRequestID()}
	rf := x.process()
	if rf == nil {
		f.Counts.Answered.Add(1)
		return
	}
	f.Counts.countRefusal(rf.outcome)
	f.Logger.Debug().Str("requestId", x.requestID).Int("status", rf.status).
		Str("outcome", string(rf.outcome)).Str("reason", rf.reason).Msg("forwarder: request refused")
	rf.writeTo(w, x.requestID)
}

// process handles the request. It returns nil if the caller received the
// upstream's response or a recorded one.
func (x *exchange) process() *refusal {
	if rf := x.matchRoute(); rf != nil {
		return rf
	}
	timeout := time.Duration(x.route.TimeoutMillis) * time.Millisecond
	if timeout == 0 {
		timeout = carobrock.DefaultTimeoutMillis * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), timeout)
	defer cancel()
	x.ctx = ctx
	if rf := x.readBody(timeout); rf != nil {
		return rf
	}
	key := x.r.Header.Get(carobrock.HeaderIdempotencyKey)
	if key != "" && !x.idempotent && x.f.Keys != nil {
		return x.claimAndSend(key)
	}
	return x.sendWithRetries()
}

// matchRoute sets the route and whether the request is idempotent. It refuses
// unsupported requests, requests without a route, and all requests while the
// configuration is not confirmed.
func (x *exchange) matchRoute() *refusal {
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

// readBody buffers the beginning of the request body, within timeout.
func (x *exchange) readBody(timeout time.Duration) *refusal {
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
	body, err := bufferBody(x.r)
	switch {
	case isBodyTooLarge(err):
		return notRun(http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil:
		return notRun(http.StatusBadRequest, "the body could not be read")
	}
	if body.isComplete() {
		_ = control.SetReadDeadline(time.Time{})
	}
	x.body = body
	return nil
}

// sendWithRetries sends the request until it is answered or a retry is not
// possible or not allowed.
func (x *exchange) sendWithRetries() *refusal {
	x.f.budget.deposit()
	exclude := ""
	var last *refusal
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		slot, rf := x.acquireSlot(exclude)
		if rf != nil {
			return previousOr(last, rf)
		}
		a := x.sendAttempt(slot)
		if a.refusal == nil {
			return nil
		}
		last = combineRefusals(last, a.refusal)
		if !x.mayRetry(a) {
			break
		}
		exclude = slot.Address
		x.f.Counts.Retried.Add(1)
	}
	return last
}

// combineRefusals returns the refusal to report after another failed attempt: once
// the outcome of one attempt is "unknown", that of the request is as well.
func combineRefusals(previous, current *refusal) *refusal {
	if previous != nil && previous.outcome == carobrock.OutcomeUnknown && current.outcome == carobrock.OutcomeNotRun {
		return previous
	}
	return current
}

// previousOr returns previous, or current if previous is nil.
func previousOr(previous, current *refusal) *refusal {
	if previous != nil {
		return previous
	}
	return current
}

// mayRetry reports whether the request may be sent again after attempt a.
func (x *exchange) mayRetry(a attemptResult) bool {
	if x.ctx.Err() != nil || a.bodyConsumed && !x.body.isComplete() {
		return false
	}
	if a.refusal.outcome == carobrock.OutcomeUnknown && !x.idempotent {
		return false
	}
	return x.f.budget.withdraw()
}

// acquireSlot returns a slot of the route's pool. It avoids the upstream at the
// address exclude if there is another one.
func (x *exchange) acquireSlot(exclude string) (*admitter.Slot, *refusal) {
	if !x.f.View.HasGrantLease() {
		return nil, notRun(http.StatusServiceUnavailable, "this gateway holds no slots")
	}
	slot, err := x.f.Admitter.AcquireSlot(x.ctx, x.route.Pool, exclude)
	switch {
	case err == nil && !x.f.View.HasGrantLease():
		slot.Release(admitter.ResultNone)
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

// ApplyCatalog applies a new catalog: it updates the slots and the connection limits
// of the upstreams.
func (f *Forwarder) ApplyCatalog(c *watcher.Catalog) {
	f.Admitter.ApplyCatalog(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, conns := range f.conns {
		if u := c.Upstreams[address]; u != nil {
			conns.setLimit(u.Connections)
			continue
		}
		conns.setLimit(0)
		if conns.openConnections() == 0 {
			delete(f.conns, address)
		}
	}
}

// connsTo returns the connections to the upstream at address and creates them if
// necessary.
func (f *Forwarder) connsTo(address string) *upstreamConns {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conns := f.conns[address]; conns != nil {
		return conns
	}
	dial := f.Dial
	if dial == nil {
		dial = dialUpstream
	}
	conns := newUpstreamConns(address, dial)
	if c := f.View.Current(); c != nil && c.Upstreams[address] != nil {
		conns.limit = c.Upstreams[address].Connections
	}
	if f.conns == nil {
		f.conns = map[string]*upstreamConns{}
	}
	f.conns[address] = conns
	return conns
}

// SettledVersion returns version if no upstream has more connections or
// requests than the grants of that version allow, and zero otherwise.
func (f *Forwarder) SettledVersion(version uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range f.conns {
		if conns.isOverLimit() {
			return 0
		}
	}
	return f.Admitter.SettledVersion(version)
}

// Close closes the idle connections to all upstreams.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range f.conns {
		conns.transport.CloseIdleConnections()
	}
}
