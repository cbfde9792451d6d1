package launcher

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"
	"golang.org/x/sys/unix"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/dispatcher"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/recruiter"
	"github.com/carobrock/carobrock/internal/replicator"
	"github.com/carobrock/carobrock/internal/submitter"
)

// NodeSettings are those of a process that runs jobs.
type NodeSettings struct {
	// Name identifies the process's replica, Node the process in the log.
	Name string
	Node string
	// AvailabilityZone is where the process runs.
	AvailabilityZone string
	// ServesCallers and ServesControl are the parts that it runs.
	ServesCallers bool
	ServesControl bool
	// PeerAddress is where a replica takes calls of other processes.
	PeerAddress string
	// CallerAddress, ReadyAddress and ControlAddress are where callers, the
	// readiness probe, and workers and operators connect.
	CallerAddress  string
	ReadyAddress   string
	ControlAddress string
	// Seeds are the peer addresses of some replicas.
	Seeds []string
	// DataDir is the replica's data folder.
	DataDir string
	// FirstStart is set while the whole system starts for the first time: the
	// seeds then form the group.
	FirstStart bool
	// Voters is how many voters the group should have. Zero: 3.
	Voters int
	// MemoryMB is the memory that the process may use. Zero: no bound. The
	// garbage collector works harder near three quarters of it.
	MemoryMB int64
	// Retention is how long ended jobs are remembered.
	Retention time.Duration
	// Advisor decides on workers where a queue's policy asks for it, nil if there
	// is none.
	Advisor carobrock.Advisor
	// Jobs are the bounds of the dispatcher.
	Jobs dispatcher.Settings
}

const (
	// nodeElectionTimeout is the shortest time without a leader before an
	// election: long against a commit of some 25 ms and the pauses of a small
	// share of a processor, short against a lease.
	nodeElectionTimeout = 700 * time.Millisecond
	// nodeSnapshotEvery is the number of commands between snapshots: about a
	// minute's at the usual load.
	nodeSnapshotEvery = 4000
)

// JobReplica is a control replica for jobs.
type JobReplica struct {
	// Control reaches the leader, which may be this replica.
	Control carobrock.JobControl

	replica    *replicator.Replica
	messenger  *messenger.Messenger
	dispatcher *dispatcher.Dispatcher
	recruiter  *recruiter.Recruiter
	locator    *locator.Locator
	logger     zerolog.Logger
}

// leadership adapts a replica for the dispatcher.
type leadership struct{ *replicator.Replica }

var _ dispatcher.Leadership = leadership{}

// Term implements dispatcher.Leadership.
func (l leadership) Term() (uint64, bool) {
	s := l.Status()
	return s.Term, s.Leader == s.ID && s.LeaseMillis > 0
}

// LeaderAddress implements dispatcher.Leadership.
func (l leadership) LeaderAddress() string {
	s := l.Status()
	if s.Leader == s.ID {
		return ""
	}
	return s.LeaderAddress
}

// uptime reads the clock that goes on while the machine is suspended.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux kernel in use has this clock
	}
	return time.Duration(ts.Nano())
}

// LimitMemory lets the garbage collector keep the process within the settings.
func (s *NodeSettings) LimitMemory() {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(s.MemoryMB << 20 * 3 / 4)
	}
}

// NewJobReplica opens the data folder and the peer listener. It fails with
// ErrSettings.
func NewJobReplica(s *NodeSettings, logger zerolog.Logger) (*JobReplica, error) {
	peers, err := listen("peer address", s.PeerAddress)
	if err != nil {
		return nil, err
	}
	ledger := &bookkeeper.Ledger{RetentionMillis: s.Retention.Milliseconds()}
	ledger.Prepare()
	ms := &messenger.Messenger{Listener: peers, Logger: logger}
	replica := &replicator.Replica{
		Name: s.Name, Address: s.PeerAddress, Initial: s.initial(), Machine: ledger, Link: ms, Logger: logger,
		ElectionTimeout: nodeElectionTimeout, SnapshotEvery: nodeSnapshotEvery, Uptime: uptime,
		Journal: &journaler.Journal{
			Folder: &journaler.DiskFolder{Path: s.DataDir}, Name: s.Name,
			NewIncarnation: func() uint64 { return rand.Uint64() | 1 },
		},
	}
	d := &dispatcher.Dispatcher{
		Ledger: ledger, Leadership: leadership{replica}, Settings: s.Jobs, Advisor: s.Advisor, WorkerAddress: s.ControlAddress, Logger: logger,
	}
	d.Prepare()
	if err := replica.Prepare(); err != nil {
		return nil, errors.Join(eris.Wrapf(ErrSettings, "data folder %s: %v", s.DataDir, err), peers.Close())
	}
	finder := &locator.Locator{Caller: ms, Logger: logger}
	finder.SetSeeds(s.Seeds)
	r := &recruiter.Recruiter{Group: replica, Locator: finder, Address: s.PeerAddress, Voters: s.Voters, Logger: logger}
	ms.Handlers = locator.Handlers(d)
	maps.Copy(ms.Handlers, r.Handlers())
	ms.OnMessage = replica.Receive
	ms.Prepare()
	return &JobReplica{
		Control: &locator.Nearby{Local: d, Remote: finder},
		replica: replica, messenger: ms, dispatcher: d, recruiter: r, locator: finder, logger: logger,
	}, nil
}

