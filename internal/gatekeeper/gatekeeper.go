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

// Default settings.
const (
	// DefaultDrainDelay is how long new connections are still served after a
	// stop was asked for, so that the balancer can turn away.
	DefaultDrainDelay = 2 * time.Second
	// drainTimeout bounds the wait for requests in flight.
	drainTimeout      = 10 * time.Minute
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	drainPoll         = 20 * time.Millisecond
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes = 64 << 10
)

// Gateway is one gateway. Its fields are set before Run and not changed after.
type Gateway struct {
	// Name identifies the gateway.
	Name string
	// Callers is the listener for callers.
	Callers net.Listener
	// Operations is the listener for operators, workers and monitoring.
	Operations net.Listener
	// OperationsHandler serves Operations.
	OperationsHandler http.Handler
	// Watcher keeps the view of the configuration.
	Watcher *watcher.Watcher
	// Forwarder serves the requests.
	Forwarder *forwarder.Forwarder
	// Messenger reaches the control replicas.
	Messenger *messenger.Messenger
	// DrainDelay is how long new connections are still served after a stop was
	// asked for. Zero: DefaultDrainDelay. Negative: none.
	DrainDelay time.Duration
	// Logger takes the log.
	Logger zerolog.Logger

	requests atomic.Int64
	equipped atomic.Bool // has had all its slots once
	mu       sync.Mutex
	chart    charter.Machine // charts/gateway.yaml
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

// Prepare wires the parts together.
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
	g.Watcher.Caller = g.Messenger
	g.Watcher.Demand = g.Forwarder.Admitter.Demand
	g.Watcher.Settled = g.Forwarder.Settled
	g.Watcher.OnCatalog = g.Forwarder.ApplyCatalog
	g.chart.Chart = charter.MustLoad("gateway.yaml")
	g.Messenger.Prepare()
	g.Watcher.Prepare()
}

// NewID returns a new random identifier.
func NewID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// IsReady reports whether the balancer should send callers here. A gateway that
// has just started waits for its slots, unless there is no upstream to have them
// of; later on slots that move do not make it unready.
func (g *Gateway) IsReady() bool {
	if g.State() != stateServing || !g.Watcher.HoldsGrants() {
		return false
	}
	c := g.Watcher.Current()
	if c.IsEquipped() {
		g.equipped.Store(true)
	}
	return g.equipped.Load() || !c.HasUsableUpstream()
}

// State returns the present state of the chart charts/gateway.yaml.
func (g *Gateway) State() string {
	if g.Watcher.IsFresh() {
		return g.fire(eventConfirmed)
	}
	return g.fire(eventStale)
}

// fire lets an event happen and returns the state that follows.
func (g *Gateway) fire(event string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chart.Fire(event)
	return g.chart.Current()
}

// ServeHTTP serves a caller: the two checks for the balancer, else the request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
		return
	case "/readyz":
		g.serveReady(w)
		return
	}
	g.requests.Add(1)
	defer g.requests.Add(-1)
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

// Run serves until ctx ends, then drains: readiness fails, new connections are
// served for DrainDelay, and requests in flight finish. A call of cut ends the
// drain at once.
func (g *Gateway) Run(ctx context.Context, cut <-chan struct{}) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := &http.Server{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: MaxHeaderBytes,
	}
	operations := &http.Server{Handler: g.OperationsHandler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: MaxHeaderBytes}
	parts := pool.New().WithContext(inner).WithCancelOnError().WithFirstError()
	parts.Go(g.Messenger.Run)
	parts.Go(g.Watcher.Run)
	parts.Go(func(context.Context) error { return serve(callers, g.Callers) })
	parts.Go(func(context.Context) error { return serve(operations, g.Operations) })
	parts.Go(func(partCtx context.Context) error {
		select {
		case <-ctx.Done():
			g.drain(callers, cut)
		case <-partCtx.Done():
		}
		_ = callers.Close()
		_ = operations.Close()
		g.Forwarder.Close()
		stop()
		return nil
	})
	return parts.Wait()
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain ends the service without cutting a request.
func (g *Gateway) drain(callers *http.Server, cut <-chan struct{}) {
	g.Logger.Info().Dur("delay", g.DrainDelay).Msg("gateway: draining")
	g.fire(eventDrain)
	timer := time.NewTimer(max(0, g.DrainDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cut:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	stop := pool.New()
	stop.Go(func() { _ = callers.Shutdown(ctx) })
	for g.requests.Load() > 0 {
		select {
		case <-cut:
			cancel()
			return
		case <-time.After(drainPoll):
		}
	}
	stop.Wait()
	g.handBack(cut)
	g.fire(eventIdle)
	g.Logger.Info().Msg("gateway: drained")
}

// handBackTimeout bounds the wait for the grants to be handed back. If it is
// not long enough, they return when their lease has run out.
const handBackTimeout = 4 * time.Second

// handBack tells the control group that the grants are free.
func (g *Gateway) handBack(cut <-chan struct{}) {
	g.Watcher.Drain()
	deadline := time.NewTimer(handBackTimeout)
	defer deadline.Stop()
	for {
		c := g.Watcher.Current()
		if c == nil || !c.HoldsSlots() {
			return
		}
		select {
		case <-cut:
			return
		case <-deadline.C:
			return
		case <-time.After(drainPoll):
		}
	}
}
