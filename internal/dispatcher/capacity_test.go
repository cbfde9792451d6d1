package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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
