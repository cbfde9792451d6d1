package scheduler_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/emulator"
	"github.com/carobrock/carobrock/internal/keeper"
	"github.com/carobrock/carobrock/internal/placer"
	"github.com/carobrock/carobrock/internal/scheduler"
)

var errLost = errors.New("lost")

// world is a control group with two candidates for the lead, workers, and the
// links between them, in one synctest bubble. The replicated state is one keeper
// that both candidates share; a candidate that does not lead commits nothing.
type world struct {
	t      *testing.T
	keeper *keeper.Keeper

	mu      sync.Mutex
	rand    *rand.Rand
	index   uint64
	leader  int // index of the candidate that leads, -1: none
	term    uint64
	leads   []*candidate
	workers []*emulator.Worker
	cut     map[string]bool // workers whose links are cut
	loss    float64         // share of orders and announcements lost
	hold    time.Duration   // how long every order is held up
	running *conc.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc

	lastProgress map[string]map[carobrock.AttemptRef]time.Duration // by worker
	outAt        map[string]time.Time                              // zones out of service
}

// candidate is a replica that may lead.
type candidate struct {
	w         *world
	number    int
	scheduler *scheduler.Scheduler
}

const (
	leaderLease      = 600 * time.Millisecond
	testKeyRetention = 20 * time.Minute
)

func (c *candidate) Term() (uint64, bool) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return c.w.term, c.w.leader == c.number
}

func (c *candidate) LeaseLeft() time.Duration {
	if _, ok := c.Term(); ok {
		return leaderLease
	}
	return 0
}

// Propose commits if the candidate leads. Now and then the answer is lost.
func (c *candidate) Propose(_ context.Context, cmd *carobrock.Command) (*carobrock.Result, error) {
	time.Sleep(2 * time.Millisecond)
	data, err := cmd.Encode()
	if err != nil {
		return nil, err
	}
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.w.leader != c.number {
		return nil, carobrock.ErrNotDone
	}
	c.w.index++
	res := c.w.keeper.Apply(c.w.index, data).(*carobrock.Result)
	if c.w.rand.Float64() < c.w.loss {
		return nil, carobrock.ErrUndecided
	}
	return res, nil
}

func newWorld(t *testing.T, seed uint64, workers int) *world {
	return newWorldWith(t, seed, workers, placer.FirstFit{}, nil)
}

// newWorldWith is newWorld with a placer and services on every worker.
func newWorldWith(t *testing.T, seed uint64, workers int, p carobrock.Placer, services []carobrock.Service) *world {
	w := &world{
		t: t, keeper: &keeper.Keeper{}, rand: rand.New(rand.NewPCG(seed, seed)), leader: -1, cut: map[string]bool{},
		running: conc.NewWaitGroup(), lastProgress: map[string]map[carobrock.AttemptRef]time.Duration{}, outAt: map[string]time.Time{},
	}
	w.keeper.Prepare()
	w.ctx, w.stop = context.WithCancel(context.Background())
	for i := range 2 {
		c := &candidate{w: w, number: i}
		c.scheduler = &scheduler.Scheduler{
			Keeper: w.keeper, Leadership: c, Proposer: c, Placer: p, Orders: c, Logger: zerolog.Nop(),
			KeyRetention: testKeyRetention,
		}
		c.scheduler.Prepare()
		w.leads = append(w.leads, c)
		w.running.Go(func() { _ = c.scheduler.Run(w.ctx) })
	}
	w.elect(0)
	w.propose(&carobrock.Command{PutTable: &carobrock.PutTable{Table: carobrock.TablePools, Pools: []carobrock.Pool{{Name: "p"}}}})
	for i := range workers {
		w.addWorkerWith(i, 0, services)
	}
	return w
}

// addWorker starts an incarnation of a worker.
func (w *world) addWorker(i, incarnation int) { w.addWorkerWith(i, incarnation, nil) }

// addWorkerWith is addWorker for a worker that offers services.
func (w *world) addWorkerWith(i, incarnation int, services []carobrock.Service) {
	name := fmt.Sprint("w", i)
	e := &emulator.Worker{
		Worker: carobrock.Worker{
			Name: name, VM: "vm-" + name, Incarnation: fmt.Sprint("i", incarnation), AvailabilityZone: fmt.Sprint("az", i%3),
			Address: fmt.Sprint(name, "/", incarnation), Capacity: carobrock.Capacity{MilliCPU: 4000, MemoryMB: 4000}, Services: services,
		},
		Announcer: &announcer{w: w, name: name}, Logger: zerolog.Nop(),
	}
	e.Prepare()
	w.mu.Lock()
	w.workers = append(w.workers, e)
	w.mu.Unlock()
	w.running.Go(func() { _ = e.Run(w.ctx) })
}

// close ends everything.
func (w *world) close() {
	for _, e := range w.all() {
		e.Faults.Frozen.Store(false)
	}
	w.stop()
	w.running.Wait()
}

func (w *world) all() []*emulator.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*emulator.Worker(nil), w.workers...)
}

// elect makes a candidate the leader, after a time without one.
func (w *world) elect(n int) {
	w.mu.Lock()
	w.leader = -1
	w.mu.Unlock()
	time.Sleep(leaderLease)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.term++
	w.leader = n
}

// propose commits a command of an operator.
func (w *world) propose(cmd *carobrock.Command) {
	w.t.Helper()
	data, err := cmd.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index++
	if res := w.keeper.Apply(w.index, data).(*carobrock.Result); res.Code != "" {
		w.t.Fatal(res.Text)
	}
}

func (w *world) submit(n int, spec carobrock.TaskSpec) {
	for i := range n {
		s := spec
		s.ID, s.Pool = fmt.Sprint(spec.ID, i), "p"
		w.propose(&carobrock.Command{SubmitTask: &carobrock.SubmitTask{Spec: s}})
	}
}

