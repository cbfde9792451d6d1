package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const (
	// crashDelay is the time from the start of a deadly task to the crash of its
	// worker, shorter than the time to the next heartbeat.
	crashDelay = 60 * time.Millisecond
	// maxDeadlyStarts bounds the starts of a deadly task, maxLateStarts those after
	// its third crash.
	maxDeadlyStarts = 5
	maxLateStarts   = 2
)

// crashFleet simulates machines on which workers run and crash. It knows which
// jobs are deadly: each of their tasks crashes the worker that starts it.
type crashFleet struct {
	h *harness
	// downTime is how long a machine is down after a crash. keepsName is set if the
	// worker then has the same name as before.
	downTime  time.Duration
	keepsName bool
	// downTimeSpread is by how much longer some machines are down.
	downTimeSpread time.Duration
	deadly         map[string]bool
	// runTimes holds the run time of the tasks of each job. Tasks of other jobs run
	// until they are stopped.
	runTimes map[string]time.Duration
	// outages are the times at which all workers crash.
	outages []time.Time

	mu sync.Mutex
	// starts counts the starts and crashes the crashes by task; lateStarts counts the
	// starts of deadly tasks after the third crash.
	starts, crashes, lateStarts map[string]int
}

func newCrashFleet(h *harness) *crashFleet {
	return &crashFleet{
		h: h, downTime: 3300 * time.Millisecond, deadly: map[string]bool{}, runTimes: map[string]time.Duration{},
		starts: map[string]int{}, crashes: map[string]int{}, lateStarts: map[string]int{},
	}
}

// submit submits a job of n tasks that request a core each.
func (f *crashFleet) submit(id string, step carobrock.Step, runTime time.Duration, isDeadly bool) {
	f.h.t.Helper()
	f.mu.Lock()
	f.deadly[id] = isDeadly
	if !step.Service {
		f.runTimes[id] = runTime
	}
	f.mu.Unlock()
	f.h.submitJob(id, step)
}

// run runs n machines for d and calls fn beside them.
func (f *crashFleet) run(n int, d time.Duration, fn func()) {
	machines := conc.NewWaitGroup()
	until := time.Now().Add(d)
	for i := range n {
		machines.Go(func() { f.runMachine(i, until) })
	}
	fn()
	machines.Wait()
}

func (f *crashFleet) runMachine(number int, until time.Time) {
	name := fmt.Sprint(number)
	for life := 1; time.Now().Before(until); life++ {
		workerName := "w" + name
		if !f.keepsName {
			workerName = fmt.Sprintf("w%s-%d", name, life)
		}
		v := f.h.newWorker(workerName, 4)
		v.report.Machine, v.report.Started = "m-"+name, time.Now().UnixMilli()
		f.runWorker(v, until)
		time.Sleep(f.downTime + f.downTimeSpread*time.Duration((3*number+7*life)%5)/4)
	}
}

// runWorker runs a worker until it crashes or the time is over.
func (f *crashFleet) runWorker(v *fakeWorker, until time.Time) {
	startedAt := map[carobrock.Run]time.Time{}
	for bornAt := time.Now(); time.Now().Before(until); time.Sleep(40 * time.Millisecond) {
		if v.sendHeartbeat() != nil {
			continue // no leader at the moment
		}
		if f.noteStarts(v, startedAt) {
			time.Sleep(crashDelay)
			f.noteCrash(v)
			return
		}
		f.mu.Lock()
		isOut := slices.ContainsFunc(f.outages, func(at time.Time) bool { return at.After(bornAt) && !time.Now().Before(at) })
		f.mu.Unlock()
		if isOut {
			f.noteCrash(v)
			return
		}
		for _, x := range slices.Clone(v.report.Running) {
			f.mu.Lock()
			runTime, ends := f.runTimes[x.Task.Job]
			f.mu.Unlock()
			if ends && time.Since(startedAt[x.Run]) >= runTime {
				v.endRun(x.Run, carobrock.EndSucceeded)
			}
		}
	}
}

