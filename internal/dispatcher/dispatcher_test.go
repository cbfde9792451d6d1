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
)

func TestJobRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		a := w.vm("a", 4)
		w.must(a.beat())
		w.submit("job", cores(2))
		a.beatFor(300 * time.Millisecond)
		if got := len(a.runs()); got != 2 {
			t.Fatalf("%d runs, want 2: %v", got, a.runs())
		}
		for _, x := range append([]carobrock.RunReport(nil), a.report.Running...) {
			a.end(x.Run, carobrock.EndSucceeded)
		}
		a.beatFor(300 * time.Millisecond)
		if s := w.state("job"); s != carobrock.JobSucceeded {
			t.Errorf("state %s", s)
		}
		if len(a.report.Ends) > 0 {
			t.Errorf("ends not acknowledged: %v", a.report.Ends)
		}
	})
}

// A worker that joins long after the leader was elected was once taken for lost
// between its first heartbeat and the answer, and its runs were started twice.
func TestLateWorkerKeepsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		w.submit("job", cores(3))
		time.Sleep(3 * testLease)
		a := w.vm("a", 4)
		// The answer to the first heartbeat does not come: the worker gives up
		// while its end is being recorded.
		ctx, cancel := context.WithTimeout(context.Background(), commitTime/2)
		defer cancel()
		first := a.report
		first.Sequence = 1
		first.Ends = []carobrock.RunEnd{{Number: 1, Task: carobrock.TaskRef{Job: "other"}, Attempt: 1, Kind: carobrock.EndFailed}}
		if _, err := w.d.Heartbeat(ctx, &first); err == nil {
			t.Fatal("the heartbeat was answered")
		}
		time.Sleep(500 * time.Millisecond)
		a.report.Sequence = 1
		w.must(a.beat())
		if diff := cmp.Diff([]string{"job.0#1", "job.1#1", "job.2#1"}, a.runs(), sorted); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

var sorted = cmpopts.SortSlices(func(a, b string) bool { return a < b })

func TestSilentWorkerIsGivenUpOnlyAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		a, b := w.vm("a", 4), w.vm("b", 4)
		w.must(a.beat())
		w.submit("job", cores(1))
		a.beatFor(300 * time.Millisecond)
		if len(a.runs()) != 1 {
			t.Fatalf("runs %v, want one", a.runs())
		}
		silent := time.Now()
		// The worker's clock may be 2 % slow: its lease lasts that much longer.
		for time.Since(silent) < testLease*102/100 {
			w.must(b.beat())
			if len(b.runs()) > 0 {
				t.Fatalf("run started elsewhere %v after the last heartbeat, within the lease", time.Since(silent))
			}
			time.Sleep(40 * time.Millisecond)
		}
		b.beatFor(time.Second)
		if diff := cmp.Diff([]string{"job.0#2"}, b.runs()); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

func TestNewWorkerOnTheMachineEndsTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		a := w.vm("a", 4)
		w.must(a.beat())
		w.submit("job", cores(1))
		a.beatFor(300 * time.Millisecond)
		b := w.vm("b", 4)
		b.report.Machine, b.report.Started = "m-a", 2
		b.beatFor(time.Second)
		if diff := cmp.Diff([]string{"job.0#2"}, b.runs()); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

func TestNewLeaderWaitsForLeasesOfTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		a, b := w.vm("a", 4), w.vm("b", 4)
		w.must(a.beat())
		w.submit("job", cores(1))
		a.beatFor(300 * time.Millisecond)
		w.group.mu.Lock()
		w.group.term = 2
		w.group.mu.Unlock()
		elected := time.Now()
		for time.Since(elected) < testLease {
			w.must(b.beat())
			if len(b.runs()) > 0 {
				t.Fatalf("run started elsewhere %v after the election", time.Since(elected))
			}
			time.Sleep(40 * time.Millisecond)
		}
		b.beatFor(time.Second)
		if len(b.runs()) != 1 {
			t.Errorf("runs %v, want the lost one", b.runs())
		}
	})
}

