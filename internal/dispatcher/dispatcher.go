package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/pacer"
)

// Leadership is the part of the replicated log that the dispatcher uses.
type Leadership interface {
	// Propose commits a command and returns the result of the state machine. The
	// command is not committed unless this replica is the leader in the given term.
	Propose(ctx context.Context, term uint64, command []byte) (any, error)
	// Term returns the current term, and whether this replica is the leader in that
	// term and holds a lease that rules out any other leader.
	Term() (uint64, bool)
	// LeaderAddress returns the address of the leader, or "" if it is unknown.
	LeaderAddress() string
}

// Settings configures the leases of runs and the paths of heartbeats.
type Settings struct {
	// Lease is how long runs may continue without a heartbeat. Zero means 4 s. It
	// is lowered to MaxLease if it exceeds it.
	Lease time.Duration
	// MaxLease is the longest lease that an earlier leader may have granted if the
	// replicated state does not tell. Zero means Lease.
	MaxLease time.Duration
	// MaxDirectWorkers is the number of workers that are directed to the leader. The
	// others keep sending heartbeats to the process that they have found, which
	// forwards them, so that the leader does not run out of connections. Zero means
	// no limit.
	MaxDirectWorkers int
}

const (
	defaultLease = 4 * time.Second
	// clockDrift bounds the relative rate error of a worker's clock: the 2 % that
	// the platform specifies, plus half of that as a margin.
	clockDrift = 0.03
	// leaseSlack is added to a lease to cover the time that a worker takes to stop
	// the runs whose lease has expired.
	leaseSlack = 300 * time.Millisecond
)

// Dispatcher schedules jobs while its replica is the leader. StateMachine,
// Settings and Now must be set before Prepare, the other exported fields before
// Run. They must not change afterwards.
type Dispatcher struct {
	// StateMachine is the replicated job state.
	StateMachine *bookkeeper.StateMachine
	// Leadership gives access to the replicated log.
	Leadership Leadership
	// Settings configures the leases of runs.
	Settings Settings
	// Advisor decides which workers may run a step if the policy of its queue
	// requires that. If it is nil, jobs of such queues wait.
	Advisor carobrock.Advisor
	// WorkerAddress is the address at which workers reach this replica. While the
	// replica is the leader, its responses direct workers to this address.
	WorkerAddress string
	// Now returns the wall-clock time. Nil means time.Now.
	Now func() time.Time
	// Logger receives the log messages.
	Logger zerolog.Logger

	allocator      allocator.Allocator
	batcher        commandBatcher
	wakeup         chan struct{}
	adviceRequests chan adviceRequest

	mu sync.Mutex
	// term is the term that workers belongs to; termStart is when this replica
	// noticed that it leads in that term.
	term      uint64
	termStart time.Time
	// inheritedLease is the longest lease that earlier leaders may have granted.
	inheritedLease time.Duration
	workers        map[string]*worker // by name
	// losses holds the losses of worker incarnations from their detection until
	// they are committed. The incarnations get no orders during that time.
	losses     map[carobrock.WorkerIncarnation]pendingLoss
	sorted     []*worker      // workers sorted by name, nil after a change of workers
	nextChange chan struct{}  // closed at the next state change
	model      pacer.Model    // interference between filler and service images
	baseline   pacer.Baseline // tail latencies of services without load
	// adviceByStep holds the advisor's responses for each step.
	adviceByStep map[carobrock.TaskRef]*advice
	// modelRecordedAt is when the model was last written to the replicated state.
	modelRecordedAt time.Time
	// rhythm chooses how often workers send heartbeats.
	rhythm rhythm
	// directWorkers is the number of workers that are directed to this process.
	directWorkers int
	// heartbeatCount and roundCount count the heartbeats and the placement rounds
	// since the start of the process, planTime is the time spent in the rounds.
	// loadLoggedAt is when they were last logged.
	heartbeatCount uint64
	roundCount     uint64
	planTime       time.Duration
	loadLoggedAt   time.Time
	// largestRound is the number of requests of the largest round that was logged.
	largestRound int
	// unusableLoggedAt is when a heartbeat of a pool that is not configured was last
	// logged.
	unusableLoggedAt time.Time
	// lastFullRound is when a placement round last considered all waiting tasks,
	// fillersWait is set if it left over fillers.
	lastFullRound time.Time
	fillersWait   bool
	// aging bounds the waits of jobs that come after all others.
	aging agingTable
	// ranked is the memory for the requests of a round, window selects them.
	ranked []rankedRequest
	window roundWindow
	// neverAssigned holds the lists that requests of steps without a state share.
	neverAssigned taskLists
	// nextVisits holds, for each open job with more started occurrences than a round looks
	// at, the number from which on the next round does.
	nextVisits map[string]int
	// suspectsSince is when each waiting suspect was first found waiting.
	suspectsSince map[carobrock.TaskRef]time.Time
	// recentLosses holds the losses of the last outageTime.
	recentLosses []zoneLoss
	// jobLoadEstimates holds the load estimates of each job's service tasks, by job
	// ID.
	jobLoadEstimates map[string]map[*loadEstimate]bool
	// waits holds why jobs wait.
	waits waitTable
	// accounts holds what is derived for the client accounts.
	accounts accountTable
	// refusals holds what follows from the starts that workers refused.
	refusals startRefusals
}