// noteStarts counts new runs and reports whether a deadly one is among the runs.
func (f *crashFleet) noteStarts(v *fakeWorker, startedAt map[carobrock.Run]time.Time) (isDeadly bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range v.report.Running {
		if startedAt[x.Run].IsZero() {
			startedAt[x.Run] = time.Now()
			name := taskName(x.Task)
			f.starts[name]++
			if f.deadly[x.Task.Job] && f.crashes[name] >= bookkeeper.MaxCrashes {
				f.lateStarts[name]++
			}
		}
		isDeadly = isDeadly || f.deadly[x.Task.Job]
	}
	return isDeadly
}

func (f *crashFleet) noteCrash(v *fakeWorker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range v.report.Running {
		f.crashes[taskName(x.Task)]++
	}
}

func taskName(ref carobrock.TaskRef) string { return fmt.Sprintf("%s.%d", ref.Job, ref.Index) }

// maxCrashes returns the largest number of crashes under one task of a job.
func (f *crashFleet) maxCrashes(id string) (n int) {
	for name, crashes := range f.crashes {
		if job, _, _ := strings.Cut(name, "."); job == id {
			n = max(n, crashes)
		}
	}
	return n
}

// check compares the state of each job with what the reference, which knows the
// deadly jobs, says: those are given up after few starts, the others are not. Where
// there were outages, another job may be given up only if more than
// bookkeeper.MaxCrashes workers have crashed under one of its tasks.
func (f *crashFleet) check() {
	f.h.t.Helper()
	for id, isDeadly := range f.deadly {
		want := carobrock.JobSucceeded
		if _, ends := f.runTimes[id]; !ends {
			want = carobrock.JobRunning
		}
		if isDeadly {
			want = carobrock.JobFailed
		}
		got := f.h.jobState(id)
		if got == carobrock.JobFailed && f.outages != nil && f.maxCrashes(id) >= bookkeeper.MaxCrashes+1 {
			continue // cannot be told from a deadly job
		}
		if got != want {
			f.h.t.Errorf("job %s is %s, want %s", id, got, want)
		}
	}
	for name, n := range f.lateStarts {
		if n > maxLateStarts {
			f.h.t.Errorf("task %s was started %d times after three crashes, at most %d are allowed", name, n, maxLateStarts)
		}
	}
	for name, n := range f.starts {
		if job, _, _ := strings.Cut(name, "."); f.deadly[job] && n > maxDeadlyStarts {
			f.h.t.Errorf("deadly task %s was started %d times, at most %d are allowed", name, n, maxDeadlyStarts)
		}
	}
}

func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	service := carobrock.Step{Count: 1, Service: true, Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: 100}}
	gang := oneCoreStep(3)
	gang.Gang = true
	for _, test := range []struct {
		name      string
		step      carobrock.Step
		downTime  time.Duration
		keepsName bool
		// elections are the times of new leaders after the first crash.
		elections []time.Duration
		duration  time.Duration
	}{
		{name: "new name", step: oneCoreStep(1), downTime: 3300 * time.Millisecond},
		{name: "same name", step: oneCoreStep(1), downTime: 3300 * time.Millisecond, keepsName: true},
		{name: "down for longer than the lease", step: oneCoreStep(1), downTime: 7 * time.Second},
		{name: "down for longer than the hold", step: oneCoreStep(1), downTime: 50 * time.Second, duration: 3 * time.Minute},
		{name: "back at once", step: oneCoreStep(1), downTime: 100 * time.Millisecond},
		{name: "new leader before the worker is back", step: oneCoreStep(1), downTime: 3300 * time.Millisecond, elections: []time.Duration{3 * time.Second}},
		{name: "new leader, same name", step: oneCoreStep(1), downTime: 3300 * time.Millisecond, keepsName: true, elections: []time.Duration{3 * time.Second}},
		{name: "new leaders, down for longer than the lease", step: oneCoreStep(1), downTime: 7 * time.Second, elections: []time.Duration{2 * time.Second, 6 * time.Second, 12 * time.Second}},
		{name: "new leader every second", step: oneCoreStep(1), downTime: 3300 * time.Millisecond, elections: []time.Duration{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}},
		{name: "several tasks", step: oneCoreStep(6), downTime: 3300 * time.Millisecond},
		{name: "service", step: service, downTime: 3300 * time.Millisecond},
		{name: "gang", step: gang, downTime: 3300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				f := newCrashFleet(h)
				f.downTime, f.keepsName = test.downTime, test.keepsName
				f.run(5, max(time.Minute, test.duration), func() {
					time.Sleep(time.Second)
					f.submit("service", service, 0, false)
					f.submit("long", oneCoreStep(4), 10*time.Second, false)
					time.Sleep(5 * time.Second)
					f.submit("deadly", test.step, time.Second, true)
					f.submit("short", oneCoreStep(8), time.Second, false)
					submittedAt := time.Now()
					for i, at := range test.elections {
						if at < time.Second {
							at *= time.Second
						}
						time.Sleep(time.Until(submittedAt.Add(at)))
						h.log.setTerm(uint64(i) + 2)
					}
				})
				f.check()
			})
		})
	}
}

