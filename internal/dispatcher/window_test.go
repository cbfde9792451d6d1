package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// repeatedJob returns a job of the given steps of which n occurrences are due, and that
// many more are not.
func repeatedJob(id string, n int, steps ...carobrock.Step) *carobrock.JobSpec {
	first := time.Now().Add(-time.Duration(n-1)*time.Hour - time.Minute).UnixMilli()
	return &carobrock.JobSpec{ID: id, Queue: queueKey, Repetitions: 2 * n, FirstUnixMillis: first, IntervalMillis: time.Hour.Milliseconds(), Steps: steps}
}

// oneCoreSteps returns n steps of count tasks each that depend on no other.
func oneCoreSteps(n, count int) []carobrock.Step {
	out := make([]carobrock.Step, n)
	for i := range out {
		out[i] = oneCoreStep(count)
	}
	return out
}

func (h *harness) submit(spec *carobrock.JobSpec) {
	h.t.Helper()
	_, err := h.d.SubmitJob(context.Background(), spec)
	h.must(err)
}

// Guards against a leader that runs out of memory, or answers no heartbeat in time, because
// of the number of repetitions, steps and tasks of an accepted job.
func TestRoundSizeFollowsWhatCanBePlaced(t *testing.T) {
	const (
		steps = 64
		// A round assigns some 300 tasks.
		maxRequests = steps + 400
		maxTasks    = 2000
	)
	gang := oneCoreStep(100_000)
	gang.Gang = true
	label := oneCoreStep(1)
	label.Label = "no worker has it"
	for _, test := range []struct {
		name string
		// specs are submitted before the round.
		specs func() []*carobrock.JobSpec
		// maxTasks bounds the tasks of the round, zero means maxTasks.
		maxTasks int
	}{
		{"many repetitions of many steps", func() []*carobrock.JobSpec {
			return []*carobrock.JobSpec{repeatedJob("j", 5000, oneCoreSteps(steps, 1)...)}
		}, 0},
		{"many tasks", func() []*carobrock.JobSpec {
			return []*carobrock.JobSpec{{ID: "j", Queue: queueKey, Steps: oneCoreSteps(1, 100_000)}}
		}, 0},
		{"many repetitions of many tasks", func() []*carobrock.JobSpec {
			return []*carobrock.JobSpec{repeatedJob("j", 5000, oneCoreStep(50_000))}
		}, 0},
		{"many repetitions that no worker can run", func() []*carobrock.JobSpec {
			return []*carobrock.JobSpec{repeatedJob("j", 5000, label, label)}
		}, 0},
		{"gang of many tasks", func() []*carobrock.JobSpec {
			return []*carobrock.JobSpec{repeatedJob("j", 5000, gang)}
		}, 100_000},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				for _, spec := range test.specs() {
					h.submit(spec)
				}
				requests, tasks := h.d.RoundSize()
				if requests == 0 || requests > maxRequests || tasks > max(test.maxTasks, maxTasks) {
					t.Errorf("%d requests for %d tasks, want at most %d for %d", requests, tasks, maxRequests, max(test.maxTasks, maxTasks))
				}
				h.cancelJob("j")
				if requests, _ := h.d.RoundSize(); requests != 0 {
					t.Errorf("%d requests after the cancellation", requests)
				}
			})
		})
	}
}

// Guards against many jobs that together make a round too large although each is within
// its bounds.
func TestRoundSizeOfManyWideJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, steps, maxRequests = 100, 4, 100*4 + 4500
		h := newHarness(t)
		defer h.stop()
		for i := range jobs {
			h.submit(repeatedJob(fmt.Sprint("j", i), 1000, oneCoreSteps(steps, 1)...))
		}
		if requests, _ := h.d.RoundSize(); requests < jobs*steps || requests > maxRequests {
			t.Errorf("%d requests, want between %d and %d", requests, jobs*steps, maxRequests)
		}
	})
}

// Guards against a bound on the size of a round that keeps tasks from running: those of
// later steps, of late or new occurrences, and of other jobs.
func TestWideJobsRunToCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		workers := make([]*fakeWorker, 6)
		for i := range workers {
			workers[i] = h.newWorker(fmt.Sprint("w", i), 64)
		}
		after := oneCoreStep(2)
		after.After = []int{0}
		h.submit(repeatedJob("repeated", 700, oneCoreStep(1), after))
		h.submit(&carobrock.JobSpec{ID: "many", Queue: queueKey, Steps: oneCoreSteps(1, 1500)})
		h.submit(&carobrock.JobSpec{ID: "small", Queue: queueKey, Steps: oneCoreSteps(1, 1)})
		starts := map[carobrock.TaskRef]int{}
		for range 400 {
			h.sendHeartbeats(1, workers...)
			for _, v := range workers {
				for len(v.report.Running) > 0 {
					starts[v.report.Running[0].Task]++
					v.endRun(v.report.Running[0].Run, carobrock.EndSucceeded)
				}
			}
		}
		for task, n := range starts {
			if n != 1 {
				t.Errorf("task %v was started %d times", task, n)
			}
		}
		if got, want := len(starts), 700*3+1500+1; got != want {
			t.Errorf("%d tasks were started, want %d", got, want)
		}
		for id, want := range map[string]carobrock.JobState{"repeated": carobrock.JobRunning, "many": carobrock.JobSucceeded, "small": carobrock.JobSucceeded} {
			if got := h.jobState(id); got != want {
				t.Errorf("job %s: state %q, want %q", id, got, want)
			}
		}
	})
}

