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

var small = carobrock.TaskSpec{ID: "t", Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: 500}, RunMillis: 4000}

// TestTasksUnderFailure runs tasks while orders and announcements are lost,
// late and doubled, leaders change, workers are cut off, frozen, restarted, and
// zones go out and back. The world checks the promises all along; in the end
// every task has succeeded.
func TestTasksUnderFailure(t *testing.T) {
	for seed := uint64(1); seed <= 16; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, 6)
				defer w.close()
				w.setLoss(0.05)
				w.submit(40, small)
				stop := make(chan struct{})
				nemesis := conc.NewWaitGroup()
				nemesis.Go(func() { w.disturb(rand.New(rand.NewPCG(seed, 7)), stop) })
				end := time.Now().Add(time.Minute)
				w.watch(func() bool { return time.Now().After(end) }, 2*time.Minute)
				close(stop)
				nemesis.Wait()
				w.watch(w.allIn(carobrock.TaskSucceeded), 5*time.Minute)
			})
		})
	}
}

// disturb makes faults until stop is closed and mends them all.
func (w *world) disturb(rnd *rand.Rand, stop <-chan struct{}) {
	incarnation := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.Int64N(int64(2 * time.Second)))):
		}
		workers := w.all()
		e := workers[rnd.IntN(len(workers))]
		length := time.Duration(rnd.Int64N(int64(12 * time.Second)))
		switch rnd.IntN(5) {
		case 0:
			w.elect(rnd.IntN(2))
		case 1:
			w.setCut(e.Name, true)
			time.Sleep(length)
			w.setCut(e.Name, false)
		case 2:
			e.Faults.Frozen.Store(true)
			time.Sleep(length)
			e.Faults.Frozen.Store(false)
		case 3:
			az := fmt.Sprint("az", rnd.IntN(3))
			w.setZone(az, true)
			time.Sleep(length)
			w.setZone(az, false)
		case 4:
			// The process ends and a new one starts on the same VM.
			e.Faults.Mute.Store(true)
			e.Faults.Frozen.Store(true)
			incarnation++
			var i int
			_, _ = fmt.Sscanf(e.Name, "w%d", &i)
			w.replaceWorker(e.Address, i, incarnation)
		}
	}
}

func (w *world) setCut(name string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[name] = cut
}

// replaceWorker ends an incarnation for good and starts the next.
func (w *world) replaceWorker(address string, i, incarnation int) {
	w.mu.Lock()
	for n, e := range w.workers {
		if e.Address == address {
			w.workers = append(w.workers[:n:n], w.workers[n+1:]...)
			break
		}
	}
	w.mu.Unlock()
	w.addWorker(i, incarnation)
}

// TestZoneOut: running work leaves a zone that was taken out, resumes elsewhere
// from its checkpoint once, and nothing is done twice.
func TestZoneOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 6)
		defer w.close()
		spec := small
		spec.RunMillis = 20_000
		w.submit(17, spec)
		w.watch(w.allIn(carobrock.TaskRunning), time.Minute)
		time.Sleep(5 * time.Second)
		w.setZone("az0", true)
		w.watch(func() bool { return w.countIn("az0") == 0 }, 30*time.Second)
		w.watch(w.allIn(carobrock.TaskSucceeded), 3*time.Minute)
		evicted := 0
		for _, task := range w.keeper.Tasks(func(*carobrock.Task) bool { return true }) {
			if task.Evictions > 1 {
				t.Errorf("%s was evicted %d times", task.ID, task.Evictions)
			}
			evicted += task.Evictions
			if task.Evictions == 1 && (task.Attempt != 2 || task.Checkpoint == "") {
				t.Errorf("%s: attempt %d, checkpoint %q after one eviction", task.ID, task.Attempt, task.Checkpoint)
			}
		}
		if evicted == 0 {
			t.Error("nothing was evicted")
		}
	})
}

// countIn counts the attempts that hold capacity in a zone.
func (w *world) countIn(az string) int {
	n := 0
	for _, state := range w.keeper.Workers() {
		if state.AvailabilityZone == az && state.Free != state.Capacity {
			n++
		}
	}
	return n
}

