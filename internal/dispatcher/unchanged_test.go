package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock"
)

// Guards against any change for deployments without accounts: gangs, fillers, services
// and other tasks of queues with priorities, more than the workers can run. The
// requests to the allocator are compared with those that are derived without anything
// that concerns accounts, also for jobs that were submitted when there were accounts.
func TestRequestsWithoutAccountsAreUnchanged(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRequestsWithoutAccounts(t, seed) })
		})
	}
}

func checkRequestsWithoutAccounts(t *testing.T, seed uint64) {
	h := newHarness(t)
	defer h.stop()
	h.must(h.d.Configure(context.Background(), &carobrock.Configuration{
		Version: 2, Pools: []carobrock.WorkerPool{{Name: "pool"}},
		Queues: []carobrock.Queue{
			{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, TimeoutMillis: 1000, Priority: 1, StretchFactor: 2, TargetMillis: 1000},
			{Name: "r", Host: "h", PathPrefix: "/r/", Pool: "pool", MaxAttempts: 3, TimeoutMillis: 1000, StretchFactor: 3},
		},
	}))
	rnd := rand.New(rand.NewPCG(seed, 5))
	workers := make([]*fakeWorker, 5)
	for i := range workers {
		workers[i] = h.newWorker(fmt.Sprint("w", i), 4+int64(i))
		workers[i].report.Rack = fmt.Sprint("r", i%2)
		h.must(workers[i].sendHeartbeat())
	}
	jobs, compared := 0, 0
	for range 240 {
		for range rnd.IntN(3) {
			step := carobrock.Step{
				Count: 1 + rnd.IntN(6), Size: carobrock.Capacity{MilliCPU: 500 * (1 + rnd.Int64N(5)), MemoryMB: 100 + rnd.Int64N(8000)}, EstimateMillis: 500 + rnd.Int64N(2000),
			}
			switch rnd.IntN(6) {
			case 0:
				step.Gang, step.SameRack = true, rnd.IntN(2) == 0
			case 1:
				step.Filler, step.Image, step.Checkpoints = true, "light", true
			case 2:
				step.Service, step.Count, step.MaxPerWorker = jobs < 20, 2, 1
			}
			key := []string{queueKey, "h/r/"}[rnd.IntN(2)]
			_, err := h.d.SubmitJob(context.Background(), &carobrock.JobSpec{ID: fmt.Sprint("j", jobs), Queue: key, Payload: "p", Account: []string{"", "x"}[rnd.IntN(2)], Steps: []carobrock.Step{step}})
			h.must(err)
			jobs++
		}
		time.Sleep(60 * time.Millisecond)
		n, err := h.d.CompareRequestsWithoutAccounts()
		h.must(err)
		compared += n
		for _, w := range workers {
			h.must(w.sendHeartbeat())
			for i := len(w.report.Running) - 1; i >= 0; i-- {
				run := w.report.Running[i].Run
				if !isService(run) && rnd.IntN(8) == 0 {
					w.endRun(run, carobrock.EndSucceeded)
				}
			}
		}
	}
	if compared < 300 {
		t.Errorf("%d requests compared, want more", compared)
	}
}
