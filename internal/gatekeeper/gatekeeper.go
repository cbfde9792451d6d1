package gatekeeper

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock/internal/admitter"
	"github.com/carobrock/carobrock/internal/charter"
	"github.com/carobrock/carobrock/internal/forwarder"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/watcher"
)

// Timeouts, intervals and limits.
const (
	// DefaultDrainDelay is how long a gateway accepts new connections after a stop
	// was requested, so that the load balancer can take it out of rotation.
	DefaultDrainDelay = 2 * time.Second
	// drainTimeout bounds the wait for the requests in flight.
	drainTimeout      = 10 * time.Minute
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// MaxHeaderBytes limits the headers of a request.
	MaxHeaderBytes = 64 << 10
)

// Gateway is a gateway process. Its exported fields must be set before Prepare and
// not changed afterwards.
type Gateway struct {
	// Name is the unique name of the gateway.
	Name string
	// CallerListener is the listener for callers.
	CallerListener net.Listener
	// OperationsListener is the listener for operators, workers and monitoring.
	OperationsListener net.Listener
	// OperationsHandler serves the requests to OperationsListener.
	OperationsHandler http.Handler
	// Watcher keeps the configuration up to date.
	Watcher *watcher.Watcher
	// Forwarder serves the callers' requests.
	Forwarder *forwarder.Forwarder
	// Messenger connects to the control replicas.
	Messenger *messenger.Messenger
	// DrainDelay is how long new connections are accepted after a stop was
	// requested. Zero means DefaultDrainDelay, a negative value no delay.
	DrainDelay time.Duration
	// Logger receives log messages.
	Logger zerolog.Logger

	inFlight atomic.Int64 // callers' requests in flight
	hadSlots atomic.Bool  // set once nearly all slots were granted
	mu       sync.Mutex
	chart    charter.Machine // state machine of charts/gateway.yaml
}

// Events and states of charts/gateway.yaml.
const (
	eventConfirmed = "confirmed"
	eventStale     = "stale"
	eventDrain     = "drain"
	eventIdle      = "idle"

	stateServing  = "serving"
	stateDraining = "draining"
)

// Prepare sets defaults and connects the components. It must be called once before Run.
func (g *Gateway) Prepare() {
	if g.DrainDelay == 0 {
		g.DrainDelay = DefaultDrainDelay
	}
	if g.Forwarder.Admitter == nil {
		g.Forwarder.Admitter = &admitter.Admitter{}
	}
	g.Forwarder.View = g.Watcher
	if g.Forwarder.NewRequestID == nil {
		g.Forwarder.NewRequestID = NewID
	}
	g.Watcher.RPCClient = g.Messenger
	g.Watcher.Demand = g.Forwarder.Admitter.Demand
	g.Watcher.SettledVersion = g.Forwarder.SettledVersion
	g.Watcher.OnCatalog = g.Forwarder.ApplyCatalog
	g.chart.Chart = charter.MustLoad("gateway.yaml")
	g.Messenger.Prepare()
	g.Watcher.Prepare()
}

// NewID returns a random identifier of 24 hexadecimal digits.
func NewID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// IsReady reports whether the load balancer should send callers to this gateway.
// After its start a gateway becomes ready only when it has nearly all its slots,
// unless no upstream is usable. Later changes of its slots do not make it unready.
func (g *Gateway) IsReady() bool {
	if g.State() != stateServing || !g.Watcher.HasGrantLease() {
		return false
	}
	c := g.Watcher.Current()
	if c.HasEnoughSlots() {
		g.hadSlots.Store(true)
	}
	return g.hadSlots.Load() || !c.HasUsableUpstream()
}

// State updates the state machine of charts/gateway.yaml with the freshness of the
// configuration and returns its state.
func (g *Gateway) State() string {
	if g.Watcher.IsFresh() {
		return g.fire(eventConfirmed)
	}
	return g.fire(eventStale)
}

// fire applies an event to the state machine and returns the resulting state.
func (g *Gateway) fire(event string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chart.Fire(event)
	return g.chart.Current()
}

// ServeHTTP implements http.Handler. It answers the health and readiness checks of
// the load balancer and forwards all other requests.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
		return
	case "/readyz":
		g.serveReady(w)
		return
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.State() == stateDraining {
		w.Header().Set("Connection", "close")
	}
	g.Forwarder.ServeHTTP(w, r)
}

func (g *Gateway) serveReady(w http.ResponseWriter) {
	if g.IsReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, g.State(), http.StatusServiceUnavailable)
}

// Run serves until ctx ends, then drains: it reports not ready, accepts new
// connections for DrainDelay more and waits for the requests in flight. Closing
// forceStop ends the drain at once. Run returns the first error of its components.
func (g *Gateway) Run(ctx context.Context, forceStop <-chan struct{}) error {
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callerServer := &http.Server{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: MaxHeaderBytes,
	}
	operationsServer := &http.Server{Handler: g.OperationsHandler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: MaxHeaderBytes}
	components := pool.New().WithContext(componentsCtx).WithCancelOnError().WithFirstError()
	components.Go(g.Messenger.Run)
	components.Go(g.Watcher.Run)
	components.Go(func(context.Context) error { return serve(callerServer, g.CallerListener) })
	components.Go(func(context.Context) error { return serve(operationsServer, g.OperationsListener) })
	components.Go(func(componentCtx context.Context) error {
		select {
		case <-ctx.Done():
			g.drain(callerServer, forceStop)
		case <-componentCtx.Done():
		}
		_ = callerServer.Close()
		_ = operationsServer.Close()
		g.Forwarder.Close()
		stop()
		return nil
	})
	return components.Wait()
}

// serve accepts connections from l until s is closed or shut down, and then returns
// nil.
func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain waits for DrainDelay and then until all requests are finished, at most for
// drainTimeout, and releases the grants. It returns early if forceStop is closed.
func (g *Gateway) drain(callerServer *http.Server, forceStop <-chan struct{}) {
	g.Logger.Info().Dur("delay", g.DrainDelay).Msg("gateway: draining")
	g.fire(eventDrain)
	timer := time.NewTimer(max(0, g.DrainDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-forceStop:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	shutdown := pool.New()
	shutdown.Go(func() { _ = callerServer.Shutdown(ctx) })
	for g.inFlight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-forceStop:
			cancel()
			return
		case <-ctx.Done():
			g.Logger.Warn().Int64("inFlight", g.inFlight.Load()).Msg("gateway: requests are still in flight at the end of the drain")
		case <-time.After(drainPollInterval):
		}
	}
	shutdown.Wait()
	g.releaseGrants(forceStop)
	g.fire(eventIdle)
	g.Logger.Info().Msg("gateway: drained")
}

// releaseGrantsTimeout bounds the wait for the release of the grants. Grants that are
// not released in time are freed when their lease expires.
const releaseGrantsTimeout = 4 * time.Second

// releaseGrants releases the grants and waits until the control group has confirmed it,
// at most for releaseGrantsTimeout or until forceStop is closed.
func (g *Gateway) releaseGrants(forceStop <-chan struct{}) {
	g.Watcher.StartDraining()
	deadline := time.NewTimer(releaseGrantsTimeout)
	defer deadline.Stop()
	for {
		c := g.Watcher.Current()
		if c == nil || !c.HoldsSlots() {
			return
		}
		select {
		case <-forceStop:
			return
		case <-deadline.C:
			return
		case <-time.After(drainPollInterval):
		}
	}
}