// A zone that loses power twice looks like workers that crash under all of their
// tasks.
func TestRepeatedOutageOfAllWorkersFailsNoJob(t *testing.T) {
	for _, test := range []struct {
		name      string
		keepsName bool
		// gap is the time between the two outages.
		gap time.Duration
	}{
		{name: "new names", gap: 4 * time.Second},
		{name: "same names", gap: 4 * time.Second, keepsName: true},
		{name: "long gap", gap: 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				f := newCrashFleet(h)
				f.keepsName = test.keepsName
				f.run(4, 90*time.Second, func() {
					time.Sleep(time.Second)
					service := oneCoreStep(2)
					service.Service = true
					f.submit("service", service, 0, false)
					f.submit("long", oneCoreStep(6), 8*time.Second, false)
					f.submit("short", oneCoreStep(12), 1500*time.Millisecond, false)
					time.Sleep(500 * time.Millisecond)
					f.mu.Lock()
					f.outages = []time.Time{time.Now(), time.Now().Add(test.gap)}
					f.mu.Unlock()
				})
				f.check()
			})
		})
	}
}

// Guards against suspects that keep other tasks from starting: with more suspects
// than workers a new task still starts soon.
func TestSuspectsDoNotBlockOtherTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		f := newCrashFleet(h)
		f.downTime = time.Second
		f.run(4, 40*time.Second, func() {
			time.Sleep(time.Second)
			f.submit("long", oneCoreStep(8), 6*time.Second, false)
			time.Sleep(500 * time.Millisecond)
			f.mu.Lock()
			f.outages = []time.Time{time.Now(), time.Now().Add(3 * time.Second)}
			f.mu.Unlock()
			time.Sleep(3*time.Second + f.downTime + lossTime) // all workers are back, all tasks are suspects
			f.submit("other", oneCoreStep(1), 100*time.Millisecond, false)
			time.Sleep(2 * time.Second)
			if s := h.jobState("other"); s != carobrock.JobSucceeded {
				t.Errorf("job state %s two seconds after its submission, want succeeded", s)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			restarted := 0
			for name, n := range f.starts {
				if name != "other.0" && n >= 3 {
					restarted++
				}
			}
			if restarted != 8 {
				t.Errorf("%d of 8 suspects have started again", restarted)
			}
		})
		f.check()
	})
}

// The tasks of random jobs, some of them deadly, run on machines with random down
// times, among elections and, with odd seeds, two outages of all machines. The
// reference knows which jobs are deadly.
func TestRandomDeadlyTasks(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				h := newHarness(t)
				defer h.stop()
				f := newCrashFleet(h)
				f.downTime = time.Duration(1+rnd.IntN(8)) * time.Second
				f.downTimeSpread = time.Duration(rnd.IntN(3)) * time.Second
				f.keepsName = rnd.IntN(2) == 0
				f.run(6+rnd.IntN(4), 100*time.Second, func() {
					time.Sleep(time.Second)
					for i := range 14 {
						step := oneCoreStep(1 + rnd.IntN(3))
						isDeadly := i%4 == 3
						if kind := rnd.IntN(5); kind == 0 {
							step.Gang = true
						} else if kind == 1 {
							step.Service = true
						}
						if isDeadly {
							step.Count = 1
						}
						if i == 5 && seed%2 == 1 {
							f.mu.Lock()
							f.outages = []time.Time{time.Now(), time.Now().Add(time.Duration(3+rnd.IntN(10)) * time.Second)}
							f.mu.Unlock()
						}
						f.submit(fmt.Sprint("job", i), step, time.Duration(200+rnd.IntN(6000))*time.Millisecond, isDeadly)
						if rnd.IntN(4) == 0 {
							h.log.setTerm(uint64(i) + 2)
						}
						time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
					}
				})
				f.check()
			})
		})
	}
}

