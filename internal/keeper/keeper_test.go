package keeper

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/carobrock/carobrock"
)

// TestMain fixes the seed of rapid so that the test cases are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newKeeper() *Keeper {
	k := &Keeper{}
	k.Prepare()
	return k
}

// applier applies commands at increasing log indices.
type applier struct {
	k     *Keeper
	index uint64
}

func (a *applier) apply(c *carobrock.Command) *carobrock.Result {
	a.index++
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	return a.k.Apply(a.index, data).(*carobrock.Result)
}

func putRoutes(id string, base uint64, names ...string) *carobrock.Command {
	c := &carobrock.Command{ChangeID: id, PutTable: &carobrock.PutTable{Table: carobrock.TableRoutes, BaseVersion: base}}
	for _, n := range names {
		c.PutTable.Routes = append(c.PutTable.Routes, carobrock.Route{Name: n, PathPrefix: "/" + n, Pool: "p"})
	}
	return c
}

// TestTableChanges checks concurrent table changes with equal base versions and
// repeated commands.
func TestTableChanges(t *testing.T) {
	a := &applier{k: newKeeper()}
	steps := []struct {
		name        string
		command     *carobrock.Command
		wantCode    carobrock.ResultCode
		wantVersion uint64
		wantRoute   string // name of the first route after the step
	}{
		{"first", putRoutes("c1", 0, "a"), "", 1, "a"},
		{"retry of the first", putRoutes("c1", 0, "a"), "", 1, "a"},
		{"concurrent change of the same version", putRoutes("c2", 0, "b"), carobrock.CodeConflict, 1, "a"},
		{"retry of the concurrent change", putRoutes("c2", 0, "b"), carobrock.CodeConflict, 1, "a"},
		{"concurrent change based on the new version", putRoutes("c3", 1, "b"), "", 2, "b"},
		{"late retry of the first", putRoutes("c1", 0, "a"), "", 1, "b"},
		{"change ID reused for a different change", putRoutes("c3", 2, "c"), carobrock.CodeInvalid, 0, "b"},
		{"base version above the current one", putRoutes("c4", 9, "c"), carobrock.CodeConflict, 2, "b"},
		{"duplicate name", putRoutes("c5", 2, "c", "c"), carobrock.CodeInvalid, 2, "b"},
		{"no change ID", putRoutes("", 2, "c"), "", 3, "c"},
	}
	for _, s := range steps {
		res := a.apply(s.command)
		if res.Code != s.wantCode || res.Version != s.wantVersion {
			t.Errorf("%s: code %q, version %d, want %q, %d", s.name, res.Code, res.Version, s.wantCode, s.wantVersion)
		}
		if got := a.k.Routes().Rows[0].Name; got != s.wantRoute {
			t.Errorf("%s: first route is %q, want %q", s.name, got, s.wantRoute)
		}
	}
}

// TestChangeWindow checks that the window of change IDs is bounded and keeps
// the newest ones.
func TestChangeWindow(t *testing.T) {
	a := &applier{k: newKeeper()}
	for i := range maxChanges + 10 {
		a.apply(&carobrock.Command{ChangeID: fmt.Sprint(i), ExpireWindow: &carobrock.ExpireWindow{}})
	}
	if n := len(a.k.state.Changes); n != maxChanges || len(a.k.changePositions) != maxChanges {
		t.Errorf("%d changes stored, %d indexed, want %d", n, len(a.k.changePositions), maxChanges)
	}
	res := a.apply(&carobrock.Command{ChangeID: fmt.Sprint(maxChanges), ExpireWindow: &carobrock.ExpireWindow{}})
	if res.Index != maxChanges+1 {
		t.Errorf("repeated change has index %d, want index %d of the first one", res.Index, maxChanges+1)
	}
}

// worker returns a worker on a VM of its own with the given CPU capacity.
func worker(name, az string, milliCPU int64) carobrock.Worker {
	return carobrock.Worker{
		Name: name, VM: "vm-" + name, Incarnation: "1", AvailabilityZone: az,
		Capacity: carobrock.Capacity{MilliCPU: milliCPU, MemoryMB: 1000, Accelerators: 1},
	}
}

// taskLifecycle is a rapid state machine that applies task events in random
// order, including late and repeated ones.
type taskLifecycle struct {
	a *applier
}

var taskEvents = []carobrock.TaskEvent{
	carobrock.EventAssign, carobrock.EventStarted, carobrock.EventSucceeded, carobrock.EventFailed, carobrock.EventGaveUp,
	carobrock.EventEvict, carobrock.EventCheckpointed, carobrock.EventStopped, carobrock.EventLeaseExpired, carobrock.EventCancel,
	carobrock.EventNoFit, carobrock.EventFitAgain,
}

