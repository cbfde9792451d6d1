package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/launcher"
	"github.com/carobrock/carobrock/internal/limiter"
	"github.com/carobrock/carobrock/internal/logger"
	"github.com/carobrock/carobrock/internal/sleeper"
	"github.com/carobrock/carobrock/internal/submitter"
	"github.com/carobrock/carobrock/platform"
)

// nodeCommand runs a gateway, the control interface or both on the platform on which
// carobrock is deployed, with the settings in the platform's settings file.
type nodeCommand struct {
	Level        string `long:"logLevel" env:"CAROBROCK_LOG_LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
	SettingsFile string `long:"settings" env:"CAROBROCK_NODE_FILE" required:"true" description:"settings file of the platform"`
	Check        bool   `long:"check" description:"validate the settings and exit"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	s, err := platform.LoadSettings(c.SettingsFile)
	if err != nil {
		return err
	}
	if c.Check {
		return printSettingsValid()
	}
	log, err := logger.New(&logger.Settings{Level: c.Level, Format: "json"}, os.Stdout)
	if err != nil {
		return err
	}
	s.LimitMemory()
	n := &node{settings: s, settingsPath: c.SettingsFile, log: log, hup: make(chan os.Signal, 1)}
	// Until Notify is called SIGHUP ends the process.
	signal.Notify(n.hup, syscall.SIGHUP)
	// Further signals do not shorten the stop, which would cut requests.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := n.openEndpoints(); err != nil {
		log.Error().Err(err).Msg("node: cannot start")
		return err
	}
	return n.run(ctx)
}

// node is a process on the platform on which carobrock is deployed. It runs a gateway,
// the control interface (through a replica or a relay), or both.
type node struct {
	settings     *launcher.NodeSettings
	settingsPath string
	hup          chan os.Signal // receives SIGHUP until the process exits
	log          zerolog.Logger

	submitter *submitter.Submitter // nil unless the node serves callers
	replica   *launcher.JobReplica
	relay     *launcher.JobRelay
	endpoints []*launcher.Endpoint
}

// openEndpoints creates the configured components and opens the listeners of
// their endpoints.
func (n *node) openEndpoints() error {
	s := n.settings
	control, err := n.openControl()
	if err != nil {
		return err
	}
	limits := limiter.Derive(s.MemoryMB, s.MaxDescriptors)
	if s.ServesCallers {
		n.submitter = &submitter.Submitter{Control: control, KeyFreshness: s.KeyFreshness, AbsenceFreshness: s.AbsenceFreshness, Uptime: launcher.Uptime, Logger: n.log}
		callers := n.addEndpoint("callers", s.CallerAddress, limits.Callers, &platform.CallerHandler{Submitter: n.submitter, Logger: n.log})
		callers.RequestLimits = n.submitter.RequestLimits
		n.addEndpoint("readiness", s.ReadyAddress, limits.Readiness, &platform.ReadinessHandler{IsReady: n.submitter.IsReady})
	}
	if s.ServesControl {
		api := &platform.ControlAPI{JobControl: control, Address: s.ControlAddress, Logger: n.log}
		if n.relay != nil {
			api.LeaderHost = n.relay.LeaderHost
		}
		n.addEndpoint("control", s.ControlAddress, limits.Control, api.Handler())
	}
	for _, e := range n.endpoints {
		if err := e.Open(); err != nil {
			return err
		}
	}
	n.openOperations(control, limits.Readiness)
	return nil
}

// openControl creates a replica and returns its control interface. On a VM
// without a disk, where no data directory is configured, and in a process that
// serves no workers and operators it creates a relay instead.
func (n *node) openControl() (carobrock.JobControl, error) {
	var err error
	if n.settings.DataDir == "" || !n.settings.ServesControl {
		if n.relay, err = launcher.NewJobRelay(n.settings, n.log); err != nil {
			return nil, err
		}
		return n.relay.Control, nil
	}
	if n.replica, err = launcher.NewJobReplica(n.settings, n.log); err != nil {
		return nil, err
	}
	return n.replica.Control, nil
}

// addEndpoint adds an HTTP endpoint to the node and returns it.
func (n *node) addEndpoint(name, address string, limits limiter.Limits, h http.Handler) *launcher.Endpoint {
	e := &launcher.Endpoint{Name: name, Address: address, Handler: h, Limits: limits, Logger: n.log}
	n.endpoints = append(n.endpoints, e)
	return e
}

