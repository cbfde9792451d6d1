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

// Leadership reports whether this process leads the control group.
type Leadership interface {
	// Term returns the term in which this process leads, and false if it does
	// not lead.
	Term() (uint64, bool)
	// RemainingLease returns for how long no other process can lead, zero or less if
	// this process does not hold the leader's lease.
	RemainingLease() time.Duration
}

// Proposer commits commands.
type Proposer interface {
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, c *carobrock.Command) (*carobrock.Result, error)
}

// Default settings and limits.
const (
	// DefaultLease is how long a worker's lease lasts after an announcement.
	DefaultLease = 6 * time.Second
	// DefaultPeriod is the time between a worker's announcements.
	DefaultPeriod = time.Second
	// DefaultInterval is the time between iterations of the loop.
	DefaultInterval = 100 * time.Millisecond
	// clockDriftMargin is added to leases to allow for clocks that run at
	// different rates, as a share of the lease.
	clockDriftMargin = 0.1
	// startRequestValidity is how long a request to start an attempt remains
	// valid, counted by the worker's clock from the request's QuotedMillis.
	startRequestValidity = 2500 * time.Millisecond
	// requestInterval is the time between repetitions of a request.
	requestInterval = 500 * time.Millisecond
	// maxRequestsInFlight bounds the requests to workers in flight.
	maxRequestsInFlight = 64
	// proposeTimeout bounds the commits of one iteration.
	proposeTimeout = 2 * time.Second
	// maxFailedWorkers is the number of distinct workers on which a task must
	// fail before it ends as failed.
	maxFailedWorkers = 3
	// evictionsPerSecond bounds the rate of evictions.
	evictionsPerSecond = 10
	// evictionCheckInterval is the time between checks for workers whose services
	// are slowed down too much.
	evictionCheckInterval = 5 * time.Second
	// maxUsageAge is the greatest age of reported usage.
	maxUsageAge = 10 * time.Second
	// silentWorkerTimeout is how long a worker may be silent before it is
	// removed.
	silentWorkerTimeout = 10 * time.Minute
)

// Scheduler runs the control loop. Its fields are set before Run is called and
// are not changed afterwards.
type Scheduler struct {
	// Keeper holds the replicated state.
	Keeper *keeper.Keeper
	// Leadership and Proposer are provided by this process's replica.
	Leadership Leadership
	Proposer   Proposer
	// Placer decides on which workers tasks run.
	Placer carobrock.Placer
	// WorkerClient sends requests to workers.
	WorkerClient WorkerClient
	// Lease is how long a worker's lease lasts after an announcement. Zero
	// means DefaultLease.
	Lease time.Duration
	// Period is the time between a worker's announcements. Zero means
	// DefaultPeriod.
	Period time.Duration
	// KeyRetention is how long idempotency keys are kept. Zero means
	// DefaultKeyRetention.
	KeyRetention time.Duration
	// Interval is the time between iterations of the loop. Zero means
	// DefaultInterval.
	Interval time.Duration
	// Logger receives the log.
	Logger zerolog.Logger

	mu                sync.Mutex
	term              uint64
	tracker           *workerTracker
	waitReasons       map[string]string // why each queued task waits, by task ID
	requestSentAt     map[requestKey]time.Time
	lastHousekeeping  time.Time // accessed only by the loop
	lastEvictionCheck time.Time // when the placer was last asked to suggest evictions
	nextEviction      time.Time // when the next eviction is allowed
	wake              chan struct{}
	// requestSemaphore holds one element for each request in flight.
	requestSemaphore chan struct{}
}

// Prepare fills in default settings and initialises the scheduler. It must be
// called before all other methods.
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
	if s.Interval == 0 {
		s.Interval = DefaultInterval
	}
	s.wake = make(chan struct{}, 1)
	s.requestSemaphore = make(chan struct{}, maxRequestsInFlight)
	s.resetForTerm(0)
}

// resetForTerm clears the in-memory state at the start of a term. Zero means
// that this process has not led yet.
func (s *Scheduler) resetForTerm(term uint64) {
	s.term = term
	s.tracker = newWorkerTracker()
	s.waitReasons = map[string]string{}
	s.requestSentAt = map[requestKey]time.Time{}
	if term == 0 {
		return
	}
	now := time.Now()
	for _, w := range s.Keeper.Workers() {
		s.tracker.assumeRenewed(&w.Worker, now)
	}
}

// leaseDurationWithDrift returns the time after a renewal at which the lease
// has certainly expired, even if the clocks of the worker and the leader run at
// different rates.
func (s *Scheduler) leaseDurationWithDrift() time.Duration {
	return s.Lease + time.Duration(clockDriftMargin*float64(s.Lease))
}

// Wake makes the loop start its next iteration immediately.
func (s *Scheduler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run runs the loop until ctx is done. It returns nil.
func (s *Scheduler) Run(ctx context.Context) error {
	requests := conc.NewWaitGroup()
	defer requests.Wait()
	ticker := time.NewTicker(s.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
		if err := s.runIteration(ctx, requests); err != nil && ctx.Err() == nil {
			s.Logger.Debug().Err(err).Msg("scheduler: loop iteration failed")
		}
	}
}

// checkLeadership reports whether this process leads. At the start of a new
// term it resets the in-memory state.
func (s *Scheduler) checkLeadership() bool {
	term, ok := s.Leadership.Term()
	if !ok || s.Leadership.RemainingLease() <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		s.resetForTerm(term)
		s.Logger.Info().Uint64("term", term).Msg("scheduler: started leading")
	}
	return true
}