// Guards against a new leader that waits for the longest lease of a worker although
// a newer one has replaced it: it did not know the machine of the earlier one.
func TestNewLeaderRecognizesARestartOnTheMachine(t *testing.T) {
	for _, test := range []struct {
		name    string
		newName string
	}{
		{name: "new name", newName: "b"},
		{name: "same name", newName: "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a := h.newWorker("a", 4)
				h.must(a.sendHeartbeat())
				h.submitJob("job", oneCoreStep(1))
				a.sendHeartbeatsFor(300 * time.Millisecond)
				h.log.setTerm(2)
				b := h.newWorker(test.newName, 4)
				b.report.Machine, b.report.Started = "m-a", 2
				b.sendHeartbeatsFor(time.Second)
				if diff := cmp.Diff([]string{"job.0#2"}, b.runNames()); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// lossTime is a little longer than the time from the end of a worker until its runs
// are assigned again.
const lossTime = 1300 * time.Millisecond

// crashTwice lets two workers crash right after they have started the only task.
func crashTwice(h *harness) {
	h.t.Helper()
	for i := range 2 {
		v := h.newWorker(fmt.Sprint("crashed-", i), 4)
		v.report.Machine, v.report.Started = "m", int64(i+1)
		v.sendHeartbeatsFor(lossTime)
		if len(v.runNames()) != 1 {
			h.t.Fatalf("runs %v on worker %d, want one", v.runNames(), i)
		}
	}
}

// A suspect keeps other tasks away from its worker until its run is proven. Later
// crashes then count from zero.
func TestIsolationEndsWhenTheRunIsProven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.submitJob("suspect", oneCoreStep(1))
		crashTwice(h)
		c := h.newWorker("c", 4)
		c.report.Machine, c.report.Started = "m", 3
		c.sendHeartbeatsFor(lossTime)
		h.submitJob("other", oneCoreStep(1))
		c.sendHeartbeatsFor(2 * time.Second)
		if got := c.runNames(); !cmp.Equal(got, []string{"suspect.0#3"}) {
			t.Fatalf("runs %v, want only the suspect", got)
		}
		c.sendHeartbeatsFor(1500 * time.Millisecond)
		if got := len(c.runNames()); got != 2 {
			t.Fatalf("runs %v after the suspect was proven, want two", c.runNames())
		}
		d := h.newWorker("d", 4)
		d.report.Machine, d.report.Started = "m", 4
		d.sendHeartbeatsFor(lossTime)
		if s := h.jobState("suspect"); s != carobrock.JobRunning || len(d.runNames()) != 2 {
			t.Errorf("job state %s, runs %v, want a running job and two runs", s, d.runNames())
		}
	})
}

// crashesOf returns the crashes that were counted against the only task of a job,
// and its unresolved losses.
func (h *harness) crashesOf(job string) (crashes, unresolved int) {
	h.stateMachine.View(func(s *bookkeeper.State) {
		ref := carobrock.TaskRef{Job: job}
		if _, _, t := s.Task(ref); t != nil {
			crashes, unresolved = t.Crashes, s.UnresolvedLosses()[ref]
		}
	})
	return crashes, unresolved
}

