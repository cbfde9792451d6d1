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

// LocalSettings are the settings of the quick start.
type LocalSettings struct {
	// Listen is the address for callers.
	Listen string `long:"listen" env:"CAROBROCK_LISTEN" default:"127.0.0.1:8080" description:"IP:port for callers"`
	// Operations is the gateway's address for operators.
	Operations string `long:"operations" env:"CAROBROCK_OPERATIONS" default:"127.0.0.1:7300" description:"IP:port for operators"`
	// DataDir is the data folder. Empty: a new folder that is removed at the
	// end.
	DataDir string `long:"dataDir" env:"CAROBROCK_DATA_DIR" description:"data folder (default: a temporary one)"`
	// Workers is the number of emulated workers.
	Workers int `long:"workers" env:"CAROBROCK_WORKERS" default:"3" description:"number of emulated workers, 1 to 100"`
}

const maxLocalWorkers = 100

// Local is a small whole system in one process: a control replica, a gateway and
// emulated workers.
type Local struct {
	settings  *LocalSettings
	control   *Control
	gateway   *Gateway
	workers   []*emulator.Worker
	temporary string
	logger    zerolog.Logger
}

const anyLocalPort = "127.0.0.1:0"

// NewLocal opens what the settings name. It fails with ErrSettings.
func NewLocal(s *LocalSettings, version string, logger zerolog.Logger) (*Local, error) {
	if s.Workers < 1 || s.Workers > maxLocalWorkers {
		return nil, bad("--workers %d is not in 1 to %d", s.Workers, maxLocalWorkers)
	}
	l := &Local{settings: s, logger: logger}
	dataDir := s.DataDir
	if dataDir == "" {
		dir, err := os.MkdirTemp("", "carobrock-local-")
		if err != nil {
			return nil, bad("temporary data folder: %v", err)
		}
		l.temporary, dataDir = dir, dir
	}
	if err := l.open(dataDir, version); err != nil {
		l.remove()
		return nil, err
	}
	return l, nil
}

func (l *Local) open(dataDir, version string) error {
	var err error
	l.control, err = NewControl(&ControlSettings{
		Name: "local", Listen: anyLocalPort, Operations: anyLocalPort, DataDir: dataDir,
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
			Listen: anyLocalPort, Service: anyLocalPort, Pool: "logbook", Slots: 8, Connections: 64,
			ServiceTime: 2 * time.Millisecond, Cores: 16, MemoryMB: 65536, Announce: []string{l.operations()},
		}, l.logger)
		if err != nil {
			return err
		}
		l.workers = append(l.workers, w)
	}
	return nil
}

func (l *Local) operations() string { return l.gateway.gateway.OperationsListener.Addr().String() }

func (l *Local) remove() {
	if l.temporary != "" {
		_ = os.RemoveAll(l.temporary)
	}
}

// Run runs everything until ctx ends, or until cut is closed.
func (l *Local) Run(ctx context.Context, cut <-chan struct{}) error {
	defer l.remove()
	parts := pool.New().WithContext(context.WithoutCancel(ctx)).WithCancelOnError().WithFirstError()
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts.Go(func(context.Context) error { return l.control.Run(inner) })
	for _, w := range l.workers {
		parts.Go(func(context.Context) error { return w.Run(ctx) })
	}
	parts.Go(func(partCtx context.Context) error {
		joined, cancel := context.WithCancel(ctx)
		defer cancel()
		stopJoin := context.AfterFunc(partCtx, cancel)
		defer stopJoin()
		defer stop()
		return l.gateway.Run(joined, cut)
	})
	return parts.Wait()
}

const applyTimeout = 20 * time.Second

// Apply puts tables in force that make the quick start serve, unless the data
// folder has tables already.
func (l *Local) Apply(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	c := &client.Client{Addresses: []string{l.operations()}}
	version, err := c.Version(ctx, carobrock.TablePools)
	if err != nil || version > 0 {
		return ignoreEnd(ctx, err)
	}
	pools := []carobrock.Pool{{Name: "logbook"}}
	if _, err := c.PutPools(ctx, client.NewChangeID(), 0, pools); err != nil {
		return ignoreEnd(ctx, err)
	}
	routes := []carobrock.Route{{Name: "logbook", PathPrefix: "/logbook/", Pool: "logbook", TimeoutMillis: 2000}}
	_, err = c.PutRoutes(ctx, client.NewChangeID(), 0, routes)
	return ignoreEnd(ctx, err)
}

// ignoreEnd drops an error that comes from the end of the process.
func ignoreEnd(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return err
}

// Hints tells what to try next.
func (l *Local) Hints() string {
	callers := l.gateway.gateway.CallerListener.Addr().String()
	server := ""
	if l.operations() != "127.0.0.1:7300" {
		server = " --server " + l.operations()
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
