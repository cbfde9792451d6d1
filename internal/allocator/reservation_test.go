package allocator

import (
	"testing"

	"github.com/carobrock/carobrock"
)

// cores returns a capacity of n cores with memory to spare.
func cores(n int64) carobrock.Capacity {
	return carobrock.Capacity{MilliCPU: 1000 * n, MemoryMB: 100 * n}
}

// Guards against services that never start because short tasks take each core that
// becomes free.
func TestServiceStartsAmongShortTasksThatFillEveryWorker(t *testing.T) {
	for _, test := range []struct {
		name string
		// serviceSize and label are those of the service.
		serviceSize int64
		label       string
		// wantRounds is the number of rounds, in each of which one short task of each
		// worker ends, after which the service starts. Zero means that it cannot start.
		wantRounds int
		// wantShort is the least number of short tasks that run after each round.
		wantShort int
	}{
		{name: "fits after three ends", serviceSize: 6, wantRounds: 3, wantShort: 7},
		{name: "fits on the labeled worker", serviceSize: 6, label: "x", wantRounds: 3, wantShort: 7},
		{name: "too large for any worker", serviceSize: 9, wantShort: 12},
		{name: "label of no worker", serviceSize: 6, label: "y", wantShort: 12},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := &Allocator{}
			var workers []*Worker
			running := map[*Worker]int{} // short tasks of two cores
			for _, name := range []string{"a", "b", "c"} {
				w := &Worker{Incarnation: carobrock.WorkerIncarnation{Name: name}, Pool: "pool", Capacity: cores(8), Transient: cores(8)}
				if name == "b" {
					w.Labels = []string{"x"}
				}
				workers, running[w] = append(workers, w), 4
			}
			rounds := 0
			for round := 1; round <= 10 && rounds == 0; round++ {
				for _, w := range workers {
					if running[w] > 0 {
						running[w]--
						w.Free, w.Transient = w.Free.Add(cores(2)), w.Transient.Sub(cores(2))
					}
				}
				requests := []Request{
					{Job: "service", Step: &carobrock.Step{Count: 1, Service: true, Label: test.label, Size: cores(test.serviceSize)}, Pool: "pool", Indices: []int{0}, Attempts: []uint64{1}},
					{Job: "short", Step: &carobrock.Step{Count: 9, Size: cores(2)}, Pool: "pool", Indices: []int{0, 1, 2, 3, 4, 5, 6, 7, 8}, Attempts: make([]uint64, 9)},
				}
				total := 0
				for _, w := range workers {
					w.Reserved, w.Reservations = carobrock.Capacity{}, 0
				}
				for _, x := range a.Place(requests, workers, 100) {
					for _, w := range workers {
						if w.Incarnation != x.Incarnation {
							continue
						}
						if x.Task.Job == "service" {
							rounds = round
						} else {
							running[w]++
						}
					}
				}
				for _, n := range running {
					total += n
				}
				if total < test.wantShort {
					t.Errorf("%d short tasks run after round %d, want %d or more", total, round, test.wantShort)
				}
			}
			if rounds != test.wantRounds {
				t.Errorf("service started in round %d, want %d (zero: never)", rounds, test.wantRounds)
			}
		})
	}
}

// A filler uses no reserved CPU, so it is kept away only from reserved memory.
func TestFillerRunsBesideAReservation(t *testing.T) {
	for _, test := range []struct {
		name   string
		memory int64
		want   int
	}{
		{"memory to spare", 100, 1},
		{"reserved memory", 300, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := &Worker{
				Incarnation: carobrock.WorkerIncarnation{Name: "a"}, Pool: "pool", Capacity: cores(8),
				Free: carobrock.Capacity{MilliCPU: 2000, MemoryMB: 800}, Transient: carobrock.Capacity{MilliCPU: 6000}, SpareMilliCPU: 4000,
			}
			requests := []Request{
				{Job: "service", Step: &carobrock.Step{Count: 1, Service: true, Size: cores(6)}, Pool: "pool", Indices: []int{0}, Attempts: []uint64{1}},
				{Job: "filler", Step: &carobrock.Step{Count: 1, Filler: true, Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: test.memory}}, Pool: "pool", Indices: []int{0}, Attempts: []uint64{1}},
			}
			if got := len((&Allocator{}).Place(requests, []*Worker{w}, 100)); got != test.want {
				t.Errorf("%d assignments, want %d", got, test.want)
			}
		})
	}
}
