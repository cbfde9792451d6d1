package sharer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/sharer"
)

// replay simulates a fleet of one-core slots whose tasks are placed in the order of
// Order, once in a tick. Tasks are never interrupted.
type replay struct {
	slots    int
	weights  []float64
	limits   []int // maximum number of running tasks, zero for none
	waiting  []*step
	running  []runningTask
	tick     int
	started  []int // tasks by account
	submits  int
	arrivals func(tick int) []step // what is submitted in a tick
}

// step is a number of equal waiting tasks.
type step struct {
	account  int
	count    int
	runTicks int
	isExcess bool
	// cores is the size of a task, one if zero.
	cores int
}

type runningTask struct {
	account, cores, endsAt int
}

func newReplay(slots int, weights ...float64) *replay {
	return &replay{slots: slots, weights: weights, limits: make([]int, len(weights)), started: make([]int, len(weights))}
}

// usage returns the number of cores in use by account.
func (r *replay) usage() []int {
	out := make([]int, len(r.weights))
	for _, x := range r.running {
		out[x.account] += x.cores
	}
	return out
}

func (r *replay) submit(s step) {
	s.cores = max(1, s.cores)
	r.waiting = append(r.waiting, &s)
	r.submits++
}

// advance simulates a tick: tasks end, jobs arrive, and free slots are filled.
func (r *replay) advance() {
	running := r.running[:0]
	for _, x := range r.running {
		if x.endsAt > r.tick {
			running = append(running, x)
		}
	}
	r.running = running
	if r.arrivals != nil {
		for _, s := range r.arrivals(r.tick) {
			r.submit(s)
		}
	}
	used, accounts := r.usage(), make([]sharer.Account, len(r.weights))
	free := r.slots
	for i := range accounts {
		accounts[i] = sharer.Account{Weight: r.weights[i], Usage: size(int64(used[i])*1000, 0)}
		free -= used[i]
	}
	fits := func(s *step) bool { return r.limits[s.account] == 0 || used[s.account]+s.cores <= r.limits[s.account] }
	var placeable []*step
	var requests []sharer.Request
	for _, s := range r.waiting {
		if !fits(s) {
			continue
		}
		tier := sharer.Entitled
		if s.isExcess {
			tier = sharer.Excess
		}
		placeable = append(placeable, s)
		requests = append(requests, sharer.Request{Account: s.account, Size: size(int64(s.cores)*1000, 0), Count: s.count, Tier: tier})
	}
	for _, p := range sharer.Order(requests, accounts, carobrock.Capacity{MilliCPU: int64(r.slots) * 1000}) {
		s := placeable[p.Request]
		for range p.Count {
			if free < s.cores || !fits(s) {
				break
			}
			free, used[s.account] = free-s.cores, used[s.account]+s.cores
			s.count--
			r.started[s.account]++
			r.running = append(r.running, runningTask{s.account, s.cores, r.tick + s.runTicks})
		}
	}
	waiting := r.waiting[:0]
	for _, s := range r.waiting {
		if s.count > 0 {
			waiting = append(waiting, s)
		}
	}
	r.waiting = waiting
	r.tick++
}

// meanUse advances and returns the average number of cores in use by account.
func (r *replay) meanUse(ticks int) []float64 {
	out := make([]float64, len(r.weights))
	for range ticks {
		r.advance()
		for i, n := range r.usage() {
			out[i] += float64(n) / float64(ticks)
		}
	}
	return out
}

// wantUse checks that an account uses a number of cores, within tolerance.
func wantUse(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	const rounding = 1e-6
	if math.Abs(got-want) > tolerance+rounding {
		t.Errorf("%s: %.2f cores in use, want %.2f ± %.2f", name, got, want, tolerance)
	}
}

// Guards against an account that takes the fleet by sending ten times its share: the
// others, which send a little less than theirs, get all that they send.
func TestReplayOneAccountSendsTenTimesItsShare(t *testing.T) {
	r := newReplay(40, 1, 1, 1, 1)
	rnd := rand.New(rand.NewPCG(1, 1))
	r.arrivals = func(int) (out []step) {
		// A share is 10 slots, which is one task a tick of 10 ticks.
		for account := range 4 {
			n := 1
			if account == 0 {
				n = 10
			}
			for range n {
				if account == 0 || rnd.IntN(10) < 9 {
					out = append(out, step{account: account, count: 1, runTicks: 10, isExcess: account == 0 && len(out) > 0})
				}
			}
		}
		return out
	}
	r.meanUse(50)
	use := r.meanUse(400)
	for account := 1; account < 4; account++ {
		wantUse(t, fmt.Sprint("account ", account), use[account], 9, 0.6)
	}
	wantUse(t, "account with ten times its share", use[0], 40-3*9, 1.5)
	waiting := make([]int, 4)
	for _, s := range r.waiting {
		waiting[s.account] += s.count
	}
	// The others wait for the ends of tasks that have started, not for the queue.
	if others := waiting[1] + waiting[2] + waiting[3]; waiting[0] < 1000 || others > 30 {
		t.Errorf("%d tasks of the account wait, and %d of the others", waiting[0], others)
	}
}