var _ carobrock.JobControl = (*Dispatcher)(nil)

// Prepare applies defaults and initializes the dispatcher. It must be called
// before any other method.
func (d *Dispatcher) Prepare() {
	if d.Settings.Lease == 0 {
		d.Settings.Lease = defaultLease
	}
	if d.Settings.MaxLease == 0 {
		d.Settings.MaxLease = d.Settings.Lease
	}
	d.Settings.Lease = min(d.Settings.Lease, d.Settings.MaxLease)
	if d.Now == nil {
		d.Now = time.Now
	}
	d.allocator.Model = &d.model
	d.wakeup = make(chan struct{}, 1)
	d.nextChange = make(chan struct{})
	d.workers = map[string]*worker{}
	d.losses = map[carobrock.WorkerIncarnation]pendingLoss{}
	d.jobLoadEstimates = map[string]map[*loadEstimate]bool{}
	d.adviceByStep = map[carobrock.TaskRef]*advice{}
	d.nextVisits = map[string]int{}
	d.adviceRequests = make(chan adviceRequest, maxAdviceRequests)
	d.resetAccounts()
	d.batcher.reset()
	d.StateMachine.OnChange = d.notifyStateChange
}

// Run executes the batching, placement and advice loops until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	loops := pool.New().WithContext(ctx).WithCancelOnError()
	loops.Go(d.runBatcher)
	loops.Go(d.runPlacement)
	if d.Advisor != nil {
		loops.Go(d.runAdvice)
	}
	return loops.Wait()
}

// notifyStateChange wakes the placement loop and everything that waits for a
// change of the state.
func (d *Dispatcher) notifyStateChange() {
	d.wakePlacement()
	d.mu.Lock()
	close(d.nextChange)
	d.nextChange = make(chan struct{})
	d.mu.Unlock()
}

// wakePlacement wakes the placement loop, so that the next round does not wait
// for the ticker.
func (d *Dispatcher) wakePlacement() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// ensureLeader returns nil if this replica is the leader, else a
// *locator.NotLeaderError. In a new term it clears the worker table, which the
// next heartbeats fill again, and loads the interference model from the
// replicated state.
func (d *Dispatcher) ensureLeader() error {
	term, ok := d.Leadership.Term()
	if !ok {
		return &locator.NotLeaderError{Leader: d.Leadership.LeaderAddress()}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// Another call may have noticed a later term since this one read it.
	if term > d.term {
		d.term, d.termStart = term, time.Now()
		for _, w := range d.workers {
			w.releaseResponse()
		}
		d.workers, d.sorted = map[string]*worker{}, nil
		d.losses = map[carobrock.WorkerIncarnation]pendingLoss{}
		d.directWorkers, d.suspectsSince, d.recentLosses = 0, nil, nil
		d.jobLoadEstimates = map[string]map[*loadEstimate]bool{}
		d.resetAccounts()
		d.StateMachine.View(func(s *bookkeeper.State) {
			d.model, d.baseline = pacer.Import(s.Interference)
			d.inheritedLease = d.Settings.MaxLease
			if s.LeaseMillis > 0 {
				d.inheritedLease = time.Duration(s.LeaseMillis) * time.Millisecond
			}
		})
		d.modelRecordedAt = d.termStart
		d.Logger.Info().Uint64("term", term).Msg("dispatcher: this replica is the leader")
	}
	return nil
}
