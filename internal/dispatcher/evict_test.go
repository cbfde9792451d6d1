package dispatcher

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
)

func TestChooseEvictions(t *testing.T) {
	size := func(cores, memory int64) carobrock.Capacity {
		return carobrock.Capacity{MilliCPU: 1000 * cores, MemoryMB: memory}
	}
	batch := func(cores, memory int64) carobrock.Step {
		return carobrock.Step{Size: size(cores, memory), EstimateMillis: 1000}
	}
	withCheckpoints := func(step carobrock.Step) carobrock.Step { step.Checkpoints = true; return step }
	filler := func(step carobrock.Step) carobrock.Step { step.Filler = true; return step }
	gang := func(step carobrock.Step) carobrock.Step { step.Gang = true; return step }
	service := func(step carobrock.Step) carobrock.Step {
		step.Service, step.MaxUnavailable = true, 1
		return step
	}
	type run struct {
		name    string // of the job
		step    carobrock.Step
		percent int
	}
	for _, test := range []struct {
		name     string
		shortage carobrock.Capacity
		runs     []run
		allowed  map[string]int
		want     []string
	}{
		{name: "no shortage", shortage: size(0, -100), runs: []run{{"a", batch(1, 100), 10}}},
		{name: "least lost work", shortage: size(1, 0), runs: []run{{"a", batch(1, 100), 90}, {"b", batch(1, 100), 10}}, want: []string{"b"}},
		{name: "checkpoints before lost work", shortage: size(1, 0), runs: []run{{"a", batch(1, 100), 10}, {"b", withCheckpoints(batch(1, 100)), 90}}, want: []string{"b"}},
		{name: "fewest runs", shortage: size(2, 0), runs: []run{{"a", withCheckpoints(batch(1, 100)), 50}, {"b", withCheckpoints(batch(1, 100)), 50}, {"c", withCheckpoints(batch(2, 100)), 50}}, want: []string{"c"}},
		{name: "one large run instead of a small one before it", shortage: size(2, 0), runs: []run{{"a", batch(1, 100), 1}, {"b", batch(2, 100), 50}}, want: []string{"b"}},
		{name: "fillers free no processors", shortage: size(1, 0), runs: []run{{"a", filler(withCheckpoints(batch(1, 100))), 5}, {"b", batch(1, 100), 50}}, want: []string{"b"}},
		{name: "fillers free memory", shortage: size(0, 100), runs: []run{{"a", filler(withCheckpoints(batch(1, 100))), 5}, {"b", batch(1, 100), 50}}, want: []string{"a"}},
		{name: "two resources", shortage: size(1, 100), runs: []run{{"a", filler(withCheckpoints(batch(1, 100))), 5}, {"b", batch(1, 0), 50}}, want: []string{"a", "b"}},
		{name: "accelerators", shortage: carobrock.Capacity{Accelerators: 1}, runs: []run{{"a", batch(4, 100), 0}, {"b", carobrock.Step{Size: carobrock.Capacity{MilliCPU: 100, Accelerators: 1}}, 90}}, want: []string{"b"}},
		{name: "gangs after other batch tasks", shortage: size(1, 0), runs: []run{{"a", gang(withCheckpoints(batch(1, 100))), 0}, {"b", batch(1, 100), 90}}, want: []string{"b"}},
		{name: "services last", shortage: size(2, 0), runs: []run{{"a", service(batch(1, 100)), 100}, {"b", gang(batch(1, 100)), 90}, {"c", batch(1, 100), 90}}, want: []string{"c", "b"}},
		{name: "services within their limit", shortage: size(2, 0), runs: []run{{"a", service(batch(1, 100)), 100}, {"a", service(batch(1, 100)), 100}}, allowed: map[string]int{"a": 1}, want: []string{"a"}},
		{name: "no service beyond its limit", shortage: size(1, 0), runs: []run{{"a", service(batch(1, 100)), 100}}, allowed: map[string]int{"a": 0}},
		{name: "as much as there is", shortage: size(9, 0), runs: []run{{"a", batch(1, 100), 10}, {"b", batch(1, 100), 20}}, want: []string{"a", "b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var runs []evictable
			for i, x := range test.runs {
				runs = append(runs, evictable{run: carobrock.Run{Task: carobrock.TaskRef{Job: x.name, Index: i}, Attempt: 1}, step: &test.runs[i].step, percent: x.percent})
			}
			allowed := map[carobrock.TaskRef]int{}
			for job, n := range test.allowed {
				allowed[carobrock.TaskRef{Job: job}] = n
			}
			var got []string
			for _, run := range chooseEvictions(test.shortage, runs, allowed) {
				got = append(got, fmt.Sprint(run.Task.Job))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("evictions (-want +got):\n%s", diff)
			}
		})
	}
}
