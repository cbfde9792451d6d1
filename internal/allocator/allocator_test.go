package allocator_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/pacer"
)

func newWorker(name, rack string, cores int64) *allocator.Worker {
	c := carobrock.Capacity{MilliCPU: cores * 1000, MemoryMB: cores * 4000, Accelerators: 1}
	return &allocator.Worker{
		Incarnation: carobrock.WorkerIncarnation{Name: name, Started: 1}, Pool: "pool", Rack: rack, Labels: []string{rack, "k-" + name},
		Capacity: c, Free: c, SpareMilliCPU: c.MilliCPU, ServicesByImage: map[string]int{},
	}
}

func newRequest(n int, step carobrock.Step) allocator.Request {
	step.Count = n
	r := allocator.Request{Job: "job", Step: &step, Pool: "pool", MinPaceFraction: 0.5}
	if step.MaxPerWorker > 0 {
		r.RunsPerWorker = map[carobrock.WorkerIncarnation]int{}
	}
	for i := range n {
		r.Indices = append(r.Indices, i)
		r.Attempts = append(r.Attempts, 1)
	}
	return r
}

func capacity(milli, mem int64) carobrock.Capacity {
	return carobrock.Capacity{MilliCPU: milli, MemoryMB: mem}
}

// countPerWorker counts assignments by worker name.
func countPerWorker(as []carobrock.TaskAssignment) map[string]int {
	out := map[string]int{}
	for _, a := range as {
		out[a.Incarnation.Name]++
	}
	return out
}

func TestPlace(t *testing.T) {
	for _, test := range []struct {
		name string
		n    int
		step carobrock.Step
		want map[string]int
	}{
		{name: "spread", n: 4, step: carobrock.Step{Size: capacity(1000, 100)}, want: map[string]int{"a": 2, "b": 2}},
		{name: "processors limit tasks", n: 9, step: carobrock.Step{Size: capacity(2000, 100)}, want: map[string]int{"a": 2, "b": 2}},
		{name: "memory limits fillers", n: 9, step: carobrock.Step{Size: capacity(100, 8000), Filler: true}, want: map[string]int{"a": 2, "b": 2}},
		{name: "fillers reserve no processors", n: 6, step: carobrock.Step{Size: capacity(2000, 100), Filler: true}, want: map[string]int{"a": 3, "b": 3}},
		{name: "label", n: 2, step: carobrock.Step{Size: capacity(1000, 100), Label: "k-b"}, want: map[string]int{"b": 2}},
		{name: "unknown label", n: 2, step: carobrock.Step{Size: capacity(1000, 100), Label: "x"}, want: map[string]int{}},
		{name: "data rack", n: 2, step: carobrock.Step{Size: capacity(1000, 100), DataRack: "r2"}, want: map[string]int{"b": 2}},
		{name: "anti-affinity", n: 5, step: carobrock.Step{Size: capacity(100, 100), MaxPerWorker: 1}, want: map[string]int{"a": 1, "b": 1}},
		{name: "gang that does not fit", n: 5, step: carobrock.Step{Size: capacity(2000, 100), Gang: true}, want: map[string]int{}},
		{name: "gang", n: 4, step: carobrock.Step{Size: capacity(2000, 100), Gang: true}, want: map[string]int{"a": 2, "b": 2}},
		{name: "gang on one rack", n: 2, step: carobrock.Step{Size: capacity(2000, 100), Gang: true, SameRack: true}, want: map[string]int{"a": 2}},
		{name: "accelerators", n: 3, step: carobrock.Step{Size: carobrock.Capacity{MilliCPU: 1, MemoryMB: 1, Accelerators: 1}}, want: map[string]int{"a": 1, "b": 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := &allocator.Allocator{Model: &pacer.Model{}}
			got := a.Place([]allocator.Request{newRequest(test.n, test.step)}, []*allocator.Worker{newWorker("a", "r1", 4), newWorker("b", "r2", 4)}, 100)
			if diff := cmp.Diff(test.want, countPerWorker(got)); diff != "" {
				t.Errorf("assignments per worker (-want +got):\n%s", diff)
			}
		})
	}
}

// A gang that does not fit leaves the capacity of the workers unchanged.
func TestFailedGangGivesBack(t *testing.T) {
	a := &allocator.Allocator{Model: &pacer.Model{}}
	w := newWorker("a", "r1", 4)
	before := *w
	a.Place([]allocator.Request{newRequest(3, carobrock.Step{Size: capacity(2000, 100), Gang: true})}, []*allocator.Worker{w}, 100)
	if w.Free != before.Free || w.SpareMilliCPU != before.SpareMilliCPU {
		t.Errorf("free capacity %+v after a failed placement, %+v before", w.Free, before.Free)
	}
}

func TestFillersKeepAwayFromServicesWithoutRoom(t *testing.T) {
	a := &allocator.Allocator{Model: &pacer.Model{}}
	busy, calm := newWorker("busy", "r1", 8), newWorker("calm", "r1", 4)
	busy.Services = []pacer.Service{{Image: "svc", Load: 0.95, Limit: 0.83}}
	got := a.Place([]allocator.Request{newRequest(3, carobrock.Step{Size: capacity(1000, 100), Filler: true, Image: "f"})}, []*allocator.Worker{busy, calm}, 100)
	if diff := cmp.Diff(map[string]int{"calm": 3}, countPerWorker(got)); diff != "" {
		t.Errorf("assignments per worker (-want +got):\n%s", diff)
	}
}

func TestServicesOfOneImageShareWorkers(t *testing.T) {
	a := &allocator.Allocator{Model: &pacer.Model{}}
	x, y := newWorker("x", "r1", 8), newWorker("y", "r1", 8)
	x.ServicesByImage["web"], y.ServicesByImage["mail"] = 1, 1
	got := a.Place([]allocator.Request{newRequest(3, carobrock.Step{Size: capacity(1000, 100), Service: true, Image: "mail"})}, []*allocator.Worker{x, y}, 100)
	if diff := cmp.Diff(map[string]int{"y": 3}, countPerWorker(got)); diff != "" {
		t.Errorf("assignments per worker (-want +got):\n%s", diff)
	}
}

func TestDistrustedWorkerComesLast(t *testing.T) {
	a := &allocator.Allocator{Model: &pacer.Model{}}
	bad, good := newWorker("bad", "r1", 16), newWorker("good", "r1", 4)
	bad.FailureRate = 0.8
	got := a.Place([]allocator.Request{newRequest(4, carobrock.Step{Size: capacity(1000, 100)})}, []*allocator.Worker{bad, good}, 100)
	if diff := cmp.Diff(map[string]int{"good": 4}, countPerWorker(got)); diff != "" {
		t.Errorf("assignments per worker (-want +got):\n%s", diff)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{48, 100, 350} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := &allocator.Allocator{Model: &pacer.Model{}}
			for b.Loop() {
				workers := make([]*allocator.Worker, n)
				for i := range workers {
					workers[i] = newWorker(fmt.Sprint(i), "r1", 16)
					workers[i].Services = []pacer.Service{{Image: "svc", Load: 0.5, Limit: 0.83}, {Image: "svc", Load: 0.4, Limit: 0.83}}
				}
				var rs []allocator.Request
				for range 20 {
					rs = append(rs, newRequest(8, carobrock.Step{Size: capacity(1800, 3000), Filler: true, Image: "f"}))
				}
				a.Place(rs, workers, 300)
			}
		})
	}
}
