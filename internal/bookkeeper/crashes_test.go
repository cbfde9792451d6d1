package bookkeeper_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// incarnation returns the n-th incarnation of worker a.
func incarnation(n int64) carobrock.WorkerIncarnation {
	return carobrock.WorkerIncarnation{Name: "a", Started: n}
}

// assign assigns the first task of the job to the n-th incarnation of worker a.
func (l *testStateMachine) assign(n int64, isolated bool) {
	l.t.Helper()
	c := &carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newAssignment(0, 0, uint64(n), incarnation(n))}}
	if isolated {
		c.Isolated = []carobrock.WorkerRun{{Incarnation: incarnation(n), Task: taskRef(0, 0), Attempt: uint64(n)}}
	}
	l.applyCommand(c)
}

func (l *testStateMachine) lose(n int64, w carobrock.LostWorker) *carobrock.JobResult {
	l.t.Helper()
	w.Incarnation = incarnation(n)
	return l.applyCommand(&carobrock.JobCommand{Lost: []carobrock.LostWorker{w}, AtUnixMillis: 1})
}

// restore replaces the state by one that is restored from its snapshot.
func (l *testStateMachine) restore() {
	l.t.Helper()
	data, err := l.Snapshot()
	if err != nil {
		l.t.Fatal(err)
	}
	restored := &bookkeeper.StateMachine{}
	restored.Prepare()
	if err := restored.Restore(l.index, data); err != nil {
		l.t.Fatal(err)
	}
	l.StateMachine = restored
}

func (l *testStateMachine) crashes() (n int) {
	l.View(func(s *bookkeeper.State) {
		if _, _, t := s.Task(taskRef(0, 0)); t != nil {
			n = t.Crashes
		}
	})
	return n
}

func TestCrashesAreCountedOncePerIncarnation(t *testing.T) {
	crashed := carobrock.LostWorker{MayHaveCrashed: true, IncarnationEnded: true}
	silent := carobrock.LostWorker{MayHaveCrashed: true}
	proven := carobrock.LostWorker{MayHaveCrashed: true, IncarnationEnded: true, Proven: []carobrock.Run{{Task: taskRef(0, 0), Attempt: 1}}}
	for _, test := range []struct {
		name       string
		losses     []carobrock.LostWorker
		isSurvivor bool
		want       int
		unresolved int
	}{
		{name: "crashed", losses: []carobrock.LostWorker{crashed}, want: 1},
		{name: "loss committed twice", losses: []carobrock.LostWorker{crashed, crashed}, want: 1},
		{name: "silent", losses: []carobrock.LostWorker{silent}, unresolved: 1},
		{name: "silent, then found crashed", losses: []carobrock.LostWorker{silent, crashed}, want: 1},
		{name: "silent twice, then found crashed", losses: []carobrock.LostWorker{silent, silent, crashed, crashed}, want: 1},
		{name: "silent, heard again, then crashed", losses: []carobrock.LostWorker{silent, crashed}, isSurvivor: true},
		{name: "proven run", losses: []carobrock.LostWorker{proven}},
		{name: "left", losses: []carobrock.LostWorker{{IncarnationEnded: true}}},
		{name: "left, then replaced", losses: []carobrock.LostWorker{{}, crashed}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newStateMachine(t)
			l.submitJob("job", carobrock.Step{Count: 1})
			l.assign(1, false)
			for _, w := range test.losses {
				l.lose(1, w)
				if test.isSurvivor {
					l.applyCommand(&carobrock.JobCommand{Survivors: []carobrock.WorkerIncarnation{incarnation(1)}})
				}
				l.restore()
			}
			if got := l.crashes(); got != test.want {
				t.Errorf("%d crashes, want %d", got, test.want)
			}
			l.View(func(s *bookkeeper.State) {
				if got := s.UnresolvedLosses()[taskRef(0, 0)]; got != test.unresolved {
					t.Errorf("%d unresolved losses, want %d", got, test.unresolved)
				}
				if want := test.want+test.unresolved > 0; s.Suspects[taskRef(0, 0)] != want {
					t.Errorf("suspects %v, want the task: %v", s.Suspects, want)
				}
			})
		})
	}
}

