package bookkeeper_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const queue = "h/q/"

var (
	lifeA = carobrock.WorkerLife{Name: "a", Started: 1}
	lifeB = carobrock.WorkerLife{Name: "b", Started: 1}
)

// ledger applies commands one after the other.
type ledger struct {
	t *testing.T
	*bookkeeper.Ledger
	index uint64
}

func newLedger(t *testing.T) *ledger {
	l := &ledger{t: t, Ledger: &bookkeeper.Ledger{}}
	l.Prepare()
	l.apply(&carobrock.JobCommand{Configuration: &carobrock.Configuration{
		Version: 3, Pools: []carobrock.WorkerPool{{Name: "pool"}},
		Queues: []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 2, TimeoutMillis: 1000}},
	}})
	return l
}

func (l *ledger) apply(c *carobrock.JobCommand) *carobrock.JobResult {
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

func (l *ledger) submit(id string, steps ...carobrock.Step) {
	l.t.Helper()
	l.apply(&carobrock.JobCommand{Submit: []carobrock.JobSpec{{ID: id, Queue: queue, Steps: steps}}})
}

func (l *ledger) state(id string) (state carobrock.JobState) {
	l.View(func(s *bookkeeper.State) {
		if j := s.Jobs[id]; j != nil {
			state = j.State
		}
	})
	return state
}

func ref(step, index int) carobrock.TaskRef {
	return carobrock.TaskRef{Job: "job", Step: step, Index: index}
}

func assign(step, index int, attempt uint64, life carobrock.WorkerLife) carobrock.TaskAssignment {
	return carobrock.TaskAssignment{Task: ref(step, index), Attempt: attempt, Life: life}
}

func ends(life carobrock.WorkerLife, es ...carobrock.RunEnd) *carobrock.JobCommand {
	return &carobrock.JobCommand{Ends: []carobrock.WorkerEnds{{Life: life, Ends: es}}}
}

func end(number uint64, step, index int, attempt uint64, kind carobrock.EndKind) carobrock.RunEnd {
	return carobrock.RunEnd{Number: number, Task: ref(step, index), Attempt: attempt, Kind: kind}
}

// runs returns the attempts that may be under way for a task.
func (l *ledger) runs(step, index int) []uint64 {
	var out []uint64
	l.View(func(s *bookkeeper.State) {
		if _, _, t := s.Task(ref(step, index)); t != nil {
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
		{name: "first", next: assign(0, 0, 1, lifeA), want: []uint64{1}},
		{name: "attempt too high", next: assign(0, 0, 2, lifeA)},
		{name: "second run", before: []carobrock.TaskAssignment{assign(0, 0, 1, lifeA)}, next: assign(0, 0, 2, lifeB), want: []uint64{1}},
		{name: "copy", speculative: true, before: []carobrock.TaskAssignment{assign(0, 0, 1, lifeA)}, next: assign(0, 0, 2, lifeB), want: []uint64{1, 2}},
		{name: "same attempt twice", before: []carobrock.TaskAssignment{assign(0, 0, 1, lifeA)}, next: assign(0, 0, 1, lifeB), want: []uint64{1}},
		{name: "no such task", next: assign(0, 7, 1, lifeA)},
		{name: "no such step", next: assign(7, 0, 1, lifeA)},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(t)
			l.submit("job", carobrock.Step{Count: 2, Speculative: test.speculative})
			for _, a := range append(test.before, test.next) {
				l.apply(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{a}})
			}
			if diff := cmp.Diff(test.want, l.runs(0, 0)); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDependentStepWaits(t *testing.T) {
	l := newLedger(t)
	l.submit("job", carobrock.Step{Count: 2}, carobrock.Step{Count: 1, After: []int{0}})
	second := &carobrock.JobCommand{Assign: []carobrock.TaskAssignment{assign(1, 0, 1, lifeA)}}
	l.apply(second)
	l.apply(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{assign(0, 0, 1, lifeA), assign(0, 1, 1, lifeA)}})
	l.apply(ends(lifeA, end(1, 0, 0, 1, carobrock.EndSucceeded)))
	l.apply(second)
	if got := l.runs(1, 0); got != nil {
		t.Fatalf("the second step began before the first one was done: %v", got)
	}
	l.apply(ends(lifeA, end(2, 0, 1, 1, carobrock.EndSucceeded)))
	l.apply(second)
	l.apply(ends(lifeA, end(3, 1, 0, 1, carobrock.EndSucceeded)))
	if s := l.state("job"); s != carobrock.JobSucceeded {
		t.Errorf("state %s", s)
	}
}

func TestEndsCountOnce(t *testing.T) {
	l := newLedger(t)
	l.submit("job", carobrock.Step{Count: 1})
	l.apply(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{assign(0, 0, 1, lifeA)}})
	failed := ends(lifeA, end(1, 0, 0, 1, carobrock.EndFailed))
	l.apply(failed)
	l.apply(failed) // the worker lists it again until it is acknowledged
	if s := l.state("job"); s != carobrock.JobRunning {
		t.Fatalf("after one failure of two the state is %s", s)
	}
	l.apply(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{assign(0, 0, 2, lifeA)}})
	l.apply(ends(lifeA, end(2, 0, 0, 2, carobrock.EndFailed)))
	if s := l.state("job"); s != carobrock.JobFailed {
		t.Errorf("after two failures of two the state is %s", s)
	}
}

func TestServiceIsNeverDone(t *testing.T) {
	l := newLedger(t)
	l.submit("job", carobrock.Step{Count: 1, Service: true})
	for attempt, kind := range []carobrock.EndKind{carobrock.EndFailed, carobrock.EndFailed, carobrock.EndFailed, carobrock.EndSucceeded} {
		n := uint64(attempt) + 1
		l.apply(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{assign(0, 0, n, lifeA)}})
		l.apply(ends(lifeA, end(n, 0, 0, n, kind)))
	}
	if s := l.state("job"); s != carobrock.JobRunning {
		t.Errorf("state %s", s)
	}
}