// runIteration runs one iteration of the loop, if this process leads.
func (s *Scheduler) runIteration(ctx context.Context, requests *conc.WaitGroup) error {
	if !s.checkLeadership() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := s.commitTaskChanges(ctx, s.changesFromObservations(time.Now())); err != nil {
		return err
	}
	if err := s.placeQueuedTasks(ctx); err != nil {
		return err
	}
	s.sendRequests(requests, time.Now())
	return s.runHousekeeping(ctx, time.Now())
}

// commitTaskChanges proposes task changes, if there are any, and logs those
// that the state machine rejects.
func (s *Scheduler) commitTaskChanges(ctx context.Context, changes []carobrock.TaskChange) error {
	if len(changes) == 0 {
		return nil
	}
	res, err := s.Proposer.Propose(ctx, &carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: changes}})
	if err != nil {
		return err
	}
	for _, rej := range res.Rejected {
		s.Logger.Debug().Str("task", rej.ID).Str("event", string(rej.Event)).Str("reason", rej.Text).Msg("scheduler: task change rejected")
	}
	return nil
}

// Announce processes a worker's announcement and renews its lease. It fails
// with carobrock.ErrNameTaken while another VM holds the name under a live
// lease, carobrock.ErrRefused if the announcement is invalid or the state
// machine rejects the worker, carobrock.ErrNotApplied if this process does not
// lead or loses its lease meanwhile, or the error of Proposer.Propose. A worker
// may be registered even if Announce fails.
func (s *Scheduler) Announce(ctx context.Context, a *carobrock.Announcement) (*carobrock.Renewal, error) {
	if err := carobrock.CheckWorker(&a.Worker); err != nil {
		return nil, eris.Wrap(carobrock.ErrRefused, err.Error())
	}
	if !s.checkLeadership() {
		return nil, carobrock.ErrNotApplied
	}
	now := time.Now()
	registered, ok := s.Keeper.Worker(a.Name)
	if ok && registered.VM != a.VM && !s.isNameAvailable(&registered, now) {
		return nil, eris.Wrapf(carobrock.ErrNameTaken, "worker %q is on VM %q", a.Name, registered.VM)
	}
	if !ok || !isSameRegistration(&registered, &a.Worker) {
		if err := s.registerWorker(ctx, &a.Worker); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	s.tracker.recordAnnouncement(a, now)
	renewal := s.newRenewal(a)
	s.observeUsage(a, now)
	s.mu.Unlock()
	if s.Leadership.RemainingLease() <= 0 {
		return nil, carobrock.ErrNotApplied
	}
	s.Wake()
	return renewal, nil
}

// isNameAvailable reports whether the lease of the worker registered under the
// name has expired.
func (s *Scheduler) isNameAvailable(registered *carobrock.Worker, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.isExpired(workerIncarnation{registered.Name, registered.Incarnation}, now, s.leaseDurationWithDrift())
}

// registerWorker commits the registration of a worker. It fails with
// carobrock.ErrRefused if the state machine rejects it.
func (s *Scheduler) registerWorker(ctx context.Context, w *carobrock.Worker) error {
	res, err := s.Proposer.Propose(ctx, &carobrock.Command{PutWorkers: &carobrock.PutWorkers{Workers: []carobrock.Worker{*w}}})
	if err != nil {
		return err
	}
	if res.Code != "" {
		return eris.Wrap(carobrock.ErrRefused, res.Text)
	}
	return nil
}

// isSameRegistration reports whether a and b are equal in all replicated
// attributes.
func isSameRegistration(a, b *carobrock.Worker) bool {
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

// newRenewal returns the reply to an announcement: it lists the ended attempts
// that the worker may forget and the attempts that it must stop because they
// are no longer assigned to it. The caller holds s.mu.
func (s *Scheduler) newRenewal(a *carobrock.Announcement) *carobrock.Renewal {
	out := &carobrock.Renewal{LeaseMillis: s.Lease.Milliseconds(), PeriodMillis: s.Period.Milliseconds()}
	for _, report := range a.Tasks {
		ref := carobrock.AttemptRef{ID: report.ID, Attempt: report.Attempt}
		t, ok := s.Keeper.Task(report.ID)
		isAssigned := ok && t.HoldsCapacity() && t.Worker == a.Name && t.Attempt == report.Attempt && t.Incarnation == a.Incarnation
		switch {
		case isAssigned:
		case isTerminal(report.State):
			out.Forget = append(out.Forget, ref)
		default:
			out.Stop = append(out.Stop, ref)
		}
	}
	return out
}

// isTerminal reports whether an attempt in this state has ended.
func isTerminal(state carobrock.ReportState) bool {
	switch state {
	case carobrock.ReportStopped, carobrock.ReportSucceeded, carobrock.ReportFailed:
		return true
	default:
		return false
	}
}

// WaitReason returns why a queued task is not placed, or the empty string if
// that is unknown.
func (s *Scheduler) WaitReason(task string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waitReasons[task]
}

// TimeSinceAnnouncement returns the time since the worker's last announcement,
// and false if this leader has received none.
func (s *Scheduler) TimeSinceAnnouncement(worker string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.tracker.incarnations[workerIncarnation{worker, s.tracker.currentIncarnation[worker]}]
	if state == nil || state.reports == nil {
		return 0, false
	}
	return time.Since(state.renewedAt), true
}

// replicatedUnusableReason returns why, according to the replicated state, a
// worker may not get new tasks, or the empty string if it may.
func replicatedUnusableReason(w *keeper.WorkerState) string {
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
