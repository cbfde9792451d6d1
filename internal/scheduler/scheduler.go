package scheduler

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/keeper"
)

// Leadership tells whether this process leads the control group.
type Leadership interface {
	// Term returns the term in which this process leads, and false if it does
	// not.
	Term() (uint64, bool)
	// LeaseLeft returns how long it is certain that no other process leads.
	LeaseLeft() time.Duration
}

// Proposer commits commands.
type Proposer interface {
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, c *carobrock.Command) (*carobrock.Result, error)
}

// Default settings.
const (
	// DefaultLease is how long a worker may go on without an announcement.
	DefaultLease = 6 * time.Second
	// DefaultPeriod is the time between announcements.
	DefaultPeriod = time.Second
	// DefaultTurn is the time between turns of the loop.
	DefaultTurn = 100 * time.Millisecond
	// driftMargin is added to leases for clocks that run at unequal speed, as a
	// share of the lease.
	driftMargin = 0.1
	// startWithin is how long after the quoted announcement an order may be
	// begun.
	startWithin = 2500 * time.Millisecond
	// orderInterval is the time between repetitions of an order.
	orderInterval = 500 * time.Millisecond
	// maxOrders is how many orders may be on their way at a time.
	maxOrders = 64
	// proposeTimeout bounds one commit of the loop.
	proposeTimeout = 2 * time.Second
	// distinctFailures is the number of distinct workers on which a task must
	// fail before it is given up.
	distinctFailures = 3
	// evictionsPerSecond bounds the work that leaves an availability zone.
	evictionsPerSecond = 10
	// relieveInterval is the time between looks at workers that need relief.
	relieveInterval = 5 * time.Second
	// usageLag is how old reported usage may be.
	usageLag = 10 * time.Second
	// dropWorkerAfter is how long a worker may be silent before it is removed.
	dropWorkerAfter = 10 * time.Minute
)

// Scheduler runs the loop. Its fields are set before Run and not changed after.
type Scheduler struct {
	// Keeper is the replicated state.
	Keeper *keeper.Keeper
	// Leadership and Proposer are the replica's.
	Leadership Leadership
	Proposer   Proposer
	// Placer decides where tasks go.
	Placer carobrock.Placer
	// Orders sends orders to workers.
	Orders Orders
	// Lease is how long a worker may go on without an announcement. Zero:
	// DefaultLease.
	Lease time.Duration
	// Period is the time between announcements. Zero: DefaultPeriod.
	Period time.Duration
	// KeyRetention is how long idempotency keys are kept. Zero:
	// DefaultKeyRetention.
	KeyRetention time.Duration
	// Turn is the time between turns of the loop. Zero: DefaultTurn.
	Turn time.Duration
	// Logger takes the log.
	Logger zerolog.Logger

	mu          sync.Mutex
	term        uint64
	roster      *roster
	waiting     map[string]string // why a queued task waits, by task
	sentAt      map[orderKey]time.Time
	housekeptAt time.Time // used by the loop alone
	relievedAt  time.Time // when workers were last looked at for relief
	evictAt     time.Time // when the next eviction may be made
	wake        chan struct{}
	// orderSlots has an element for each order on its way.
	orderSlots chan struct{}
}

// Prepare makes the scheduler ready for its other methods.
func (s *Scheduler) Prepare() {
	if s.Lease == 0 {
		s.Lease = DefaultLease
	}
	if s.Period == 0 {
		s.Period = DefaultPeriod
	}
	if s.KeyRetention == 0 {
		s.KeyRetention = DefaultKeyRetention
	}
	if s.Turn == 0 {
		s.Turn = DefaultTurn
	}
	s.wake = make(chan struct{}, 1)
	s.orderSlots = make(chan struct{}, maxOrders)
	s.reset(0)
}

func (s *Scheduler) reset(term uint64) {
	s.term = term
	s.roster = newRoster()
	s.waiting = map[string]string{}
	s.sentAt = map[orderKey]time.Time{}
	if term == 0 {
		return
	}
	now := time.Now()
	for _, w := range s.Keeper.Workers() {
		s.roster.assume(&w.Worker, now)
	}
}

// expiry is how long after a renewal a lease has certainly run out, whatever the
// drift between the clocks.
func (s *Scheduler) expiry() time.Duration {
	return s.Lease + time.Duration(driftMargin*float64(s.Lease))
}

// Wake makes the loop take its next turn at once.
func (s *Scheduler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run runs the loop until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	orders := conc.NewWaitGroup()
	defer orders.Wait()
	ticker := time.NewTicker(s.Turn)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
		if err := s.turn(ctx, orders); err != nil && ctx.Err() == nil {
			s.Logger.Debug().Err(err).Msg("scheduler: turn not finished")
		}
	}
}

// lead reports whether this process leads, and starts anew in a new term.
func (s *Scheduler) lead() bool {
	term, ok := s.Leadership.Term()
	if !ok || s.Leadership.LeaseLeft() <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		s.reset(term)
		s.Logger.Info().Uint64("term", term).Msg("scheduler: leading")
	}
	return true
}