func TestLostWorker(t *testing.T) {
	l := newLedger(t)
	l.submit("job", carobrock.Step{Count: 1, Checkpoints: true})
	l.apply(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{assign(0, 0, 1, lifeA)}})
	l.apply(&carobrock.JobCommand{Lost: []carobrock.LostWorker{{
		Life: lifeA, Checkpoints: []carobrock.RunCheckpoint{{Task: ref(0, 0), Attempt: 1, Checkpoint: "c1"}},
	}}})
	if got := l.runs(0, 0); len(got) != 0 {
		t.Fatalf("runs %v after the worker was lost", got)
	}
	l.apply(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{assign(0, 0, 2, lifeB)}})
	// The lost worker comes back with the end of the run that was given up on.
	l.apply(ends(lifeA, end(1, 0, 0, 1, carobrock.EndSucceeded)))
	if s := l.state("job"); s != carobrock.JobRunning {
		t.Errorf("the end of a run that a later one has replaced made the job %s", s)
	}
	l.View(func(s *bookkeeper.State) {
		if _, _, task := s.Task(ref(0, 0)); task.Checkpoint != "c1" {
			t.Errorf("checkpoint %q", task.Checkpoint)
		}
	})
}

func TestGangEndsTogether(t *testing.T) {
	l := newLedger(t)
	l.submit("job", carobrock.Step{Count: 2, Gang: true})
	both := func(attempt uint64) *carobrock.JobCommand {
		return &carobrock.JobCommand{Assign: []carobrock.TaskAssignment{assign(0, 0, attempt, lifeA), assign(0, 1, attempt, lifeB)}}
	}
	l.apply(both(1))
	l.apply(ends(lifeA, end(1, 0, 0, 1, carobrock.EndFailed)))
	l.apply(ends(lifeB, end(1, 0, 1, 1, carobrock.EndFailed))) // counts as the same failure
	if s := l.state("job"); s != carobrock.JobRunning {
		t.Fatalf("after one failed attempt of two the state is %s", s)
	}
	l.apply(both(2))
	l.apply(ends(lifeA, end(2, 0, 0, 2, carobrock.EndSucceeded)))
	if s := l.state("job"); s != carobrock.JobSucceeded {
		t.Errorf("state %s", s)
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	l := newLedger(t)
	for _, version := range []int64{2, 3, 5, 4} {
		l.apply(&carobrock.JobCommand{Configuration: &carobrock.Configuration{Version: version, Document: []byte{byte(version)}}})
	}
	l.View(func(s *bookkeeper.State) {
		if s.Configuration.Version != 5 || s.Configuration.Document[0] != 5 {
			t.Errorf("version %d in force", s.Configuration.Version)
		}
	})
}

func TestSubmitIsIdempotent(t *testing.T) {
	l := newLedger(t)
	l.submit("job", carobrock.Step{Count: 1})
	res := l.apply(&carobrock.JobCommand{Submit: []carobrock.JobSpec{
		{ID: "job", Queue: queue, Steps: []carobrock.Step{{Count: 9}}}, {ID: "job", Queue: "h/other/"},
	}})
	if diff := cmp.Diff([]bool{true, false}, res.Submitted); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	l.View(func(s *bookkeeper.State) {
		if len(s.Open) != 1 || s.Pending[queue] != 1 {
			t.Errorf("%d jobs, %d pending", len(s.Open), s.Pending[queue])
		}
	})
}

// A snapshot holds runs of ended jobs too: they take capacity until they end.
func TestSnapshotHoldsEverything(t *testing.T) {
	l := newLedger(t)
	l.submit("job", carobrock.Step{Count: 2, Size: carobrock.Capacity{MilliCPU: 700}})
	l.submit("waiting", carobrock.Step{Count: 1})
	l.apply(&carobrock.JobCommand{
		Zones:  []carobrock.ZoneOrder{{Name: "az1", OutOfService: true}},
		Assign: []carobrock.TaskAssignment{assign(0, 0, 1, lifeA), assign(0, 1, 1, lifeB)},
	})
	l.apply(ends(lifeB, end(4, 0, 1, 1, carobrock.EndSucceeded)))
	l.apply(&carobrock.JobCommand{Cancel: []carobrock.JobKey{{ID: "job", Queue: queue}}, AtUnixMillis: 1000})
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	back := &bookkeeper.Ledger{}
	back.Prepare()
	if err := back.Restore(9, data); err != nil {
		t.Fatal(err)
	}
	back.View(func(s *bookkeeper.State) {
		if s.Jobs["job"].State != carobrock.JobCancelled || len(s.Open) != 1 || s.Pending[queue] != 1 || !s.ZonesOut["az1"] {
			t.Errorf("state was not restored: %+v", s)
		}
		if s.Lives[lifeB].Acked != 4 {
			t.Errorf("ends acknowledged through %d", s.Lives[lifeB].Acked)
		}
		step := s.Lives[lifeA].Runs[carobrock.Run{Task: ref(0, 0), Attempt: 1}]
		if step == nil || step.Size.MilliCPU != 700 {
			t.Errorf("the run that is still to be stopped was not restored: %+v", step)
		}
	})
}

func TestEndedJobsAreForgottenAfterTheirRetention(t *testing.T) {
	l := newLedger(t)
	l.submit("job", carobrock.Step{Count: 1})
	l.apply(&carobrock.JobCommand{Cancel: []carobrock.JobKey{{ID: "job", Queue: queue}}, AtUnixMillis: 1000})
	l.apply(&carobrock.JobCommand{AtUnixMillis: 1000 + 599_999})
	if s := l.state("job"); s != carobrock.JobCancelled {
		t.Errorf("forgotten too early: %q", s)
	}
	l.apply(&carobrock.JobCommand{AtUnixMillis: 1000 + 600_001})
	if s := l.state("job"); s != "" {
		t.Errorf("still %q", s)
	}
}
