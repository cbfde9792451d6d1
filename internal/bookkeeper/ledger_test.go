package bookkeeper_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const queue = "h/q/"

var (
	workerA = carobrock.WorkerIncarnation{Name: "a", Started: 1}
	workerB = carobrock.WorkerIncarnation{Name: "b", Started: 1}
)

// testStateMachine applies commands with consecutive log indexes.
type testStateMachine struct {
	t *testing.T
	*bookkeeper.StateMachine
	index uint64
}

func newStateMachine(t *testing.T) *testStateMachine {
	l := &testStateMachine{t: t, StateMachine: &bookkeeper.StateMachine{}}
	l.Prepare()
	l.applyCommand(&carobrock.JobCommand{Configuration: &carobrock.Configuration{
		Version: 3, Pools: []carobrock.WorkerPool{{Name: "pool"}},
		Queues: []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 2, TimeoutMillis: 1000}},
	}})
	return l
}

func (l *testStateMachine) applyCommand(c *carobrock.JobCommand) *carobrock.JobResult {
	l.t.Helper()
	data, err := c.Encode()
	if err != nil {
		l.t.Fatal(err)
	}
	l.index++
	res, ok := l.Apply(l.index, data).(*carobrock.JobResult)
	if !ok {
		l.t.Fatalf("command %d was not applied", l.index)
	}
	return res
}

func (l *testStateMachine) submitJob(id string, steps ...carobrock.Step) {
	l.t.Helper()
	l.applyCommand(&carobrock.JobCommand{Submit: []carobrock.JobSpec{{ID: id, Queue: queue, Steps: steps}}})
}

func (l *testStateMachine) jobState(id string) (state carobrock.JobState) {
	l.View(func(s *bookkeeper.State) {
		if j := s.Jobs[id]; j != nil {
			state = j.State
		}
	})
	return state
}

func taskRef(step, index int) carobrock.TaskRef {
	return carobrock.TaskRef{Job: "job", Step: step, Index: index}
}

func newAssignment(step, index int, attempt uint64, incarnation carobrock.WorkerIncarnation) carobrock.TaskAssignment {
	return carobrock.TaskAssignment{Task: taskRef(step, index), Attempt: attempt, Incarnation: incarnation}
}

func endsCommand(incarnation carobrock.WorkerIncarnation, es ...carobrock.RunEnd) *carobrock.JobCommand {
	return &carobrock.JobCommand{Ends: []carobrock.WorkerEnds{{Incarnation: incarnation, Ends: es}}}
}

func newRunEnd(number uint64, step, index int, attempt uint64, kind carobrock.EndKind) carobrock.RunEnd {
	return carobrock.RunEnd{Number: number, Task: taskRef(step, index), Attempt: attempt, Kind: kind}
}

// activeAttempts returns the attempt numbers of the active runs of a task.
func (l *testStateMachine) activeAttempts(step, index int) []uint64 {
	var out []uint64
	l.View(func(s *bookkeeper.State) {
		if _, _, t := s.Task(taskRef(step, index)); t != nil {
			for _, r := range t.Runs {
				out = append(out, r.Attempt)
			}
		}
	})
	return out
}

