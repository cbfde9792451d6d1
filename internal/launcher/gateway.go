package launcher

import (
	"context"
	"errors"
	"expvar"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock/internal/admitter"
	"github.com/carobrock/carobrock/internal/dumper"
	"github.com/carobrock/carobrock/internal/forwarder"
	"github.com/carobrock/carobrock/internal/gatekeeper"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/relayer"
	"github.com/carobrock/carobrock/internal/watcher"
)

// Gateway is a gateway with its listeners open.
type Gateway struct {
	gateway *gatekeeper.Gateway
	logger  zerolog.Logger
}

// NewGateway opens the listeners of a gateway. It fails with ErrSettings and then
// leaves nothing open.
func NewGateway(s *GatewaySettings, version string, logger zerolog.Logger) (*Gateway, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	tokens, err := s.readTokens()
	if err != nil {
		return nil, err
	}
	callerListener, err := listen("--listen", s.Listen)
	if err != nil {
		return nil, err
	}
	operationsListener, err := listen("--operations", s.Operations)
	if err != nil {
		return nil, errors.Join(err, callerListener.Close())
	}
	ms := &messenger.Messenger{Logger: logger}
	control := &relayer.Relayer{RPCClient: ms, Replicas: s.Replicas}
	g := newGateway(s, callerListener, operationsListener, ms, control, logger)
	g.Prepare()
	warnMissingTokens(&tokens, logger)
	publishCounts("requests", &g.Forwarder.Counts)
	g.OperationsHandler = operationsHandler(control, tokens, logger, &dumper.Dumper{
		Process: "gateway", Version: version, Started: time.Now(),
		Sections: []dumper.Section{
			{Name: "settings", State: func() any { return s }},
			{Name: "gateway", State: func() any { return gatewayState(g) }},
			{Name: "traffic", State: func() any { return ms.Traffic.Counts() }},
			{Name: "upstreams", State: func() any { return g.Forwarder.Admitter.UpstreamStates() }},
		},
	})
	return &Gateway{gateway: g, logger: logger}, nil
}

// newGateway creates the components of a gateway.
func newGateway(s *GatewaySettings, callerListener, operationsListener net.Listener, ms *messenger.Messenger, control *relayer.Relayer, logger zerolog.Logger) *gatekeeper.Gateway {
	drainDelay := s.DrainDelay
	if drainDelay == 0 {
		// gatekeeper.Gateway takes zero as the default delay and a negative value as
		// none.
		drainDelay = -1
	}
	return &gatekeeper.Gateway{
		Name: s.Name, CallerListener: callerListener, OperationsListener: operationsListener, Messenger: ms, DrainDelay: drainDelay, Logger: logger,
		Watcher: &watcher.Watcher{
			Gateway: s.Name, Incarnation: gatekeeper.NewID(), AvailabilityZone: s.AvailabilityZone,
			Replicas: s.Replicas, StaleAfter: s.StaleAfter, Logger: logger,
		},
		Forwarder: &forwarder.Forwarder{
			Admitter: &admitter.Admitter{MaxQueue: s.MaxQueue, MaxExpectedWait: s.MaxExpectedWait, MaxQueueWait: s.MaxQueueWait}, MaxBodyBytes: s.MaxBodyBytes, Logger: logger,
			Keys: &forwarder.ReplicatedKeys{Control: control},
		},
	}
}

// gatewayDump is the gateway's section of the debug dump.
type gatewayDump struct {
	State         string `json:"state"`
	Index         uint64 `json:"index"`
	RoutesVersion uint64 `json:"routesVersion"`
	PoolsVersion  uint64 `json:"poolsVersion"`
	GrantsVersion uint64 `json:"grantsVersion"`
	Fresh         bool   `json:"fresh"`
	HasGrantLease bool   `json:"holdsGrants"`
	InFlight      int    `json:"inFlight"`
}

// gatewayState returns the present state of g for the debug dump.
func gatewayState(g *gatekeeper.Gateway) gatewayDump {
	d := gatewayDump{
		State: g.State(), Fresh: g.Watcher.IsFresh(), HasGrantLease: g.Watcher.HasGrantLease(), InFlight: g.Forwarder.Admitter.InFlight(),
	}
	if c := g.Watcher.Current(); c != nil {
		d.Index, d.RoutesVersion, d.PoolsVersion, d.GrantsVersion = c.Index, c.RoutesVersion, c.PoolsVersion, c.GrantsVersion
	}
	return d
}

// publishCounts publishes the counts as an expvar map. If the process has already
// published that name, it does nothing.
func publishCounts(name string, c *forwarder.Counts) {
	if expvar.Get(name) != nil {
		return
	}
	m := expvar.NewMap(name)
	m.Set("answered", &c.Answered)
	m.Set("notRun", &c.NotRun)
	m.Set("unknown", &c.Unknown)
	m.Set("aborted", &c.Aborted)
	m.Set("retried", &c.Retried)
}

// Run runs the gateway until ctx ends and it has drained. Closing forceStop ends
// the drain at once.
func (g *Gateway) Run(ctx context.Context, forceStop <-chan struct{}) error {
	g.logger.Info().Str("callers", g.gateway.CallerListener.Addr().String()).
		Str("operations", g.gateway.OperationsListener.Addr().String()).Msg("gateway: started")
	return g.gateway.Run(ctx, forceStop)
}
