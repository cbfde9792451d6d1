package launcher

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/emulator"
	"github.com/carobrock/carobrock/pkg/client"
)

// LocalSettings are the settings of a local system for the quick start.
type LocalSettings struct {
	// Listen is the address for callers.
	Listen string `long:"listen" env:"CAROBROCK_LISTEN" default:"127.0.0.1:8080" description:"IP:port for callers"`
	// Operations is the gateway's address for operators.
	Operations string `long:"operations" env:"CAROBROCK_OPERATIONS" default:"127.0.0.1:7300" description:"IP:port for operators"`
	// DataDir is the data directory. If empty, a temporary directory is used and
	// removed at the end.
	DataDir string `long:"dataDir" env:"CAROBROCK_DATA_DIR" description:"data folder (default: a temporary one)"`
	// Workers is the number of emulated workers.
	Workers int `long:"workers" env:"CAROBROCK_WORKERS" default:"3" description:"number of emulated workers, 1 to 100"`
}

const maxLocalWorkers = 100

// Local is a complete system in one process: a control replica, a gateway and
// emulated workers.
type Local struct {
	settings     *LocalSettings
	control      *Control
	gateway      *Gateway
	workers      []*emulator.Worker
	temporaryDir string
	logger       zerolog.Logger
}

// anyLoopbackPort is a loopback address with a port chosen by the kernel.
const anyLoopbackPort = "127.0.0.1:0"

// NewLocal opens the listeners and the data directory of all components. It fails with
// ErrSettings.
func NewLocal(s *LocalSettings, version string, logger zerolog.Logger) (*Local, error) {
	if s.Workers < 1 || s.Workers > maxLocalWorkers {
		return nil, settingsError("--workers %d is not in 1 to %d", s.Workers, maxLocalWorkers)
	}
	l := &Local{settings: s, logger: logger}
	dataDir := s.DataDir
	if dataDir == "" {
		dir, err := os.MkdirTemp("", "carobrock-local-")
		if err != nil {
			return nil, settingsError("temporary data directory: %v", err)
		}
		l.temporaryDir, dataDir = dir, dir
	}
	if err := l.openComponents(dataDir, version); err != nil {
		l.removeTemporaryDir()
		return nil, err
	}
	return l, nil
}

// openComponents creates the control replica, the gateway and the workers.
func (l *Local) openComponents(dataDir, version string) error {
	var err error
	l.control, err = NewControl(&ControlSettings{
		Name: "local", Listen: anyLoopbackPort, Operations: anyLoopbackPort, DataDir: dataDir,
		Members:         []string{"local=127.0.0.1:1"},
		ElectionTimeout: 100 * time.Millisecond, SnapshotEvery: 5000, Policy: "recordsOffice",
	}, version, l.logger)
	if err != nil {
		return err
	}
	l.gateway, err = NewGateway(&GatewaySettings{
		Name: "local", AvailabilityZone: "az1", Listen: l.settings.Listen, Operations: l.settings.Operations,
		Replicas:   []string{l.control.controller.Replica.Address},
		StaleAfter: 5 * time.Second, DrainDelay: 0, MaxBodyBytes: 16 << 20, MaxQueue: 1024, MaxExpectedWait: 100 * time.Millisecond, MaxQueueWait: time.Second,
	}, version, l.logger)
	if err != nil {
		return err
	}
	for i := range l.settings.Workers {
		w, err := NewWorker(&WorkerSettings{
			Name: fmt.Sprintf("w%02d", i+1), AvailabilityZone: fmt.Sprintf("az%d", i%3+1), Rack: fmt.Sprintf("r%d", i/8+1),
			Listen: anyLoopbackPort, Service: anyLoopbackPort, Pool: "logbook", Slots: 8, Connections: 64,
			ServiceTime: 2 * time.Millisecond, Cores: 16, MemoryMB: 65536, Announce: []string{l.operationsAddress()},
		}, l.logger)
		if err != nil {
			return err
		}
		l.workers = append(l.workers, w)
	}
	return nil
}

// operationsAddress returns the address of the gateway's operations listener.
func (l *Local) operationsAddress() string {
	return l.gateway.gateway.OperationsListener.Addr().String()
}

// removeTemporaryDir removes the temporary data directory, if there is one.
func (l *Local) removeTemporaryDir() {
	if l.temporaryDir != "" {
		_ = os.RemoveAll(l.temporaryDir)
	}
}

// Run runs all components until ctx ends and the gateway has drained. Closing forceStop
// ends the drain at once.
func (l *Local) Run(ctx context.Context, forceStop <-chan struct{}) error {
	defer l.removeTemporaryDir()
	components := pool.New().WithContext(context.WithoutCancel(ctx)).WithCancelOnError().WithFirstError()
	controlCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	components.Go(func(context.Context) error { return l.control.Run(controlCtx) })
	for _, w := range l.workers {
		components.Go(func(context.Context) error { return w.Run(ctx) })
	}
	components.Go(func(componentCtx context.Context) error {
		gatewayCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		stopAfterFunc := context.AfterFunc(componentCtx, cancel)
		defer stopAfterFunc()
		defer stop()
		return l.gateway.Run(gatewayCtx, forceStop)
	})
	return components.Wait()
}

// applyTablesTimeout bounds ApplyDefaultTables, which must wait until a leader is elected.
const applyTablesTimeout = 20 * time.Second

// ApplyDefaultTables stores a pool and a route for the emulated service, unless the data
// directory already contains pools.
func (l *Local) ApplyDefaultTables(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTablesTimeout)
	defer cancel()
	c := &client.Client{Addresses: []string{l.operationsAddress()}}
	version, err := c.TableVersion(ctx, carobrock.TablePools)
	if err != nil || version > 0 {
		return ignoreCancellation(ctx, err)
	}
	pools := []carobrock.Pool{{Name: "logbook"}}
	if _, err := c.PutPools(ctx, client.NewChangeID(), 0, pools); err != nil {
		return ignoreCancellation(ctx, err)
	}
	routes := []carobrock.Route{{Name: "logbook", PathPrefix: "/logbook/", Pool: "logbook", TimeoutMillis: 2000}}
	_, err = c.PutRoutes(ctx, client.NewChangeID(), 0, routes)
	return ignoreCancellation(ctx, err)
}

// ignoreCancellation returns nil if ctx was cancelled, as the process is then
// stopping, and err otherwise.
func ignoreCancellation(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return err
}

// Hints returns text with commands to try on the running system.
func (l *Local) Hints() string {
	callers := l.gateway.gateway.CallerListener.Addr().String()
	server := ""
	if l.operationsAddress() != "127.0.0.1:7300" {
		server = " --server " + l.operationsAddress()
	}
	return strings.Join([]string{
		"carobrock runs with " + fmt.Sprint(len(l.workers)) + " emulated workers. Try in another terminal:",
		"  curl -i http://" + callers + "/logbook/sheets",
		"  carobrock status" + server,
		"  carobrock task submit" + server + " --id import-1 --pool logbook --runMillis 3000 --wait",
		"  carobrock zone out" + server + " az1   (and: zone in az1)",
		"  carobrock load --target " + callers + " --path /logbook/sheets --rate 200 --duration 5s",
		"Ctrl-C stops it.", "",
	}, "\n")
}
