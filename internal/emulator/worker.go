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

// Announcer passes announcements to carobrock.
type Announcer interface {
	// Announce passes an announcement on and returns the answer.
	Announce(ctx context.Context, a *carobrock.Announcement) (*carobrock.Renewal, error)
}

// Faults are the ways in which a worker can misbehave. They can be changed
// while it runs.
type Faults struct {
	// FailTasks makes every task fail.
	FailTasks atomic.Bool
	// RefuseConnections makes the service close connections at once.
	RefuseConnections atomic.Bool
	// IgnoreStops makes the worker ignore orders to stop or checkpoint.
	IgnoreStops atomic.Bool
	// Mute stops the announcements.
	Mute atomic.Bool
	// Frozen stops the whole worker, as if its process got no processor.
	Frozen atomic.Bool
}

// Worker is the stand-in. Its fields are set before Run and not changed after.
type Worker struct {
	// Worker is what the worker says of itself. Address and the addresses of
	// the services are filled in from the listeners.
	carobrock.Worker
	// Orders is the listener for task orders. Nil: Address is as set, and orders
	// come through the methods.
	Orders net.Listener
	// Service is the listener of the service. Nil: no service.
	Service net.Listener
	// ServicePool is the pool of the service.
	ServicePool string
	// Slots, Connections and Reserved describe the service.
	Slots       int
	Connections int
	Reserved    carobrock.Capacity
	// ServiceTime is how long a request takes on an idle worker.
	ServiceTime time.Duration
	// UsageLag is how old the reported usage is.
	UsageLag time.Duration
	// Announcer passes announcements on.
	Announcer Announcer
	// Faults are the worker's faults.
	Faults Faults
	// Logger takes the log.
	Logger zerolog.Logger

	started  time.Time
	mu       sync.Mutex
	attempts map[carobrock.AttemptRef]*attempt
	newest   map[string]uint64 // newest attempt ordered, by task
	leaseEnd time.Time
	period   time.Duration
	leaving  bool

	inFlight    atomic.Int64
	maxInFlight atomic.Int64
	open        atomic.Int64
	maxOpen     atomic.Int64
	served      atomic.Int64
}

const (
	defaultPeriod   = time.Second
	announceTimeout = 2 * time.Second
	tickInterval    = 20 * time.Millisecond
)

// Prepare fills in what follows from the listeners.
func (w *Worker) Prepare() {
	w.started = time.Now()
	w.attempts = map[carobrock.AttemptRef]*attempt{}
	w.newest = map[string]uint64{}
	w.period = defaultPeriod
	if w.Orders != nil {
		w.Address = w.Orders.Addr().String()
	}
	if w.Service != nil {
		w.Services = []carobrock.Service{{
			Pool: w.ServicePool, Address: w.Service.Addr().String(), Slots: w.Slots, Connections: w.Connections, Reserved: w.Reserved,
		}}
	}
}

// Run runs the worker until ctx ends. It then says that it is leaving and
// finishes the requests in flight.
func (w *Worker) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts := pool.New().WithContext(inner).WithCancelOnError().WithFirstError()
	var servers []*http.Server
	var listeners []net.Listener
	if w.Orders != nil {
		servers = append(servers, &http.Server{Handler: w.ordersHandler(), ReadHeaderTimeout: announceTimeout})
		listeners = append(listeners, w.Orders)
	}
	if w.Service != nil {
		servers = append(servers, &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: announceTimeout, ConnState: w.countConn})
		listeners = append(listeners, w.Service)
	}
	for i, s := range servers {
		parts.Go(func(context.Context) error {
			if err := s.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	parts.Go(w.announceAll)
	parts.Go(w.runTasks)
	parts.Go(func(partCtx context.Context) error {
		select {
		case <-ctx.Done():
			w.leave()
		case <-partCtx.Done():
		}
		for _, s := range servers {
			_ = s.Close()
		}
		stop()
		return nil
	})
	return parts.Wait()
}

// leaveDelay is how long a worker that leaves waits for carobrock to take note.
const leaveDelay = 3 * time.Second

func (w *Worker) leave() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.Logger.Info().Str("worker", w.Name).Msg("worker: leaving")
	time.Sleep(leaveDelay)
}

// announceAll announces the worker once in each period.
func (w *Worker) announceAll(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.Faults.Mute.Load() && !w.Faults.Frozen.Load() {
			w.announce(ctx)
		}
		w.mu.Lock()
		period := w.period
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

func (w *Worker) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	sent := time.Now()
	renewal, err := w.Announcer.Announce(ctx, w.announcement(sent))
	if err != nil {
		w.Logger.Debug().Err(err).Str("worker", w.Name).Msg("worker: announcement not taken")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaseEnd = later(w.leaseEnd, sent.Add(time.Duration(renewal.LeaseMillis)*time.Millisecond))
	w.period = time.Duration(renewal.PeriodMillis) * time.Millisecond
	for _, ref := range renewal.Forget {
		if a := w.attempts[ref]; a != nil && a.isOver() {
			delete(w.attempts, ref)
		}
	}
	for _, ref := range renewal.Stop {
		if a := w.attempts[ref]; a != nil && !w.Faults.IgnoreStops.Load() {
			a.end(carobrock.ReportStopped, "carobrock does not know the attempt")
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *Worker) announcement(now time.Time) *carobrock.Announcement {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &carobrock.Announcement{Worker: w.Worker, SentMillis: w.millis(now)}
	a.Leaving = a.Leaving || w.leaving
	for _, at := range w.attempts {
		a.Tasks = append(a.Tasks, at.report(now.Add(-w.UsageLag)))
	}
	slices.SortFunc(a.Tasks, func(x, y carobrock.TaskReport) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.Attempt, y.Attempt))
	})
	return a
}

// millis is the worker's own clock. It begins at 1, so that zero means "never".
func (w *Worker) millis(now time.Time) int64 { return now.Sub(w.started).Milliseconds() + 1 }

// runTasks advances the tasks until ctx ends.
func (w *Worker) runTasks(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if w.Faults.Frozen.Load() {
			last = now
			continue
		}
		w.mu.Lock()
		for _, a := range w.attempts {
			w.advance(a, now, now.Sub(last))
		}
		w.mu.Unlock()
		last = now
	}
}

func (w *Worker) advance(a *attempt, now time.Time, step time.Duration) {
	if a.isOver() {
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
	a.advance(step)
}
