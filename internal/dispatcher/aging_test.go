package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const (
	// agedShare is the share of the placed tasks that goes to the oldest waiting jobs, as
	// in docs/platform.md.
	agedShare = 1.0 / 32
	// usableShare is the part of the workers' memory that can be used although runs are
	// ordered with a delay and leave pieces that are too small.
	usableShare = 0.4
	// placementSlack covers the time until a job counts as too late, in which it isn't
	// aged, and the longest run.
	placementSlack = 30 * time.Second
)

// Invariant: a job's wait is bounded by the work that waited when it was accepted, and
// after the traffic has ended by the work that is left, however old the job is.
func TestWaitIsBoundedByWorkAheadNotByAge(t *testing.T) {
	for seed := uint64(1); seed < 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkWaits(t, seed) })
		})
	}
}

func checkWaits(t *testing.T, seed uint64) {
	const (
		workers  = 6
		memoryMB = 64000
		traffic  = 240 * time.Second
		interval = 250 * time.Millisecond
	)
	h := newHarness(t)
	defer h.stop()
	ctx, cancel := context.WithCancel(context.Background())
	h.must(h.d.Configure(ctx, &carobrock.Configuration{
		Version: 2, Pools: []carobrock.WorkerPool{{Name: "pool"}},
		Queues: []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, TimeoutMillis: 1000, StretchFactor: 2, TargetMillis: 1000}},
	}))
	group := conc.NewWaitGroup()
	defer group.Wait()
	defer cancel()
	for i := range workers {
		v := h.newLoadWorker(i, 64)
		group.Go(func() { v.run(ctx) })
	}
	rnd := rand.New(rand.NewPCG(seed, 41))
	overload := 1.3 + 0.7*rnd.Float64()
	capacity := float64(workers) * memoryMB // in MB, which is also the work a second
	drainTime := func() time.Duration {
		return time.Duration(h.waitingWork(nil) / (usableShare * capacity) * float64(time.Second))
	}
	latestStart := map[string]time.Time{}
	submitted, budget := 0, 0.0 // work that may be submitted
	began := time.Now()
	var ended, afterEnd time.Time // end of the traffic, latest start after it
	for ended.IsZero() || len(latestStart) > 0 {
		if time.Since(began) < traffic {
			for budget += overload * capacity * interval.Seconds() * rnd.ExpFloat64(); budget > 0; submitted++ {
				step := fillerStep(2 + rnd.IntN(12))
				step.Image, step.Checkpoints, step.EstimateMillis = fmt.Sprint("f", rnd.IntN(4)), true, fillerRunTime.Milliseconds()
				step.Size.MemoryMB = 3000 + rnd.Int64N(30000)
				id := fmt.Sprint("f", submitted)
				h.submitJob(id, step)
				latestStart[id] = time.Now().Add(placementSlack + time.Duration(float64(drainTime())/agedShare))
				budget -= float64(step.Count) * float64(step.Size.MemoryMB) * fillerRunTime.Seconds()
			}
		} else if ended.IsZero() {
			ended = time.Now()
			afterEnd = ended.Add(placementSlack + drainTime())
		}
		isWaiting := map[string]bool{}
		h.waitingWork(isWaiting)
		for id, latest := range latestStart {
			if !ended.IsZero() && latest.After(afterEnd) {
				latest = afterEnd
			}
			switch {
			case !isWaiting[id]:
				delete(latestStart, id)
			case time.Now().After(latest):
				t.Fatalf("job %s of %d has not started %.1f s after the start of the traffic; it had to after %.1f s", id, submitted, time.Since(began).Seconds(), latest.Sub(began).Seconds())
			}
		}
		time.Sleep(interval)
	}
}

// waitingWork returns the work of the waiting tasks in MB times seconds, and adds the
// jobs that have not started to pending unless that is nil.
func (h *harness) waitingWork(pending map[string]bool) (work float64) {
	h.stateMachine.View(func(s *bookkeeper.State) {
		for _, j := range s.Open {
			n := j.WaitingCount(j.Occurrence(0), 0)
			if !j.Touched.Has(0) && pending != nil {
				pending[j.Spec.ID] = true
			}
			work += float64(n) * float64(j.Spec.Steps[0].Size.MemoryMB) * fillerRunTime.Seconds()
		}
	})
	return work
}

// Guards against a filler that never starts because no worker can run it at full speed
// beside its services.
func TestOverdueFillerStartsAtReducedSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		v := h.newColocatedWorker("a", 16, 0.3)
		h.submitJob("s1", serviceStep())
		v.sendHeartbeatsFor(3 * time.Second)
		step := fillerStep(2)
		step.Size.MilliCPU, step.EstimateMillis = 5000, 1000
		h.submitJob("f1", step)
		for began := time.Now(); h.jobState("f1") == carobrock.JobPending; v.sendHeartbeatsFor(time.Second) {
			if time.Since(began) > placementSlack {
				t.Fatal("the filler has not started")
			}
		}
		v.sendHeartbeatsFor(20 * time.Second)
		if v.longestStreak > maxTimeOverTarget {
			t.Errorf("the service was over its target for %.1f s", v.longestStreak.Seconds())
		}
	})
}

// Guards against fillers that wait for a share of the placed tasks although the others of
// their kind cannot use the room: no worker with services can run them at full speed, and
// the only other worker has memory for small ones alone.
func TestFillersStartWhereOthersAreHeldBackByInterference(t *testing.T) {
	const (
		workers   = 40
		startTime = placementSlack
	)
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		ctx, cancel := context.WithCancel(context.Background())
		group := conc.NewWaitGroup()
		defer group.Wait()
		defer cancel()
		for i := range workers {
			v := h.newColocatedWorker(fmt.Sprint("a", i), 16, 0.3)
			service := serviceStep()
			service.MaxPerWorker, service.Size.MilliCPU = 1, 9000
			h.submitJob(fmt.Sprint("s", i), service)
			group.Go(func() {
				for ctx.Err() == nil {
					v.sendHeartbeatsFor(time.Second)
					for _, x := range slices.Clone(v.report.Running) {
						if !isService(x.Run) {
							v.endRun(x.Run, carobrock.EndSucceeded)
						}
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		small := h.newWorker("b", 16)
		small.report.Capacity.MemoryMB = 1000
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				step := fillerStep(1)
				step.Image, step.EstimateMillis = "light", 100
				h.submitJob(fmt.Sprint("g", i), step)
				small.sendHeartbeatsFor(200 * time.Millisecond)
				for len(small.report.Running) > 0 {
					small.endRun(small.report.Running[0].Run, carobrock.EndSucceeded)
				}
			}
		})
		time.Sleep(time.Second)
		for i := range workers {
			step := fillerStep(1)
			step.Size, step.EstimateMillis = carobrock.Capacity{MilliCPU: 5000, MemoryMB: 30_000}, 1000
			h.submitJob(fmt.Sprint("f", i), step)
		}
		time.Sleep(startTime)
		for i := range workers {
			if id := fmt.Sprint("f", i); h.jobState(id) == carobrock.JobPending {
				t.Errorf("%s has not started after %v", id, startTime)
			}
		}
	})
}