// Guards against small accounts that large ones starve, and against idle slots while
// tasks wait: three of twenty accounts have large weights and deep queues.
func TestReplayTwentyAccountsOfWhichAFewAreLarge(t *testing.T) {
	weights := make([]float64, 20)
	total := 0.0
	for i := range weights {
		weights[i] = 1
		if i < 3 {
			weights[i] = float64(20 * (i + 1))
		}
		total += weights[i]
	}
	r := newReplay(411, weights...)
	rnd := rand.New(rand.NewPCG(2, 1))
	r.arrivals = func(_ int) (out []step) {
		for account := range weights {
			// The smallest accounts send half of their share, all others twice theirs.
			rate := 2 * weights[account] / total * 411 / 8
			if account >= 17 {
				rate /= 4
			}
			for n := int(rate + rnd.Float64()); n > 0; {
				k := min(n, 1+rnd.IntN(30))
				n -= k
				out = append(out, step{account: account, count: k, runTicks: 4 + rnd.IntN(9)})
			}
		}
		return out
	}
	r.meanUse(60)
	use := r.meanUse(150)
	idle, unused := 411.0, 0.0
	for account := 17; account < 20; account++ {
		unused += weights[account]/total*411 - use[account]
	}
	for account, x := range use {
		idle -= x
		share := weights[account] / total * 411
		if account >= 17 {
			wantUse(t, fmt.Sprint("account ", account), x, share/2, 0.35*share)
			continue
		}
		// What the smallest leave is shared by weight as well.
		wantUse(t, fmt.Sprint("account ", account), x, share+unused*weights[account]/total, 0.05*share+0.5)
	}
	if idle > 0.5 {
		t.Errorf("%.2f slots idle while tasks wait", idle)
	}
}

// Guards against a limit that blocks other accounts: tasks beyond it wait, and the
// others use what remains. A limit below one task holds all tasks back, one below a
// step lets some of its tasks run at a time.
func TestReplayLimits(t *testing.T) {
	for _, test := range []struct {
		name  string
		limit int
		cores int
		want  []float64
	}{
		{"below one task", 3, 4, []float64{0, 20}},
		{"below a step", 3, 1, []float64{3, 17}},
		{"below a step, no multiple of a task", 5, 2, []float64{4, 16}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newReplay(20, 5, 1)
			r.limits[0] = test.limit
			for range 20 {
				r.submit(step{account: 0, count: 30, runTicks: 5, cores: test.cores})
				r.submit(step{account: 1, count: 300, runTicks: 5})
			}
			use := r.meanUse(100)
			wantUse(t, "limited account", use[0], test.want[0], 0)
			wantUse(t, "other account", use[1], test.want[1], 0)
		})
	}
}

// Guards against shares that follow the weights of an earlier configuration.
func TestReplayWeightsChangeWhileJobsWait(t *testing.T) {
	r := newReplay(40, 3, 1)
	rnd := rand.New(rand.NewPCG(3, 1))
	for i := range 400 {
		r.submit(step{account: i % 2, count: 100, runTicks: 4 + rnd.IntN(5)})
	}
	r.meanUse(20)
	use := r.meanUse(100)
	wantUse(t, "weight 3 of 4", use[0], 30, 1)
	r.weights = []float64{1, 7}
	r.meanUse(10) // until the running tasks have ended
	use = r.meanUse(100)
	wantUse(t, "weight 1 of 8", use[0], 5, 1)
	r.weights = []float64{0, 1}
	r.meanUse(10)
	use = r.meanUse(100)
	wantUse(t, "weight zero", use[0], 0, 0)
}

// maxTicks is the longest run time of a task in TestAccountWithinItsShareIsNotWorseOff.
const maxTicks = 12

// maxWaiting bounds the queue of the other accounts in that test. It is always long.
const maxWaiting = 100

// TestAccountWithinItsShareIsNotWorseOff compares an account on a shared fleet with the
// same account alone on a fleet of the size of its share. The others send as much as
// they want. As tasks are not interrupted, the account may have to wait until the
// running tasks of others end, and for one part of a request.
func TestAccountWithinItsShareIsNotWorseOff(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 4))
			weights, total := []float64{1 + 4*rnd.Float64()}, 0.0
			for range 1 + rnd.IntN(12) {
				weights = append(weights, 0.5+6*rnd.Float64())
			}
			for _, w := range weights {
				total += w
			}
			slots := 20 + rnd.IntN(100)
			share := max(1, int(float64(slots)*weights[0]/total))
			shared, alone := newReplay(slots, weights...), newReplay(share, 1)
			var startedAlone []int
			for tick := range 400 {
				// The offered load of the account is at most 0.9 of its share; it comes in bursts.
				const meanWork = 4.5 * (1 + maxTicks) / 2 // of a step, in slots and ticks
				for range int(0.9*float64(share)/meanWork + rnd.Float64()) {
					s := step{count: 1 + rnd.IntN(8), runTicks: 1 + rnd.IntN(maxTicks)}
					shared.submit(s)
					alone.submit(s)
				}
				for account := 1; account < len(weights); account++ {
					if rnd.IntN(3) == 0 && len(shared.waiting) < maxWaiting {
						shared.submit(step{account: account, count: 1 + rnd.IntN(40), runTicks: 1 + rnd.IntN(maxTicks)})
					}
				}
				shared.advance()
				alone.advance()
				startedAlone = append(startedAlone, alone.started[0])
				const lag = maxTicks + 1
				if tick >= lag && shared.started[0] < startedAlone[tick-lag] {
					t.Fatalf("tick %d: %d tasks started, alone %d by tick %d (share %d of %d slots)", tick, shared.started[0], startedAlone[tick-lag], tick-lag, share, slots)
				}
			}
		})
	}
}
