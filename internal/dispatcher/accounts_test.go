package dispatcher_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// logBuffer holds log lines, which the dispatcher writes concurrently.
type logBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// configureAccounts puts a configuration with client accounts in force.
func (h *harness) configureAccounts(version int64, accounts ...carobrock.ClientAccount) {
	h.t.Helper()
	h.must(h.d.Configure(context.Background(), &carobrock.Configuration{
		Version: version, Pools: []carobrock.WorkerPool{{Name: "pool"}}, RequiresKeys: true, Accounts: accounts,
		Queues: []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, TimeoutMillis: 1000, StretchFactor: 5, TargetMillis: 600_000}},
	}))
}

// limitedAccount returns an account that may have a number of cores running.
func limitedAccount(name string, cores int64) carobrock.ClientAccount {
	return carobrock.ClientAccount{Name: name, Weight: 1, Limit: carobrock.Capacity{MilliCPU: cores * 1000}}
}

// submitAccountJob submits a job of an account.
func (h *harness) submitAccountJob(account, id string, steps ...carobrock.Step) {
	h.t.Helper()
	ok, err := h.d.SubmitJob(context.Background(), &carobrock.JobSpec{ID: id, Queue: queueKey, Payload: "p", Account: account, Steps: steps})
	h.must(err)
	if !ok {
		h.t.Fatalf("the ID of job %s belongs to another account", id)
	}
}

// accountStatus returns the status of an account.
func (h *harness) accountStatus(name string) carobrock.AccountStatus {
	h.t.Helper()
	all, err := h.d.Accounts(context.Background())
	h.must(err)
	for _, x := range all {
		if x.Name == name {
			return x
		}
	}
	h.t.Fatalf("no status of account %q in %+v", name, all)
	return carobrock.AccountStatus{}
}

// countRuns counts the runs on workers whose names have a prefix.
func countRuns(prefix string, workers ...*fakeWorker) (n int) {
	for _, v := range workers {
		for _, run := range v.runNames() {
			if strings.HasPrefix(run, prefix) {
				n++
			}
		}
	}
	return n
}

// watchLimit sends heartbeats of workers for d, and checks after each that at most
// limit runs with the prefix are on the workers and on those in others.
func (h *harness) watchLimit(d time.Duration, prefix string, limit int, workers []*fakeWorker, others ...*fakeWorker) {
	h.t.Helper()
	all := slices.Concat(workers, others)
	for until := time.Now().Add(d); time.Now().Before(until); {
		h.sendHeartbeats(1, workers...)
		if n := countRuns(prefix, all...); n > limit {
			h.t.Fatalf("%d runs of the account, its limit is %d", n, limit)
		}
	}
}

// Guards against a new leader that does not know what its predecessor has assigned, and
// assigns as much again.
func TestLimitIsKeptAcrossAChangeOfLeader(t *testing.T) {
	for _, test := range []struct {
		name string
		// before runs after the tasks were assigned and before the change of the leader.
		before func(h *harness, workers []*fakeWorker)
	}{
		{"assigned", func(*harness, []*fakeWorker) {}},
		{"start order in a lost response", func(_ *harness, workers []*fakeWorker) { workers[0].dropResponse() }},
		{"started on one worker", func(h *harness, workers []*fakeWorker) { h.must(workers[0].sendHeartbeat()) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				h.configureAccounts(2, limitedAccount("x", 3))
				workers := []*fakeWorker{h.newWorker("a", 8), h.newWorker("b", 8)}
				h.sendHeartbeats(1, workers...)
				h.submitAccountJob("x", "first", oneCoreStep(2))
				h.submitAccountJob("x", "second", oneCoreStep(6))
				time.Sleep(100 * time.Millisecond)
				if got := h.accountStatus("x"); got.Runs != 3 || got.Usage.MilliCPU != 3000 {
					t.Fatalf("status %+v after the assignment, want 3 runs", got)
				}
				test.before(h, workers)
				h.log.setTerm(2)
				if got := h.accountStatus("x"); got.Runs != 3 || got.Usage.MilliCPU != 3000 {
					t.Errorf("status %+v at the new leader, want 3 runs at once", got)
				}
				h.watchLimit(2*leaseWithMargins, "", 3, workers)
				if n := countRuns("", workers...); n != 3 {
					t.Errorf("%d runs, want 3", n)
				}
			})
		})
	}
}