// Workers that leave, and workers that run on after their leases have expired, have
// not crashed. Others have when a newer worker runs on their machine.
func TestOnlyReplacedWorkersHaveCrashed(t *testing.T) {
	leave := func(h *harness, v *fakeWorker) {
		v.report.Leaving = true
		h.must(v.sendHeartbeat())
	}
	for _, test := range []struct {
		name string
		// end ends a worker that has just started the task.
		end            func(h *harness, v *fakeWorker)
		wantUnresolved int
		// wantCrashes is the number of crashes after a newer worker has joined.
		wantCrashes int
	}{
		{name: "crashed", end: func(*harness, *fakeWorker) {}, wantCrashes: 1},
		{name: "proven", end: func(_ *harness, v *fakeWorker) { v.sendHeartbeatsFor(4 * time.Second) }},
		{name: "crashed long ago", end: func(*harness, *fakeWorker) { time.Sleep(2 * testLease) }, wantUnresolved: 1, wantCrashes: 1},
		{name: "left", end: func(h *harness, v *fakeWorker) {
			leave(h, v)
			h.must(h.d.RemoveWorker(context.Background(), v.report.Name))
		}},
		{name: "left without a farewell", end: leave},
		{name: "left without a farewell long ago", end: func(h *harness, v *fakeWorker) {
			leave(h, v)
			time.Sleep(2 * testLease)
		}},
		{name: "runs on after its leases have expired", end: func(_ *harness, v *fakeWorker) {
			time.Sleep(2 * testLease)
			v.report.Running = nil
			v.sendHeartbeatsFor(2 * time.Second) // starts the task again
		}, wantCrashes: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				v := h.newWorker("a", 4)
				h.must(v.sendHeartbeat())
				h.submitJob("job", oneCoreStep(1))
				v.sendHeartbeatsFor(300 * time.Millisecond)
				test.end(h, v)
				time.Sleep(100 * time.Millisecond)
				if crashes, unresolved := h.crashesOf("job"); crashes != 0 || unresolved != test.wantUnresolved {
					t.Errorf("%d crashes and %d unresolved losses while the worker's end is unknown, want 0 and %d", crashes, unresolved, test.wantUnresolved)
				}
				b := h.newWorker("b", 4)
				b.report.Machine, b.report.Started = "m-a", 2
				b.sendHeartbeatsFor(lossTime)
				if crashes, unresolved := h.crashesOf("job"); crashes != test.wantCrashes || unresolved != 0 {
					t.Errorf("%d crashes and %d unresolved losses, want %d and 0", crashes, unresolved, test.wantCrashes)
				}
			})
		})
	}
}

// An outage of most workers during the isolation says nothing about the suspect.
func TestOutageDuringIsolationDoesNotGiveTheTaskUp(t *testing.T) {
	for _, test := range []struct {
		name    string
		crashed int // number of workers that crash, the one with the suspect first
		want    carobrock.JobState
	}{
		{name: "one worker", crashed: 1, want: carobrock.JobFailed},
		{name: "all workers", crashed: 5, want: carobrock.JobRunning},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				time.Sleep(5 * time.Second) // the leader knows what has happened lately
				h.submitJob("job", oneCoreStep(1))
				crashTwice(h)
				c := h.newWorker("c", 4)
				c.report.Machine, c.report.Started = "m", 3
				c.sendHeartbeatsFor(lossTime)
				fleet := []*fakeWorker{c}
				for i := range 4 {
					fleet = append(fleet, h.newWorker(fmt.Sprint("w", i), 4))
				}
				h.sendHeartbeats(10, fleet...)
				if got := c.runNames(); !cmp.Equal(got, []string{"job.0#3"}) {
					t.Fatalf("runs %v, want the suspect", got)
				}
				h.sendHeartbeats(50, fleet[test.crashed:]...)
				for i, v := range fleet[:test.crashed] {
					next := h.newWorker(fmt.Sprint("next-", i), 4)
					next.report.Machine, next.report.Started = v.report.Machine, 4
					fleet[i] = next
				}
				h.sendHeartbeats(20, fleet...)
				if s := h.jobState("job"); s != test.want {
					t.Errorf("job state %s, want %s", s, test.want)
				}
			})
		})
	}
}

