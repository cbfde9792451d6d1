package allocator

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/pacer"
)

// TestPlaceSkipsOnlyHopelessRequests compares Place with a naive version that tries
// every request. Guards against fillers that wait because one of the same image with
// less memory, but more CPU, was too much for the services of all workers.
func TestPlaceSkipsOnlyHopelessRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Float64Range(0, 0.9), 4, 4).Draw(t, "loads")
		newFleet := func() []*Worker {
			var fleet []*Worker
			for i := range 4 {
				c := carobrock.Capacity{MilliCPU: 4000, MemoryMB: 4000}
				fleet = append(fleet, &Worker{
					Incarnation: carobrock.WorkerIncarnation{Name: fmt.Sprint("w", i)}, Pool: fmt.Sprint("p", i%2), Capacity: c, Free: c, SpareMilliCPU: c.MilliCPU,
					Labels: []string{fmt.Sprint("l", i%3)}, ServicesByImage: map[string]int{},
					Services: []pacer.Service{{Image: "s", Load: loads[i], Limit: 0.9}},
				})
			}
			return fleet
		}
		var requests []Request
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			step := &carobrock.Step{
				Count: rapid.IntRange(1, 6).Draw(t, "count"), Filler: rapid.Bool().Draw(t, "filler"), Service: rapid.IntRange(0, 3).Draw(t, "service") == 0,
				Image: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "image"), Label: rapid.SampledFrom([]string{"", "", "l1"}).Draw(t, "label"),
				Size: carobrock.Capacity{MilliCPU: rapid.Int64Range(500, 3000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(100, 2500).Draw(t, "memory")},
			}
			r := Request{Job: fmt.Sprint("j", i), Step: step, Pool: rapid.SampledFrom([]string{"p0", "p1"}).Draw(t, "pool"), MinPaceFraction: rapid.SampledFrom([]float64{0.25, 1}).Draw(t, "pace")}
			for n := range step.Count {
				r.Indices, r.Attempts = append(r.Indices, n), append(r.Attempts, 1)
			}
			requests = append(requests, r)
		}
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		a := &Allocator{Model: &pacer.Model{}}
		got := a.Place(requests, newFleet(), limit)
		var want []carobrock.TaskAssignment
		fleet := newFleet()
		for i := range requests {
			want = append(want, a.Place(requests[i:i+1], fleet, limit-len(want))...)
		}
		if diff := cmp.Diff(want, got, cmpopts.EquateEmpty(), cmpopts.EquateComparable(carobrock.WorkerIncarnation{}, carobrock.TaskAssignment{})); diff != "" {
			t.Errorf("assignments (-naive +got):\n%s", diff)
		}
	})
}

// Guards against the same fault with the sizes of a case: the second filler fits beside
// the service, and was skipped because of the first.
func TestFillerIsNotHeldBackByOneWithMoreCPU(t *testing.T) {
	c := carobrock.Capacity{MilliCPU: 16000, MemoryMB: 64000}
	fleet := []*Worker{{Pool: "p", Capacity: c, Free: c, Services: []pacer.Service{{Image: "s", Load: 0.1, Limit: 0.9}}}}
	var requests []Request
	for i, size := range []carobrock.Capacity{{MilliCPU: 7000, MemoryMB: 5648}, {MilliCPU: 4000, MemoryMB: 8864}} {
		step := &carobrock.Step{Count: 1, Filler: true, Image: "f", Size: size}
		requests = append(requests, Request{Job: fmt.Sprint("j", i), Step: step, Pool: "p", MinPaceFraction: 1, Indices: []int{0}, Attempts: []uint64{1}})
	}
	out := (&Allocator{Model: &pacer.Model{}}).Place(requests, fleet, 10)
	if len(out) != 1 || out[0].Task.Job != "j1" || requests[0].WaitReason != Interference {
		t.Errorf("assigned %v, reason of the first %q", out, requests[0].WaitReason)
	}
}
