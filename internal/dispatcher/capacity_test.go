package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// sizedStep returns a step of n tasks of the given number of cores.
func sizedStep(n int, cores int64) carobrock.Step {
	return carobrock.Step{Count: n, Size: carobrock.Capacity{MilliCPU: cores * 1000, MemoryMB: 100}}
}

// dropResponse sends a heartbeat and drops the response.
func (v *fakeWorker) dropResponse() *carobrock.HeartbeatResponse {
	v.h.t.Helper()
	v.report.Sequence++
	r := v.report
	response, err := v.h.d.Heartbeat(context.Background(), &r)
	v.h.must(err)
	return response
}

func TestStartOnShrunkWorkerIsWithdrawn(t *testing.T) {
	for _, test := range []struct {
		name string
		step carobrock.Step
		// prepare runs after the task was assigned to a, and before a reports less
		// capacity.
		prepare func(h *harness, a *fakeWorker)
		// wait is the time before the withdrawal.
		wait time.Duration
	}{
		{name: "before the start order", step: sizedStep(1, 3), prepare: func(*harness, *fakeWorker) {}},
		{name: "response with the start order lost", step: sizedStep(1, 3), prepare: func(h *harness, a *fakeWorker) {
			if n := len(a.dropResponse().Start); n != 1 {
				h.t.Errorf("%d start orders in the lost response, want 1", n)
			}
		}},
		{name: "new leader", step: sizedStep(1, 3), prepare: func(h *harness, _ *fakeWorker) {
			h.log.setTerm(2)
			_ = h.jobState("job")
		}, wait: leaseWithMargins},
		{
			name: "memory of a filler", prepare: func(*harness, *fakeWorker) {},
			step: carobrock.Step{Count: 1, Filler: true, Image: "heavy", Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: 2000}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newWorker("a", 4), h.newWorker("b", 4)
				h.must(a.sendHeartbeat())
				h.submitJob("job", test.step)
				time.Sleep(100 * time.Millisecond)
				test.prepare(h, a)
				a.report.Capacity = carobrock.Capacity{MilliCPU: 2000, MemoryMB: 1000}
				for until := time.Now().Add(test.wait); time.Now().Before(until); {
					if started := h.sendHeartbeats(1, a, b); len(started) > 0 {
						t.Fatalf("runs %v started before the leases of the earlier leader expired", started)
					}
				}
				started := h.sendHeartbeats(20, a, b)
				if diff := cmp.Diff(map[string]bool{"job.0#2": true}, started); diff != "" {
					t.Errorf("started runs (-want +got):\n%s", diff)
				}
				if len(a.runNames()) > 0 {
					t.Errorf("runs %v on the worker that has shrunk", a.runNames())
				}
			})
		})
	}
}

// Of several runs that wait for their start, as many are started as fit.
func TestShrunkWorkerStartsOnlyRunsThatFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(4))
		time.Sleep(100 * time.Millisecond)
		a.report.Capacity.MilliCPU = 3000
		a.sendHeartbeatsFor(time.Second)
		if got := len(a.runNames()); got != 3 {
			t.Errorf("%d runs on a worker of three cores, want 3: %v", got, a.runNames())
		}
	})
}

func TestShrunkWorkerGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(4))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		filler := carobrock.Step{Count: 1, Filler: true, Image: "light", Size: carobrock.Capacity{MilliCPU: 100, MemoryMB: 100}}
		h.submitJob("assigned", filler)
		time.Sleep(100 * time.Millisecond) // the filler is assigned, but not started yet
		a.report.Capacity.MilliCPU = 2000
		h.submitJob("waiting", filler)
		a.sendHeartbeatsFor(time.Second)
		if diff := cmp.Diff([]string{"job.0#1", "job.1#1", "job.2#1", "job.3#1"}, a.runNames(), ignoreOrder); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