const (
	// drainDuration is the time for which a stopping gateway continues to serve.
	// The platform's readiness probe must fail twice, one second apart, before
	// callers are routed elsewhere.
	drainDuration = 2500 * time.Millisecond
	// stopTimeout is the time from a stop request until the last request has its
	// response. It leaves time for the end of the components before the platform kills
	// the process, 6 s after the request.
	stopTimeout = 4200 * time.Millisecond
	// reloadInterval is the interval at which the settings file is checked for
	// changes, since it may change without a SIGHUP.
	reloadInterval = 2 * time.Second
)

// run serves until ctx ends, then drains the node and stops its components. It
// returns the first error of an endpoint or, if there is none, of a component.
func (n *node) run(ctx context.Context) error {
	n.log.Info().Str("node", n.settings.Node).Bool("gateway", n.submitter != nil).Bool("replica", n.replica != nil).Bool("relay", n.relay != nil).
		Bool("firstStart", n.settings.FirstStart).Str("version", version).Msg("node: started")
	serveCtx, stopServing := context.WithCancel(context.Background())
	runCtx, stopRunning := context.WithCancel(context.Background())
	defer stopServing()
	defer stopRunning()
	servers := pool.New().WithContext(serveCtx).WithCancelOnError().WithFirstError()
	for _, e := range n.endpoints {
		servers.Go(e.Run)
	}
	components := pool.New().WithContext(runCtx).WithCancelOnError().WithFirstError()
	if n.submitter != nil {
		components.Go(n.submitter.Run)
	}
	if n.relay != nil {
		components.Go(n.relay.Run)
	}
	if n.replica != nil {
		components.Go(func(ctx context.Context) error {
			err := n.replica.Run(ctx)
			if err != nil {
				n.log.Error().Err(err).Msg("node: replica failed")
				os.Exit(exitFailure) // it is unknown which entries are durable
			}
			return nil
		})
	}
	components.Go(n.reloadSettings)
	components.Go(func(context.Context) error {
		<-ctx.Done()
		n.log.Info().Msg("node: stopping")
		n.drain(time.Now().Add(stopTimeout))
		stopServing()
		return nil
	})
	err := servers.Wait()
	n.logDrain()
	stopRunning()
	if componentErr := components.Wait(); err == nil {
		err = componentErr
	}
	n.log.Info().Err(err).Msg("node: stopped")
	return err
}

// drain reports the gateway as not ready and continues to serve for drainDuration,
// until callers use other gateways. Meanwhile it transfers leadership to another
// replica. The endpoints have until deadline to respond to all requests.
func (n *node) drain(deadline time.Time) {
	for _, e := range n.endpoints {
		e.StartDraining(deadline)
	}
	group := newGroup()
	defer group.Wait()
	if n.replica != nil {
		group.Go(n.replica.TransferLeadership)
	}
	if n.submitter != nil {
		n.submitter.StartDraining()
		_ = sleeper.Sleep(context.Background(), drainDuration) // always waits for the full time
	}
}

// logDrain logs what each endpoint did during the drain.
func (n *node) logDrain() {
	event := n.log.Info()
	for _, e := range n.endpoints {
		event.Object(e.Name, e)
	}
	event.Msg("node: drained")
}

// reloadSettings applies the seeds of the settings file when the file changes
// or the process receives SIGHUP. An invalid file leaves the current seeds in
// use.
func (n *node) reloadSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var lastModified time.Time
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return nil
		case <-n.hup:
			signaled = true
		case <-ticker.C:
		}
		info, err := os.Stat(n.settingsPath)
		if err != nil || !signaled && info.ModTime().Equal(lastModified) {
			continue
		}
		lastModified = info.ModTime()
		s, err := platform.LoadSettings(n.settingsPath)
		if err != nil {
			n.log.Warn().Err(err).Msg("node: cannot reload settings; the previous ones remain in use")
			continue
		}
		if n.replica != nil {
			n.replica.SetSeeds(s.Seeds)
		}
		if n.relay != nil {
			n.relay.SetSeeds(s.Seeds)
		}
		n.log.Info().Strs("seeds", s.Seeds).Bool("signal", signaled).Msg("node: seeds reloaded from the settings file")
	}
}
