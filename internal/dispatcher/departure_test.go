package dispatcher_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// slowPeriod is the period of heartbeats at a leader under load.
const slowPeriod = 900 * time.Millisecond

// pauseAfterEnd is the longest time from the end of a run, or from the response to
// the heartbeat before it, to the heartbeat that lists the end.
const pauseAfterEnd = 50 * time.Millisecond

// newLeavingWorker returns a worker that is leaving while it runs the only task of
// a job, and another worker with room for that task.
func (h *harness) newLeavingWorker(job string) (leaving, other *fakeWorker) {
	h.t.Helper()
	leaving = h.newWorker("a", 4)
	h.must(leaving.sendHeartbeat())
	h.submitJob(job, oneCoreStep(1))
	leaving.sendHeartbeatsFor(300 * time.Millisecond)
	if len(leaving.runNames()) != 1 {
		h.t.Fatalf("runs %v, want one", leaving.runNames())
	}
	leaving.report.Leaving, leaving.report.RemainingMillis = true, 300
	h.must(leaving.sendHeartbeat())
	other = h.newWorker("b", 4)
	h.must(other.sendHeartbeat())
	return leaving, other
}

// nextReport returns the report of the worker's next heartbeat.
func (v *fakeWorker) nextReport() *carobrock.WorkerReport {
	v.report.Sequence++
	r := v.report
	r.Running, r.Ends = slices.Clone(r.Running), slices.Clone(r.Ends)
	return &r
}

// Guards against holding the response to a leaving worker: the worker listed the
// end of a run only after it, and left before that.
func TestTaskRanAgainBecauseALeavingWorkerWaitedForItsResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		// endAfter is the time from a heartbeat to the end of the run, leaveAfter the
		// time from the end to the removal.
		endAfter, leaveAfter time.Duration
	}{
		{"end right after the heartbeat", time.Millisecond, 60 * time.Millisecond},
		{"as on the day of the report", 30 * time.Millisecond, 220 * time.Millisecond},
		{"end long after the heartbeat", 200 * time.Millisecond, 60 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newLeavingWorker("job")
				h.d.SetPeriod(slowPeriod)
				calls := conc.NewWaitGroup()
				responded := make(chan struct{})
				first := a.nextReport()
				calls.Go(func() {
					defer close(responded)
					_, _ = h.d.Heartbeat(context.Background(), first)
				})
				time.Sleep(test.endAfter)
				a.endRun(a.report.Running[0].Run, carobrock.EndSucceeded)
				last, left := a.nextReport(), make(chan struct{})
				calls.Go(func() {
					<-responded
					select {
					case <-left:
					case <-time.After(pauseAfterEnd):
						_, _ = h.d.Heartbeat(context.Background(), last)
					}
				})
				time.Sleep(test.leaveAfter)
				close(left)
				h.must(h.d.RemoveWorker(context.Background(), "a"))
				b.sendHeartbeatsFor(3 * time.Second)
				calls.Wait()
				if got := b.runNames(); len(got) > 0 || h.jobState("job") != carobrock.JobSucceeded {
					t.Errorf("runs %v on the other worker and job state %q, want none and %q", got, h.jobState("job"), carobrock.JobSucceeded)
				}
			})
		})
	}
}
