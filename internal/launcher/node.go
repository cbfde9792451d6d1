package launcher

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
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
	"github.com/carobrock/carobrock/internal/limiter"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/recruiter"
	"github.com/carobrock/carobrock/internal/replicator"
)

// NodeSettings are the settings of a node, a process that takes part in the
// scheduling of jobs.
type NodeSettings struct {
	// Name is the name of the process's replica. Node names the process in the log.
	Name string
	Node string
	// AvailabilityZone is where the process runs.
	AvailabilityZone string
	// ServesCallers and ServesControl select the components that the process runs.
	ServesCallers bool
	ServesControl bool
	// PeerAddress is the address at which a replica listens for other processes.
	PeerAddress string
	// CallerAddress is the address for callers, ReadyAddress the one for the
	// readiness probe, ControlAddress the one for workers and operators.
	CallerAddress  string
	ReadyAddress   string
	ControlAddress string
	// OperationsAddress is the address of the dump and the metrics. If empty, there is
	// none.
	OperationsAddress string
	// KeyFreshness and AbsenceFreshness are those of submitter.Submitter.
	KeyFreshness     time.Duration
	AbsenceFreshness time.Duration
	// Seeds are the peer addresses of some replicas.
	Seeds []string
	// DataDir is the replica's data directory. If empty, the process has no
	// replica and relays calls to the leader.
	DataDir string
	// FirstStart is set during the first start of the whole system, when the seeds
	// form the group.
	FirstStart bool
	// Voters is the target number of voters in the group. Zero means 3.
	Voters int
	// MemoryMB limits the memory of the process. Zero means no limit. The garbage
	// collector's soft limit is three quarters of it.
	MemoryMB int64
	// DiskMB is the space for the data directory. Zero means unknown. The replica takes
	// its snapshots early enough for log, snapshot and a new snapshot to fit.
	DiskMB int64
	// MaxDescriptors is the number of descriptors that the process may have open. Zero
	// means that it is not known.
	MaxDescriptors int
	// Retention is how long ended jobs are kept.
	Retention time.Duration
	// Advisor selects eligible workers for queues with an advisor policy. It is nil
	// if there is none.
	Advisor carobrock.Advisor
	// Dispatcher holds the settings of the dispatcher.
	Dispatcher dispatcher.Settings
}

const (
	// nodeElectionTimeout is the minimum time without a leader before an election.
	// It is much longer than a commit, which takes about 25 ms, and than the pauses
	// of a process with a small CPU share, and much shorter than a lease.
	nodeElectionTimeout = 700 * time.Millisecond
	// nodeSnapshotEvery is the number of log entries between snapshots, which is about
	// one minute's worth at the usual load.
	nodeSnapshotEvery = 4000
)

// JobReplica is a control replica for jobs.
type JobReplica struct {
	// Control executes calls at the leader, which may be this replica.
	Control carobrock.JobControl

	replica    *replicator.Replica
	messenger  *messenger.Messenger
	dispatcher *dispatcher.Dispatcher
	recruiter  *recruiter.Recruiter
	locator    *locator.Locator
	logger     zerolog.Logger
}

// replicaLeadership adapts a replica to dispatcher.Leadership.
type replicaLeadership struct {
	*replicator.Replica
	recruiter *recruiter.Recruiter
}

var _ dispatcher.Leadership = replicaLeadership{}

// Term implements dispatcher.Leadership. It reports true only while this replica
// is the leader and holds the leader lease.
func (l replicaLeadership) Term() (uint64, bool) {
	s := l.Status()
	return s.Term, s.Leader == s.ID && s.LeaseMillis > 0
}

// Propose implements dispatcher.Leadership.
func (l replicaLeadership) Propose(ctx context.Context, term uint64, command []byte) (any, error) {
	return l.ProposeInTerm(ctx, term, command)
}

// LeaderAddress implements dispatcher.Leadership.
func (l replicaLeadership) LeaderAddress() string {
	s := l.Status()
	if s.Leader == s.ID {
		return ""
	}
	return l.recruiter.LeaderAddress()
}

// Uptime returns the time since boot, including the time that the machine was
// suspended.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // all supported Linux kernels have this clock
	}
	return time.Duration(ts.Nano())
}

// otherMemoryMB is the memory that the garbage collector's limit does not include: pages
// of the program, and what the heap grows by until a collection ends. With 24 MB, peaks
// of a process with 96 MB were up to 91 MB.
const otherMemoryMB = 32

// LimitMemory sets the garbage collector's soft memory limit to three quarters of
// MemoryMB, or to less if otherMemoryMB would not remain.
func (s *NodeSettings) LimitMemory() {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(max(1, min(s.MemoryMB*3/4, s.MemoryMB-otherMemoryMB)) << 20)
	}
}

