package dispatcher_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/dispatcher"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/sleeper"
)

// slowPeriod is the period of heartbeats at a leader under load.
const slowPeriod = 900 * time.Millisecond

// pauseAfterEnd is the longest time from the end of a run, or from the response to
// the heartbeat before it, to the heartbeat that lists the end.
const pauseAfterEnd = 50 * time.Millisecond

// forwardingNode is an RPCClient that delivers calls to the dispatcher after a
// delay.
type forwardingNode struct {
	d     *dispatcher.Dispatcher
	delay time.Duration
}

func (n forwardingNode) Call(ctx context.Context, _, method string, body []byte) ([]byte, error) {
	if err := sleeper.Sleep(ctx, n.delay); err != nil {
		return nil, err
	}
	return locator.Handlers(n.d)[method](ctx, body)
}

// controlThrough returns the JobControl of a process without a replica that
// forwards its calls with the given delay.
func (h *harness) controlThrough(delay time.Duration) carobrock.JobControl {
	l := &locator.Locator{RPCClient: forwardingNode{d: h.d, delay: delay}, Logger: zerolog.Nop()}
	l.SetSeeds([]string{"leader"})
	return l
}

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

// Guards against losing the end of a run that is on its way when the leader learns
// that the worker is gone.
func TestTaskRanAgainAfterItsWorkerLeft(t *testing.T) {
	leave := func(h *harness) { h.must(h.d.RemoveWorker(context.Background(), "a")) }
	restart := func(h *harness) {
		v := h.newWorker("a", 4)
		v.report.Started = 2
		v.sendHeartbeatsFor(80 * time.Millisecond)
	}
	replace := func(h *harness) {
		v := h.newWorker("c", 4)
		v.report.Started, v.report.Machine = 2, "m-a"
		v.sendHeartbeatsFor(80 * time.Millisecond)
	}
	for _, test := range []struct {
		name string
		// event ends the worker incarnation after eventAfter.
		event      func(h *harness)
		eventAfter time.Duration
		// heartbeatDelay is the time that the last heartbeat takes to the leader,
		// commitDelay is added to the next commit.
		heartbeatDelay, commitDelay time.Duration
		// forwarded is set if another process forwards the heartbeat.
		forwarded bool
		// callerLeavesAfter is when the caller of the heartbeat gives up, if not zero.
		callerLeavesAfter time.Duration
	}{
		{name: "removal after the commit", event: leave, eventAfter: 100 * time.Millisecond},
		{name: "removal during the commit", event: leave, eventAfter: 5 * time.Millisecond},
		{name: "removal during a long commit", event: leave, eventAfter: 5 * time.Millisecond, commitDelay: 800 * time.Millisecond},
		{name: "removal during a longer commit", event: leave, eventAfter: 5 * time.Millisecond, commitDelay: 2 * time.Second},
		{name: "caller leaves during the commit", event: leave, eventAfter: 5 * time.Millisecond, commitDelay: 300 * time.Millisecond, callerLeavesAfter: 6 * time.Millisecond},
		{name: "restart during the commit", event: restart, eventAfter: 5 * time.Millisecond, commitDelay: 800 * time.Millisecond},
		{name: "newer worker during the commit", event: replace, eventAfter: 5 * time.Millisecond, commitDelay: 800 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newLeavingWorker("job")
				a.endRun(a.report.Running[0].Run, carobrock.EndSucceeded)
				r := a.nextReport()
				calls := conc.NewWaitGroup()
				if test.commitDelay > 0 {
					// The commit of another command holds up that of the end.
					h.log.delayNextCommit(test.commitDelay)
					calls.Go(func() { h.cancelJob("other") })
					time.Sleep(time.Millisecond)
				}
				calls.Go(func() {
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if test.callerLeavesAfter > 0 {
						defer time.AfterFunc(test.callerLeavesAfter, cancel).Stop()
					}
					if test.forwarded {
						_, _ = h.controlThrough(test.heartbeatDelay).Heartbeat(ctx, r)
						return
					}
					time.Sleep(test.heartbeatDelay)
					_, _ = h.d.Heartbeat(ctx, r)
				})
				calls.Go(func() {
					time.Sleep(test.eventAfter)
					test.event(h)
				})
				b.sendHeartbeatsFor(8 * time.Second)
				calls.Wait()
				if got := b.runNames(); len(got) > 0 || h.jobState("job") != carobrock.JobSucceeded {
					t.Errorf("runs %v on the other worker and job state %q, want none and %q", got, h.jobState("job"), carobrock.JobSucceeded)
				}
			})
		})
	}
}