func TestAssignmentsThatDoNotFitChangeNothing(t *testing.T) {
	for _, test := range []struct {
		name        string
		speculative bool
		before      []carobrock.TaskAssignment
		next        carobrock.TaskAssignment
		want        []uint64
	}{
		{name: "first", next: newAssignment(0, 0, 1, workerA), want: []uint64{1}},
		{name: "attempt too high", next: newAssignment(0, 0, 2, workerA)},
		{name: "second run", before: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA)}, next: newAssignment(0, 0, 2, workerB), want: []uint64{1}},
		{name: "second run of a speculative step", speculative: true, before: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA)}, next: newAssignment(0, 0, 2, workerB), want: []uint64{1, 2}},
		{name: "same attempt twice", before: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA)}, next: newAssignment(0, 0, 1, workerB), want: []uint64{1}},
		{name: "no such task", next: newAssignment(0, 7, 1, workerA)},
		{name: "no such step", next: newAssignment(7, 0, 1, workerA)},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newStateMachine(t)
			l.submitJob("job", carobrock.Step{Count: 2, Speculative: test.speculative})
			for _, a := range append(test.before, test.next) {
				l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{a}})
			}
			if diff := cmp.Diff(test.want, l.activeAttempts(0, 0)); diff != "" {
				t.Errorf("active attempts (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDependentStepWaits(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 2}, carobrock.Step{Count: 1, After: []int{0}})
	second := &carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(1, 0, 1, workerA)}}
	l.applyCommand(second)
	l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA), newAssignment(0, 1, 1, workerA)}})
	l.applyCommand(endsCommand(workerA, newRunEnd(1, 0, 0, 1, carobrock.EndSucceeded)))
	l.applyCommand(second)
	if got := l.activeAttempts(1, 0); got != nil {
		t.Fatalf("the second step started before the first one was done: attempts %v", got)
	}
	l.applyCommand(endsCommand(workerA, newRunEnd(2, 0, 1, 1, carobrock.EndSucceeded)))
	l.applyCommand(second)
	l.applyCommand(endsCommand(workerA, newRunEnd(3, 1, 0, 1, carobrock.EndSucceeded)))
	if s := l.jobState("job"); s != carobrock.JobSucceeded {
		t.Errorf("job state %s, want succeeded", s)
	}
}

func TestEndsCountOnce(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 1})
	l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA)}})
	failed := endsCommand(workerA, newRunEnd(1, 0, 0, 1, carobrock.EndFailed))
	l.applyCommand(failed)
	l.applyCommand(failed) // a worker repeats an end until it is acknowledged
	if s := l.jobState("job"); s != carobrock.JobRunning {
		t.Fatalf("job state %s after one failure of two, want running", s)
	}
	l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, 2, workerA)}})
	l.applyCommand(endsCommand(workerA, newRunEnd(2, 0, 0, 2, carobrock.EndFailed)))
	if s := l.jobState("job"); s != carobrock.JobFailed {
		t.Errorf("job state %s after two failures of two, want failed", s)
	}
}

// Guards against counting a failure twice, which ended a job that had attempts left:
// a heartbeat that arrives after its worker has left repeats ends that are recorded.
func TestFailureReportedAgainAfterWorkerLeftCountsOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		step carobrock.Step
	}{
		{"single tasks", carobrock.Step{Count: 2}},
		{"gang", carobrock.Step{Count: 2, Gang: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newStateMachine(t)
			l.submitJob("job", test.step)
			l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA), newAssignment(0, 1, 1, workerA)}})
			failed := endsCommand(workerA, newRunEnd(1, 0, 0, 1, carobrock.EndFailed))
			l.applyCommand(failed)
			l.applyCommand(&carobrock.JobCommand{Lost: []carobrock.LostWorker{{Incarnation: workerA, IncarnationEnded: true}}})
			l.applyCommand(failed)
			if s := l.jobState("job"); s != carobrock.JobRunning {
				t.Errorf("job state %s after one failure of two, want running", s)
			}
		})
	}
}

func TestServiceIsNeverDone(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 1, Service: true})
	for attempt, kind := range []carobrock.EndKind{carobrock.EndFailed, carobrock.EndFailed, carobrock.EndFailed, carobrock.EndSucceeded} {
		n := uint64(attempt) + 1
		l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, n, workerA)}})
		l.applyCommand(endsCommand(workerA, newRunEnd(n, 0, 0, n, kind)))
	}
	if s := l.jobState("job"); s != carobrock.JobRunning {
		t.Errorf("job state %s, want running", s)
	}
}