func TestRunsBeingStoppedCountAgainstCapacity(t *testing.T) {
	for _, test := range []struct {
		name string
		// release makes the run of job "old" on the worker inactive.
		release func(h *harness, a *fakeWorker)
	}{
		{name: "cancelled job", release: func(h *harness, _ *fakeWorker) { h.cancelJob("old") }},
		{name: "lost worker that returns", release: func(_ *harness, _ *fakeWorker) { time.Sleep(leaseWithMargins + 200*time.Millisecond) }},
		{name: "lost worker that returns after the job was cancelled", release: func(h *harness, _ *fakeWorker) {
			time.Sleep(leaseWithMargins + 200*time.Millisecond)
			h.cancelJob("old")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a := h.newWorker("a", 4)
				h.must(a.sendHeartbeat())
				h.submitJob("old", sizedStep(1, 3))
				a.sendHeartbeatsFor(300 * time.Millisecond)
				test.release(h, a)
				h.submitJob("new", sizedStep(1, 2))
				for range 10 {
					time.Sleep(40 * time.Millisecond)
					if response := a.dropResponse(); len(response.Start) > 0 {
						t.Fatalf("start of %v beside a run of three of the four cores that is being stopped", response.Start[0].Run)
					}
				}
				a.endRun(a.report.Running[0].Run, carobrock.EndStopped)
				a.sendHeartbeatsFor(time.Second)
				if len(a.runNames()) == 0 {
					t.Error("nothing was started after the end of the run was reported")
				}
			})
		})
	}
}

func TestGrownWorkerIsUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 2)
		h.must(a.sendHeartbeat())
		h.submitJob("job", sizedStep(1, 3))
		h.submitJob("filler", carobrock.Step{Count: 1, Filler: true, Image: "light", Size: carobrock.Capacity{MilliCPU: 100, MemoryMB: 70000}})
		a.sendHeartbeatsFor(time.Second)
		if len(a.runNames()) > 0 {
			t.Fatalf("runs %v on a worker that is too small", a.runNames())
		}
		a.report.Capacity = carobrock.Capacity{MilliCPU: 4000, MemoryMB: 128000}
		a.sendHeartbeatsFor(300 * time.Millisecond)
		if diff := cmp.Diff([]string{"filler.0#1", "job.0#1"}, a.runNames(), ignoreOrder); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

const (
	capacitySeeds    = 8
	capacityDuration = 40 * time.Second
	// maxStopTime is the maximum time that an unguarded worker takes to stop a run.
	maxStopTime = 900 * time.Millisecond
)

// holders counts the runs of each task on all workers.
type holders struct {
	mu     sync.Mutex
	counts map[carobrock.TaskRef]int
}

// add adds n to the count of a task and returns the new count.
func (h *holders) add(task carobrock.TaskRef, n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[task] += n
	return h.counts[task]
}

// unguardedWorker simulates a worker that starts whatever it is told to start, whose
// capacity changes at random. It loses responses and is silent now and then.
type unguardedWorker struct {
	*fakeWorker
	rand *rand.Rand
	// steps holds the steps of all jobs. It does not change.
	steps map[string]carobrock.Step
	// holders is shared by all workers.
	holders *holders
	// stopsAt holds when each run that is being stopped ends, endsAt when the others
	// end by themselves.
	stopsAt, endsAt map[carobrock.Run]time.Time
	leaseEnd        time.Time
	fencingToken    uint64
	starts, stops   int
}

// committed returns what the running runs take up, those that are being stopped
// included.
func (v *unguardedWorker) committed() (cpu, memory, accelerators int64) {
	for _, x := range v.report.Running {
		step := v.steps[x.Task.Job]
		if !step.Filler {
			cpu += step.Size.MilliCPU
		}
		memory += step.Size.MemoryMB
		accelerators += step.Size.Accelerators
	}
	return cpu, memory, accelerators
}

// finish ends a run.
func (v *unguardedWorker) finish(run carobrock.Run, kind carobrock.EndKind) {
	v.holders.add(run.Task, -1)
	v.endRun(run, kind)
}

// endDueRuns ends the runs whose time has come or whose lease has expired.
func (v *unguardedWorker) endDueRuns() {
	now := time.Now()
	for i := len(v.report.Running) - 1; i >= 0; i-- {
		x := &v.report.Running[i]
		stopsAt, isStopping := v.stopsAt[x.Run]
		switch {
		case now.After(v.leaseEnd):
			v.finish(x.Run, carobrock.EndLeaseExpired)
		case isStopping && now.After(stopsAt):
			v.finish(x.Run, carobrock.EndStopped)
		case isService(x.Run):
			x.Percent, x.TailMillis = 100, 30
		case !isStopping && now.After(v.endsAt[x.Run]):
			v.finish(x.Run, carobrock.EndSucceeded)
		default:
			x.Percent = min(99, x.Percent+1)
		}
	}
}