const lifecycleTasks, lifecycleWorkers = 6, 3

func (m *taskLifecycle) applyRandomEvent(t *rapid.T) {
	id := fmt.Sprint("t", rapid.IntRange(0, lifecycleTasks-1).Draw(t, "task"))
	before, _ := m.a.k.Task(id)
	attempt := before.Attempt
	switch rapid.IntRange(0, 5).Draw(t, "attempt") {
	case 0:
		attempt++
	case 1:
		attempt = max(attempt, 1) - 1
	}
	ch := carobrock.TaskChange{
		ID: id, Attempt: attempt, Event: rapid.SampledFrom(taskEvents).Draw(t, "event"),
		Worker: fmt.Sprint("w", rapid.IntRange(0, lifecycleWorkers).Draw(t, "worker")), Checkpoint: fmt.Sprint("c", attempt),
	}
	if ch.Event == carobrock.EventAssign {
		ch.Attempt = before.Attempt + 1
	}
	res := m.a.apply(&carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: []carobrock.TaskChange{ch}}})
	after, _ := m.a.k.Task(id)
	m.checkTransition(t, &before, &after, &ch, len(res.Rejected) > 0)
}

// checkTransition checks one task before and after the event ch.
func (m *taskLifecycle) checkTransition(t *rapid.T, before, after *carobrock.Task, ch *carobrock.TaskChange, rejected bool) {
	if rejected && !cmp.Equal(before, after) {
		t.Fatalf("rejected change modified the task: %s", cmp.Diff(before, after))
	}
	if before.IsFinal() && !cmp.Equal(before, after) {
		t.Fatalf("finished task changed: %s", cmp.Diff(before, after))
	}
	stale := ch.Attempt != before.Attempt && ch.Event != carobrock.EventAssign && ch.Event != carobrock.EventCancel
	if stale && !rejected {
		t.Fatalf("%s of attempt %d was accepted during attempt %d", ch.Event, ch.Attempt, before.Attempt)
	}
	if after.Attempt != before.Attempt {
		if before.HoldsCapacity() {
			t.Fatalf("attempt %d started while attempt %d may be running on %s", after.Attempt, before.Attempt, before.Worker)
		}
		if after.Attempt != before.Attempt+1 || ch.Event != carobrock.EventAssign {
			t.Fatalf("attempt changed from %d to %d on event %s", before.Attempt, after.Attempt, ch.Event)
		}
	}
	if after.Checkpoint != before.Checkpoint && before.State != carobrock.TaskCheckpointing {
		t.Fatalf("checkpoint changed in state %s", before.State)
	}
	if before.CancelRequested && after.State == carobrock.TaskQueued {
		t.Fatal("cancelled task was queued again")
	}
}

// checkCapacity compares the uncommitted capacity of each worker with a
// recalculation.
func (m *taskLifecycle) checkCapacity(t *rapid.T) {
	for _, w := range m.a.k.Workers() {
		sum := carobrock.Capacity{}
		for _, task := range m.a.k.Tasks(func(x *carobrock.Task) bool { return x.Worker == w.Name }) {
			sum = sum.Add(task.Size)
		}
		for _, s := range w.Services {
			sum = sum.Add(s.Reserved)
		}
		if !sum.Fits(w.Capacity) {
			t.Fatalf("%s: %+v committed of capacity %+v", w.Name, sum, w.Capacity)
		}
		if got := w.Capacity.Sub(sum); got != w.Free {
			t.Fatalf("%s: free %+v, recalculation gives %+v", w.Name, w.Free, got)
		}
	}
}

// TestLifeOfTasks is a property test of the task state machine. At most one
// attempt of a task may be running, no VM exceeds its capacity, final states do
// not change, a cancellation is never reverted, and a restored snapshot equals
// the state from which it was taken.
func TestLifeOfTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &taskLifecycle{a: &applier{k: newKeeper()}}
		m.a.apply(&carobrock.Command{PutTable: &carobrock.PutTable{Table: carobrock.TablePools, Pools: []carobrock.Pool{{Name: "p"}}}})
		var workers []carobrock.Worker
		for i := range lifecycleWorkers {
			w := worker(fmt.Sprint("w", i), fmt.Sprint("az", i), 1000)
			w.Services = []carobrock.Service{{Pool: "p", Address: fmt.Sprint("u", i), Reserved: carobrock.Capacity{MilliCPU: 200}}}
			workers = append(workers, w)
		}
		m.a.apply(&carobrock.Command{PutWorkers: &carobrock.PutWorkers{Workers: workers}})
		for i := range lifecycleTasks {
			size := carobrock.Capacity{MilliCPU: rapid.Int64Range(0, 900).Draw(t, "cpu"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators")}
			m.a.apply(&carobrock.Command{SubmitTask: &carobrock.SubmitTask{Spec: carobrock.TaskSpec{ID: fmt.Sprint("t", i), Pool: "p", Size: size}}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": m.applyRandomEvent,
			"zone": func(t *rapid.T) {
				m.a.apply(&carobrock.Command{PutZone: &carobrock.PutZone{
					Name: fmt.Sprint("az", rapid.IntRange(0, lifecycleWorkers-1).Draw(t, "az")), OutOfService: rapid.Bool().Draw(t, "out"),
				}})
			},
			"restart": func(t *rapid.T) {
				data, err := m.a.k.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				k := newKeeper()
				if err := k.Restore(m.a.index, data); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(m.a.k.committed, k.committed, cmp.AllowUnexported(vmCommitment{})); diff != "" {
					t.Fatal(diff)
				}
				m.a.k = k
			},
			"": m.checkCapacity,
		})
	})
}

