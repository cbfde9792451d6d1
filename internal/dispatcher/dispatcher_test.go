package dispatcher_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

func TestJobRunsToCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(2))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		if got := len(a.runNames()); got != 2 {
			t.Fatalf("%d runs, want 2: %v", got, a.runNames())
		}
		for _, x := range append([]carobrock.RunReport(nil), a.report.Running...) {
			a.endRun(x.Run, carobrock.EndSucceeded)
		}
		a.sendHeartbeatsFor(300 * time.Millisecond)
		if s := h.jobState("job"); s != carobrock.JobSucceeded {
			t.Errorf("job state %s, want succeeded", s)
		}
		if len(a.report.Ends) > 0 {
			t.Errorf("ends of runs were not acknowledged: %v", a.report.Ends)
		}
	})
}

// Guards against counting a worker that joins long after the election as lost
// between its first heartbeat and the response, which caused its runs to be
// started twice.
func TestLateWorkerKeepsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.submitJob("job", oneCoreStep(3))
		time.Sleep(3 * testLease)
		a := h.newWorker("a", 4)
		// The first heartbeat gets no response: the worker stops waiting while its
		// reported end is being committed.
		ctx, cancel := context.WithTimeout(context.Background(), commitTime/2)
		defer cancel()
		first := a.report
		first.Sequence = 1
		first.Ends = []carobrock.RunEnd{{Number: 1, Task: carobrock.TaskRef{Job: "other"}, Attempt: 1, Kind: carobrock.EndFailed}}
		if _, err := h.d.Heartbeat(ctx, &first); err == nil {
			t.Fatal("the heartbeat was answered")
		}
		time.Sleep(500 * time.Millisecond)
		a.report.Sequence = 1
		h.must(a.sendHeartbeat())
		if diff := cmp.Diff([]string{"job.0#1", "job.1#1", "job.2#1"}, a.runNames(), ignoreOrder); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

var ignoreOrder = cmpopts.SortSlices(func(a, b string) bool { return a < b })

func TestSilentWorkerIsGivenUpOnlyAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(1))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		if len(a.runNames()) != 1 {
			t.Fatalf("runs %v, want one", a.runNames())
		}
		silentSince := time.Now()
		// The worker's clock may run 2 % slow, so its lease lasts that much longer.
		for time.Since(silentSince) < testLease*102/100 {
			h.must(b.sendHeartbeat())
			if len(b.runNames()) > 0 {
				t.Fatalf("run started on another worker %v after the last heartbeat, within the lease", time.Since(silentSince))
			}
			time.Sleep(40 * time.Millisecond)
		}
		b.sendHeartbeatsFor(time.Second)
		if diff := cmp.Diff([]string{"job.0#2"}, b.runNames()); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

func TestNewWorkerOnTheMachineEndsTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(1))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		b := h.newWorker("b", 4)
		b.report.Machine, b.report.Started = "m-a", 2
		b.sendHeartbeatsFor(time.Second)
		if diff := cmp.Diff([]string{"job.0#2"}, b.runNames()); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

func TestNewLeaderWaitsForLeasesOfTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(1))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		h.log.setTerm(2)
		electedAt := time.Now()
		for time.Since(electedAt) < testLease {
			h.must(b.sendHeartbeat())
			if len(b.runNames()) > 0 {
				t.Fatalf("run started on another worker %v after the election", time.Since(electedAt))
			}
			time.Sleep(40 * time.Millisecond)
		}
		b.sendHeartbeatsFor(time.Second)
		if len(b.runNames()) != 1 {
			t.Errorf("runs %v, want the run of the lost worker", b.runNames())
		}
	})
}

// Guards against a service that stays away for the longest lease that the platform
// allows, although no leader grants one as long: the worker was lost with the leader.
func TestServiceOfAWorkerLostWithItsLeaderIsBackAfterTheGrantedLease(t *testing.T) {
	for _, test := range []struct {
		name string
		// forget removes the granted lease from the state, as in a log of a program that
		// did not record it.
		forget bool
		want   time.Duration
	}{
		{name: "lease recorded", want: leaseWithMargins},
		{name: "lease not recorded", forget: true, want: maxTestLease*103/100 + 300*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := prepareHarness(t)
				h.d.Settings.MaxLease = maxTestLease
				h.start(nil)
				defer h.stop()
				a, b := h.newWorker("a", 4), h.newWorker("b", 4)
				h.must(a.sendHeartbeat())
				service := oneCoreStep(1)
				service.Service = true
				h.submitJob("job", service)
				a.sendHeartbeatsFor(300 * time.Millisecond)
				if test.forget {
					h.stateMachine.View(func(s *bookkeeper.State) { s.LeaseMillis = 0 })
				}
				h.log.setTerm(2)
				electedAt := time.Now()
				for len(b.runNames()) == 0 && time.Since(electedAt) < 2*maxTestLease {
					h.must(b.sendHeartbeat())
					time.Sleep(40 * time.Millisecond)
				}
				if got := time.Since(electedAt); got < test.want || got > test.want+500*time.Millisecond {
					t.Errorf("service started on another worker %v after the election, want %v", got, test.want)
				}
			})
		})
	}
}