// TestEvictionSurvivesLeaders changes the leader after each step of evictions.
func TestEvictionSurvivesLeaders(t *testing.T) {
	for pause := 100 * time.Millisecond; pause <= 3*time.Second; pause += 300 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 1, 6)
			defer w.close()
			spec := small
			spec.RunMillis = 15_000
			w.submit(10, spec)
			w.watch(w.allIn(carobrock.TaskRunning), time.Minute)
			w.setZone("az0", true)
			for n := range 8 {
				time.Sleep(pause)
				w.elect(n % 2)
			}
			w.watch(w.allIn(carobrock.TaskSucceeded), 3*time.Minute)
			for _, task := range w.keeper.Tasks(func(*carobrock.Task) bool { return true }) {
				if task.Evictions > 1 {
					t.Errorf("%s was evicted %d times", task.ID, task.Evictions)
				}
			}
		})
	}
}

// TestHeldOrders: every order is held up for 10 s on its way, and meanwhile all
// zones are taken out. Neither an order that comes late nor one that is sent
// again may begin an attempt there.
func TestHeldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 6)
		defer w.close()
		w.setHold(10 * time.Second)
		w.submit(17, small)
		time.Sleep(2 * time.Second)
		for i := range 3 {
			w.setZone(fmt.Sprint("az", i), true)
		}
		time.Sleep(4 * time.Second)
		w.setHold(0)
		end := time.Now().Add(20 * time.Second)
		w.watch(func() bool { return time.Now().After(end) }, time.Minute)
		for i := range 3 {
			w.setZone(fmt.Sprint("az", i), false)
		}
		w.watch(w.allIn(carobrock.TaskSucceeded), 5*time.Minute)
	})
}

// TestWrongVerdicts: "down" for a VM that works moves nothing and starts
// nothing; the attempt there goes on.
func TestWrongVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3)
		defer w.close()
		spec := small
		spec.RunMillis = 30_000
		w.submit(3, spec)
		w.watch(w.allIn(carobrock.TaskRunning), time.Minute)
		for i := range 3 {
			w.propose(&carobrock.Command{PutVerdicts: &carobrock.PutVerdicts{Verdicts: []carobrock.Verdict{
				{VM: fmt.Sprint("vm-w", i), Down: true, Sequence: 1},
			}}})
		}
		w.watch(w.allIn(carobrock.TaskSucceeded), time.Minute)
		for _, task := range w.keeper.Tasks(func(*carobrock.Task) bool { return true }) {
			if task.Attempt != 1 {
				t.Errorf("%s took %d attempts", task.ID, task.Attempt)
			}
		}
	})
}

// TestFailingWorkerAndFailingTask: a worker that fails everything does not end
// tasks, and a task that fails everywhere ends after three workers.
func TestFailingWorkerAndFailingTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 4)
		defer w.close()
		w.all()[0].Faults.FailTasks.Store(true)
		w.submit(10, small)
		w.watch(w.allIn(carobrock.TaskSucceeded), 3*time.Minute)
	})
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 4)
		defer w.close()
		for _, e := range w.all() {
			e.Faults.FailTasks.Store(true)
		}
		w.submit(3, small)
		w.watch(w.allIn(carobrock.TaskFailed), 3*time.Minute)
		for _, task := range w.keeper.Tasks(func(*carobrock.Task) bool { return true }) {
			if len(task.FailedOn) != 3 {
				t.Errorf("%s was given up after %d workers, want 3", task.ID, len(task.FailedOn))
			}
		}
	})
}

// TestCancelWave cancels in every state at once; each task ends once.
func TestCancelWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3)
		defer w.close()
		w.submit(60, small)
		for range 20 {
			w.checkOnce()
			time.Sleep(100 * time.Millisecond)
		}
		w.setZone("az0", true)
		var changes []carobrock.TaskChange
		for i := range 60 {
			changes = append(changes, carobrock.TaskChange{ID: fmt.Sprint("t", i), Event: carobrock.EventCancel})
		}
		w.propose(&carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: changes}})
		w.propose(&carobrock.Command{TaskChanges: &carobrock.TaskChanges{Changes: changes}})
		w.watch(w.allIn(carobrock.TaskCancelled, carobrock.TaskSucceeded), time.Minute)
		time.Sleep(10 * time.Second)
		for _, e := range w.all() {
			if n := len(e.Attempts()); n > 0 {
				t.Errorf("%s still knows of %d attempts", e.Name, n)
			}
		}
	})
}

