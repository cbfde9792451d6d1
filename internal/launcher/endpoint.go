package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/limiter"
)

const (
	// endpointStopTimeout is the time from the end of Run's context to the stop
	// deadline if StartDraining was not called.
	endpointStopTimeout = 2 * time.Second
	// finalResponseTime is the time before the stop deadline at which the requests in
	// flight are cancelled, so that their responses can still be sent.
	finalResponseTime = 700 * time.Millisecond
	// retryAfterSeconds is the value of the Retry-After header of a refusal.
	retryAfterSeconds = "1"
	// quietTime is how long nothing must have been received on a connection before it
	// is closed at shutdown. The first request of a new connection arrives within it.
	quietTime = 500 * time.Millisecond
	// shutdownPollInterval is the interval at which connections are checked at
	// shutdown.
	shutdownPollInterval = 20 * time.Millisecond
	// maxDiscardedBytes limits how much of the body of a request is read and discarded
	// after the handler has returned.
	maxDiscardedBytes = 256 << 10
)

// Endpoint is an HTTP server at one address. It stops in two steps, so that no request
// that it has read ends without a response: after StartDraining each connection is
// closed after its next response, and at the end of Run's context connections are
// closed once they are quiet. http.Server.Shutdown is not used, since it closes
// connections with requests that were read after its call, or whose header was not
// complete at that time, without a response.
type Endpoint struct {
	// Name identifies the endpoint in errors and in the log.
	Name string
	// Address is the host:port to listen at.
	Address string
	// Handler serves the requests.
	Handler http.Handler
	// Limits bounds what clients may make the endpoint hold. If zero, it is that of the
	// callers' listener of a VM whose size is unknown.
	Limits limiter.Limits
	// RequestLimits returns the limits that the configuration in force sets for clients;
	// zero fields mean those of Limits. If nil, there are none.
	RequestLimits func() carobrock.RequestLimits
	// Logger receives log messages.
	Logger zerolog.Logger

	server         *http.Server
	listener       net.Listener
	cancelRequests context.CancelFunc
	draining       atomic.Bool
	served         atomic.Int64 // responses since StartDraining
	closedQuiet    atomic.Int64 // connections closed because they were quiet
	unanswered     atomic.Int64 // requests cut at the stop deadline
	budget         *limiter.Budget
	decoder        *limiter.Decoder
	requests       atomic.Int64 // in flight
	refusals       refusals

	mu           sync.Mutex
	stopDeadline time.Time // zero until StartDraining or the end of Run's context
	conns        map[*trackedConn]struct{}
	sources      map[string]int // open connections by IP address
}

// Open starts to listen at the address. It fails with ErrSettings.
func (e *Endpoint) Open() error {
	l, err := listen(e.Name, e.Address)
	if err != nil {
		return err
	}
	e.prepare(l)
	return nil
}

// prepare creates the server that accepts connections from l.
func (e *Endpoint) prepare(l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelRequests = cancel
	e.conns, e.sources = map[*trackedConn]struct{}{}, map[string]int{}
	if e.Limits.MaxConns == 0 {
		e.Limits = limiter.Derive(0, 0).Callers
	}
	e.budget = limiter.NewBudget(e.Limits.HeldBytes)
	e.decoder = limiter.NewDecoder(e.Limits.DecodeBytes, e.Limits.MaxDocumentBytes)
	e.listener = &trackingListener{Listener: l, endpoint: e}
	e.server = &http.Server{
		Handler: http.HandlerFunc(e.serveHTTP), BaseContext: func(net.Listener) context.Context { return ctx }, ConnState: trackState,
		// The connection enforces smaller limits, which change with the configuration.
		ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		// Clients can cause such messages at will.
		ErrorLog: log.New(e.Logger.Sample(&zerolog.BurstSampler{Burst: 1, Period: time.Second}), "endpoint: ", 0),
	}
}

// serveHTTP passes a request to the handler. It refuses the request if the stop
// deadline is near; callers may then rely on it not having been executed.
func (e *Endpoint) serveHTTP(w http.ResponseWriter, r *http.Request) {
	draining := e.draining.Load()
	if draining {
		w.Header().Set("Connection", "close")
	}
	body, end := e.startRequest(w, r)
	defer end()
	switch {
	case r.Context().Err() != nil:
		refuse(w)
	case body.cause != causeNone:
		e.refuseRequest(w, body)
	default:
		e.handle(w, r.WithContext(body.newContext(r.Context())))
	}
	body.held.Close()
	if w.Header().Get("Retry-After") != "" {
		body.startDiscarding()
	}
	discardBody(r, body)
	if draining {
		e.served.Add(1)
	}
}