// Guards against starting what was assigned under an earlier limit, and against
// withdrawing more than needed.
func TestLimitThatShrinksBeforeTheStart(t *testing.T) {
	gang := oneCoreStep(3)
	gang.Gang = true
	service := oneCoreStep(2)
	service.Service = true
	for _, test := range []struct {
		name     string
		newTerm  bool
		old, new carobrock.Step
		// running is the number of tasks of job "running", which run before.
		running  int
		newLimit int64
		want     []string // the runs of the jobs "old" and "new"
	}{
		{name: "newest are withdrawn", old: oneCoreStep(2), new: oneCoreStep(2), newLimit: 3, want: []string{"new.0#1", "old.0#1", "old.1#1"}},
		{name: "newest are withdrawn, new leader", newTerm: true, old: oneCoreStep(2), new: oneCoreStep(2), newLimit: 3, want: []string{"new.0#1", "old.0#1", "old.1#1"}},
		{name: "services stay", old: oneCoreStep(2), new: service, newLimit: 2, want: []string{"new.0#1", "new.1#1"}},
		{name: "gang as a whole", old: oneCoreStep(2), new: gang, newLimit: 4, want: []string{"old.0#1", "old.1#1"}},
		{name: "running ones exceed the limit", running: 3, old: oneCoreStep(1), new: oneCoreStep(1), newLimit: 2},
		{name: "running ones count", running: 2, old: oneCoreStep(2), new: oneCoreStep(2), newLimit: 4, want: []string{"old.0#1", "old.1#1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				h.configureAccounts(2, limitedAccount("x", 6))
				workers := []*fakeWorker{h.newWorker("a", 8), h.newWorker("b", 8)}
				h.sendHeartbeats(1, workers...)
				if test.running > 0 {
					h.submitAccountJob("x", "running", oneCoreStep(test.running))
					h.sendHeartbeats(10, workers...)
				}
				h.submitAccountJob("x", "old", test.old)
				h.submitAccountJob("x", "new", test.new)
				time.Sleep(100 * time.Millisecond)
				if got, want := h.accountStatus("x").Runs, test.running+test.old.Count+test.new.Count; got != want {
					t.Fatalf("%d runs assigned, want %d", got, want)
				}
				h.configureAccounts(3, limitedAccount("x", test.newLimit))
				if test.newTerm {
					h.log.setTerm(2)
				}
				h.watchLimit(2*leaseWithMargins, "", max(int(test.newLimit), test.running), workers)
				got := slices.DeleteFunc(append(workers[0].runNames(), workers[1].runNames()...), func(run string) bool { return strings.HasPrefix(run, "running") })
				if diff := cmp.Diff(test.want, got, ignoreOrder, cmpopts.EquateEmpty()); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against starting a task while the one that it replaces may still be running.
func TestRunsThatMayBeRunningCountAgainstTheLimit(t *testing.T) {
	t.Run("being stopped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			defer h.stop()
			h.configureAccounts(2, limitedAccount("x", 2))
			a, b := h.newWorker("a", 8), h.newWorker("b", 8)
			h.must(a.sendHeartbeat())
			h.submitAccountJob("x", "old", oneCoreStep(2))
			h.sendHeartbeats(10, a)
			h.cancelJob("old")
			h.submitAccountJob("x", "new", oneCoreStep(2))
			for range 10 {
				a.dropResponse() // a does not hear that it is to stop the runs
				if started := h.sendHeartbeats(1, b); len(started) > 0 {
					t.Fatalf("runs %v started beside two that are being stopped", started)
				}
			}
			a.endRun(a.report.Running[0].Run, carobrock.EndStopped)
			h.watchLimit(time.Second, "new", 1, []*fakeWorker{b}, a)
			h.watchLimit(time.Second, "", 2, []*fakeWorker{a, b})
			if n := countRuns("new", a, b); n != 2 {
				t.Errorf("%d runs after the others have ended, want 2", n)
			}
		})
	})
	t.Run("silent worker", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			defer h.stop()
			h.configureAccounts(2, limitedAccount("x", 2))
			a, b := h.newWorker("a", 8), h.newWorker("b", 8)
			h.must(a.sendHeartbeat())
			h.submitAccountJob("x", "old", oneCoreStep(2))
			h.sendHeartbeats(10, a)
			silentSince := time.Now()
			h.submitAccountJob("x", "new", oneCoreStep(2))
			for time.Since(silentSince) < testLease {
				if started := h.sendHeartbeats(1, b); len(started) > 0 {
					t.Fatalf("runs %v started %v after the last heartbeat of a silent worker, whose lease is %v", started, time.Since(silentSince), testLease)
				}
			}
			h.watchLimit(2*time.Second, "", 2, []*fakeWorker{b})
			if n := countRuns("", b); n != 2 {
				t.Errorf("%d runs after the loss of the worker, want 2", n)
			}
		})
	})
	for _, test := range []struct {
		name string
		// before runs while the worker is silent.
		before func(h *harness)
	}{
		{"lost worker that returns", func(*harness) {}},
		{"lost worker that returns after its job was cancelled", func(h *harness) { h.cancelJob("old") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				h.configureAccounts(2, limitedAccount("x", 2))
				a, b := h.newWorker("a", 8), h.newWorker("b", 8)
				h.must(a.sendHeartbeat())
				h.submitAccountJob("x", "old", oneCoreStep(2))
				h.sendHeartbeats(10, a)
				time.Sleep(leaseWithMargins + 200*time.Millisecond) // the runs are lost
				test.before(h)
				a.dropResponse() // lists its runs again and does not hear that it is to stop them
				h.submitAccountJob("x", "new", oneCoreStep(2))
				for range 10 {
					a.dropResponse()
					if started := h.sendHeartbeats(1, b); len(started) > 0 {
						t.Fatalf("runs %v started beside two that a worker lists", started)
					}
				}
				h.watchLimit(time.Second, "", 2, []*fakeWorker{a, b})
				if n := countRuns("", a, b); n != 2 {
					t.Errorf("%d runs after the others have ended, want 2", n)
				}
			})
		})
	}
}