func TestLostWorker(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 1, Checkpoints: true})
	l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA)}})
	l.applyCommand(&carobrock.JobCommand{Lost: []carobrock.LostWorker{{
		Incarnation: workerA, Checkpoints: []carobrock.RunCheckpoint{{Task: taskRef(0, 0), Attempt: 1, Checkpoint: "c1"}},
	}}})
	if got := l.activeAttempts(0, 0); len(got) != 0 {
		t.Fatalf("attempts %v are active after the worker was lost", got)
	}
	l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, 2, workerB)}})
	// The lost worker comes back and reports the end of the run that was recorded as
	// lost.
	l.applyCommand(endsCommand(workerA, newRunEnd(1, 0, 0, 1, carobrock.EndSucceeded)))
	if s := l.jobState("job"); s != carobrock.JobRunning {
		t.Errorf("the end of a superseded run put the job into state %s", s)
	}
	l.View(func(s *bookkeeper.State) {
		if _, _, task := s.Task(taskRef(0, 0)); task.Checkpoint != "c1" {
			t.Errorf("checkpoint %q, want c1", task.Checkpoint)
		}
	})
}

// Guards against counting a failure again that a departed worker has listed in a late
// heartbeat: the job failed before its attempts were used up.
func TestFailureOfADepartedWorkerCountsOnce(t *testing.T) {
	const leftAt, retention = 1000, 600_000
	for _, test := range []struct {
		name string
		// restore is set if the state goes through a snapshot before the late heartbeat.
		restore bool
	}{
		{name: "late heartbeat"},
		{name: "late heartbeat after a restore", restore: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newStateMachine(t)
			l.submitJob("job", carobrock.Step{Count: 1})
			l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA)}})
			failed := endsCommand(workerA, newRunEnd(1, 0, 0, 1, carobrock.EndFailed))
			l.applyCommand(failed)
			l.applyCommand(&carobrock.JobCommand{Lost: []carobrock.LostWorker{{Incarnation: workerA, IncarnationEnded: true}}, AtUnixMillis: leftAt})
			if test.restore {
				data, err := l.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if err := l.Restore(l.index, data); err != nil {
					t.Fatal(err)
				}
			}
			l.applyCommand(failed)
			if s := l.jobState("job"); s != carobrock.JobRunning {
				t.Errorf("job state %s after one failure of two, want running", s)
			}
			for _, expiry := range []struct {
				at   int64
				want int
			}{{leftAt + retention - 1, 1}, {leftAt + retention + 1, 0}} {
				l.applyCommand(&carobrock.JobCommand{AtUnixMillis: expiry.at})
				l.View(func(s *bookkeeper.State) {
					if len(s.Workers) != expiry.want {
						t.Errorf("%d worker records %d ms after the worker left, want %d", len(s.Workers), expiry.at-leftAt, expiry.want)
					}
				})
			}
		})
	}
}

func TestGangEndsTogether(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 2, Gang: true})
	assignBoth := func(attempt uint64) *carobrock.JobCommand {
		return &carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, attempt, workerA), newAssignment(0, 1, attempt, workerB)}}
	}
	l.applyCommand(assignBoth(1))
	l.applyCommand(endsCommand(workerA, newRunEnd(1, 0, 0, 1, carobrock.EndFailed)))
	l.applyCommand(endsCommand(workerB, newRunEnd(1, 0, 1, 1, carobrock.EndFailed))) // counts as the same failed attempt
	if s := l.jobState("job"); s != carobrock.JobRunning {
		t.Fatalf("job state %s after one failed attempt of two, want running", s)
	}
	l.applyCommand(assignBoth(2))
	l.applyCommand(endsCommand(workerA, newRunEnd(2, 0, 0, 2, carobrock.EndSucceeded)))
	if s := l.jobState("job"); s != carobrock.JobSucceeded {
		t.Errorf("job state %s, want succeeded", s)
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	l := newStateMachine(t)
	for _, version := range []int64{2, 3, 5, 4} {
		l.applyCommand(&carobrock.JobCommand{Configuration: &carobrock.Configuration{Version: version, Document: []byte{byte(version)}}})
	}
	l.View(func(s *bookkeeper.State) {
		if s.Configuration.Version != 5 || s.Configuration.Document[0] != 5 {
			t.Errorf("version %d is in effect, want 5", s.Configuration.Version)
		}
	})
}