// Guards against tasks that can run but never do because those before them in the same job
// cannot: the first step needs a label that no worker has, and the second one waits for
// it in all but some occurrences.
func TestBlockedStepsDoNotHideOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const occurrences = 1500
		h := newHarness(t)
		defer h.stop()
		v := h.newWorker("w", 64)
		blocked := oneCoreStep(1)
		blocked.Label = "no worker has it"
		h.submit(repeatedJob("j", occurrences, blocked, oneCoreStep(1)))
		starts := map[carobrock.TaskRef]int{}
		run := func(beats int, v *fakeWorker) {
			for range beats {
				h.sendHeartbeats(1, v)
				for len(v.report.Running) > 0 {
					starts[v.report.Running[0].Task]++
					v.endRun(v.report.Running[0].Run, carobrock.EndSucceeded)
				}
			}
		}
		run(100, v)
		if len(starts) != occurrences {
			t.Errorf("%d tasks of the second step have run, want %d", len(starts), occurrences)
		}
		// All occurrences are started and wait for the first step. They take turns.
		labelled := h.newWorker("labelled", 64)
		labelled.report.Labels = []string{blocked.Label}
		run(100, labelled)
		if len(starts) != 2*occurrences {
			t.Errorf("%d tasks have run once a worker has the label, want %d", len(starts), 2*occurrences)
		}
		for task, n := range starts {
			if n != 1 {
				t.Errorf("task %v was started %d times", task, n)
			}
		}
		h.stateMachine.View(func(s *bookkeeper.State) {
			if j := s.Jobs["j"]; len(j.Started) != 0 || j.OpenOccurrences != occurrences {
				t.Errorf("%d occurrences are started and %d open, want 0 and %d", len(j.Started), j.OpenOccurrences, occurrences)
			}
		})
	})
}

// Guards against occurrences that can run but never do because an earlier one has more
// tasks than may run on the workers at the same time.
func TestSpreadOccurrencesDoNotHideOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const occurrences, workers = 350, 4
		h := newHarness(t)
		defer h.stop()
		fleet := make([]*fakeWorker, workers)
		for i := range fleet {
			fleet[i] = h.newWorker(fmt.Sprint("w", i), 64)
		}
		step := carobrock.Step{Count: 400, Size: carobrock.Capacity{MilliCPU: 10}, MaxPerWorker: 1}
		h.submit(repeatedJob("j", occurrences, step))
		h.sendHeartbeats(60, fleet...)
		running := 0
		for _, v := range fleet {
			running += len(v.report.Running)
		}
		if running != occurrences*workers {
			t.Errorf("%d tasks run, want %d", running, occurrences*workers)
		}
	})
}

// Guards against occurrences that are due now and wait behind a backlog of the same job,
// although only they can end in time.
func TestNewestOccurrencesAreConsidered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		spec := &carobrock.JobSpec{ID: "j", Queue: queueKey, Repetitions: 10_000, FirstUnixMillis: time.Now().UnixMilli(), IntervalMillis: 10, Steps: oneCoreSteps(1, 1)}
		h.submit(spec)
		time.Sleep(30 * time.Second)
		due := spec.DueOccurrences(time.Now().UnixMilli())
		v := h.newWorker("w", 4)
		h.sendHeartbeats(3, v)
		newest := 0
		for _, x := range v.report.Running {
			newest = max(newest, x.Task.Occurrence)
		}
		if newest < due-1 {
			t.Errorf("the newest occurrence that runs is %d, want at least %d", newest, due-1)
		}
	})
}

// Guards against a status of the client accounts that leaves out the tasks that a round
// does not consider.
func TestWaitingTasksOfWideJobsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		c := newConfiguration(2)
		c.Accounts = []carobrock.ClientAccount{{Name: "a", Weight: 1, Limit: carobrock.Capacity{MilliCPU: 2000}}}
		h.must(h.d.Configure(context.Background(), c))
		spec := repeatedJob("j", 3000, oneCoreStep(3))
		spec.Account = "a"
		h.submit(spec)
		v := h.newWorker("w", 64)
		h.sendHeartbeats(10, v)
		if len(v.report.Running) != 2 {
			t.Fatalf("%d tasks run, want 2", len(v.report.Running))
		}
		if total, limited := h.d.WaitingOfFirstAccount(); total != 3000*3-2 || limited != total {
			t.Errorf("%d tasks wait, %d because of the limit, want %d for both", total, limited, 3000*3-2)
		}
	})
}
