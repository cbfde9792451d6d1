package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// leaseWithMargins is the time after which a leader gives up a silent worker.
const leaseWithMargins = testLease*103/100 + 300*time.Millisecond

// Guards against starting a run while its loss is being committed: a worker that
// was silent since the election returned at that moment, was told to start the
// run, and the run was then also started on another worker.
func TestWorkerThatReturnsWhileItsLossIsCommittedStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(1))
		time.Sleep(100 * time.Millisecond) // the task is assigned to a, which does not hear of it
		h.log.setTerm(2)
		_ = h.jobState("job") // makes the dispatcher notice the new term
		time.Sleep(leaseWithMargins - 50*time.Millisecond)
		h.log.delayNextCommit(40 * commitTime)
		// The loss is proposed in the first placement round after the lease, and
		// committed some 600 ms later.
		time.Sleep(200 * time.Millisecond)
		if started := h.sendHeartbeats(40, a, b); len(started) != 1 {
			t.Errorf("runs %v started, want one, as no run failed", started)
		}
	})
}

// Guards against ending the runs of a worker because of a late message from an
// earlier worker process of the same name. A worker reports that it is leaving
// before it leaves.
func TestLateFarewellOfAnEarlierLifeEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(1))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		h.must(h.d.RemoveWorker(context.Background(), "a"))
		for range 10 {
			h.must(b.sendHeartbeat())
			h.must(a.sendHeartbeat())
		}
		if got := append(a.runNames(), b.runNames()...); !cmp.Equal(got, []string{"job.0#1"}) {
			t.Errorf("runs %v, want only the first one on worker a", got)
		}
	})
}

// Guards against committing a command that was planned in an earlier term. Between
// the two terms another leader may have renewed the lease of a worker that the
// command declares lost.
func TestCommandOfAnEarlierTermIsNotCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		h.must(a.sendHeartbeat())
		h.submitJob("job", oneCoreStep(1))
		a.sendHeartbeatsFor(300 * time.Millisecond)
		// The command that declares the loss is held up until this replica has lost
		// leadership and regained it.
		time.Sleep(leaseWithMargins - 250*time.Millisecond) // the last heartbeat was sent some 140 ms ago
		h.log.delayNextProposal(time.Second)
		time.Sleep(300 * time.Millisecond)
		h.log.setTerm(3)
		for range 20 {
			h.must(b.sendHeartbeat())
			h.must(a.sendHeartbeat())
		}
		if got := append(a.runNames(), b.runNames()...); !cmp.Equal(got, []string{"job.0#1"}) {
			t.Errorf("runs %v, want only the first one on worker a", got)
		}
	})
}

// Guards against withdrawing a run that an earlier leader had started: the first
// heartbeat that the new leader got was late and did not list the run yet, and the
// run was started on another worker as well.
func TestRunMissingInALateHeartbeatIsNotStartedElsewhere(t *testing.T) {
	for _, test := range []struct {
		name string
		// change is applied to the late heartbeat.
		change func(late *carobrock.WorkerReport)
	}{
		{"worker waits for a dead leader", func(*carobrock.WorkerReport) {}},
		{"worker is leaving", func(late *carobrock.WorkerReport) { late.Leaving = true }},
		{"worker has shrunk", func(late *carobrock.WorkerReport) { late.Capacity.MilliCPU = 500 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newWorker("a", 4), h.newWorker("b", 4)
				h.must(a.sendHeartbeat())
				late := a.report
				late.Sequence++
				a.report.Sequence++
				h.submitJob("job", oneCoreStep(1))
				a.sendHeartbeatsFor(300 * time.Millisecond)
				h.log.setTerm(2)
				test.change(&late)
				if _, err := h.d.Heartbeat(context.Background(), &late); err != nil {
					t.Fatal(err)
				}
				b.sendHeartbeatsFor(time.Second) // a waits for a response of the earlier leader
				h.must(a.sendHeartbeat())
				b.sendHeartbeatsFor(time.Second)
				if got := append(a.runNames(), b.runNames()...); !cmp.Equal(got, []string{"job.0#1"}) {
					t.Errorf("runs %v, want only the first one on worker a", got)
				}
			})
		})
	}
}

// Workers beyond the limit stay with the process that forwards their heartbeats. The
// place of a worker that has left goes to the next one that joins.
func TestLeaderDirectsOnlySoManyWorkersToItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := prepareHarness(t)
		h.d.WorkerAddress, h.d.Settings.MaxDirectWorkers = "leader:1", 2
		h.start(nil)
		defer h.stop()
		var fleet []*fakeWorker
		for _, name := range []string{"a", "b", "c"} {
			v := h.newWorker(name, 4)
			h.must(v.sendHeartbeat())
			fleet = append(fleet, v)
		}
		if got := fleet[2].lastResponse.NextAddress; got != "" || fleet[1].lastResponse.NextAddress == "" {
			t.Errorf("third worker directed to %q, second to %q", got, fleet[1].lastResponse.NextAddress)
		}
		fleet[0].report.Leaving = true
		h.must(fleet[0].sendHeartbeat())
		h.must(h.d.RemoveWorker(context.Background(), "a"))
		d := h.newWorker("d", 4)
		h.must(d.sendHeartbeat())
		if d.lastResponse.NextAddress == "" {
			t.Error("a new worker was not directed to the leader although another has left")
		}
	})
}

