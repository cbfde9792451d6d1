package launcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/controller"
	"github.com/carobrock/carobrock/internal/dumper"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
	"github.com/carobrock/carobrock/internal/keeper"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/operator"
	"github.com/carobrock/carobrock/internal/replicator"
	"github.com/carobrock/carobrock/internal/scheduler"
)

// Control is a control replica with its listeners and data directory open.
type Control struct {
	controller         *controller.Controller
	operationsListener net.Listener
	handler            http.Handler
	logger             zerolog.Logger
}

// maxIdleWorkerConns limits the idle connections to one worker.
const maxIdleWorkerConns = 2

// NewControl opens the listeners and the data directory of a control replica. It
// fails with ErrSettings and then leaves nothing open.
func NewControl(s *ControlSettings, version string, logger zerolog.Logger) (*Control, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	tokens, err := s.readTokens()
	if err != nil {
		return nil, err
	}
	initial, err := s.initialMembers()
	if err != nil {
		return nil, err
	}
	taskPlacer, err := s.newPlacer()
	if err != nil {
		return nil, err
	}
	peerListener, err := listen("--listen", s.Listen)
	if err != nil {
		return nil, err
	}
	operationsListener, err := listen("--operations", s.Operations)
	if err != nil {
		return nil, errors.Join(err, peerListener.Close())
	}
	c := newController(s, initial, taskPlacer, peerListener, logger)
	if err := c.Replica.Prepare(); err != nil {
		return nil, errors.Join(eris.Wrapf(ErrSettings, "--dataDir %s: %v", s.DataDir, err), peerListener.Close(), operationsListener.Close())
	}
	c.Prepare()
	warnMissingTokens(&tokens, logger)
	handler := operationsHandler(c, tokens, logger, &dumper.Dumper{
		Process: "control", Version: version, Started: time.Now(),
		Sections: []dumper.Section{
			{Name: "settings", State: func() any { return s }},
			{Name: "replica", State: func() any { return c.Replica.Status() }},
			{Name: "traffic", State: func() any { return c.Messenger.Traffic.Counts() }},
			{Name: "control", State: c.State},
		},
	})
	return &Control{controller: c, operationsListener: operationsListener, handler: handler, logger: logger}, nil
}

// newController creates the components of a control replica.
func newController(s *ControlSettings, initial []*encoder.Member, taskPlacer carobrock.Placer, peerListener net.Listener, logger zerolog.Logger) *controller.Controller {
	k := &keeper.Keeper{}
	k.Prepare()
	ms := &messenger.Messenger{Listener: peerListener, Logger: logger}
	return &controller.Controller{
		Keeper: k, Messenger: ms, Logger: logger,
		Replica: &replicator.Replica{
			Name: s.Name, Address: peerListener.Addr().String(), InitialMembers: initial, StateMachine: k, Transport: ms, Logger: logger,
			ElectionTimeout: s.ElectionTimeout, SnapshotEvery: s.SnapshotEvery,
			Journal: &journaler.Journal{
				Directory: &journaler.DiskDirectory{Path: s.DataDir}, Name: s.Name,
				NewIncarnation: func() uint64 { return rand.Uint64() | 1 },
			},
		},
		Scheduler: &scheduler.Scheduler{
			Placer: taskPlacer, Logger: logger,
			WorkerClient: &scheduler.HTTPWorkerClient{Client: &http.Client{Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleWorkerConns, IdleConnTimeout: workerIdleTimeout, Proxy: nil,
			}}},
		},
	}
}

// workerIdleTimeout is how long an idle connection to a worker stays open.
const workerIdleTimeout = 15 * time.Second

// warnMissingTokens logs a warning if a role needs no token.
func warnMissingTokens(t *operator.Tokens, logger zerolog.Logger) {
	if t.OperatorToken == "" || t.WorkerToken == "" || t.MonitoringToken == "" {
		logger.Warn().Msg("operations: at least one role has no token file and is open to everyone")
	}
}

// operationsHandler returns the handler of the operations listener of a process.
func operationsHandler(control carobrock.Control, tokens operator.Tokens, logger zerolog.Logger, d *dumper.Dumper) http.Handler {
	r := httprouter.New()
	serveHealth := func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusOK) }
	r.GET("/healthz", serveHealth)
	h := &operator.Handler{Control: control, Tokens: tokens, Logger: logger}
	h.RegisterRoutes(r)
	d.RegisterRoutes(r)
	return r
}

// Run runs the replica until ctx ends or its disk fails. A leader transfers
// leadership before it stops.
func (c *Control) Run(ctx context.Context) error {
	c.logger.Info().Str("operations", c.operationsListener.Addr().String()).Msg("control: started")
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	components := pool.New().WithContext(componentsCtx).WithCancelOnError().WithFirstError()
	components.Go(c.controller.Run)
	components.Go(func(ctx context.Context) error { return serveHTTP(ctx, c.operationsListener, c.handler) })
	components.Go(func(componentCtx context.Context) error {
		select {
		case <-ctx.Done():
			transferLeadership(c.controller.Replica, c.logger)
			stop()
		case <-componentCtx.Done():
		}
		return nil
	})
	return components.Wait()
}

const readHeaderTimeout = 5 * time.Second

// serveHTTP accepts connections from l until ctx ends, and then returns nil.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