func (w *world) setZone(az string, out bool) {
	w.propose(&carobrock.Command{PutZone: &carobrock.PutZone{Name: az, OutOfService: out}})
	w.mu.Lock()
	defer w.mu.Unlock()
	if out {
		w.outAt[az] = time.Now()
	} else {
		delete(w.outAt, az)
	}
}

// setLoss sets the share of messages that are lost.
func (w *world) setLoss(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss = share
}

// setHold sets how long every order is held up on its way.
func (w *world) setHold(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hold = d
}

// passes reports whether a message to or from a worker arrives, after a delay.
func (w *world) passes(worker string) bool {
	w.mu.Lock()
	lost := w.cut[worker] || w.rand.Float64() < w.loss
	delay := time.Duration(w.rand.Int64N(int64(20 * time.Millisecond)))
	if w.rand.Float64() < w.loss {
		delay = time.Duration(w.rand.Int64N(int64(5 * time.Second))) // late
	}
	w.mu.Unlock()
	time.Sleep(delay)
	return !lost
}

// announcer carries announcements to whoever leads.
type announcer struct {
	w    *world
	name string
}

// Announce implements emulator.Announcer.
func (a *announcer) Announce(ctx context.Context, an *carobrock.Announcement) (*carobrock.Renewal, error) {
	if !a.w.passes(a.name) {
		<-ctx.Done()
		return nil, errLost
	}
	a.w.mu.Lock()
	n := a.w.leader
	a.w.mu.Unlock()
	if n < 0 {
		return nil, carobrock.ErrNotDone
	}
	renewal, err := a.w.leads[n].scheduler.Announce(ctx, an)
	if !a.w.passes(a.name) {
		<-ctx.Done()
		return nil, errLost
	}
	return renewal, err
}

// worker returns the incarnation that listens on address.
func (w *world) worker(address string) *emulator.Worker {
	for _, e := range w.all() {
		if e.Address == address {
			return e
		}
	}
	return nil
}

// order carries an order to a worker; it may be lost, late or doubled, and the
// answer may be lost.
func (c *candidate) order(ctx context.Context, address string, do func(e *emulator.Worker) error) error {
	e := c.w.worker(address)
	if e == nil || !c.w.passes(e.Name) {
		<-ctx.Done()
		return errLost
	}
	c.w.mu.Lock()
	hold := c.w.hold
	c.w.mu.Unlock()
	time.Sleep(hold)
	for e.Faults.Frozen.Load() && c.w.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond) // it is read when the worker wakes
	}
	err := do(e)
	c.w.mu.Lock()
	doubled := c.w.rand.Float64() < c.w.loss
	c.w.mu.Unlock()
	if doubled {
		time.Sleep(time.Second)
		_ = do(e)
	}
	return err
}

// Start, Checkpoint and Stop implement scheduler.Orders.
func (c *candidate) Start(ctx context.Context, address string, o *carobrock.StartOrder) error {
	return c.order(ctx, address, func(e *emulator.Worker) error { return e.Begin(o) })
}

func (c *candidate) Checkpoint(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return c.order(ctx, address, func(e *emulator.Worker) error { return e.Save(ref) })
}

func (c *candidate) Stop(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return c.order(ctx, address, func(e *emulator.Worker) error { return e.End(ref) })
}

// watch checks the workers every 10 ms of virtual time: no task makes progress
// in two places, no VM runs more than its capacity, and nothing begins in a zone
// more than 3 s after it was taken out.
func (w *world) watch(until func() bool, limit time.Duration) {
	w.t.Helper()
	for start := time.Now(); time.Since(start) < limit; time.Sleep(10 * time.Millisecond) {
		w.checkOnce()
		if until() || w.t.Failed() {
			return
		}
	}
	w.t.Errorf("not done after %v", limit)
}

func (w *world) checkOnce() {
	at := map[string]string{}
	for _, e := range w.all() {
		key := e.Address
		last := w.lastProgress[key]
		now := map[carobrock.AttemptRef]time.Duration{}
		used := carobrock.Capacity{}
		for _, a := range e.Attempts() {
			now[a.AttemptRef] = a.Progress
			if a.State == carobrock.ReportRunning {
				t, _ := w.keeper.Task(a.ID)
				used = used.Add(t.Size)
			}
			w.checkZone(e, &a)
			if before, ok := last[a.AttemptRef]; !ok || before == a.Progress {
				continue
			}
			if other := at[a.ID]; other != "" {
				w.t.Errorf("%v: task %s makes progress on %s and %s", time.Now().Format("15:04:05.000"), a.ID, other, key)
			}
			at[a.ID] = key
		}
		if !e.Faults.Frozen.Load() && !used.Fits(e.Capacity) {
			w.t.Errorf("%s runs %+v of %+v", key, used, e.Capacity)
		}
		w.lastProgress[key] = now
	}
}

func (w *world) checkZone(e *emulator.Worker, a *emulator.AttemptState) {
	w.mu.Lock()
	out, ok := w.outAt[e.AvailabilityZone]
	w.mu.Unlock()
	if late := a.Began.Sub(out); ok && late > 3*time.Second {
		w.t.Errorf("attempt %v began in %s %v after the zone was taken out", a.AttemptRef, e.AvailabilityZone, late)
	}
}

// allIn reports whether every task is in one of the states.
func (w *world) allIn(states ...carobrock.TaskState) func() bool {
	return func() bool {
		others := w.keeper.Tasks(func(t *carobrock.Task) bool {
			for _, s := range states {
				if t.State == s {
					return false
				}
			}
			return true
		})
		return len(others) == 0
	}
}