// Guards against a silent worker without runs that is remembered for ever: the worker
// that runs on its machine after a step of the clock was never given a lease.
func TestWorkerStartedBeforeASilentOneIsUsedAfterTheLease(t *testing.T) {
	for _, test := range []struct{ name, worker string }{
		{"same name", "a"},
		{"new name on the machine", "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a := h.newWorker("a", 4)
				a.report.Started = 1000
				h.must(a.sendHeartbeat())
				b := h.newWorker(test.worker, 4)
				b.report.Machine, b.report.Started = "m-a", 500
				h.submitJob("job", oneCoreStep(1))
				b.sendHeartbeatsFor(2 * leaseWithMargins)
				if got := b.runNames(); len(got) != 1 {
					t.Errorf("runs %v on the worker that is there, want one", got)
				}
			})
		})
	}
}

// Guards against forgetting a worker while it gets a task: it had sent a heartbeat
// after a long silence, was told to start the task, and the task was started
// elsewhere too.
func TestWorkerThatReturnsIsNotForgottenWhileItGetsATask(t *testing.T) {
	for i := range 15 * 25 {
		offset, delay := time.Duration(i/25-2)*10*time.Millisecond, time.Duration(i%25)*5*time.Millisecond
		t.Run(fmt.Sprint(offset, " ", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newWorker("a", 4), h.newWorker("b", 4)
				h.must(a.sendHeartbeat())
				time.Sleep(700 * time.Millisecond) // a is silent
				h.submitJob("job", oneCoreStep(1))
				time.Sleep(leaseWithMargins - 700*time.Millisecond + offset)
				// The heartbeat waits for the commit of an end while the task is assigned.
				a.report.Ends = []carobrock.RunEnd{{Number: 1, Task: carobrock.TaskRef{Job: "gone"}, Attempt: 1, Kind: carobrock.EndStopped}}
				h.log.delayNextCommit(delay)
				calls := conc.NewWaitGroup()
				calls.Go(func() { h.must(a.sendHeartbeat()) })
				time.Sleep(5 * time.Millisecond)
				started := h.sendHeartbeats(10, b)
				calls.Wait()
				for _, run := range a.runNames() {
					started[run] = true
				}
				if len(started) != 1 {
					t.Errorf("runs %v started, want one, as no run failed", started)
				}
			})
		})
	}
}

// A response that was held when the leader lost its leadership carries no orders.
func TestHeldResponseAfterLossOfLeadershipCarriesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		h.must(a.sendHeartbeat())
		calls := conc.NewWaitGroup()
		calls.Go(func() { h.submitJob("job", oneCoreStep(1)) })
		time.Sleep(3 * commitTime) // the job and its assignment are committed, or nearly
		h.log.setLeader(false)
		a.report.Sequence++
		r := a.report
		if response, err := h.d.Heartbeat(context.Background(), &r); err == nil {
			t.Errorf("a replica without leadership answered with %d starts", len(response.Start))
		}
		calls.Wait()
	})
}

// The leader may be paused between the decision on orders and the answer. It checks
// its leadership last, so that a lease that ran out meanwhile is noticed.
func TestLeadershipLostWhileAResponseIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 4)
		calls := conc.NewWaitGroup()
		calls.Go(func() {
			if a.sendHeartbeat() == nil {
				t.Errorf("a replica that lost its leadership answered with lease %d ms and %d starts", a.lastResponse.LeaseMillis, len(a.lastResponse.Start))
			}
		})
		time.Sleep(10 * time.Millisecond)
		h.log.setLeader(false)
		calls.Wait()
	})
}

// A heartbeat of a worker that has left may arrive late, at the next leader. Tasks
// that it attracts go elsewhere at once when it stays silent.
func TestLateHeartbeatOfADepartedWorkerHoldsNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a, b := h.newWorker("a", 4), h.newWorker("b", 4)
		a.report.Leaving = true
		h.must(a.sendHeartbeat())
		late := a.report
		late.Leaving, late.Sequence = false, 9
		h.must(h.d.RemoveWorker(context.Background(), "a"))
		h.log.setTerm(2)
		if _, err := h.d.Heartbeat(context.Background(), &late); err != nil {
			t.Fatal(err)
		}
		h.submitJob("job", oneCoreStep(4))
		b.sendHeartbeatsFor(1500 * time.Millisecond)
		if got := len(b.runNames()); got != 4 {
			t.Errorf("%d tasks on the worker that is there, want 4", got)
		}
	})
}

