package allocator_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/pacer"
)

func TestIsolation(t *testing.T) {
	isolated := func(n int, step carobrock.Step) allocator.Request {
		r := newRequest(n, step)
		r.IsSuspect, r.IsIsolated = true, true
		return r
	}
	shared := newRequest(1, carobrock.Step{Size: capacity(1000, 100)})
	shared.IsSuspect = true
	one, four := carobrock.Step{Size: capacity(1000, 100)}, carobrock.Step{Size: capacity(4000, 100)}
	for _, test := range []struct {
		name     string
		requests []allocator.Request
		runs     []int // number of runs on workers a, b, ...
		recent   []int // number of recent runs on them, none if nil
		isolated string
		want     map[string]int
	}{
		{name: "worker with the fewest runs", requests: []allocator.Request{isolated(1, one)}, runs: []int{2, 1, 3, 4}, want: map[string]int{"b": 1}},
		{name: "one suspect a worker", requests: []allocator.Request{isolated(1, one), isolated(1, one)}, runs: []int{0, 1, 3, 4}, want: map[string]int{"a": 1, "b": 1}},
		{name: "half of the workers at most", requests: []allocator.Request{isolated(1, one), isolated(1, one), isolated(1, one)}, runs: []int{0, 1, 3, 4}, want: map[string]int{"a": 1, "b": 1}},
		{name: "the only worker", requests: []allocator.Request{isolated(1, one), isolated(1, one)}, runs: []int{5}, want: map[string]int{"a": 1}},
		{name: "other tasks go elsewhere", requests: []allocator.Request{isolated(1, one), newRequest(8, one)}, runs: []int{0, 1}, want: map[string]int{"a": 1, "b": 4}},
		{name: "a suspect that may not be isolated yet blocks nothing", requests: []allocator.Request{isolated(1, four), newRequest(2, one)}, runs: []int{0, 0}, isolated: "a", want: map[string]int{"b": 2}},
		{name: "reserved worker", requests: []allocator.Request{newRequest(8, one)}, runs: []int{1, 2}, isolated: "a", want: map[string]int{"b": 4}},
		{name: "shared", requests: []allocator.Request{shared, newRequest(3, one)}, runs: []int{3, 0}, want: map[string]int{"a": 2, "b": 2}},
		{name: "no recent runs beside it", requests: []allocator.Request{isolated(1, one)}, runs: []int{1, 3}, recent: []int{1, 0}, want: map[string]int{"b": 1}},
		{name: "waits for a worker without recent runs", requests: []allocator.Request{isolated(1, one), newRequest(8, one)}, runs: []int{3, 2}, recent: []int{1, 1}, want: map[string]int{"a": 4}},
		{name: "gang", requests: []allocator.Request{isolated(3, carobrock.Step{Size: capacity(2000, 100), Gang: true}), newRequest(9, one)}, runs: []int{0, 1, 3}, want: map[string]int{"a": 2, "b": 1, "c": 4}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var workers []*allocator.Worker
			for i, n := range test.runs {
				if test.recent == nil {
					test.recent = make([]int, len(test.runs))
				}
				w := newWorker(string(rune('a'+i)), "r1", 4)
				w.RunCount, w.RecentCount, w.IsIsolated = n, test.recent[i], w.Incarnation.Name == test.isolated
				workers = append(workers, w)
			}
			a := &allocator.Allocator{Model: &pacer.Model{}}
			if diff := cmp.Diff(test.want, countPerWorker(a.Place(test.requests, workers, 100))); diff != "" {
				t.Errorf("assignments per worker (-want +got):\n%s", diff)
			}
			for i, w := range workers {
				if w.IsIsolated && w.Incarnation.Name != test.isolated && w.RunCount == test.runs[i] {
					t.Errorf("worker %s is isolated without a task", w.Incarnation.Name)
				}
			}
		})
	}
}