// carryOut carries out the orders in a response and checks each start against the
// capacity in the heartbeat that it answers.
func (v *unguardedWorker) carryOut(response *carobrock.HeartbeatResponse, reported carobrock.Capacity, sentAt time.Time) {
	if response.FencingToken < v.fencingToken {
		return
	}
	v.fencingToken = response.FencingToken
	for len(v.report.Ends) > 0 && v.report.Ends[0].Number <= response.AckedThrough {
		v.report.Ends = v.report.Ends[1:]
	}
	if end := sentAt.Add(time.Duration(response.LeaseMillis) * time.Millisecond); end.After(v.leaseEnd) {
		v.leaseEnd = end
	}
	for _, s := range response.Start {
		v.starts++
		v.report.Running = append(v.report.Running, carobrock.RunReport{Run: s.Run})
		if n := v.holders.add(s.Task, 1); n > 1 {
			v.h.t.Errorf("start of %v on worker %s: %d runs of the task at the same time", s.Run, v.report.Name, n)
		}
		v.endsAt[s.Run] = time.Now().Add(time.Duration(500+v.rand.IntN(6000)) * time.Millisecond)
		if cpu, memory, accelerators := v.committed(); cpu > reported.MilliCPU || memory > reported.MemoryMB || accelerators > reported.Accelerators {
			v.h.t.Errorf("start of %v brings worker %s to %d, %d, %d of %+v", s.Run, v.report.Name, cpu, memory, accelerators, reported)
		}
	}
	for _, run := range response.Stop {
		if _, ok := v.stopsAt[run]; !ok {
			v.stops++
			v.stopsAt[run] = time.Now().Add(time.Duration(v.rand.Int64N(int64(maxStopTime))))
		}
	}
}

// run sends heartbeats until ctx ends.
func (v *unguardedWorker) run(ctx context.Context) {
	for ctx.Err() == nil {
		v.endDueRuns()
		if v.rand.IntN(15) == 0 {
			v.report.Capacity = carobrock.Capacity{MilliCPU: 1000 * v.rand.Int64N(9), MemoryMB: 1000 * v.rand.Int64N(9), Accelerators: v.rand.Int64N(3)}
		}
		v.report.Sequence++
		r, sentAt := v.report, time.Now()
		r.Running = append([]carobrock.RunReport(nil), v.report.Running...)
		r.Ends = append([]carobrock.RunEnd(nil), v.report.Ends...)
		response, err := v.h.d.Heartbeat(ctx, &r)
		isLost := v.rand.IntN(8) == 0
		v.endDueRuns()
		if err == nil && !isLost {
			v.carryOut(response, r.Capacity, sentAt)
		}
		if v.rand.IntN(300) == 0 {
			silentUntil := time.Now().Add(testLease + time.Duration(v.rand.Int64N(int64(2*time.Second))))
			time.Sleep(time.Until(v.leaseEnd) + time.Millisecond)
			v.endDueRuns()
			time.Sleep(time.Until(silentUntil))
		}
		time.Sleep(time.Duration(20+v.rand.IntN(130)) * time.Millisecond)
	}
}

// randomStep returns a step of a random kind and size.
func randomStep(rnd *rand.Rand) carobrock.Step {
	step := carobrock.Step{
		Count: 1 + rnd.IntN(4), EstimateMillis: 2000,
		Size: carobrock.Capacity{MilliCPU: 500 * (1 + rnd.Int64N(5)), MemoryMB: 500 * rnd.Int64N(5), Accelerators: rnd.Int64N(12) / 11},
	}
	switch rnd.IntN(4) {
	case 0:
		step.Filler, step.Image, step.Checkpoints = true, "light", rnd.IntN(2) == 0
	case 1:
		step.Gang = true
	}
	return step
}

func TestNoStartExceedsReportedCapacity(t *testing.T) {
	for seed := range uint64(capacitySeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { checkStarts(t, seed) }) })
	}
}

