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

var errLost = errors.New("message lost")

// cluster is a control group with two candidate leaders, workers and the
// network between them, in one synctest bubble. Both candidates share one
// keeper as the replicated state; a candidate that does not lead cannot commit.
type cluster struct {
	t      *testing.T
	keeper *keeper.Keeper

	mu           sync.Mutex
	rand         *rand.Rand
	lastIndex    uint64
	leader       int // index of the leading candidate; -1: none
	term         uint64
	candidates   []*candidate
	workers      []*emulator.Worker
	partitioned  map[string]bool // workers cut off from the network, by name
	lossRate     float64         // share of requests and announcements that are lost
	requestDelay time.Duration   // delay of every request to a worker
	// capacities holds the capacity that a worker announces instead of its own, by name.
	capacities map[string]carobrock.Capacity
	goroutines *conc.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc

	lastProgress map[string]map[carobrock.AttemptRef]time.Duration // by worker address
	zoneOutSince map[string]time.Time                              // when zones were taken out of service
}

// candidate is a replica that can become the leader.
type candidate struct {
	cluster   *cluster
	index     int
	scheduler *scheduler.Scheduler
}

const (
	leaderLease      = 600 * time.Millisecond
	testKeyRetention = 20 * time.Minute
)

func (c *candidate) Term() (uint64, bool) {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	return c.cluster.term, c.cluster.leader == c.index
}

func (c *candidate) RemainingLease() time.Duration {
	if _, ok := c.Term(); ok {
		return leaderLease
	}
	return 0
}

// Propose commits a command if the candidate leads. With probability
// lossRate, the reply is lost after the commit.
func (c *candidate) Propose(_ context.Context, cmd *carobrock.Command) (*carobrock.Result, error) {
	time.Sleep(2 * time.Millisecond)
	data, err := cmd.Encode()
	if err != nil {
		return nil, err
	}
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	if c.cluster.leader != c.index {
		return nil, carobrock.ErrNotApplied
	}
	c.cluster.lastIndex++
	res := c.cluster.keeper.Apply(c.cluster.lastIndex, data).(*carobrock.Result)
	if c.cluster.rand.Float64() < c.cluster.lossRate {
		return nil, carobrock.ErrOutcomeUnknown
	}
	return res, nil
}

func newCluster(t *testing.T, seed uint64, workers int) *cluster {
	return newClusterWith(t, seed, workers, placer.FirstFit{}, nil)
}

// newClusterWith is newCluster with a placer and with services on every worker.
func newClusterWith(t *testing.T, seed uint64, workers int, taskPlacer carobrock.Placer, services []carobrock.Service) *cluster {
	cl := &cluster{
		t: t, keeper: &keeper.Keeper{}, rand: rand.New(rand.NewPCG(seed, seed)), leader: -1, partitioned: map[string]bool{}, capacities: map[string]carobrock.Capacity{},
		goroutines: conc.NewWaitGroup(), lastProgress: map[string]map[carobrock.AttemptRef]time.Duration{}, zoneOutSince: map[string]time.Time{},
	}
	cl.keeper.Prepare()
	cl.ctx, cl.stop = context.WithCancel(context.Background())
	for i := range 2 {
		c := &candidate{cluster: cl, index: i}
		c.scheduler = &scheduler.Scheduler{
			Keeper: cl.keeper, Leadership: c, Proposer: c, Placer: taskPlacer, WorkerClient: c, Logger: zerolog.Nop(),
			KeyRetention: testKeyRetention,
		}
		c.scheduler.Prepare()
		cl.candidates = append(cl.candidates, c)
		cl.goroutines.Go(func() { _ = c.scheduler.Run(cl.ctx) })
	}
	cl.electLeader(0)
	cl.mustPropose(&carobrock.Command{PutTable: &carobrock.PutTable{Table: carobrock.TablePools, Pools: []carobrock.Pool{{Name: "p"}}}})
	for i := range workers {
		cl.addWorkerWith(i, 0, services)
	}
	return cl
}

// addWorker starts an incarnation of a worker.
func (cl *cluster) addWorker(i, incarnation int) { cl.addWorkerWith(i, incarnation, nil) }

