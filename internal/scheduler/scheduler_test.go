package scheduler_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/placer"
)

var smallTask = carobrock.TaskSpec{ID: "t", Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: 500}, RunMillis: 4000}

// TestTasksUnderFailure runs tasks while requests to workers and announcements
// are lost, delayed and duplicated, leaders change, workers are partitioned,
// suspended and restarted, and availability zones go out of service and back.
// The invariants are checked throughout; in the end every task must have
// succeeded.
func TestTasksUnderFailure(t *testing.T) {
	for seed := uint64(1); seed <= 16; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, seed, 6)
				defer cl.close()
				cl.setLossRate(0.05)
				cl.submitTasks(40, smallTask)
				stop := make(chan struct{})
				injector := conc.NewWaitGroup()
				injector.Go(func() { cl.injectFaults(rand.New(rand.NewPCG(seed, 7)), stop) })
				end := time.Now().Add(time.Minute)
				cl.checkUntil(func() bool { return time.Now().After(end) }, 2*time.Minute)
				close(stop)
				injector.Wait()
				cl.checkUntil(cl.allTasksIn(carobrock.TaskSucceeded), 5*time.Minute)
			})
		})
	}
}

// injectFaults injects random faults until stop is closed, and ends each fault
// before it injects the next.
func (cl *cluster) injectFaults(rnd *rand.Rand, stop <-chan struct{}) {
	incarnation := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.Int64N(int64(2 * time.Second)))):
		}
		workers := cl.allWorkers()
		w := workers[rnd.IntN(len(workers))]
		duration := time.Duration(rnd.Int64N(int64(12 * time.Second)))
		switch rnd.IntN(5) {
		case 0:
			cl.electLeader(rnd.IntN(2))
		case 1:
			cl.setPartitioned(w.Name, true)
			time.Sleep(duration)
			cl.setPartitioned(w.Name, false)
		case 2:
			w.Faults.Suspended.Store(true)
			time.Sleep(duration)
			w.Faults.Suspended.Store(false)
		case 3:
			az := fmt.Sprint("az", rnd.IntN(3))
			cl.setZone(az, true)
			time.Sleep(duration)
			cl.setZone(az, false)
		case 4:
			// The worker process ends and a new one starts on the same VM.
			w.Faults.SuppressAnnouncements.Store(true)
			w.Faults.Suspended.Store(true)
			incarnation++
			var i int
			_, _ = fmt.Sscanf(w.Name, "w%d", &i)
			cl.replaceWorker(w.Address, i, incarnation)
		}
	}
}

func (cl *cluster) setPartitioned(name string, partitioned bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.partitioned[name] = partitioned
}

// replaceWorker removes an incarnation permanently and starts the next one.
func (cl *cluster) replaceWorker(address string, i, incarnation int) {
	cl.mu.Lock()
	for n, w := range cl.workers {
		if w.Address == address {
			cl.workers = append(cl.workers[:n:n], cl.workers[n+1:]...)
			break
		}
	}
	cl.mu.Unlock()
	cl.addWorker(i, incarnation)
}

// TestZoneOut checks that running work leaves an availability zone that is
// taken out of service, resumes elsewhere from its checkpoint after a single
// eviction, and that no work is done twice.
func TestZoneOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 6)
		defer cl.close()
		spec := smallTask
		spec.RunMillis = 20_000
		cl.submitTasks(17, spec)
		cl.checkUntil(cl.allTasksIn(carobrock.TaskRunning), time.Minute)
		time.Sleep(5 * time.Second)
		cl.setZone("az0", true)
		cl.checkUntil(func() bool { return cl.countBusyWorkersIn("az0") == 0 }, 30*time.Second)
		cl.checkUntil(cl.allTasksIn(carobrock.TaskSucceeded), 3*time.Minute)
		evicted := 0
		for _, task := range cl.keeper.Tasks(func(*carobrock.Task) bool { return true }) {
			if task.Evictions > 1 {
				t.Errorf("%s was evicted %d times", task.ID, task.Evictions)
			}
			evicted += task.Evictions
			if task.Evictions == 1 && (task.Attempt != 2 || task.Checkpoint == "") {
				t.Errorf("%s: attempt %d, checkpoint %q after one eviction", task.ID, task.Attempt, task.Checkpoint)
			}
		}
		if evicted == 0 {
			t.Error("no task was evicted")
		}
	})
}