// Guards against a task or gang beyond the limit that starts, that blocks others, or
// that fills the log.
func TestJobsThatNeverFitTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logBuffer{}
		h := prepareHarness(t)
		h.d.Logger = zerolog.New(log)
		h.start(nil)
		defer h.stop()
		h.configureAccounts(2, limitedAccount("x", 2), limitedAccount("y", 0))
		a, b := h.newWorker("a", 8), h.newWorker("b", 8)
		gang, filler := oneCoreStep(3), fillerStep(1)
		gang.Gang = true
		filler.Size.MilliCPU = 2500
		h.submitAccountJob("x", "task", sizedStep(1, 3))
		h.submitAccountJob("x", "gang", gang)
		h.submitAccountJob("x", "filler", filler)
		h.submitAccountJob("x", "fits", oneCoreStep(5))
		h.submitAccountJob("y", "other", sizedStep(2, 3))
		h.watchLimit(3*time.Second, "fits", 2, []*fakeWorker{a, b})
		if diff := cmp.Diff([]string{"fits.0#1", "fits.1#1", "other.0#1", "other.1#1"}, append(a.runNames(), b.runNames()...), ignoreOrder); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
		want := carobrock.AccountStatus{
			Name: "x", Weight: 1, Limit: carobrock.Capacity{MilliCPU: 2000}, Usage: carobrock.Capacity{MilliCPU: 2000, MemoryMB: 200},
			Runs: 2, Waiting: 8, Limited: 8, ExcessJobs: 2, NeverFits: []string{"task", "gang", "filler"},
		}
		if diff := cmp.Diff(want, h.accountStatus("x")); diff != "" {
			t.Errorf("status (-want +got):\n%s", diff)
		}
		if got := h.accountStatus("y"); got.Waiting != 0 || got.Limited != 0 || got.Runs != 2 {
			t.Errorf("status %+v of an account without a limit", got)
		}
		if got := h.accountStatus(""); got.Weight != 1 || got.Runs != 0 {
			t.Errorf("status %+v of the jobs without an account", got)
		}
		if n := strings.Count(log.String(), "never starts"); n != 3 {
			t.Errorf("%d log lines on jobs that never start, want 3:\n%s", n, log)
		}
		if n := strings.Count(log.String(), "tasks wait because of the limit"); n != 1 {
			t.Errorf("%d log lines on tasks that wait, want 1:\n%s", n, log)
		}
	})
}

