package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// A worker that is restarted again and again, before it has heard of the task that was
// assigned to it, brought the task under suspicion until its job failed.
func TestTaskThatNeverReachedAWorkerIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		for started := int64(1); started <= 8; started++ {
			v := h.newWorker("a", 4)
			v.report.Started = started
			// The loss of the incarnation before is committed a second after its end.
			for until := time.Now().Add(970 * time.Millisecond); time.Now().Before(until); {
				h.must(v.sendHeartbeat())
				if len(v.report.Running) > 0 {
					t.Fatalf("incarnation %d was told to start %v, want no start", started, v.runNames())
				}
			}
			if started == 1 {
				h.submitJob("job", oneCoreStep(1))
			}
			time.Sleep(400 * time.Millisecond)
			if _, ok := assignedRun(h, "a", started); !ok {
				t.Errorf("nothing is assigned to incarnation %d, want the task", started)
			}
		}
		v := h.newWorker("a", 4)
		v.report.Started = 9
		v.sendHeartbeatsFor(5 * time.Second)
		if s := h.jobState("job"); s != carobrock.JobRunning || len(v.report.Running) != 1 {
			t.Errorf("state %v, runs %v, want the task to run", s, v.runNames())
		}
	})
}

// assignedRun returns a run that is recorded on an incarnation of a worker.
func assignedRun(h *harness, name string, started int64) (found carobrock.Run, ok bool) {
	h.stateMachine.View(func(s *bookkeeper.State) {
		if rec := s.Workers[carobrock.WorkerIncarnation{Name: name, Started: started}]; rec != nil {
			for run := range rec.Runs {
				found, ok = run, true
			}
		}
	})
	return found, ok
}

// The same for an assignment that is being committed while its worker is restarted.
func TestAssignmentUnderWayDuringARestartIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		v := h.newWorker("a", 4)
		h.must(v.sendHeartbeat())
		h.submitJob("job", oneCoreStep(1))
		h.log.delayNextCommit(300 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		successor := h.newWorker("a", 4)
		successor.report.Started = 2
		h.must(successor.sendHeartbeat())
		time.Sleep(300 * time.Millisecond)
		if _, ok := assignedRun(h, "a", 1); !ok {
			t.Fatal("nothing is assigned to the first incarnation, want the task")
		}
		successor.sendHeartbeatsFor(2 * time.Second)
		if diff := cmp.Diff([]string{"job.0#2"}, successor.runNames()); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
		h.stateMachine.View(func(s *bookkeeper.State) {
			if _, _, task := s.Task(carobrock.TaskRef{Job: "job"}); task.Crashes > 0 {
				t.Errorf("%d crashes are counted against the task, want none", task.Crashes)
			}
		})
	})
}