func checkStarts(t *testing.T, seed uint64) {
	h := newHarness(t)
	defer h.stop()
	rnd := rand.New(rand.NewPCG(seed, 0))
	steps := map[string]carobrock.Step{}
	var ids []string
	for i := range 400 {
		id := fmt.Sprint("j", i)
		steps[id] = randomStep(rnd)
		if i%20 == 0 {
			id = fmt.Sprint("s", i)
			steps[id] = carobrock.Step{Count: 2, Service: true, Image: "svc", TailTargetMillis: targetMillis, MaxUnavailable: 1, Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: 500}}
		}
		ids = append(ids, id)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	running := &holders{counts: map[carobrock.TaskRef]int{}}
	var fleet []*unguardedWorker
	for i := range 4 {
		v := &unguardedWorker{
			fakeWorker: h.newWorker(fmt.Sprint("w", i), 8), rand: rand.New(rand.NewPCG(seed, uint64(i+1))), steps: steps,
			holders: running, stopsAt: map[carobrock.Run]time.Time{}, endsAt: map[carobrock.Run]time.Time{},
		}
		fleet = append(fleet, v)
		group.Go(func() { v.run(ctx) })
	}
	began, submitted := time.Now(), 0
	for term := uint64(1); time.Since(began) < capacityDuration; time.Sleep(100 * time.Millisecond) {
		if rnd.IntN(3) == 0 && submitted < len(ids) {
			h.submitJob(ids[submitted], steps[ids[submitted]])
			submitted++
		}
		if rnd.IntN(10) == 0 && submitted > 0 {
			h.cancelJob(ids[rnd.IntN(submitted)])
		}
		if rnd.IntN(40) == 0 {
			term++
			h.log.setTerm(term)
		}
		h.must(h.d.CheckViews())
	}
	cancel()
	group.Wait()
	starts, stops := 0, 0
	for _, v := range fleet {
		starts += v.starts
		stops += v.stops
	}
	t.Logf("%d jobs, %d starts, %d stops", submitted, starts, stops)
	if starts < submitted {
		t.Errorf("%d starts for %d jobs", starts, submitted)
	}
}

func TestShrunkWorkerIsBroughtDownToItsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(4))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		a.report.Capacity.MilliCPU = 2000
		started := h.sendHeartbeats(50, a, b)
		if len(a.runNames()) != 2 || len(b.runNames()) != 2 || len(started) != 6 {
			t.Errorf("runs %v on the worker that has shrunk to two cores, %v on the other; started in all: %v", a.runNames(), b.runNames(), started)
		}
	})
}

func TestShortDipOfCapacityEvictsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(4))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		for range 4 {
			a.report.Capacity.MilliCPU = 1000
			a.sendHeartbeatsFor(1500 * time.Millisecond)
			a.report.Capacity.MilliCPU = 4000
			a.sendHeartbeatsFor(300 * time.Millisecond)
		}
		if diff := cmp.Diff([]string{"job.0#1", "job.1#1", "job.2#1", "job.3#1"}, a.runNames(), ignoreOrder); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

// Services are evicted one at a time, as their step allows: the next one only after
// the one before it serves elsewhere.
func TestEvictionForCapacityRespectsMaxUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		a.isStalled, b.isStalled = true, true
		h.must(a.sendHeartbeat())
		h.submitJob("svc", carobrock.Step{Count: 3, Service: true, Image: "svc", TailTargetMillis: targetMillis, MaxUnavailable: 1, Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: 100}})
		a.sendHeartbeatsFor(300 * time.Millisecond)
		if len(a.runNames()) != 3 {
			t.Fatalf("runs %v, want 3", a.runNames())
		}
		sendHeartbeats := func(d time.Duration, workers ...*fakeWorker) {
			for until := time.Now().Add(d); time.Now().Before(until); {
				serving := 0
				for _, v := range workers {
					for i := range v.report.Running {
						v.report.Running[i].Percent, v.report.Running[i].TailMillis = 100, 30
						serving++
					}
				}
				if serving < 2 {
					t.Fatalf("%d of 3 tasks serve", serving)
				}
				h.sendHeartbeats(1, workers...)
			}
		}
		sendHeartbeats(300*time.Millisecond, a)
		a.report.Capacity.MilliCPU = 1000
		sendHeartbeats(5*time.Second, a)
		if got := len(a.runNames()); got != 2 {
			t.Errorf("%d tasks remain while the first has no other worker, want 2", got)
		}
		sendHeartbeats(5*time.Second, a, b)
		if len(a.runNames()) != 1 || len(b.runNames()) != 2 {
			t.Errorf("runs %v on the worker that has shrunk to one core, %v on the other", a.runNames(), b.runNames())
		}
	})
}