// handle calls the handler. If it panics, the panic is logged and the response says
// that the outcome of the request is unknown.
func (e *Endpoint) handle(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if p := recover(); p != nil {
			e.Logger.Error().Str("endpoint", e.Name).Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("endpoint: handler panicked")
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}()
	e.Handler.ServeHTTP(w, r)
}

// discardBody reads the rest of the body of r, before the response leaves. If the
// connection were closed with unread bytes, it would be reset, which destroys the
// response. The body of a request with Expect may never be sent.
func discardBody(r *http.Request, body *meteredBody) {
	if r.Header.Get("Expect") != "" || body.isOver() {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBytes)) // a broken connection takes no response either
}

// StartDraining makes the endpoint close each connection after its next response, so
// that callers connect to other processes. Run returns by the stop deadline.
func (e *Endpoint) StartDraining(stopDeadline time.Time) {
	e.mu.Lock()
	e.stopDeadline = stopDeadline
	e.mu.Unlock()
	e.draining.Store(true)
}

// Run serves until ctx ends and then waits until all requests that were read have their
// response, at most until the stop deadline. Open must have been called.
func (e *Endpoint) Run(ctx context.Context) error {
	defer e.cancelRequests()
	logCtx, stopLogging := context.WithCancel(ctx)
	group := pool.New().WithErrors()
	served := make(chan struct{})
	group.Go(func() error {
		defer close(served)
		defer stopLogging()
		err := e.server.Serve(e.listener)
		if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		e.logRefusals(logCtx)
		return nil
	})
	group.Go(func() error {
		select {
		case <-served:
			return nil
		case <-ctx.Done():
			return e.shutdown(served)
		}
	})
	return group.Wait()
}

// shutdown closes the listener and each connection once it is quiet. Shortly before the
// stop deadline it cancels the requests in flight, at the deadline it closes all
// connections. The channel served is closed when no more connections are accepted.
func (e *Endpoint) shutdown(served <-chan struct{}) error {
	e.mu.Lock()
	if e.stopDeadline.IsZero() {
		e.stopDeadline = time.Now().Add(endpointStopTimeout)
	}
	deadline := e.stopDeadline
	e.mu.Unlock()
	e.draining.Store(true)
	listenerErr := e.listener.Close()
	<-served
	timer := time.AfterFunc(time.Until(deadline)-finalResponseTime, e.cancelRequests)
	defer timer.Stop()
	for e.expireQuietConns() > 0 && time.Now().Before(deadline) {
		time.Sleep(shutdownPollInterval)
	}
	e.countUnanswered()
	_ = e.server.Close() // its error is that of the listener, which is already closed
	return listenerErr
}

// openConns returns the open connections.
func (e *Endpoint) openConns() []*trackedConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	conns := make([]*trackedConn, 0, len(e.conns))
	for c := range e.conns {
		conns = append(conns, c)
	}
	return conns
}

// expireQuietConns expires the connections that are quiet and returns the number of
// open ones.
func (e *Endpoint) expireQuietConns() int {
	conns := e.openConns()
	now := time.Now()
	for _, c := range conns {
		c.expireIfQuiet(now)
	}
	return len(conns)
}

// countUnanswered counts the open connections with a request that has no response.
func (e *Endpoint) countUnanswered() {
	for _, c := range e.openConns() {
		if c.hasRequest() {
			e.unanswered.Add(1)
		}
	}
}

// removeConn removes a connection that is being closed.
func (e *Endpoint) removeConn(c *trackedConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeConnLocked(c)
}

// removeConnLocked is removeConn for a caller that holds e.mu.
func (e *Endpoint) removeConnLocked(c *trackedConn) {
	if _, ok := e.conns[c]; !ok {
		return
	}
	if c.isExpired() {
		e.closedQuiet.Add(1)
	}
	delete(e.conns, c)
	if e.sources[c.source]--; e.sources[c.source] == 0 {
		delete(e.sources, c.source)
	}
}

var _ zerolog.LogObjectMarshaler = (*Endpoint)(nil)

// MarshalZerologObject implements zerolog.LogObjectMarshaler. The counts are those of
// the drain.
func (e *Endpoint) MarshalZerologObject(event *zerolog.Event) {
	event.Int64("served", e.served.Load()).Int64("closedQuiet", e.closedQuiet.Load()).Int64("unanswered", e.unanswered.Load())
}