// TestImpossibleTasks do not hold up the others, say why they wait, and start
// once a worker is large enough.
func TestImpossibleTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3)
		defer w.close()
		huge := carobrock.TaskSpec{ID: "huge", Size: carobrock.Capacity{MilliCPU: 9000}, Priority: 100}
		w.submit(2, huge)
		w.submit(5, small)
		w.watch(w.allIn(carobrock.TaskSucceeded, carobrock.TaskUnplaceable), time.Minute)
		task, _ := w.keeper.Task("huge0")
		if task.State != carobrock.TaskUnplaceable || task.Reason == "" {
			t.Errorf("state %s, reason %q", task.State, task.Reason)
		}
	})
}

// TestUnknownInterferenceKeepsNoWorkWaiting: short tasks fill the workers beside
// services of which nothing is known, whether their usage is reported or not.
func TestUnknownInterferenceKeepsNoWorkWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := carobrock.Service{Pool: "logbook", Address: "service", Reserved: carobrock.Capacity{MilliCPU: 1000}}
		p := &placer.Learned{Model: &placer.Interference{}, Weights: placer.RecordsOffice()}
		w := newWorldWith(t, 1, 3, p, []carobrock.Service{service})
		defer w.close()
		time.Sleep(2 * time.Second)
		// 3 workers with 3 free cores each: 53 tasks of 4 s are 24 s of work.
		w.submit(53, carobrock.TaskSpec{ID: "t", Kind: "import", Size: carobrock.Capacity{MilliCPU: 1000}, RunMillis: 4000})
		w.watch(w.allIn(carobrock.TaskSucceeded), time.Minute)
	})
}

// TestHousekeeping: a worker that is silent for good is dropped, one that holds
// an attempt is kept until that is over, and old keys go.
func TestHousekeeping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 3)
		defer w.close()
		w.propose(&carobrock.Command{ClaimKeys: &carobrock.ClaimKeys{Changes: []carobrock.KeyChange{
			{Key: "k", Owner: "o", Action: carobrock.KeyActionClaim, AtUnixSec: time.Now().Unix()},
		}}})
		time.Sleep(3 * time.Second)
		w.all()[0].Faults.Mute.Store(true)
		time.Sleep(9 * time.Minute)
		if n := len(w.keeper.Workers()); n != 3 {
			t.Errorf("%d workers after 9 min, want 3", n)
		}
		time.Sleep(3 * time.Minute)
		if n := len(w.keeper.Workers()); n != 2 {
			t.Errorf("%d workers after 12 min, want 2", n)
		}
		if !w.keeper.HasKeysBefore(time.Now().Unix()) {
			t.Error("a key is gone after 12 min")
		}
		time.Sleep(testKeyRetention)
		if w.keeper.HasKeysBefore(time.Now().Unix()) {
			t.Error("a key is there when its retention is over")
		}
	})
}

// TestNameOfTwoVMs: a second VM that announces a worker's name is refused while
// the first one's lease lives, and taken when it has run out.
func TestNameOfTwoVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1)
		defer w.close()
		time.Sleep(3 * time.Second)
		first := w.all()[0]
		second := &carobrock.Announcement{Worker: first.Worker, SentMillis: 1}
		second.VM, second.Incarnation = "vm-other", "other"
		announce := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := w.leads[0].scheduler.Announce(ctx, second)
			return err
		}
		if err := announce(); !errors.Is(err, carobrock.ErrNameTaken) {
			t.Errorf("while the first lives: %v, want ErrNameTaken", err)
		}
		first.Faults.Mute.Store(true)
		time.Sleep(4 * time.Second)
		if err := announce(); !errors.Is(err, carobrock.ErrNameTaken) {
			t.Errorf("while the first one's lease lives: %v, want ErrNameTaken", err)
		}
		time.Sleep(4 * time.Second)
		if err := announce(); err != nil {
			t.Errorf("after the first one's lease: %v", err)
		}
	})
}
