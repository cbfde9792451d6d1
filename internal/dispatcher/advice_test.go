package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// startWithAdvisor returns a started harness whose queue needs tickets of an advisor that
// knows no worker yet.
func startWithAdvisor(t *testing.T) (*harness, *incarnationAdvisor) {
	t.Helper()
	h := prepareHarness(t)
	a := &incarnationAdvisor{started: map[string]int64{}}
	h.d.Advisor = a
	h.start(&carobrock.AdvisorPolicy{DecisionMillis: 50, ValidityMillis: 60_000})
	return h, a
}

// A worker that was back under its name was sent the ticket of its earlier incarnation,
// which it refused, until the ticket expired (review/14).
func TestTicketOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, a := startWithAdvisor(t)
		defer h.stop()
		a.setStarted("a", 1)
		v := h.newRefusingWorker("a", 4, 1)
		v.joinAndSubmit()
		sendHeartbeatsFor(time.Second, v)
		if diff := cmp.Diff([]string{"job.0#1"}, v.runNames()); diff != "" {
			t.Fatalf("runs before the crash (-want +got):\n%s", diff)
		}
		time.Sleep(4 * time.Second)
		a.setStarted("a", 2)
		successor := h.newRefusingWorker("a", 4, 2)
		sendHeartbeatsFor(3*time.Second, successor)
		if diff := cmp.Diff([]string{"job.0#2"}, successor.runNames()); diff != "" {
			t.Errorf("runs after the crash (-want +got):\n%s", diff)
		}
		if successor.refused > 0 {
			t.Errorf("%d starts with a ticket of the earlier incarnation", successor.refused)
		}
	})
}

// What the advisor answers about an incarnation that has ended during the request was kept
// for the next one.
func TestAdviceOnAReplacedIncarnationIsNotUsed(t *testing.T) {
	for _, test := range []struct {
		name string
		// started is the incarnation that the advisor knows when it is asked, zero if
		// the worker is not eligible.
		started int64
	}{
		{name: "ticket", started: 1},
		{name: "ineligible"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, a := startWithAdvisor(t)
				defer h.stop()
				a.setStarted("a", test.started)
				a.delay = 500 * time.Millisecond
				v := h.newRefusingWorker("a", 4, 1)
				v.sendHeartbeat()
				h.submitJob("job", oneCoreStep(1))
				for a.callCount() == 0 {
					v.sendHeartbeat()
				}
				a.setStarted("a", 2)
				successor := h.newRefusingWorker("a", 4, 2)
				sendHeartbeatsFor(2*time.Second, successor)
				if diff := cmp.Diff([]string{"job.0#1"}, successor.runNames()); diff != "" || successor.refused > 0 {
					t.Errorf("%d refused starts; runs (-want +got):\n%s", successor.refused, diff)
				}
			})
		})
	}
}

// A worker that was not eligible was never asked about again, though its next incarnation
// may be of another kind.
func TestIneligibilityOfAnEarlierIncarnationDoesNotHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, a := startWithAdvisor(t)
		defer h.stop()
		v := h.newRefusingWorker("a", 4, 1)
		v.sendHeartbeat()
		h.submitJob("job", oneCoreStep(1))
		sendHeartbeatsFor(time.Second, v)
		if n := a.callCount(); n != 1 {
			t.Errorf("%d advice requests about a worker that is not eligible, want 1", n)
		}
		a.setStarted("a", 2)
		successor := h.newRefusingWorker("a", 4, 2)
		sendHeartbeatsFor(time.Second, successor)
		if diff := cmp.Diff([]string{"job.0#1"}, successor.runNames()); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

