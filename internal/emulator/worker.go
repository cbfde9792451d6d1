package emulator

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock"
)

// Announcer sends announcements to carobrock.
type Announcer interface {
	// Announce sends an announcement and returns the renewal of the lease.
	Announce(ctx context.Context, a *carobrock.Announcement) (*carobrock.Renewal, error)
}

// Faults are the faults that a worker injects. They may be changed while the
// worker runs.
type Faults struct {
	// FailTasks makes every running task fail.
	FailTasks atomic.Bool
	// RefuseConnections makes the service close a connection without a response.
	RefuseConnections atomic.Bool
	// IgnoreStops makes the worker ignore requests to stop or checkpoint.
	IgnoreStops atomic.Bool
	// SuppressAnnouncements suppresses the announcements.
	SuppressAnnouncements atomic.Bool
	// Suspended suspends announcements and task progress, as if the worker's process
	// got no CPU time.
	Suspended atomic.Bool
}

// Worker is an emulated worker. Except for Faults, its exported fields must not
// change after Run is called.
type Worker struct {
	// Worker is the description that the worker announces. Prepare sets Address
	// and Services from the listeners.
	carobrock.Worker
	// TaskListener is the listener for requests to start, stop, checkpoint or throttle
	// tasks. Nil: Address is left unchanged, and StartAttempt, SaveCheckpoint and
	// StopAttempt are called instead.
	TaskListener net.Listener
	// ServiceListener is the listener of the service. Nil: no service.
	ServiceListener net.Listener
	// ServicePool is the name of the pool that the service belongs to.
	ServicePool string
	// Slots, Connections and Reserved are the limits on concurrent requests and
	// connections and the reserved capacity that the service announces.
	Slots       int
	Connections int
	Reserved    carobrock.Capacity
	// ServiceTime is the time that a request takes on an idle worker.
	ServiceTime time.Duration
	// UsageLag is the age of the reported resource usage.
	UsageLag time.Duration
	// Announcer sends the worker's announcements.
	Announcer Announcer
	// Faults are the injected faults.
	Faults Faults
	// Logger receives the worker's log.
	Logger zerolog.Logger

	started        time.Time
	mu             sync.Mutex
	attempts       map[carobrock.AttemptRef]*attempt
	newestAttempt  map[string]uint64 // number of the newest attempt, by task ID
	leaseEnd       time.Time
	announcePeriod time.Duration
	leaving        bool

	inFlight           atomic.Int64
	maxInFlight        atomic.Int64
	openConnections    atomic.Int64
	maxOpenConnections atomic.Int64
	served             atomic.Int64
}

const (
	defaultAnnouncePeriod = time.Second
	announceTimeout       = 2 * time.Second
	tickInterval          = 20 * time.Millisecond
)

// Prepare initializes the worker and sets Address and Services from the
// listeners. It must be called before any other method.
func (w *Worker) Prepare() {
	w.started = time.Now()
	w.attempts = map[carobrock.AttemptRef]*attempt{}
	w.newestAttempt = map[string]uint64{}
	w.announcePeriod = defaultAnnouncePeriod
	if w.TaskListener != nil {
		w.Address = w.TaskListener.Addr().String()
	}
	if w.ServiceListener != nil {
		w.Services = []carobrock.Service{{
			Pool: w.ServicePool, Address: w.ServiceListener.Addr().String(), Slots: w.Slots, Connections: w.Connections, Reserved: w.Reserved,
		}}
	}
}