// A run whose end was being recorded was once taken for one that had never
// reached its worker, and started again.
func TestEndOnItsWayIsNotWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		a, b := w.vm("a", 4), w.vm("b", 4)
		b.report.AvailabilityZone = "az2"
		w.must(a.beat())
		w.submit("job", cores(2))
		a.beatFor(300 * time.Millisecond)
		w.must(w.d.SetZone(context.Background(), carobrock.ZoneOrder{Name: "az1", OutOfService: true}))
		a.end(a.report.Running[0].Run, carobrock.EndSucceeded)
		// The end waits behind another change while the heartbeat of another
		// worker wakes the placement loop.
		w.group.mu.Lock()
		w.group.slowness = 3 * commitTime
		w.group.mu.Unlock()
		calls := conc.NewWaitGroup()
		calls.Go(func() { w.submit("other", cores(1)) })
		time.Sleep(commitTime / 5)
		calls.Go(func() { w.must(a.beat()) })
		time.Sleep(commitTime / 5)
		w.must(b.beat())
		calls.Wait()
		b.beatFor(500 * time.Millisecond)
		for _, run := range b.runs() {
			if run == "job.0#2" || run == "job.1#2" {
				t.Errorf("%s was started though run 1 had succeeded or goes on", run)
			}
		}
	})
}

// A start order once left while the withdrawal of its run was on its way into
// the log.
func TestWithdrawnRunIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		a, b := w.vm("a", 4), w.vm("b", 4)
		w.must(a.beat())
		w.submit("job", cores(1)) // assigned to a while it is thought to be there
		// The withdrawal begins some 600 ms after the heartbeat and takes a while.
		time.Sleep(400 * time.Millisecond)
		w.group.mu.Lock()
		w.group.slowness = 20 * commitTime
		w.group.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		began := map[string]bool{}
		for range 40 {
			time.Sleep(20 * time.Millisecond)
			calls := conc.NewWaitGroup()
			calls.Go(func() { w.must(a.beat()) })
			calls.Go(func() { w.must(b.beat()) })
			calls.Wait()
			for _, run := range append(a.runs(), b.runs()...) {
				began[run] = true
			}
		}
		if len(began) != 1 {
			t.Errorf("runs %v began, though none failed", began)
		}
	})
}

func TestHeldUpHeartbeatOfAnEarlierLifeIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		a, b := w.vm("a", 4), w.vm("b", 4)
		b.report.Machine, b.report.Started = "m-a", 2
		w.must(a.beat())
		w.must(b.beat())
		w.must(a.beat())
		if a.orders.LeaseMillis != 0 {
			t.Errorf("the earlier life got a lease of %d ms", a.orders.LeaseMillis)
		}
	})
}

func TestStalledRunIsMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		a := w.vm("a", 4)
		w.must(a.beat())
		w.submit("job", cores(1))
		a.beatFor(300 * time.Millisecond)
		a.stuck = true
		b := w.vm("b", 4)
		for range 60 {
			w.must(a.beat())
			w.must(b.beat())
			if len(b.runs()) > 0 {
				return
			}
		}
		t.Errorf("the run stands still on %v and was not moved", a.runs())
	})
}

func TestLeavingWorkerHandsItsServicesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		a := w.vm("a", 4)
		w.must(a.beat())
		step := cores(2)
		step.Service = true
		w.submit("job", step)
		a.beatFor(300 * time.Millisecond)
		b := w.vm("b", 4)
		a.report.Leaving = true
		w.must(a.beat())
		w.must(a.beat())
		b.beatFor(300 * time.Millisecond)
		if diff := cmp.Diff([]string{"job.0#2", "job.1#2"}, b.runs(), sorted); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

// advisor lets only some workers run anything, with tickets that name the step.
type advisor struct {
	eligible map[string]bool
	calls    int
}

func (a *advisor) Advise(_ context.Context, step carobrock.TaskRef, workers []string) (map[string]string, error) {
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
		w := prepareWorld(t)
		a := &advisor{eligible: map[string]bool{"b": true}}
		w.d.Advisor = a
		w.run(&carobrock.AdvisorPolicy{DecisionMillis: 10, ValidityMillis: 3000})
		defer w.stop()
		v, u := w.vm("a", 4), w.vm("b", 4)
		w.must(v.beat())
		w.must(u.beat())
		w.submit("job", cores(2))
		tickets := 0
		for range 10 {
			w.must(v.beat())
			w.must(u.beat())
			for _, s := range u.orders.Start {
				if s.Ticket != "job-b" {
					t.Errorf("ticket %q", s.Ticket)
				}
				tickets++
			}
		}
		if len(v.runs()) > 0 || tickets != 2 {
			t.Errorf("runs %v on the worker that may not, %d tickets on the other", v.runs(), tickets)
		}
		if a.calls > 3 {
			t.Errorf("%d questions for one step", a.calls)
		}
	})
}