// countBusyWorkersIn counts the workers in an availability zone on which
// capacity is in use.
func (cl *cluster) countBusyWorkersIn(az string) int {
	n := 0
	for _, state := range cl.keeper.Workers() {
		if state.AvailabilityZone == az && state.Free != state.Capacity {
			n++
		}
	}
	return n
}

// TestEvictionSurvivesLeaders changes the leader repeatedly during evictions,
// at intervals from 100 ms to 3 s. No task may be evicted more than once.
func TestEvictionSurvivesLeaders(t *testing.T) {
	for pause := 100 * time.Millisecond; pause <= 3*time.Second; pause += 300 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, 1, 6)
			defer cl.close()
			spec := smallTask
			spec.RunMillis = 15_000
			cl.submitTasks(10, spec)
			cl.checkUntil(cl.allTasksIn(carobrock.TaskRunning), time.Minute)
			cl.setZone("az0", true)
			for n := range 8 {
				time.Sleep(pause)
				cl.electLeader(n % 2)
			}
			cl.checkUntil(cl.allTasksIn(carobrock.TaskSucceeded), 3*time.Minute)
			for _, task := range cl.keeper.Tasks(func(*carobrock.Task) bool { return true }) {
				if task.Evictions > 1 {
					t.Errorf("%s was evicted %d times", task.ID, task.Evictions)
				}
			}
		})
	}
}

// TestHeldOrders delays every request to a worker by 10 s and takes all
// availability zones out of service in the meantime. Neither a delayed request
// nor a repeated one may start an attempt there.
func TestHeldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 6)
		defer cl.close()
		cl.setRequestDelay(10 * time.Second)
		cl.submitTasks(17, smallTask)
		time.Sleep(2 * time.Second)
		for i := range 3 {
			cl.setZone(fmt.Sprint("az", i), true)
		}
		time.Sleep(4 * time.Second)
		cl.setRequestDelay(0)
		end := time.Now().Add(20 * time.Second)
		cl.checkUntil(func() bool { return time.Now().After(end) }, time.Minute)
		for i := range 3 {
			cl.setZone(fmt.Sprint("az", i), false)
		}
		cl.checkUntil(cl.allTasksIn(carobrock.TaskSucceeded), 5*time.Minute)
	})
}

// TestStartOnShrunkWorkerIsHeldBack shrinks a worker while the requests to start four
// tasks on it are held up.
func TestStartOnShrunkWorkerIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 1)
		defer cl.close()
		cl.setRequestDelay(10 * time.Second)
		cl.submitTasks(4, smallTask)
		time.Sleep(time.Second)
		cl.setCapacity("w0", carobrock.Capacity{MilliCPU: 2000, MemoryMB: 4000})
		time.Sleep(2 * time.Second)
		cl.setRequestDelay(0)
		w := cl.workerAt("w0/0")
		running := func() (n int) {
			for _, a := range w.Attempts() {
				if a.State == carobrock.ReportRunning {
					n++
				}
			}
			return n
		}
		cl.checkUntil(func() bool {
			if n := running(); n > 2 {
				t.Fatalf("%d tasks of one core run on a worker of two cores", n)
			}
			return cl.allTasksIn(carobrock.TaskSucceeded)()
		}, 2*time.Minute)
	})
}

