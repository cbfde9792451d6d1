package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

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
		}},
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
