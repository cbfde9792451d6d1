package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

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