func TestSubmitIsIdempotent(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 1})
	res := l.applyCommand(&carobrock.JobCommand{Submit: []carobrock.JobSpec{
		{ID: "job", Queue: queue, Steps: []carobrock.Step{{Count: 9}}}, {ID: "job", Queue: "h/other/"},
	}})
	if diff := cmp.Diff([]bool{true, false}, res.Submitted); diff != "" {
		t.Errorf("Submitted (-want +got):\n%s", diff)
	}
	l.View(func(s *bookkeeper.State) {
		if len(s.Open) != 1 || l.PendingJobs(queue) != 1 {
			t.Errorf("%d open jobs and %d pending, want 1 and 1", len(s.Open), l.PendingJobs(queue))
		}
	})
}

// A snapshot includes the runs of ended jobs, as they use capacity until they
// end.
func TestSnapshotHoldsEverything(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 2, Size: carobrock.Capacity{MilliCPU: 700}})
	l.submitJob("waiting", carobrock.Step{Count: 1})
	l.applyCommand(&carobrock.JobCommand{
		Zones:  []carobrock.ZoneChange{{Name: "az1", OutOfService: true}},
		Assign: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA), newAssignment(0, 1, 1, workerB)},
	})
	l.applyCommand(&carobrock.JobCommand{Machines: []carobrock.WorkerMachine{{Incarnation: workerA, Machine: "m"}}})
	l.applyCommand(endsCommand(workerB, newRunEnd(4, 0, 1, 1, carobrock.EndSucceeded)))
	l.applyCommand(&carobrock.JobCommand{Cancel: []carobrock.JobKey{{ID: "job", Queue: queue}}, AtUnixMillis: 1000})
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &bookkeeper.StateMachine{}
	restored.Prepare()
	if err := restored.Restore(9, data); err != nil {
		t.Fatal(err)
	}
	restored.View(func(s *bookkeeper.State) {
		if s.Jobs["job"].State != carobrock.JobCancelled || len(s.Open) != 1 || restored.PendingJobs(queue) != 1 || !s.OutOfServiceZones["az1"] {
			t.Errorf("restored state differs: %+v", s)
		}
		if s.Workers[workerB].LastEndNumber != 4 {
			t.Errorf("last recorded end number %d, want 4", s.Workers[workerB].LastEndNumber)
		}
		if got := s.Workers[workerA].Machine; got != "m" {
			t.Errorf("machine %q, want m", got)
		}
		step := s.Workers[workerA].Runs[carobrock.Run{Task: taskRef(0, 0), Attempt: 1}]
		if step == nil || step.Size.MilliCPU != 700 {
			t.Errorf("the run that must still be stopped was not restored: %+v", step)
		}
	})
}

func TestEndedJobsAreForgottenAfterTheirRetention(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 1})
	l.applyCommand(&carobrock.JobCommand{Cancel: []carobrock.JobKey{{ID: "job", Queue: queue}}, AtUnixMillis: 1000})
	l.applyCommand(&carobrock.JobCommand{AtUnixMillis: 1000 + 599_999})
	if s := l.jobState("job"); s != carobrock.JobCancelled {
		t.Errorf("the ended job was deleted too early: state %q", s)
	}
	l.applyCommand(&carobrock.JobCommand{AtUnixMillis: 1000 + 600_001})
	if s := l.jobState("job"); s != "" {
		t.Errorf("the ended job was not deleted: state %q", s)
	}
}