// Tickets of workers that are gone or full counted as tickets, so that the advisor was not
// asked about others until they expired.
func TestUnusableTicketsKeepNoTaskWaiting(t *testing.T) {
	for _, test := range []struct {
		name   string
		isGone bool
	}{
		{name: "worker is gone", isGone: true},
		{name: "worker is full"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, a := startWithAdvisor(t)
				defer h.stop()
				a.setStarted("a", 1)
				v := h.newRefusingWorker("a", 1, 1)
				v.joinAndSubmit()
				sendHeartbeatsFor(time.Second, v)
				a.setStarted("b", 1)
				other := h.newRefusingWorker("b", 1, 1)
				if test.isGone {
					time.Sleep(2 * testLease)
				} else {
					// The worker ends the service, and its room shrinks.
					v.endRun(v.report.Running[0].Run, carobrock.EndFailed)
					v.report.Capacity.MilliCPU = 500
					v.sendHeartbeat()
				}
				sendHeartbeatsFor(2*time.Second, other)
				if diff := cmp.Diff([]string{"job.0#2"}, other.runNames()); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Workers leave and are back at random, while advice requests, commits and responses are under way.
// Whatever the order, no worker gets a ticket of another incarnation, and all tasks run in
// the end.
func TestRandomRestartsOfWorkersThatNeedTickets(t *testing.T) {
	const (
		seeds       = 20
		workerCount = 6
		taskCount   = 12
		duration    = 40 * time.Second
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := rand.New(rand.NewPCG(seed, seed))
				h, a := startWithAdvisor(t)
				defer h.stop()
				a.delay = time.Duration(p.Int64N(int64(400 * time.Millisecond)))
				step := oneCoreService()
				step.Count = taskCount
				h.submitJob("job", step)
				restartsEnd := time.Now().Add(duration)
				var last [workerCount]*refusingWorker
				refused := make([]int, workerCount)
				calls := conc.NewWaitGroup()
				for i := range workerCount {
					random := rand.New(rand.NewPCG(seed, uint64(i+1)))
					calls.Go(func() {
						for started := int64(1); time.Now().Before(restartsEnd); started++ {
							last[i] = h.newRefusingWorker(fmt.Sprint("w", i), 4, started)
							a.setStarted(last[i].report.Name, started*random.Int64N(2))
							sendHeartbeatsFor(time.Duration(random.Int64N(int64(5*time.Second))), last[i])
							// Without this the tasks would be suspected of crashing the workers.
							last[i].report.Leaving = true
							last[i].sendHeartbeat()
							refused[i] += last[i].refused
							time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
						}
						last[i] = h.newRefusingWorker(last[i].report.Name, 4, last[i].report.Started+1)
						a.setStarted(last[i].report.Name, last[i].report.Started)
						sendHeartbeatsFor(time.Until(restartsEnd.Add(20*time.Second)), last[i])
						refused[i] += last[i].refused
					})
				}
				calls.Wait()
				running := 0
				for _, v := range last {
					running += len(v.runNames())
				}
				if running != taskCount {
					t.Errorf("%d tasks run, want %d", running, taskCount)
				}
				if diff := cmp.Diff(make([]int, workerCount), refused); diff != "" {
					t.Errorf("refused starts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// What is kept for each incarnation must not grow with the number of restarts.
func TestAdviceOnReplacedIncarnationsIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, a := startWithAdvisor(t)
		defer h.stop()
		h.submitJob("job", oneCoreStep(1))
		const restarts = 30
		for started := int64(1); started <= restarts; started++ {
			sendHeartbeatsFor(500*time.Millisecond, h.newRefusingWorker("a", 4, started))
		}
		if n := a.callCount(); n != restarts {
			t.Errorf("%d advice requests about %d incarnations", n, restarts)
		}
		if n, _ := h.d.AdviceSize(); n != 1 {
			t.Errorf("advice on %d incarnations is kept, want 1", n)
		}
	})
}

// A ticket with a validity below the margin was never used, and requested without pause.
func TestTicketWithAShortValidityIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := prepareHarness(t)
		a := &incarnationAdvisor{started: map[string]int64{"a": 1}}
		h.d.Advisor = a
		h.start(&carobrock.AdvisorPolicy{ValidityMillis: 400})
		defer h.stop()
		v := h.newRefusingWorker("a", 4, 1)
		v.joinAndSubmit()
		sendHeartbeatsFor(time.Second, v)
		if diff := cmp.Diff([]string{"job.0#1"}, v.runNames()); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
		if n := a.callCount(); n > 2 {
			t.Errorf("%d advice requests in a second, want at most 2", n)
		}
	})
}
