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
	"github.com/carobrock/carobrock/internal/logger"
	"github.com/carobrock/carobrock/internal/sleeper"
	"github.com/carobrock/carobrock/platform"
)

// nodeCommand runs a process on the users' platform.
type nodeCommand struct {
	Level    string `long:"logLevel" env:"CAROBROCK_LOG_LEVEL" default:"info" description:"least level that is logged: debug, info, warn or error"`
	Settings string `long:"settings" env:"CAROBROCK_NODE_FILE" required:"true" description:"settings file of the platform"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		return checked()
	}
	log, err := logger.New(&logger.Settings{Level: c.Level, Format: "json"}, os.Stdout)
	if err != nil {
		return err
	}
	s.LimitMemory()
	n := &node{settings: s, path: c.Settings, log: log}
	if err := n.open(); err != nil {
		log.Error().Err(err).Msg("node: cannot start")
		return err
	}
	ctx, cut, stop := untilSignal()
	defer stop()
	exitOnCut(ctx, cut)
	return n.run(ctx)
}

// node is the process: a gateway, a replica or both.
type node struct {
	settings *launcher.NodeSettings
	path     string
	log      zerolog.Logger

	gateway   *launcher.JobGateway
	replica   *launcher.JobReplica
	relay     *launcher.JobRelay
	endpoints []*launcher.Endpoint
}

func (n *node) open() error {
	s := n.settings
	if s.ServesCallers {
		n.gateway = launcher.NewJobGateway(s, n.log)
		n.add("callers", s.CallerAddress, &platform.Callers{Jobs: n.gateway.Jobs, Logger: n.log})
		n.add("readiness", s.ReadyAddress, &platform.Ready{IsReady: n.gateway.Jobs.IsReady})
	}
	if s.ServesControl {
		control, err := n.openControl()
		if err != nil {
			return err
		}
		n.add("control", s.ControlAddress, (&platform.Control{Jobs: control, Logger: n.log}).Handler())
	}
	for _, e := range n.endpoints {
		if err := e.Open(); err != nil {
			return err
		}
	}
	return nil
}

// openControl opens a replica, or a relay on a VM without a disk.
func (n *node) openControl() (carobrock.JobControl, error) {
	var err error
	if n.settings.DataDir == "" {
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

func (n *node) add(name, address string, h http.Handler) {
	n.endpoints = append(n.endpoints, &launcher.Endpoint{Name: name, Address: address, Handler: h})
}

const (
	// drainTime is how long a gateway that is told to stop serves on: the
	// platform's probe needs two misses, a second apart, to turn callers away.
	drainTime = 2500 * time.Millisecond
	// reloadInterval is how often the settings file is looked at: it may change
	// without a signal.
	reloadInterval = 2 * time.Second
)

func (n *node) run(ctx context.Context) error {
	n.log.Info().Str("node", n.settings.Node).Bool("gateway", n.gateway != nil).Bool("replica", n.replica != nil).Bool("relay", n.relay != nil).
		Bool("firstStart", n.settings.FirstStart).Str("version", version).Msg("node: started")
	serving, stopServing := context.WithCancel(context.Background())
	running, stopRunning := context.WithCancel(context.Background())
	defer stopServing()
	defer stopRunning()
	fronts := pool.New().WithContext(serving).WithCancelOnError().WithFirstError()
	for _, e := range n.endpoints {
		fronts.Go(e.Run)
	}
	backs := pool.New().WithContext(running).WithCancelOnError().WithFirstError()
	if n.gateway != nil {
		backs.Go(n.gateway.Run)
	}
	if n.relay != nil {
		backs.Go(n.relay.Run)
	}
	if n.replica != nil {
		backs.Go(func(ctx context.Context) error {
			err := n.replica.Run(ctx)
			if err != nil {
				n.log.Error().Err(err).Msg("node: replica failed")
				os.Exit(exitFailed) // what is durable is no longer known
			}
			return nil
		})
	}
	backs.Go(n.reload)
	backs.Go(func(context.Context) error {
		<-ctx.Done()
		n.log.Info().Msg("node: stopping")
		n.drain()
		stopServing()
		return nil
	})
	err := fronts.Wait()
	stopRunning()
	if backErr := backs.Wait(); err == nil {
		err = backErr
	}
	n.log.Info().Err(err).Msg("node: stopped")
	return err
}

// drain hands the lead over, turns callers away and serves on until they have
// gone elsewhere.
func (n *node) drain() {
	if n.replica != nil {
		n.replica.HandOver()
	}
	if n.gateway == nil {
		return
	}
	n.gateway.Jobs.Drain()
	for _, e := range n.endpoints {
		e.Drain()
	}
	_ = sleeper.Sleep(context.Background(), drainTime) // never cut short
}

// reload takes new seeds from the settings file when it changes.
func (n *node) reload(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		forced := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			forced = true
		case <-ticker.C:
		}
		info, err := os.Stat(n.path)
		if err != nil || !forced && info.ModTime().Equal(last) {
			continue
		}
		last = info.ModTime()
		s, err := platform.LoadSettings(n.path)
		if err != nil {
			n.log.Warn().Err(err).Msg("node: settings not reloaded, the old ones stay in force")
			continue
		}
		if n.gateway != nil {
			n.gateway.SetSeeds(s.Seeds)
		}
		if n.replica != nil {
			n.replica.SetSeeds(s.Seeds)
		}
		if n.relay != nil {
			n.relay.SetSeeds(s.Seeds)
		}
		n.log.Info().Strs("seeds", s.Seeds).Bool("signal", forced).Msg("node: settings reloaded")
	}
}