// TestAssignRefused checks that the state machine refuses invalid assignments
// regardless of the placement policy.
func TestAssignRefused(t *testing.T) {
	tests := []struct {
		name   string
		setup  *carobrock.Command
		worker string
		size   int64
	}{
		{"unknown worker", nil, "nosuch", 1},
		{"too large", nil, "w1", 1001},
		{"zone out of service", &carobrock.Command{PutZone: &carobrock.PutZone{Name: "az1", OutOfService: true}}, "w1", 1},
		{"zone down", &carobrock.Command{PutVerdicts: &carobrock.PutVerdicts{Verdicts: []carobrock.Verdict{{AvailabilityZone: "az1", Down: true, Sequence: 1}}}}, "w1", 1},
		{"VM down", &carobrock.Command{PutVerdicts: &carobrock.PutVerdicts{Verdicts: []carobrock.Verdict{{VM: "vm-w1", Down: true, Sequence: 1}}}}, "w1", 1},
		{"pool does not allow the worker", &carobrock.Command{PutTable: &carobrock.PutTable{Table: carobrock.TablePools, BaseVersion: 1, Pools: []carobrock.Pool{{Name: "p", Workers: []string{"x*"}}}}}, "w1", 1},
		{"pool does not exist", &carobrock.Command{PutTable: &carobrock.PutTable{Table: carobrock.TablePools, BaseVersion: 1}}, "w1", 1},
		{"worker leaving", &carobrock.Command{PutWorkers: &carobrock.PutWorkers{Workers: []carobrock.Worker{{Name: "w1", VM: "vm-w1", Incarnation: "1", AvailabilityZone: "az1", Leaving: true}}}}, "w1", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := &applier{k: newKeeper()}
			a.apply(&carobrock.Command{PutTable: &carobrock.PutTable{Table: carobrock.TablePools, Pools: []carobrock.Pool{{Name: "p"}}}})
			a.apply(&carobrock.Command{PutWorkers: &carobrock.PutWorkers{Workers: []carobrock.Worker{worker("w1", "az1", 1000)}}})
			a.apply(&carobrock.Command{SubmitTask: &carobrock.SubmitTask{Spec: carobrock.TaskSpec{ID: "t", Pool: "p", Size: carobrock.Capacity{MilliCPU: tt.size}}}})
			if tt.setup != nil {
				if res := a.apply(tt.setup); res.Code != "" {
					t.Fatal(res.Text)
				}
			}
			res := a.apply(&carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: []carobrock.TaskChange{
				{ID: "t", Event: carobrock.EventAssign, Attempt: 1, Worker: tt.worker},
			}}})
			if len(res.Rejected) != 1 {
				t.Error("assignment was accepted")
			}
		})
	}
}

// TestVerdictOrder checks that an older verdict does not override a newer one,
// and that verdicts do not change the operators' out-of-service flag.
func TestVerdictOrder(t *testing.T) {
	a := &applier{k: newKeeper()}
	a.apply(&carobrock.Command{PutWorkers: &carobrock.PutWorkers{Workers: []carobrock.Worker{worker("w1", "az1", 1)}}})
	verdict := func(down bool, sequence uint64) {
		a.apply(&carobrock.Command{PutVerdicts: &carobrock.PutVerdicts{Verdicts: []carobrock.Verdict{{AvailabilityZone: "az1", Down: down, Sequence: sequence}}}})
	}
	verdict(true, 5)
	verdict(false, 4)
	if z := a.k.Zones()[0]; !z.Down {
		t.Error("late verdict overrode a newer one")
	}
	a.apply(&carobrock.Command{PutZone: &carobrock.PutZone{Name: "az1", OutOfService: true}})
	verdict(false, 6)
	if z := a.k.Zones()[0]; z.Down || !z.OutOfService {
		t.Errorf("zone %+v, want only OutOfService set", z)
	}
}