func TestTaskIsGivenUpForCrashesInIsolation(t *testing.T) {
	crashed := carobrock.LostWorker{MayHaveCrashed: true, IncarnationEnded: true}
	for _, test := range []struct {
		name     string
		isolated []bool // whether each run was isolated
		// isWidespread is set if each crash is part of a widespread outage.
		isWidespread bool
		// provenRun is the number of the run that is proven before its worker crashes.
		provenRun int
		service   bool
		want      carobrock.JobState
	}{
		{name: "two crashes", isolated: []bool{false, true}, want: carobrock.JobRunning},
		{name: "three crashes, the last in isolation", isolated: []bool{false, false, true}, want: carobrock.JobFailed},
		{name: "three crashes, the first in isolation", isolated: []bool{true, false, false}, want: carobrock.JobFailed},
		{name: "three crashes without isolation", isolated: make([]bool, 3), want: carobrock.JobRunning},
		{name: "three crashes in outages", isolated: []bool{false, false, true}, isWidespread: true, want: carobrock.JobRunning},
		{name: "four crashes in outages", isolated: []bool{false, false, true, true}, isWidespread: true, want: carobrock.JobFailed},
		{name: "isolation after three crashes", isolated: []bool{false, false, false, true}, want: carobrock.JobFailed},
		{name: "proven in between", isolated: []bool{false, true, true, false, true}, provenRun: 3, want: carobrock.JobRunning},
		{name: "service", isolated: []bool{false, false, true}, service: true, want: carobrock.JobFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newStateMachine(t)
			l.submitJob("job", carobrock.Step{Count: 1, Service: test.service})
			for i, isolated := range test.isolated {
				n := int64(i) + 1
				l.assign(n, isolated)
				if i+1 == test.provenRun {
					l.applyCommand(&carobrock.JobCommand{Proven: []carobrock.WorkerRun{{Incarnation: incarnation(n), Task: taskRef(0, 0), Attempt: uint64(n)}}})
				}
				l.restore()
				crashed.IsWidespread = test.isWidespread
				l.lose(n, crashed)
			}
			if got := l.jobState("job"); got != test.want {
				t.Errorf("job state %s, want %s", got, test.want)
			}
		})
	}
}

// A worker that was lost while it was silent is found to have crashed after other
// crashes were counted.
func TestLateCrashOfAnEarlierRunGivesTheTaskUp(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 1})
	for n := int64(1); n <= 3; n++ {
		l.assign(n, n == 3)
		l.lose(n, carobrock.LostWorker{MayHaveCrashed: true})
	}
	var last *carobrock.JobResult
	for _, n := range []int64{3, 1, 2} {
		if s := l.jobState("job"); s != carobrock.JobRunning {
			t.Fatalf("job state %s before the end of incarnation %d was known", s, n)
		}
		last = l.lose(n, carobrock.LostWorker{MayHaveCrashed: true, IncarnationEnded: true})
	}
	if s := l.jobState("job"); s != carobrock.JobFailed {
		t.Errorf("job state %s, want failed", s)
	}
	want := []carobrock.RunCrash{{Run: carobrock.Run{Task: taskRef(0, 0), Attempt: 2}, Incarnation: incarnation(2), Crashes: 3, IsSuspect: true, IsGivenUp: true}}
	if diff := cmp.Diff(want, last.Crashes, cmpopts.EquateComparable(carobrock.Run{}, carobrock.WorkerIncarnation{})); diff != "" {
		t.Errorf("counted crashes (-want +got):\n%s", diff)
	}
}

func TestSnapshotHoldsMachinesAndIsolation(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 1})
	l.assign(1, true)
	l.applyCommand(&carobrock.JobCommand{Machines: []carobrock.WorkerMachine{{Incarnation: incarnation(1), Machine: "m"}}})
	l.restore()
	l.View(func(s *bookkeeper.State) {
		rec := s.Workers[incarnation(1)]
		if rec.Machine != "m" || !rec.Isolated[carobrock.Run{Task: taskRef(0, 0), Attempt: 1}] {
			t.Errorf("machine %q and isolated runs %v after a restore", rec.Machine, rec.Isolated)
		}
	})
	l.applyCommand(endsCommand(incarnation(1), newRunEnd(1, 0, 0, 1, carobrock.EndStopped)))
	l.View(func(s *bookkeeper.State) {
		if rec := s.Workers[incarnation(1)]; len(rec.Isolated) > 0 {
			t.Errorf("runs %v are isolated after their end", rec.Isolated)
		}
	})
}

// Losses that an earlier version has written count no crash.
func TestLossOfAnEarlierVersionCountsNoCrash(t *testing.T) {
	l := newStateMachine(t)
	l.submitJob("job", carobrock.Step{Count: 1})
	l.assign(1, false)
	data, err := cbor.Marshal(map[int]any{6: []any{map[int]any{1: []any{"a", 1}, 3: true}}})
	if err != nil {
		t.Fatal(err)
	}
	l.index++
	if res, ok := l.Apply(l.index, data).(*carobrock.JobResult); !ok || len(res.Crashes) > 0 {
		t.Errorf("result %+v, want one without crashes", res)
	}
	if n := l.crashes(); n != 0 || len(l.activeAttempts(0, 0)) != 0 {
		t.Errorf("%d crashes and active attempts %v, want none", n, l.activeAttempts(0, 0))
	}
}