// TestWrongVerdicts checks that a "down" verdict for a working VM neither
// evicts nor restarts a task: the attempt continues.
func TestWrongVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 3)
		defer cl.close()
		spec := smallTask
		spec.RunMillis = 30_000
		cl.submitTasks(3, spec)
		cl.checkUntil(cl.allTasksIn(carobrock.TaskRunning), time.Minute)
		for i := range 3 {
			cl.mustPropose(&carobrock.Command{PutVerdicts: &carobrock.PutVerdicts{Verdicts: []carobrock.Verdict{
				{VM: fmt.Sprint("vm-w", i), Down: true, Sequence: 1},
			}}})
		}
		cl.checkUntil(cl.allTasksIn(carobrock.TaskSucceeded), time.Minute)
		for _, task := range cl.keeper.Tasks(func(*carobrock.Task) bool { return true }) {
			if task.Attempt != 1 {
				t.Errorf("%s took %d attempts", task.ID, task.Attempt)
			}
		}
	})
}

// TestFailingWorkerAndFailingTask checks that a worker that fails every task
// does not end tasks as failed, and that a task that fails on every worker ends
// as failed after three workers.
func TestFailingWorkerAndFailingTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 4)
		defer cl.close()
		cl.allWorkers()[0].Faults.FailTasks.Store(true)
		cl.submitTasks(10, smallTask)
		cl.checkUntil(cl.allTasksIn(carobrock.TaskSucceeded), 3*time.Minute)
	})
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 4)
		defer cl.close()
		for _, w := range cl.allWorkers() {
			w.Faults.FailTasks.Store(true)
		}
		cl.submitTasks(3, smallTask)
		cl.checkUntil(cl.allTasksIn(carobrock.TaskFailed), 3*time.Minute)
		for _, task := range cl.keeper.Tasks(func(*carobrock.Task) bool { return true }) {
			if len(task.FailedOn) != 3 {
				t.Errorf("%s failed on %d workers, want 3", task.ID, len(task.FailedOn))
			}
		}
	})
}

// A worker that had failed every task for long was avoided for up to 10 minutes, even if it
// was restarted and in order.
func TestRestartedWorkerIsNotAvoidedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 1)
		defer cl.close()
		faulty := cl.allWorkers()[0]
		faulty.Faults.FailTasks.Store(true)
		// The periods of avoidance double while its tasks fail.
		for i := range 80 {
			spec := smallTask
			spec.ID = fmt.Sprint("t", i, "x")
			cl.submitTasks(1, spec)
			time.Sleep(6 * time.Second)
		}
		faulty.Faults.SuppressAnnouncements.Store(true)
		faulty.Faults.Suspended.Store(true)
		cl.replaceWorker(faulty.Address, 0, 1)
		spec := smallTask
		spec.ID = "after"
		cl.submitTasks(1, spec)
		cl.checkUntil(func() bool {
			return len(cl.keeper.Tasks(func(task *carobrock.Task) bool { return task.State == carobrock.TaskSucceeded })) > 0
		}, 45*time.Second)
	})
}

// TestCancelWave cancels tasks in all states at once, twice. Each task must
// end, and no worker may keep an attempt.
func TestCancelWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 3)
		defer cl.close()
		cl.submitTasks(60, smallTask)
		for range 20 {
			cl.checkInvariants()
			time.Sleep(100 * time.Millisecond)
		}
		cl.setZone("az0", true)
		var changes []carobrock.TaskChange
		for i := range 60 {
			changes = append(changes, carobrock.TaskChange{ID: fmt.Sprint("t", i), Event: carobrock.EventCancel})
		}
		cl.mustPropose(&carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: changes}})
		cl.mustPropose(&carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: changes}})
		cl.checkUntil(cl.allTasksIn(carobrock.TaskCancelled, carobrock.TaskSucceeded), time.Minute)
		time.Sleep(10 * time.Second)
		for _, w := range cl.allWorkers() {
			if n := len(w.Attempts()); n > 0 {
				t.Errorf("%s still keeps %d attempts", w.Name, n)
			}
		}
	})
}