const maxTestLease = 10 * time.Second

// Guards against withdrawing a run while its end is being committed: it was
// taken for a run that never reached its worker and was started again.
func TestEndOnItsWayIsNotWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		b.report.AvailabilityZone = "az2"
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(2))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		h.must(h.d.SetZone(context.Background(), carobrock.ZoneChange{Name: "az1", OutOfService: true}))
		a.endRun(a.report.Running[0].Run, carobrock.EndSucceeded)
		// The commit of the end waits for another commit while the heartbeat of another
		// worker wakes the placement loop.
		h.log.delayNextCommit(3 * commitTime)
		calls := conc.NewWaitGroup()
		calls.Go(func() { h.submitJob("other", oneCoreStep(1)) })
		time.Sleep(commitTime / 5)
		calls.Go(func() { h.must(a.sendHeartbeat()) })
		time.Sleep(commitTime / 5)
		h.must(b.sendHeartbeat())
		calls.Wait()
		b.sendHeartbeatsFor(500 * time.Millisecond)
		for _, run := range b.runNames() {
			if run == "job.0#2" || run == "job.1#2" {
				t.Errorf("%s was started although attempt 1 succeeded or is still running", run)
			}
		}
	})
}

// Guards against sending a start order for a run whose withdrawal is being
// committed.
func TestWithdrawnRunIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(1)) // assigned to a, which counts as present although it is silent
		// The withdrawal is proposed some 600 ms after the heartbeat, and its commit is
		// slow.
		time.Sleep(400 * time.Millisecond)
		h.log.delayNextCommit(20 * commitTime)
		time.Sleep(200 * time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		if started := h.sendHeartbeats(40, a, b); len(started) != 1 {
			t.Errorf("runs %v started, want one, as no run failed", started)
		}
	})
}

func TestHeldUpHeartbeatOfAnEarlierLifeIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		b.report.Machine, b.report.Started = "m-a", 2
		h.must(a.sendHeartbeat())
		h.must(b.sendHeartbeat())
		h.must(a.sendHeartbeat())
		if a.lastResponse.LeaseMillis != 0 {
			t.Errorf("the earlier incarnation got a lease of %d ms", a.lastResponse.LeaseMillis)
		}
	})
}

func TestStalledRunIsMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(1))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		a.isStalled = true
		b := h.newWorker("b", 4)
		for range 60 {
			h.must(a.sendHeartbeat())
			h.must(b.sendHeartbeat())
			if len(b.runNames()) > 0 {
				return
			}
		}
		t.Errorf("the stalled run was not moved; runs %v on the first worker", a.runNames())
	})
}

func TestLeavingWorkerHandsItsServicesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		h.must(a.sendHeartbeat())
		step := oneCoreStep(2)
		step.Service = true
		h.submitJob("job", step)
		a.sendHeartbeatsFor(300 * time.Millisecond)
		b := h.newWorker("b", 4)
		a.report.Leaving = true
		h.must(a.sendHeartbeat())
		h.must(a.sendHeartbeat())
		b.sendHeartbeatsFor(300 * time.Millisecond)
		if diff := cmp.Diff([]string{"job.0#2", "job.1#2"}, b.runNames(), ignoreOrder); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

// fakeAdvisor issues tickets that name the job and the worker, to eligible
// workers only. Its first call fails.
type fakeAdvisor struct {
	eligible map[string]bool
	calls    int
}

func (a *fakeAdvisor) Advise(_ context.Context, step carobrock.TaskRef, workers []string) (map[string]string, error) {
	a.calls++
	if a.calls == 1 {
		return nil, errors.New("the advisor is busy")
	}
	out := map[string]string{}
	for _, name := range workers {
		if a.eligible[name] {
			out[name] = step.Job + "-" + name
		}
	}
	return out, nil
}

func TestOnlyEligibleWorkersGetTasksOfAPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := prepareHarness(t)
		a := &fakeAdvisor{eligible: map[string]bool{"b": true}}
		h.d.Advisor = a
		h.start(&carobrock.AdvisorPolicy{DecisionMillis: 10, ValidityMillis: 3000})
		defer h.stop()
		ineligible, eligible := h.newWorker("a", 4), h.newWorker("b", 4)
		h.must(ineligible.sendHeartbeat())
		h.must(eligible.sendHeartbeat())
		h.submitJob("job", oneCoreStep(2))
		tickets := 0
		for range 10 {
			h.must(ineligible.sendHeartbeat())
			h.must(eligible.sendHeartbeat())
			for _, s := range eligible.lastResponse.Start {
				if s.Ticket != "job-b" {
					t.Errorf("ticket %q, want job-b", s.Ticket)
				}
				tickets++
			}
		}
		if len(ineligible.runNames()) > 0 || tickets != 2 {
			t.Errorf("runs %v on the ineligible worker, %d tickets on the eligible one, want none and 2", ineligible.runNames(), tickets)
		}
		if a.calls > 3 {
			t.Errorf("%d advice requests for one step, want at most 3", a.calls)
		}
	})
}