func (s *Scheduler) turn(ctx context.Context, orders *conc.WaitGroup) error {
	if !s.lead() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := s.commit(ctx, s.observe(time.Now())); err != nil {
		return err
	}
	if err := s.place(ctx); err != nil {
		return err
	}
	s.sendOrders(orders, time.Now())
	return s.housekeep(ctx, time.Now())
}

// commit proposes task changes, if there are any.
func (s *Scheduler) commit(ctx context.Context, changes []carobrock.TaskChange) error {
	if len(changes) == 0 {
		return nil
	}
	res, err := s.Proposer.Propose(ctx, &carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: changes}})
	if err != nil {
		return err
	}
	for _, rej := range res.Rejected {
		s.Logger.Debug().Str("task", rej.ID).Str("event", string(rej.Event)).Str("reason", rej.Text).Msg("scheduler: change not applied")
	}
	return nil
}

// Announce takes a worker's announcement and renews its lease. It fails with
// carobrock.ErrNameTaken while another VM holds the name under a live lease,
// carobrock.ErrRefused if the announcement is not valid, and
// carobrock.ErrNotDone if this process does not lead.
func (s *Scheduler) Announce(ctx context.Context, a *carobrock.Announcement) (*carobrock.Renewal, error) {
	if err := carobrock.CheckWorker(&a.Worker); err != nil {
		return nil, eris.Wrap(carobrock.ErrRefused, err.Error())
	}
	if !s.lead() {
		return nil, carobrock.ErrNotDone
	}
	now := time.Now()
	known, ok := s.Keeper.Worker(a.Name)
	if ok && known.VM != a.VM && !s.isNameFree(&known, now) {
		return nil, eris.Wrapf(carobrock.ErrNameTaken, "worker %q is on VM %q", a.Name, known.VM)
	}
	if !ok || !sameWorker(&known, &a.Worker) {
		if err := s.register(ctx, &a.Worker); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	s.roster.announce(a, now)
	renewal := s.renewal(a)
	s.learn(a, now)
	s.mu.Unlock()
	if s.Leadership.LeaseLeft() <= 0 {
		return nil, carobrock.ErrNotDone
	}
	s.Wake()
	return renewal, nil
}

func (s *Scheduler) isNameFree(known *carobrock.Worker, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.isExpired(session{known.Name, known.Incarnation}, now, s.expiry())
}

func (s *Scheduler) register(ctx context.Context, w *carobrock.Worker) error {
	res, err := s.Proposer.Propose(ctx, &carobrock.Command{PutWorkers: &carobrock.PutWorkers{Workers: []carobrock.Worker{*w}}})
	if err != nil {
		return err
	}
	if res.Code != "" {
		return eris.Wrap(carobrock.ErrRefused, res.Text)
	}
	return nil
}

func sameWorker(a, b *carobrock.Worker) bool {
	if len(a.Services) != len(b.Services) {
		return false
	}
	for i := range a.Services {
		if a.Services[i] != b.Services[i] {
			return false
		}
	}
	return a.Name == b.Name && a.VM == b.VM && a.Incarnation == b.Incarnation && a.AvailabilityZone == b.AvailabilityZone &&
		a.Rack == b.Rack && a.Address == b.Address && a.Capacity == b.Capacity && a.Leaving == b.Leaving
}

// renewal answers an announcement: attempts that are over may be forgotten,
// attempts that are not this worker's must stop. The caller holds s.mu.
func (s *Scheduler) renewal(a *carobrock.Announcement) *carobrock.Renewal {
	out := &carobrock.Renewal{LeaseMillis: s.Lease.Milliseconds(), PeriodMillis: s.Period.Milliseconds()}
	for _, report := range a.Tasks {
		ref := carobrock.AttemptRef{ID: report.ID, Attempt: report.Attempt}
		t, ok := s.Keeper.Task(report.ID)
		mine := ok && t.HoldsCapacity() && t.Worker == a.Name && t.Attempt == report.Attempt && t.Incarnation == a.Incarnation
		switch {
		case mine:
		case isOver(report.State):
			out.Forget = append(out.Forget, ref)
		default:
			out.Stop = append(out.Stop, ref)
		}
	}
	return out
}

func isOver(state carobrock.ReportState) bool {
	switch state {
	case carobrock.ReportStopped, carobrock.ReportSucceeded, carobrock.ReportFailed:
		return true
	default:
		return false
	}
}

// WhyWaiting returns why a queued task is not placed, empty if that is unknown.
func (s *Scheduler) WhyWaiting(task string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[task]
}

// Silence returns how long ago the worker's last announcement came, and false
// if none came to this leader.
func (s *Scheduler) Silence(worker string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.roster.present[session{worker, s.roster.current[worker]}]
	if p == nil || p.reports == nil {
		return 0, false
	}
	return time.Since(p.renewedAt), true
}

func workerReason(w *keeper.WorkerState) string {
	switch {
	case w.Leaving:
		return "worker " + w.Name + " is leaving"
	case !w.ZoneUsable:
		return fmt.Sprintf("availability zone %s is not in use", w.AvailabilityZone)
	case w.Down:
		return fmt.Sprintf("VM %s is down", w.VM)
	default:
		return ""
	}
}