// TestImpossibleTasks checks that tasks too large for every worker become
// unplaceable with a reason and do not delay other tasks.
func TestImpossibleTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 3)
		defer cl.close()
		huge := carobrock.TaskSpec{ID: "huge", Size: carobrock.Capacity{MilliCPU: 9000}, Priority: 100}
		cl.submitTasks(2, huge)
		cl.submitTasks(5, smallTask)
		cl.checkUntil(cl.allTasksIn(carobrock.TaskSucceeded, carobrock.TaskUnplaceable), time.Minute)
		task, _ := cl.keeper.Task("huge0")
		if task.State != carobrock.TaskUnplaceable || task.Reason == "" {
			t.Errorf("state %s, reason %q", task.State, task.Reason)
		}
	})
}

// TestUnknownInterferenceDoesNotBlockPlacement checks that the placer places
// tasks on workers that run services for which it has no interference
// measurements yet.
func TestUnknownInterferenceDoesNotBlockPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := carobrock.Service{Pool: "logbook", Address: "service", Reserved: carobrock.Capacity{MilliCPU: 1000}}
		interferenceAware := &placer.InterferenceAware{Model: &placer.Interference{}, Weights: placer.ThroughputWeights()}
		cl := newClusterWith(t, 1, 3, interferenceAware, []carobrock.Service{service})
		defer cl.close()
		time.Sleep(2 * time.Second)
		// Three workers with three free cores each: 53 tasks of 4 s take 24 s.
		cl.submitTasks(53, carobrock.TaskSpec{ID: "t", Kind: "import", Size: carobrock.Capacity{MilliCPU: 1000}, RunMillis: 4000})
		cl.checkUntil(cl.allTasksIn(carobrock.TaskSucceeded), time.Minute)
	})
}

// TestHousekeeping checks that a worker that stays silent is removed after
// silentWorkerTimeout, and that idempotency keys are removed when their
// retention ends.
func TestHousekeeping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 3)
		defer cl.close()
		cl.mustPropose(&carobrock.Command{ClaimKeys: &carobrock.ClaimKeys{Changes: []carobrock.KeyChange{
			{Key: "k", Owner: "o", Action: carobrock.KeyActionClaim, AtUnixSec: time.Now().Unix()},
		}}})
		time.Sleep(3 * time.Second)
		cl.allWorkers()[0].Faults.SuppressAnnouncements.Store(true)
		time.Sleep(9 * time.Minute)
		if n := len(cl.keeper.Workers()); n != 3 {
			t.Errorf("%d workers after 9 min, want 3", n)
		}
		time.Sleep(3 * time.Minute)
		if n := len(cl.keeper.Workers()); n != 2 {
			t.Errorf("%d workers after 12 min, want 2", n)
		}
		if !cl.keeper.HasKeysBefore(time.Now().Unix()) {
			t.Error("the idempotency key was removed after 12 min")
		}
		time.Sleep(testKeyRetention)
		if cl.keeper.HasKeysBefore(time.Now().Unix()) {
			t.Error("the idempotency key was kept beyond its retention")
		}
	})
}

// TestWorkerNameConflict checks that a second VM that announces a worker's name
// is rejected while the lease of the first VM is live, and accepted once it has
// expired.
func TestWorkerNameConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 1)
		defer cl.close()
		time.Sleep(3 * time.Second)
		first := cl.allWorkers()[0]
		second := &carobrock.Announcement{Worker: first.Worker, SentMillis: 1}
		second.VM, second.Incarnation = "vm-other", "other"
		announce := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := cl.candidates[0].scheduler.Announce(ctx, second)
			return err
		}
		if err := announce(); !errors.Is(err, carobrock.ErrNameTaken) {
			t.Errorf("while the first VM announces itself: %v, want ErrNameTaken", err)
		}
		first.Faults.SuppressAnnouncements.Store(true)
		time.Sleep(4 * time.Second)
		if err := announce(); !errors.Is(err, carobrock.ErrNameTaken) {
			t.Errorf("while the lease of the first VM is live: %v, want ErrNameTaken", err)
		}
		time.Sleep(4 * time.Second)
		if err := announce(); err != nil {
			t.Errorf("after the lease of the first VM expired: %v", err)
		}
	})
}
