package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// configurePools sets a configuration whose only queue uses the first of the pools.
func (h *harness) configurePools(version int64, pools ...string) {
	h.t.Helper()
	c := &carobrock.Configuration{Version: version}
	for _, name := range pools {
		c.Pools = append(c.Pools, carobrock.WorkerPool{Name: name})
	}
	c.Queues = []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: pools[0], MaxAttempts: 3, TimeoutMillis: 1000}}
	h.must(h.d.Configure(context.Background(), c))
}

// Guards against a heartbeat of a pool that is not configured that ends the worker
// on its machine, or of its name, for good.
func TestHeartbeatOfAnUnknownPoolEndsNoWorker(t *testing.T) {
	for _, test := range []struct {
		name string
		// change makes the foreign report from that of the worker.
		change func(r *carobrock.WorkerReport)
		// isNewTerm is set if a new leader gets the foreign heartbeat first.
		isNewTerm bool
		// isRemoved is set if the foreign sender's removal follows.
		isRemoved bool
	}{
		{name: "later start on the machine", change: func(r *carobrock.WorkerReport) { r.Name, r.Started = "foreign", 2 }},
		{name: "same start on the machine", change: func(r *carobrock.WorkerReport) { r.Name = "foreign" }},
		{name: "later start under the name", change: func(r *carobrock.WorkerReport) { r.Started = 2 }},
		{name: "later start under the name, other machine", change: func(r *carobrock.WorkerReport) { r.Started, r.Machine = 2, "m-x" }},
		{name: "same incarnation, later sequence", change: func(r *carobrock.WorkerReport) { r.Sequence = 1 << 40 }},
		{name: "same incarnation, leaving", change: func(r *carobrock.WorkerReport) { r.Sequence, r.Leaving = 1<<40, true }, isRemoved: true},
		{name: "new leader, machine", change: func(r *carobrock.WorkerReport) { r.Name, r.Started = "foreign", 2 }, isNewTerm: true},
		{name: "new leader, name", change: func(r *carobrock.WorkerReport) { r.Started = 2 }, isNewTerm: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a := h.newWorker("a", 4)
				h.must(a.sendHeartbeat())
				h.submitJob("before", oneCoreStep(1))
				a.sendHeartbeatsFor(300 * time.Millisecond)
				if test.isNewTerm {
					h.log.setTerm(2)
				}
				foreign := a.report
				foreign.Pool, foreign.Running = "metrics7", nil
				foreign.Ends = []carobrock.RunEnd{{Number: 9, Task: carobrock.TaskRef{Job: "before"}, Attempt: 1, Kind: carobrock.EndFailed}}
				test.change(&foreign)
				response, err := h.d.Heartbeat(context.Background(), &foreign)
				h.must(err)
				if response.LeaseMillis != 0 || response.NextAddress != "" || response.AckedThrough != 0 || len(response.Start)+len(response.Stop) > 0 || response.RetryMillis <= 0 {
					t.Errorf("response %+v to the foreign sender, want one without effect", response)
				}
				if test.isRemoved {
					h.must(h.d.RemoveWorker(context.Background(), foreign.Name))
				}
				h.submitJob("after", oneCoreStep(1))
				a.sendHeartbeatsFor(3 * time.Second)
				if diff := cmp.Diff([]string{"before.0#1", "after.0#1"}, a.runNames()); diff != "" {
					t.Errorf("runs of the worker (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a foreign heartbeat under the identity of a recorded worker that is
// the first one of a term: a new leader does not know the pool of the worker, and its
// heartbeats, which have lower numbers, were dropped.
func TestFirstHeartbeatOfATermOvertakesNoUsableWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("before", oneCoreStep(1))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		h.log.setTerm(2)
		foreign := a.report
		foreign.Pool, foreign.Sequence = "metrics7", 1<<40
		_, err := h.d.Heartbeat(context.Background(), &foreign)
		h.must(err)
		h.submitJob("after", oneCoreStep(1))
		a.sendHeartbeatsFor(3 * time.Second)
		if diff := cmp.Diff([]string{"before.0#1", "after.0#1"}, a.runNames()); diff != "" {
			t.Errorf("runs of the worker (-want +got):\n%s", diff)
		}
	})
}

// A worker whose pool is configured after its first heartbeats gets tasks then.
// Before the first configuration nothing is recorded of a sender either.
func TestWorkerJoinsWhenItsPoolIsConfigured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		a.report.Pool = "late"
		a.sendHeartbeatsFor(time.Second)
		if a.lastResponse.LeaseMillis != 0 {
			t.Errorf("lease of %d ms before the pool is configured", a.lastResponse.LeaseMillis)
		}
		h.configurePools(2, "late")
		h.submitJob("job", oneCoreStep(1))
		a.sendHeartbeatsFor(time.Second)
		if diff := cmp.Diff([]string{"job.0#1"}, a.runNames()); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

// Guards against runs that can neither end nor be stopped because the pool of their
// worker was removed from the configuration, also under a new leader.
func TestRunsOfARemovedPoolEndAndAreStopped(t *testing.T) {
	for _, isNewTerm := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			defer h.stop()
			a := h.newWorker("a", 4)
			h.must(a.sendHeartbeat())
			h.submitJob("ends", oneCoreStep(1))
			h.submitJob("stopped", oneCoreStep(1))
			a.sendHeartbeatsFor(300 * time.Millisecond)
			h.configurePools(2, "other")
			if isNewTerm {
				h.log.setTerm(2)
			}
			// A usable worker on the machine that started earlier is not ended by it.
			other := h.newWorker("b", 4)
			other.report.Pool, other.report.Machine, other.report.Started = "other", "m-a", 0
			h.must(other.sendHeartbeat())
			a.sendHeartbeatsFor(2 * testLease)
			if len(a.runNames()) != 2 || a.lastResponse.LeaseMillis == 0 {
				t.Fatalf("runs %v and lease %d ms, want two and a lease", a.runNames(), a.lastResponse.LeaseMillis)
			}
			h.must(other.sendHeartbeat())
			if other.lastResponse.LeaseMillis == 0 {
				t.Error("the worker that can be used has no lease")
			}
			a.endRun(carobrock.Run{Task: carobrock.TaskRef{Job: "ends"}, Attempt: 1}, carobrock.EndSucceeded)
			h.cancelJob("stopped")
			a.sendHeartbeatsFor(time.Second)
			if got := h.jobState("ends"); got != carobrock.JobSucceeded || len(a.runNames()) > 0 {
				t.Errorf("job state %s and runs %v, want succeeded and none", got, a.runNames())
			}
			h.stateMachine.View(func(s *bookkeeper.State) {
				if rec := s.Workers[a.report.WorkerIncarnation]; rec != nil && len(rec.Runs) > 0 {
					t.Errorf("%d runs are still recorded", len(rec.Runs))
				}
			})
		})
	}
}