// NewJobReplica opens the data directory and the peer listener of a replica. It
// fails with ErrSettings. If there is no space to open the data directory, the replica
// is created and opens it when there is space.
func NewJobReplica(s *NodeSettings, logger zerolog.Logger) (*JobReplica, error) {
	peerListener, err := listen("peer address", s.PeerAddress)
	if err != nil {
		return nil, err
	}
	stateMachine := &bookkeeper.StateMachine{RetentionMillis: s.Retention.Milliseconds()}
	stateMachine.Prepare()
	ms := &messenger.Messenger{Listener: peerListener, Limits: limiter.Derive(s.MemoryMB, s.MaxDescriptors).Peers, Logger: logger}
	replica := &replicator.Replica{
		Name: s.Name, Address: s.PeerAddress, InitialMembers: s.initialMembers(), StateMachine: stateMachine, Transport: ms, Logger: logger,
		ElectionTimeout: nodeElectionTimeout, SnapshotEvery: nodeSnapshotEvery, Uptime: Uptime,
		Journal: &journaler.Journal{
			Directory: &journaler.DiskDirectory{Path: s.DataDir}, Name: s.Name, DiskBytes: s.DiskMB << 20,
			NewIncarnation: func() uint64 { return rand.Uint64() | 1 },
		},
	}
	leaderLocator := &locator.Locator{RPCClient: ms, Logger: logger}
	leaderLocator.SetSeeds(s.Seeds)
	r := &recruiter.Recruiter{
		Group: replica, Locator: leaderLocator, Address: s.PeerAddress, AvailabilityZone: s.AvailabilityZone, Voters: s.Voters, Logger: logger,
	}
	d := &dispatcher.Dispatcher{
		StateMachine: stateMachine, Leadership: replicaLeadership{Replica: replica, recruiter: r}, Settings: s.Dispatcher, Advisor: s.Advisor, WorkerAddress: s.ControlAddress, Logger: logger,
	}
	d.Prepare()
	if err := replica.Prepare(); err != nil {
		return nil, errors.Join(eris.Wrapf(ErrSettings, "data directory %s: %v", s.DataDir, err), peerListener.Close())
	}
	ms.Handlers = locator.Handlers(d)
	maps.Copy(ms.Handlers, r.Handlers())
	ms.OnMessage = replica.ReceiveMessage
	ms.Prepare()
	return &JobReplica{
		Control: &locator.LocalFirstControl{Local: d, Remote: leaderLocator},
		replica: replica, messenger: ms, dispatcher: d, recruiter: r, locator: leaderLocator, logger: logger,
	}, nil
}

// initialMembers returns the members that form the group. It returns nil if this is
// not the first start or the process is not one of the members.
func (s *NodeSettings) initialMembers() []*encoder.Member {
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

// leadershipTransferTimeout bounds the leadership transfer before a planned stop. An
// election without a transfer takes about as long.
const leadershipTransferTimeout = time.Second

// TransferLeadership transfers leadership to another replica before a planned
// stop. It does nothing if this replica is not the leader.
func (j *JobReplica) TransferLeadership() { transferLeadership(j.replica, j.logger) }

// transferLeadership transfers r's leadership, if it has it, and logs an error.
func transferLeadership(r *replicator.Replica, logger zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	if _, err := r.TransferLeadership(ctx); err != nil {
		logger.Warn().Err(err).Msg("replica: leadership not transferred")
	}
}

// LeaderCalls returns the counters of the calls to other replicas.
func (j *JobReplica) LeaderCalls() locator.Counts { return j.locator.Counts() }

// Waits returns why jobs wait, if this replica is the leader.
func (j *JobReplica) Waits() dispatcher.WaitStatus { return j.dispatcher.Waits() }

// RefusedStarts returns the number of starts that workers refused, by their likely cause.
func (j *JobReplica) RefusedStarts() map[string]int64 { return j.dispatcher.RefusedStarts() }

// SetSeeds replaces the peer addresses at which the replica looks for the group.
func (j *JobReplica) SetSeeds(seeds []string) { j.locator.SetSeeds(seeds) }

// Run runs the replica until ctx ends or its disk fails. While the disk is full, the
// replica takes no part in the group, and Control forwards all calls to the leader.
func (j *JobReplica) Run(ctx context.Context) error {
	components := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	components.Go(j.messenger.Run)
	components.Go(j.replica.Run)
	components.Go(j.dispatcher.Run)
	components.Go(j.recruiter.Run)
	components.Go(j.runCollector)
	return components.Wait()
}