// addWorkerWith is addWorker for a worker that runs services.
func (cl *cluster) addWorkerWith(i, incarnation int, services []carobrock.Service) {
	name := fmt.Sprint("w", i)
	w := &emulator.Worker{
		Worker: carobrock.Worker{
			Name: name, VM: "vm-" + name, Incarnation: fmt.Sprint("i", incarnation), AvailabilityZone: fmt.Sprint("az", i%3),
			Address: fmt.Sprint(name, "/", incarnation), Capacity: carobrock.Capacity{MilliCPU: 4000, MemoryMB: 4000}, Services: services,
		},
		Announcer: &announcer{cluster: cl, name: name}, Logger: zerolog.Nop(),
	}
	w.Prepare()
	cl.mu.Lock()
	cl.workers = append(cl.workers, w)
	cl.mu.Unlock()
	cl.goroutines.Go(func() { _ = w.Run(cl.ctx) })
}

// close stops all workers and schedulers and waits for them.
func (cl *cluster) close() {
	for _, w := range cl.allWorkers() {
		w.Faults.Suspended.Store(false)
	}
	cl.stop()
	cl.goroutines.Wait()
}

func (cl *cluster) allWorkers() []*emulator.Worker {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]*emulator.Worker(nil), cl.workers...)
}

// electLeader makes candidate n the leader, after a period without one.
func (cl *cluster) electLeader(n int) {
	cl.mu.Lock()
	cl.leader = -1
	cl.mu.Unlock()
	time.Sleep(leaderLease)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.term++
	cl.leader = n
}

// mustPropose commits an operator's command and fails the test if it is
// rejected.
func (cl *cluster) mustPropose(cmd *carobrock.Command) {
	cl.t.Helper()
	data, err := cmd.Encode()
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.lastIndex++
	if res := cl.keeper.Apply(cl.lastIndex, data).(*carobrock.Result); res.Code != "" {
		cl.t.Fatal(res.Text)
	}
}

func (cl *cluster) submitTasks(n int, spec carobrock.TaskSpec) {
	for i := range n {
		s := spec
		s.ID, s.Pool = fmt.Sprint(spec.ID, i), "p"
		cl.mustPropose(&carobrock.Command{SubmitTask: &carobrock.SubmitTask{Spec: s}})
	}
}

func (cl *cluster) setZone(az string, outOfService bool) {
	cl.mustPropose(&carobrock.Command{PutZone: &carobrock.PutZone{Name: az, OutOfService: outOfService}})
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if outOfService {
		cl.zoneOutSince[az] = time.Now()
	} else {
		delete(cl.zoneOutSince, az)
	}
}

// setLossRate sets the share of messages that are lost.
func (cl *cluster) setLossRate(share float64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.lossRate = share
}

// setRequestDelay sets the delay of every request to a worker.
func (cl *cluster) setRequestDelay(d time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.requestDelay = d
}

// setCapacity changes the capacity that a worker announces.
func (cl *cluster) setCapacity(worker string, c carobrock.Capacity) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.capacities[worker] = c
}

// simulateTransit delays a message to or from a worker and reports whether it
// arrives.
func (cl *cluster) simulateTransit(worker string) bool {
	cl.mu.Lock()
	lost := cl.partitioned[worker] || cl.rand.Float64() < cl.lossRate
	delay := time.Duration(cl.rand.Int64N(int64(20 * time.Millisecond)))
	if cl.rand.Float64() < cl.lossRate {
		delay = time.Duration(cl.rand.Int64N(int64(5 * time.Second)))
	}
	cl.mu.Unlock()
	time.Sleep(delay)
	return !lost
}

// announcer delivers announcements to the current leader.
type announcer struct {
	cluster *cluster
	name    string
}

// Announce implements emulator.Announcer.
func (a *announcer) Announce(ctx context.Context, an *carobrock.Announcement) (*carobrock.Renewal, error) {
	if !a.cluster.simulateTransit(a.name) {
		<-ctx.Done()
		return nil, errLost
	}
	a.cluster.mu.Lock()
	n := a.cluster.leader
	announcement := *an
	if c, ok := a.cluster.capacities[a.name]; ok {
		announcement.Capacity = c
	}
	a.cluster.mu.Unlock()
	if n < 0 {
		return nil, carobrock.ErrNotApplied
	}
	renewal, err := a.cluster.candidates[n].scheduler.Announce(ctx, &announcement)
	if !a.cluster.simulateTransit(a.name) {
		<-ctx.Done()
		return nil, errLost
	}
	return renewal, err
}