// initial returns the members that form the group, none unless this process is
// one of them.
func (s *NodeSettings) initial() []*encoder.Member {
	var out []*encoder.Member
	if !s.FirstStart {
		return nil
	}
	found := false
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // checked when the settings were read
		}
		found = found || host == s.Name
		out = append(out, &encoder.Member{Name: host, Address: seed})
	}
	if !found {
		return nil
	}
	return out
}

// handOverTimeout bounds the hand-over at a planned stop; an election without it
// takes about as long.
const handOverTimeout = time.Second

// HandOver gives up the lead, if this replica has it, before a planned stop.
func (j *JobReplica) HandOver() { handOver(j.replica, j.logger) }

func handOver(r *replicator.Replica, logger zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if _, err := r.HandOver(ctx); err != nil {
		logger.Warn().Err(err).Msg("replica: lead not handed over")
	}
}

// SetSeeds replaces the seeds.
func (j *JobReplica) SetSeeds(seeds []string) { j.locator.SetSeeds(seeds) }

// Run runs the replica until ctx ends or its disk fails.
func (j *JobReplica) Run(ctx context.Context) error {
	parts := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	parts.Go(j.messenger.Run)
	parts.Go(j.replica.Run)
	parts.Go(j.dispatcher.Run)
	parts.Go(j.recruiter.Run)
	return parts.Wait()
}

// JobGateway is a gateway for jobs.
type JobGateway struct {
	// Jobs passes requests to the leader.
	Jobs *submitter.Submitter

	messenger *messenger.Messenger
	locator   *locator.Locator
	watch     *recruiter.Watch
}

// NewJobGateway makes a gateway.
func NewJobGateway(s *NodeSettings, logger zerolog.Logger) *JobGateway {
	ms := &messenger.Messenger{Logger: logger}
	ms.Prepare()
	finder := &locator.Locator{Caller: ms, Logger: logger}
	finder.SetSeeds(s.Seeds)
	return &JobGateway{
		Jobs:      &submitter.Submitter{Control: finder, Logger: logger},
		messenger: ms, locator: finder, watch: &recruiter.Watch{Caller: ms, Locator: finder},
	}
}

// SetSeeds replaces the seeds.
func (g *JobGateway) SetSeeds(seeds []string) { g.locator.SetSeeds(seeds) }

// Run runs the gateway until ctx ends.
func (g *JobGateway) Run(ctx context.Context) error {
	parts := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	parts.Go(g.messenger.Run)
	parts.Go(g.Jobs.Run)
	parts.Go(g.watch.Run)
	return parts.Wait()
}

// Endpoint serves HTTP on an address.
type Endpoint struct {
	// Name names the endpoint in errors.
	Name string
	// Address is where it listens.
	Address string
	// Handler answers.
	Handler http.Handler

	server   *http.Server
	listener net.Listener
}

// Open takes the address. It fails with ErrSettings.
func (e *Endpoint) Open() error {
	l, err := listen(e.Name, e.Address)
	if err != nil {
		return err
	}
	e.listener = l
	e.server = &http.Server{Handler: e.Handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: endpointIdleTimeout}
	return nil
}

// endpointIdleTimeout is how long a connection may be idle: callers keep theirs
// open between requests.
const endpointIdleTimeout = 60 * time.Second

// Drain asks callers to use other processes: connections end with their next
// answer.
func (e *Endpoint) Drain() { e.server.SetKeepAlivesEnabled(false) }

// Run serves until ctx ends; then it waits for the requests in flight, at most
// for endpointGrace.
func (e *Endpoint) Run(ctx context.Context) error {
	parts := pool.New().WithErrors()
	done := make(chan struct{})
	parts.Go(func() error {
		defer close(done)
		if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	parts.Go(func() error {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
		}
		grace, cancel := context.WithTimeout(context.Background(), endpointGrace)
		defer cancel()
		return e.server.Shutdown(grace)
	})
	return parts.Wait()
}

// endpointGrace bounds the wait for requests in flight; none is held longer
// than a gateway's time for an answer.
const endpointGrace = 2 * time.Second
