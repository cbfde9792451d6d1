package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/carobrock/carobrock"
)

var policies = []policy{
	{name: "firstFit", newPlacer: func(*simulation) carobrock.Placer { return FirstFit{} }},
	{name: "bestFit", newPlacer: func(*simulation) carobrock.Placer { return bestFit{} }},
	{name: "random", newPlacer: func(*simulation) carobrock.Placer { return randomFit{rand.New(rand.NewPCG(3, 3))} }},
	{name: "separate", newPlacer: func(*simulation) carobrock.Placer { return FirstFit{} }, separateBatch: true},
	{
		name: "learned",
		newPlacer: func(sim *simulation) carobrock.Placer {
			return &InterferenceAware{Model: &Interference{}, Weights: sim.deployment.weights, MaxPlaced: 1000}
		},
		observe: func(p carobrock.Placer, kind string, neighbors map[string]float64, ratio float64) {
			p.(*InterferenceAware).ObserveUsage(kind, neighbors, ratio)
		},
	},
}

const simulationSeeds = 10

// policyResult holds the results of one policy, one element per seed.
type policyResult struct {
	batchWork, p99, evictions, lostWork, workDuringOutage []float64
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

// standardDeviation returns the sample standard deviation of x.
func standardDeviation(x []float64) float64 {
	m, sum := mean(x), 0.0
	for _, v := range x {
		sum += (v - m) * (v - m)
	}
	return math.Sqrt(sum / float64(len(x)-1))
}

// runPolicies simulates every policy with the same seeds.
func runPolicies(d deployment) map[string]*policyResult {
	out := map[string]*policyResult{}
	for i := range policies {
		p := &policies[i]
		result := &policyResult{}
		for seed := range uint64(simulationSeeds) {
			sim := newSimulation(d, seed+1)
			sim.run(p)
			result.batchWork = append(result.batchWork, sim.batchWork)
			result.p99 = append(result.p99, sim.p99())
			result.evictions = append(result.evictions, float64(sim.evictions))
			result.lostWork = append(result.lostWork, sim.lostWork)
			result.workDuringOutage = append(result.workDuringOutage, sim.workDuringOutage)
		}
		out[p.name] = result
	}
	return out
}

// TestPolicyTargets compares the policies over ten paired seeds. The targets:
// at least 1.5 times the batch work of running batch on separate VMs, a p99
// slowdown of the services of at most 1.1 times that of batch on separate VMs,
// and at most a third of the evictions of best fit.
func TestPolicyTargets(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			results := runPolicies(d)
			for _, p := range policies {
				result := results[p.name]
				t.Logf("%-8s batch %6.0f±%-4.0f s  p99 slowdown %.3f±%.3f  evictions %5.1f±%-4.1f  lost %5.0f s  during outage %6.0f s", p.name,
					mean(result.batchWork), standardDeviation(result.batchWork), mean(result.p99), standardDeviation(result.p99), mean(result.evictions), standardDeviation(result.evictions), mean(result.lostWork), mean(result.workDuringOutage))
			}
			learned, separate, bestFitResult := results["learned"], results["separate"], results["bestFit"]
			t.Run("batch", func(t *testing.T) {
				if ratio := mean(learned.batchWork) / mean(separate.batchWork); ratio < 1.5 {
					t.Errorf("%.3f times the batch work of batch on separate VMs, want at least 1.5", ratio)
				}
			})
			t.Run("tail", func(t *testing.T) {
				if ratio := mean(learned.p99) / mean(separate.p99); ratio > 1.1 {
					t.Errorf("the services' p99 slowdown is %.3f times that of batch on separate VMs, want at most 1.1", ratio)
				}
			})
			t.Run("evictions", func(t *testing.T) {
				if mean(learned.evictions) > mean(bestFitResult.evictions)/3 {
					t.Errorf("%.1f evictions, want at most a third of the %.1f of best fit", mean(learned.evictions), mean(bestFitResult.evictions))
				}
			})
		})
	}
}

// BenchmarkPlace measures one call of Place at the expected size in two years:
// 440 workers and 12,200 running tasks, with queues of several lengths.
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
			l := &InterferenceAware{Model: &Interference{}, Weights: LatencyWeights()}
			for b.Loop() {
				l.Place(v)
			}
		})
	}
}