// Guards against a log that a client fills with jobs beyond its limit.
func TestLogLinesOnLimitsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logBuffer{}
		h := prepareHarness(t)
		h.d.Logger = zerolog.New(log)
		h.start(nil)
		defer h.stop()
		h.configureAccounts(2, limitedAccount("x", 1))
		a := h.newWorker("a", 8)
		h.must(a.sendHeartbeat())
		time.Sleep(time.Second)
		calls := conc.NewWaitGroup()
		for i := range 40 {
			calls.Go(func() { h.submitAccountJob("x", fmt.Sprint("held", i), oneCoreStep(2)) })
			calls.Go(func() { h.submitAccountJob("x", fmt.Sprint("never", i), sizedStep(1, 2)) })
		}
		calls.Wait()
		a.sendHeartbeatsFor(700 * time.Millisecond)
		if n := strings.Count(log.String(), "tasks wait because"); n != 5 {
			t.Errorf("%d log lines on tasks that wait, want 5", n)
		}
		if n := strings.Count(log.String(), "never starts"); n != 5 {
			t.Errorf("%d log lines on jobs that never start, want 5", n)
		}
		time.Sleep(time.Second)
		if got := log.String(); !strings.Contains(got, `"suppressed":35`) {
			t.Errorf("no log line tells how many were suppressed:\n%s", got)
		}
	})
}

// Guards against fillers of other accounts that wait for the next full round because
// those of one account are held back by its limit.
func TestFillersHeldBackByALimitDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.configureAccounts(2, limitedAccount("x", 2), limitedAccount("y", 0))
		a := h.newWorker("a", 8)
		h.must(a.sendHeartbeat())
		h.submitAccountJob("x", "held", fillerStep(5))
		h.sendHeartbeats(10, a)
		for i := range 20 {
			time.Sleep(time.Duration(7+i) * time.Millisecond)
			submitted := time.Now()
			h.submitAccountJob("y", fmt.Sprint("free", i), fillerStep(1))
			before := countRuns("free", a)
			for countRuns("free", a) == before {
				h.must(a.sendHeartbeat())
			}
			// The placement follows the commit of the job, and is committed itself.
			if wait := time.Since(submitted); wait > 4*commitTime {
				t.Errorf("filler %d waited %v for its start", i, wait)
			}
			a.endRun(a.report.Running[len(a.report.Running)-1].Run, carobrock.EndSucceeded)
			h.must(a.sendHeartbeat())
		}
	})
}

// Guards against shares that do not follow the weights, also where the job of one
// account has started and that of the other has not: two accounts with more tasks than
// the workers can run get 3 and 1 parts of them.
func TestTwoAccountsShareFullWorkersByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.configureAccounts(2, carobrock.ClientAccount{Name: "x", Weight: 3}, carobrock.ClientAccount{Name: "y", Weight: 1})
		workers := []*fakeWorker{h.newWorker("a", 8), h.newWorker("b", 8)}
		h.sendHeartbeats(1, workers...)
		// y comes first, and takes all that is free.
		h.submitAccountJob("y", "y", oneCoreStep(200))
		h.sendHeartbeats(10, workers...)
		if n := countRuns("y", workers...); n != 16 {
			t.Fatalf("%d runs of the only account, want all 16", n)
		}
		h.submitAccountJob("x", "x", oneCoreStep(200))
		// The oldest run on each worker ends in turn.
		finishOne := func() {
			for _, v := range workers {
				v.endRun(v.report.Running[0].Run, carobrock.EndSucceeded)
			}
			h.sendHeartbeats(5, workers...)
		}
		for range 8 {
			finishOne()
		}
		for range 6 {
			if x, y := countRuns("x", workers...), countRuns("y", workers...); x != 12 || y != 4 {
				t.Errorf("%d and %d runs, want 12 and 4", x, y)
			}
			finishOne()
		}
	})
}