// Guards against a leader that does not count the losses of the first seconds of its term.
func TestOutageAtTheStartOfATermDoesNotGiveTheTaskUp(t *testing.T) {
	for _, test := range []struct {
		name    string
		crashed int // number of workers that crash, the one with the suspect first
		want    carobrock.JobState
	}{
		{name: "one worker", crashed: 1, want: carobrock.JobFailed},
		{name: "all workers", crashed: 5, want: carobrock.JobRunning},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				h.submitJob("job", oneCoreStep(1))
				crashTwice(h)
				c := h.newWorker("c", 4)
				c.report.Machine, c.report.Started = "m", 3
				c.sendHeartbeatsFor(lossTime)
				fleet := []*fakeWorker{c}
				for i := range 4 {
					fleet = append(fleet, h.newWorker(fmt.Sprint("w", i), 4))
				}
				h.log.setTerm(2)
				elected := time.Now()
				h.sendHeartbeats(4, fleet...)
				if got := c.runNames(); !cmp.Equal(got, []string{"job.0#3"}) {
					t.Fatalf("runs %v, want the suspect", got)
				}
				restart := func(i int) {
					next := h.newWorker(fmt.Sprint("next-", i), 4)
					next.report.Machine, next.report.Started = fleet[i].report.Machine, 4
					fleet[i] = next
				}
				time.Sleep(500 * time.Millisecond)
				for i := 1; i < test.crashed; i++ {
					restart(i)
				}
				for time.Since(elected) < 3200*time.Millisecond {
					h.sendHeartbeats(1, fleet[1:]...)
				}
				restart(0)
				h.sendHeartbeats(20, fleet...)
				if s := h.jobState("job"); s != test.want {
					t.Errorf("job state %s, want %s", s, test.want)
				}
			})
		})
	}
}

// Guards against taking workers that joined after an outage for its survivors.
func TestOutageOfTheOnlyWorkerDoesNotGiveTheTaskUp(t *testing.T) {
	for _, test := range []struct {
		name string
		// areThere is set if the other workers were there before the crash.
		areThere bool
		want     carobrock.JobState
	}{
		{name: "others survive", areThere: true, want: carobrock.JobFailed},
		{name: "others are back later", want: carobrock.JobRunning},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				time.Sleep(5 * time.Second) // the leader knows what has happened lately
				h.submitJob("job", oneCoreStep(1))
				crashTwice(h)
				c := h.newWorker("c", 4)
				c.report.Machine, c.report.Started = "m", 3
				c.sendHeartbeatsFor(lossTime)
				var others []*fakeWorker
				for i := range 7 {
					others = append(others, h.newWorker(fmt.Sprint("w", i), 4))
				}
				if test.areThere {
					h.sendHeartbeats(1, others...)
				}
				h.must(c.sendHeartbeat())
				if got := c.runNames(); !cmp.Equal(got, []string{"job.0#3"}) {
					t.Fatalf("runs %v, want the suspect", got)
				}
				h.sendHeartbeats(5, others...)
				h.sendHeartbeats(10, others[2:]...) // two are silent
				next := h.newWorker("next", 4)
				next.report.Machine, next.report.Started = c.report.Machine, 4
				h.sendHeartbeats(20, append(others[2:], next)...)
				if s := h.jobState("job"); s != test.want {
					t.Errorf("job state %s, want %s", s, test.want)
				}
			})
		})
	}
}

// Guards against a suspect that waits without end since more urgent tasks, which
// never settle, take every worker first.
func TestSuspectStartsAmongShortTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.submitJob("suspect", oneCoreStep(1))
		crashTwice(h)
		urgent := oneCoreStep(300)
		urgent.EstimateMillis = 100_000
		h.submitJob("urgent", urgent)
		c := h.newWorker("c", 4)
		c.report.Machine, c.report.Started = "m", 3
		startedAt := map[carobrock.Run]time.Time{}
		for joined := time.Now(); time.Since(joined) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
			h.must(c.sendHeartbeat())
			for _, x := range slices.Clone(c.report.Running) {
				if x.Task.Job == "suspect" {
					return
				}
				if startedAt[x.Run].IsZero() {
					startedAt[x.Run] = time.Now()
				} else if time.Since(startedAt[x.Run]) > 300*time.Millisecond {
					c.endRun(x.Run, carobrock.EndSucceeded)
				}
			}
		}
		t.Errorf("the suspect has not started in four seconds, %d other tasks have", len(startedAt))
	})
}