// Run runs the worker until ctx ends. It then announces that the worker is
// leaving, continues to serve for leaveDelay and closes the servers. It returns
// the first error of a server.
func (w *Worker) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := pool.New().WithContext(runCtx).WithCancelOnError().WithFirstError()
	var servers []*http.Server
	var listeners []net.Listener
	if w.TaskListener != nil {
		servers = append(servers, &http.Server{Handler: w.taskHandler(), ReadHeaderTimeout: announceTimeout})
		listeners = append(listeners, w.TaskListener)
	}
	if w.ServiceListener != nil {
		servers = append(servers, &http.Server{Handler: http.HandlerFunc(w.handleServiceRequest), ReadHeaderTimeout: announceTimeout, ConnState: w.trackConnection})
		listeners = append(listeners, w.ServiceListener)
	}
	for i, s := range servers {
		group.Go(func(context.Context) error {
			if err := s.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	group.Go(w.announcePeriodically)
	group.Go(w.runAttempts)
	group.Go(func(groupCtx context.Context) error {
		select {
		case <-ctx.Done():
			w.announceLeaving()
		case <-groupCtx.Done():
		}
		for _, s := range servers {
			_ = s.Close() // the worker ends in any case
		}
		stop()
		return nil
	})
	return group.Wait()
}

// leaveDelay is the time for which a leaving worker continues to run, so that
// carobrock learns from its announcements that it leaves.
const leaveDelay = 3 * time.Second

// announceLeaving marks the worker as leaving, which the next announcements
// report, and waits for leaveDelay.
func (w *Worker) announceLeaving() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.Logger.Info().Str("worker", w.Name).Msg("worker: leaving")
	time.Sleep(leaveDelay)
}

// announcePeriodically announces the worker once per announcePeriod until ctx
// ends.
func (w *Worker) announcePeriodically(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.Faults.SuppressAnnouncements.Load() && !w.Faults.Suspended.Load() {
			w.announceOnce(ctx)
		}
		w.mu.Lock()
		period := w.announcePeriod
		w.mu.Unlock()
		timer := time.NewTimer(period)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// announceOnce sends one announcement. From the response it renews the lease,
// removes ended attempts that carobrock no longer needs and stops attempts that are
// not, or no longer, assigned to the worker.
func (w *Worker) announceOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	sent := time.Now()
	renewal, err := w.Announcer.Announce(ctx, w.newAnnouncement(sent))
	if err != nil {
		w.Logger.Debug().Err(err).Str("worker", w.Name).Msg("worker: announcement failed")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaseEnd = laterTime(w.leaseEnd, sent.Add(time.Duration(renewal.LeaseMillis)*time.Millisecond))
	w.announcePeriod = time.Duration(renewal.PeriodMillis) * time.Millisecond
	for _, ref := range renewal.Forget {
		if a := w.attempts[ref]; a != nil && a.hasEnded() {
			delete(w.attempts, ref)
		}
	}
	for _, ref := range renewal.Stop {
		if a := w.attempts[ref]; a != nil && !w.Faults.IgnoreStops.Load() {
			a.end(carobrock.ReportStopped, "carobrock does not know the attempt")
		}
	}
}

// laterTime returns the later of a and b.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newAnnouncement returns the announcement to send at the time now, with its
// tasks in order of ID and attempt.
func (w *Worker) newAnnouncement(now time.Time) *carobrock.Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &carobrock.Announcement{Worker: w.Worker, SentMillis: w.clockMillis(now)}
	a.Leaving = a.Leaving || w.leaving
	for _, at := range w.attempts {
		a.Tasks = append(a.Tasks, at.report(now.Add(-w.UsageLag)))
	}
	slices.SortFunc(a.Tasks, func(x, y carobrock.TaskReport) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.Attempt, y.Attempt))
	})
	return a
}

// clockMillis returns the time now on the worker's own clock, in milliseconds. The
// clock starts at 1, so that zero can mean "never".
func (w *Worker) clockMillis(now time.Time) int64 { return now.Sub(w.started).Milliseconds() + 1 }

// runAttempts advances the attempts every tickInterval until ctx ends.
func (w *Worker) runAttempts(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if w.Faults.Suspended.Load() {
			lastTick = now
			continue
		}
		w.mu.Lock()
		for _, a := range w.attempts {
			w.advanceAttempt(a, now, now.Sub(lastTick))
		}
		w.mu.Unlock()
		lastTick = now
	}
}

// advanceAttempt advances an attempt by one step. It ends the attempt if the lease
// has expired or tasks are set to fail. The caller holds w.mu.
func (w *Worker) advanceAttempt(a *attempt, now time.Time, step time.Duration) {
	if a.hasEnded() {
		return
	}
	if now.After(w.leaseEnd) {
		a.end(carobrock.ReportStopped, "the worker's lease ran out")
		return
	}
	if w.Faults.FailTasks.Load() {
		a.end(carobrock.ReportFailed, "the worker fails every task")
		return
	}
	a.advanceProgress(step)
}
