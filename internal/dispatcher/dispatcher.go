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

// Leadership is the replicated log as the dispatcher sees it.
type Leadership interface {
	// Propose commits a command and returns the state machine's result.
	Propose(ctx context.Context, command []byte) (any, error)
	// Term returns the present term and whether this replica leads in it and
	// certainly no other does.
	Term() (uint64, bool)
	// LeaderAddress returns the address of the leader, empty if it is not known.
	LeaderAddress() string
}

// Settings are the bounds that a deployment sets.
type Settings struct {
	// Lease is how long runs go on without a heartbeat. Zero: 4 s.
	Lease time.Duration
	// MaxLease is the longest lease that an earlier leader may have granted.
	// Zero: Lease.
	MaxLease time.Duration
}

const (
	defaultLease = 4 * time.Second
	// clockDrift bounds how much slower a worker's clock may run: 2 %, as the
	// platform states, and half of that again.
	clockDrift = 0.03
	// leaseSlack is added to a lease for the time that a worker takes to end
	// what has lapsed.
	leaseSlack = 300 * time.Millisecond
)

// Dispatcher runs jobs while its replica leads. Its fields are set before Run
// and not changed after.
type Dispatcher struct {
	// Ledger is the replicated state.
	Ledger *bookkeeper.Ledger
	// Leadership is the replicated log.
	Leadership Leadership
	// Settings are the bounds.
	Settings Settings
	// Advisor decides on workers where a queue's policy asks for it. Nil: jobs of
	// such queues wait.
	Advisor carobrock.Advisor
	// WorkerAddress is where workers reach this replica; they are sent there
	// while it leads.
	WorkerAddress string
	// Now returns the wall-clock time. Nil: time.Now.
	Now func() time.Time
	// Logger takes the log.
	Logger zerolog.Logger

	allocator allocator.Allocator
	intake    intake
	kick      chan struct{}
	questions chan question

	mu sync.Mutex
	// term is the term that workers belongs to, and since when it lasts.
	term    uint64
	since   time.Time
	workers map[string]*worker // by name
	changed chan struct{}      // closed when the configuration may have changed
	model   pacer.Model        // of the interference between images
	rest    pacer.Rest         // latencies of services at rest
	// advice holds what the advisor has said of each step.
	advice map[carobrock.TaskRef]*advice
	// learnedAt is when the model was last recorded.
	learnedAt time.Time
	// fullTurn is when a turn last looked at everything that waits.
	fullTurn time.Time
	// peers holds the samples of the service tasks of each job.
	peers map[string]map[*sample]bool
}

var _ carobrock.JobControl = (*Dispatcher)(nil)

// Prepare makes the dispatcher ready for calls.
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
	d.kick = make(chan struct{}, 1)
	d.changed = make(chan struct{})
	d.workers = map[string]*worker{}
	d.peers = map[string]map[*sample]bool{}
	d.advice = map[carobrock.TaskRef]*advice{}
	d.questions = make(chan question, maxQuestions)
	d.intake.prepare()
	d.Ledger.OnChange = d.stateChanged
}

// Run runs the loops until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	loops := pool.New().WithContext(ctx).WithCancelOnError()
	loops.Go(d.runIntake)
	loops.Go(d.runPlacement)
	if d.Advisor != nil {
		loops.Go(d.runAdvice)
	}
	return loops.Wait()
}

// stateChanged wakes what waits for a change of the state.
func (d *Dispatcher) stateChanged() {
	d.wake()
	d.mu.Lock()
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
}

func (d *Dispatcher) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// lead returns nil if this replica leads. A new term begins without knowledge
// of workers: each tells of itself with its next heartbeat.
func (d *Dispatcher) lead() error {
	term, ok := d.Leadership.Term()
	if !ok {
		return &locator.NotLeaderError{Leader: d.Leadership.LeaderAddress()}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if term != d.term {
		d.term, d.since = term, time.Now()
		for _, w := range d.workers {
			w.release()
		}
		d.workers = map[string]*worker{}
		d.peers = map[string]map[*sample]bool{}
		d.Ledger.View(func(s *bookkeeper.State) { d.model, d.rest = pacer.Import(s.Learned) })
		d.learnedAt = d.since
		d.Logger.Info().Uint64("term", term).Msg("dispatcher: leads")
	}
	return nil
}
