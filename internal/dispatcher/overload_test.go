package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// TestOverloadFinishesStartedJobs replays a time in which half as many filling jobs
// again arrive as the workers can run. The workers are busy all the time, so most of
// what they can finish should be finished on time: jobs that have started must not
// be delayed by ones that have just arrived.
func TestOverloadFinishesStartedJobs(t *testing.T) {
	const (
		workers     = 8
		slots       = 4 // fillers that fit into the memory of a worker
		tasksPerJob = 12
		overload    = 1.5
		duration    = 40 * time.Second
		stretch     = 2.0
		target      = time.Second
		objective   = target + time.Duration(stretch*float64(fillerRunTime))
		// minOnTime is the share of the finishable jobs that must end on time: the
		// rest of the capacity goes to jobs that turn out to be late.
		minOnTime = 0.6
	)
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		ctx, cancel := context.WithCancel(context.Background())
		h.must(h.d.Configure(ctx, &carobrock.Configuration{
			Version: 2, Pools: []carobrock.WorkerPool{{Name: "pool"}},
			Queues: []carobrock.Queue{{
				Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, TimeoutMillis: 1000, StretchFactor: stretch, TargetMillis: target.Milliseconds(),
			}},
		}))
		group := conc.NewWaitGroup()
		for i := range workers {
			v := h.newLoadWorker(i, 64)
			group.Go(func() { v.run(ctx) })
		}
		rnd := rand.New(rand.NewPCG(loadSeed, 1))
		jobsPerSecond := float64(workers*slots) / fillerRunTime.Seconds() / tasksPerJob
		submittedAt := map[string]time.Time{}
		onTime := 0
		const interval = 50 * time.Millisecond
		for began := time.Now(); time.Since(began) < duration; time.Sleep(interval) {
			for range poisson(rnd, overload*jobsPerSecond*interval.Seconds()) {
				step := fillerStep(tasksPerJob)
				step.EstimateMillis, step.Checkpoints, step.Size.MemoryMB = fillerRunTime.Milliseconds(), true, 64000/slots
				id := fmt.Sprint("f", len(submittedAt))
				submittedAt[id] = time.Now()
				h.submitJob(id, step)
			}
			for id, at := range submittedAt {
				if time.Since(at) > objective+interval || h.jobState(id) != carobrock.JobSucceeded {
					continue
				}
				onTime++
				submittedAt[id] = time.Time{} // counted
			}
		}
		cancel()
		group.Wait()
		finishable := jobsPerSecond * duration.Seconds()
		t.Logf("%d jobs submitted, %.0f can be finished, %d finished on time", len(submittedAt), finishable, onTime)
		if float64(onTime) < minOnTime*finishable {
			t.Errorf("%d jobs finished on time, want at least %.0f", onTime, minOnTime*finishable)
		}
	})
}