// TestDropWorkerWithAttempt checks that a worker is not removed while an
// attempt may be running on it, even an attempt of size zero after another one
// on the same VM has ended.
func TestDropWorkerWithAttempt(t *testing.T) {
	a := &applier{k: newKeeper()}
	a.apply(&carobrock.Command{PutTable: &carobrock.PutTable{Table: carobrock.TablePools, Pools: []carobrock.Pool{{Name: "p"}}}})
	a.apply(&carobrock.Command{PutWorkers: &carobrock.PutWorkers{Workers: []carobrock.Worker{worker("w1", "az1", 1000)}}})
	for _, id := range []string{"a", "b"} {
		a.apply(&carobrock.Command{SubmitTask: &carobrock.SubmitTask{Spec: carobrock.TaskSpec{ID: id, Pool: "p"}}})
		a.apply(&carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: []carobrock.TaskChange{{ID: id, Event: carobrock.EventAssign, Attempt: 1, Worker: "w1"}}}})
	}
	a.apply(&carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: []carobrock.TaskChange{{ID: "a", Event: carobrock.EventSucceeded, Attempt: 1}}}})
	a.apply(&carobrock.Command{DropWorkers: &carobrock.DropWorkers{Names: []string{"w1"}}})
	if _, ok := a.k.Worker("w1"); !ok {
		t.Error("worker with a running attempt was removed")
	}
	a.apply(&carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: []carobrock.TaskChange{{ID: "b", Event: carobrock.EventSucceeded, Attempt: 1}}}})
	a.apply(&carobrock.Command{DropWorkers: &carobrock.DropWorkers{Names: []string{"w1"}}})
	if _, ok := a.k.Worker("w1"); ok {
		t.Error("idle worker was not removed")
	}
}

// TestViewDelta checks that applying successive deltas yields the same view as a
// complete one.
func TestViewDelta(t *testing.T) {
	a := &applier{k: newKeeper()}
	seen := map[string]bool{}
	since := uint64(0)
	for i := range 40 {
		name := fmt.Sprint("w", i%7)
		if i%5 == 4 {
			a.apply(&carobrock.Command{DropWorkers: &carobrock.DropWorkers{Names: []string{name}}})
		} else {
			a.apply(&carobrock.Command{PutWorkers: &carobrock.PutWorkers{Workers: []carobrock.Worker{worker(name, "az1", int64(i))}}})
		}
		if i%3 > 0 {
			continue
		}
		v, index, full := a.k.ViewDelta(since, "g", "1")
		if full {
			clear(seen)
		}
		for _, gone := range v.Removed {
			delete(seen, gone)
		}
		for _, w := range v.Workers {
			seen[w.Name] = true
		}
		since = index
		for _, w := range a.k.Workers() {
			if !seen[w.Name] {
				t.Errorf("step %d: %s is missing", i, w.Name)
			}
		}
		if len(seen) != len(a.k.Workers()) {
			t.Errorf("step %d: %d workers from deltas, %d in the state", i, len(seen), len(a.k.Workers()))
		}
	}
}

// Guards against a change of an availability zone that was held up, by a suspended
// gateway for example, and undoes a later one.
func TestHeldUpZoneChangeIsRefused(t *testing.T) {
	version := func(n uint64) *uint64 { return &n }
	a := &applier{k: newKeeper()}
	a.apply(&carobrock.Command{PutWorkers: &carobrock.PutWorkers{Workers: []carobrock.Worker{worker("w1", "az1", 1)}}})
	for _, change := range []struct {
		name         string
		id           string
		outOfService bool
		base         *uint64
		wantCode     carobrock.ResultCode
		wantOut      bool
	}{
		{"taken out", "1", true, version(0), "", true},
		{"returned", "2", false, version(1), "", false},
		{"taken out again", "3", true, version(2), "", true},
		{"late return", "4", false, version(1), carobrock.CodeConflict, true},
		{"return that was sent again", "2", false, version(1), "", true},
		{"later version than the current one", "5", false, version(9), carobrock.CodeConflict, true},
		{"any version", "6", false, nil, "", false},
	} {
		res := a.apply(&carobrock.Command{ChangeID: change.id, PutZone: &carobrock.PutZone{Name: "az1", OutOfService: change.outOfService, BaseVersion: change.base}})
		if z := a.k.Zones()[0]; res.Code != change.wantCode || z.OutOfService != change.wantOut {
			t.Errorf("%s: code %q, out of service %t, want %q and %t", change.name, res.Code, z.OutOfService, change.wantCode, change.wantOut)
		}
	}
}
