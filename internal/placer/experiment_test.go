package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/carobrock/carobrock"
)

var policies = []policy{
	{name: "firstFit", make: func(*experiment) carobrock.Placer { return FirstFit{} }},
	{name: "bestFit", make: func(*experiment) carobrock.Placer { return bestFit{} }},
	{name: "random", make: func(*experiment) carobrock.Placer { return randomFit{rand.New(rand.NewPCG(3, 3))} }},
	{name: "apart", make: func(*experiment) carobrock.Placer { return FirstFit{} }, apart: true},
	{
		name: "learned",
		make: func(e *experiment) carobrock.Placer {
			return &Learned{Model: &Interference{}, Weights: e.user.weights, MaxPlaced: 1000}
		},
		learn: func(p carobrock.Placer, kind string, neighbours map[string]float64, ratio float64) {
			p.(*Learned).Observe(kind, neighbours, ratio)
		},
	},
}

const experimentSeeds = 10

// score is the result of one policy over all seeds.
type score struct {
	done, p99, evictions, lost, outDone []float64
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

func spread(x []float64) float64 {
	m, sum := mean(x), 0.0
	for _, v := range x {
		sum += (v - m) * (v - m)
	}
	return math.Sqrt(sum / float64(len(x)-1))
}

// runPolicies plays every policy with the same seeds.
func runPolicies(u userModel) map[string]*score {
	out := map[string]*score{}
	for i := range policies {
		p := &policies[i]
		s := &score{}
		for seed := range uint64(experimentSeeds) {
			e := newExperiment(u, seed+1)
			e.run(p)
			s.done = append(s.done, e.done)
			s.p99 = append(s.p99, e.p99())
			s.evictions = append(s.evictions, float64(e.evictions))
			s.lost = append(s.lost, e.lost)
			s.outDone = append(s.outDone, e.outDone)
		}
		out[p.name] = s
	}
	return out
}

// TestPolicyTargets compares the policies over ten paired seeds. The targets are
// stated: at least 1.5 times the batch work of keeping batch apart, the
// services' p99 slowdown within 1.1 times of it, at most a third of best fit's
// evictions.
func TestPolicyTargets(t *testing.T) {
	for _, u := range users {
		t.Run(u.name, func(t *testing.T) {
			scores := runPolicies(u)
			for _, p := range policies {
				s := scores[p.name]
				t.Logf("%-8s batch %6.0f±%-4.0f s  p99 slowdown %.3f±%.3f  evictions %5.1f±%-4.1f  lost %5.0f s  zone away %6.0f s", p.name,
					mean(s.done), spread(s.done), mean(s.p99), spread(s.p99), mean(s.evictions), spread(s.evictions), mean(s.lost), mean(s.outDone))
			}
			ours, apart, best := scores["learned"], scores["apart"], scores["bestFit"]
			t.Run("batch", func(t *testing.T) {
				if ratio := mean(ours.done) / mean(apart.done); ratio < 1.5 {
					t.Errorf("%.3f times the batch work of keeping batch apart, the target is 1.5", ratio)
				}
			})
			t.Run("tail", func(t *testing.T) {
				if ratio := mean(ours.p99) / mean(apart.p99); ratio > 1.1 {
					t.Errorf("service p99 is %.3f times that of keeping batch apart, the target is at most 1.1", ratio)
				}
			})
			t.Run("evictions", func(t *testing.T) {
				if mean(ours.evictions) > mean(best.evictions)/3 {
					t.Errorf("%.1f evictions, best fit has %.1f, the target is a third", mean(ours.evictions), mean(best.evictions))
				}
			})
		})
	}
}

// BenchmarkPlace measures one decision at the size of two years: 440 workers,
// 12,200 tasks running, with queues of several lengths.
func BenchmarkPlace(b *testing.B) {
	for _, queued := range []int{1, 6, 60, 1000} {
		b.Run(fmt.Sprint("queued=", queued), func(b *testing.B) {
			v := &carobrock.PlacementView{Pools: map[string]carobrock.Pool{"p": {Name: "p"}}}
			for i := range 440 {
				w := carobrock.PlacementWorker{Usable: true, Kinds: map[string]int{}}
				w.Name, w.Capacity = fmt.Sprint("w", i), carobrock.Capacity{MilliCPU: 64_000, MemoryMB: 256_000}
				w.Free = carobrock.Capacity{MilliCPU: int64(i%7) * 1000, MemoryMB: 64_000}
				w.Services = []carobrock.Service{{Pool: "logbook"}}
				for j := range 28 {
					w.Kinds[fmt.Sprint("k", (i+j)%12)]++
				}
				v.Workers = append(v.Workers, w)
			}
			for i := range queued {
				t := &carobrock.Task{}
				t.ID, t.Pool, t.Kind, t.Size = fmt.Sprint("t", i), "p", fmt.Sprint("k", i%12), carobrock.Capacity{MilliCPU: 1000}
				v.Queued = append(v.Queued, t)
			}
			l := &Learned{Model: &Interference{}, Weights: Envases()}
			for b.Loop() {
				l.Place(v)
			}
		})
	}
}