// workerAt returns the incarnation that listens on address, or nil.
func (cl *cluster) workerAt(address string) *emulator.Worker {
	for _, w := range cl.allWorkers() {
		if w.Address == address {
			return w
		}
	}
	return nil
}

// deliverRequest delivers a request to a worker. The request may be lost,
// delayed or duplicated, and its reply may be lost.
func (c *candidate) deliverRequest(ctx context.Context, address string, deliver func(w *emulator.Worker) error) error {
	w := c.cluster.workerAt(address)
	if w == nil || !c.cluster.simulateTransit(w.Name) {
		<-ctx.Done()
		return errLost
	}
	c.cluster.mu.Lock()
	delay := c.cluster.requestDelay
	c.cluster.mu.Unlock()
	time.Sleep(delay)
	for w.Faults.Suspended.Load() && c.cluster.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond) // the worker reads the request when it resumes
	}
	err := deliver(w)
	c.cluster.mu.Lock()
	duplicated := c.cluster.rand.Float64() < c.cluster.lossRate
	c.cluster.mu.Unlock()
	if duplicated {
		time.Sleep(time.Second)
		_ = deliver(w)
	}
	return err
}

// Start, Checkpoint and Stop implement scheduler.WorkerClient.
func (c *candidate) Start(ctx context.Context, address string, request *carobrock.StartTaskRequest) error {
	return c.deliverRequest(ctx, address, func(w *emulator.Worker) error { return w.StartAttempt(request) })
}

func (c *candidate) Checkpoint(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return c.deliverRequest(ctx, address, func(w *emulator.Worker) error { return w.SaveCheckpoint(ref) })
}

func (c *candidate) Stop(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return c.deliverRequest(ctx, address, func(w *emulator.Worker) error { return w.StopAttempt(ref) })
}

// checkUntil checks the invariants every 10 ms of virtual time until the
// condition holds, and fails the test after limit. The invariants: no task
// makes progress on two workers, no VM runs more than its capacity, and no
// attempt starts in an availability zone more than 3 s after the zone was taken
// out of service.
func (cl *cluster) checkUntil(until func() bool, limit time.Duration) {
	cl.t.Helper()
	for start := time.Now(); time.Since(start) < limit; time.Sleep(10 * time.Millisecond) {
		cl.checkInvariants()
		if until() || cl.t.Failed() {
			return
		}
	}
	cl.t.Errorf("condition not met after %v", limit)
}

func (cl *cluster) checkInvariants() {
	progressOn := map[string]string{}
	for _, w := range cl.allWorkers() {
		address := w.Address
		lastProgress := cl.lastProgress[address]
		progress := map[carobrock.AttemptRef]time.Duration{}
		used := carobrock.Capacity{}
		for _, a := range w.Attempts() {
			progress[a.AttemptRef] = a.Progress
			if a.State == carobrock.ReportRunning {
				t, _ := cl.keeper.Task(a.ID)
				used = used.Add(t.Size)
			}
			cl.checkZoneOutage(w, &a)
			if previous, ok := lastProgress[a.AttemptRef]; !ok || previous == a.Progress {
				continue
			}
			if other := progressOn[a.ID]; other != "" {
				cl.t.Errorf("%v: task %s makes progress on %s and %s", time.Now().Format("15:04:05.000"), a.ID, other, address)
			}
			progressOn[a.ID] = address
		}
		if !w.Faults.Suspended.Load() && !used.Fits(w.Capacity) {
			cl.t.Errorf("%s runs %+v of %+v", address, used, w.Capacity)
		}
		cl.lastProgress[address] = progress
	}
}

func (cl *cluster) checkZoneOutage(w *emulator.Worker, a *emulator.AttemptState) {
	cl.mu.Lock()
	outSince, ok := cl.zoneOutSince[w.AvailabilityZone]
	cl.mu.Unlock()
	if delay := a.StartedAt.Sub(outSince); ok && delay > 3*time.Second {
		cl.t.Errorf("attempt %v started in %s %v after the zone was taken out of service", a.AttemptRef, w.AvailabilityZone, delay)
	}
}

// allTasksIn returns a condition that holds when every task is in one of the
// states.
func (cl *cluster) allTasksIn(states ...carobrock.TaskState) func() bool {
	return func() bool {
		others := cl.keeper.Tasks(func(t *carobrock.Task) bool {
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