// maxServiceGap is the longest time for which a service may be without its task.
const maxServiceGap = 6 * time.Second

// Guards against waiting for the last heartbeats of a replaced worker beyond its leases.
func TestServiceStaysDownAfterItsWorkerWasReplaced(t *testing.T) {
	leave := func(h *harness, v *fakeWorker) {
		v.report.Leaving = true
		h.must(v.sendHeartbeat())
		h.must(h.d.RemoveWorker(context.Background(), v.report.Name))
	}
	for _, test := range []struct {
		name string
		// end is called after the last heartbeat with the run, unless it is nil.
		end func(h *harness, v *fakeWorker)
		// newName is the name of the replacement, which joins downTime later.
		newName  string
		downTime time.Duration
		// electedAfter is the time from the first heartbeat of the replacement to a new
		// leader, zero if there is none.
		electedAfter time.Duration
	}{
		{name: "same leader", newName: "c", downTime: 3300 * time.Millisecond},
		{name: "same leader, same name", newName: "a", downTime: 3300 * time.Millisecond},
		{name: "same leader, back before the leases expire", newName: "c", downTime: 4300 * time.Millisecond},
		{name: "new leader at once", newName: "c", downTime: 3300 * time.Millisecond, electedAfter: 50 * time.Millisecond},
		{name: "new leader at once, same name", newName: "a", downTime: 3300 * time.Millisecond, electedAfter: 50 * time.Millisecond},
		{name: "new leader within the second", newName: "c", downTime: 3300 * time.Millisecond, electedAfter: 500 * time.Millisecond},
		{name: "new leader before the loss is proposed", newName: "c", downTime: 3300 * time.Millisecond, electedAfter: 990 * time.Millisecond},
		{name: "new leader before the loss is proposed, same name", newName: "a", downTime: 3300 * time.Millisecond, electedAfter: 990 * time.Millisecond},
		{name: "new leader, back before the leases expire", newName: "c", downTime: 4300 * time.Millisecond, electedAfter: 990 * time.Millisecond},
		{name: "new leader, back before the leases expire, same name", newName: "a", downTime: 4300 * time.Millisecond, electedAfter: 990 * time.Millisecond},
		{name: "new leader before the loss is proposed, back just in time", newName: "c", downTime: 3400 * time.Millisecond, electedAfter: 990 * time.Millisecond},
		{name: "left", end: leave, newName: "c", downTime: 10 * time.Second},
		{name: "left, new leader", end: leave, newName: "c", downTime: 500 * time.Millisecond, electedAfter: 400 * time.Millisecond},
		{name: "left, new leader before the replacement", end: leave, newName: "c", downTime: 10 * time.Second, electedAfter: -9100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newWorker("a", 4), h.newWorker("b", 4)
				h.must(a.sendHeartbeat())
				service := oneCoreStep(1)
				service.Service = true
				h.submitJob("service", service)
				a.sendHeartbeatsFor(5 * time.Second)
				if got := a.runNames(); !cmp.Equal(got, []string{"service.0#1"}) {
					t.Fatalf("runs %v, want the service", got)
				}
				lastRun := time.Now()
				if test.end != nil {
					test.end(h, a)
				}
				replacement := h.newWorker(test.newName, 4)
				replacement.report.Machine, replacement.report.Started = "m-a", 2
				isElected := test.electedAfter == 0
				for time.Since(lastRun) < 2*maxServiceGap && len(b.runNames())+len(replacement.runNames()) == 0 {
					if !isElected && time.Since(lastRun) >= test.downTime+test.electedAfter {
						isElected = true
						h.log.setTerm(2)
					}
					fleet := []*fakeWorker{b}
					if time.Since(lastRun) >= test.downTime {
						fleet = append(fleet, replacement)
					}
					h.sendHeartbeats(1, fleet...)
				}
				if gap := time.Since(lastRun); gap >= maxServiceGap {
					t.Errorf("service without its task for %v, at most %v are allowed", gap, maxServiceGap)
				}
			})
		})
	}
}

// Guards against a call that read the previous term and puts it back after another
// call has noticed the new one: the next command was proposed in the previous term
// and refused, and the worker table was lost once more.
func TestLateReaderOfTheTermDoesNotPutItBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		worker := h.newWorker("a", 4)
		time.Sleep(50*time.Millisecond + time.Microsecond) // no placement round begins at this time
		calls := conc.NewWaitGroup()
		defer calls.Wait()
		calls.Go(func() { h.cancelJob("none") }) // the next command waits for this commit
		time.Sleep(3 * time.Millisecond)
		h.log.delayNextTerm(10 * time.Millisecond) // the reader goes on 2 ms before the end of the commit
		late := worker.nextReport()
		calls.Go(func() { _, _ = h.d.Heartbeat(context.Background(), late) }) // may fail in the new term
		time.Sleep(time.Millisecond)
		h.log.setTerm(2)
		h.submitJob("job", oneCoreStep(1))
	})
}
