package carobrock_test

import (
	"errors"
	"testing"

	"github.com/carobrock/carobrock"
)

// TestDueOccurrences compares the number of due occurrences with their due times.
func TestDueOccurrences(t *testing.T) {
	for _, spec := range []carobrock.JobSpec{
		{},
		{Repetitions: 1, FirstUnixMillis: 500},
		{Repetitions: 5, FirstUnixMillis: 1000, IntervalMillis: 300},
		{Repetitions: 5, FirstUnixMillis: 1000},
		{Repetitions: 5, IntervalMillis: 1},
		{Repetitions: 10_000, FirstUnixMillis: 1000, IntervalMillis: carobrock.MaxDurationMillis},
	} {
		for _, at := range []int64{0, 1, 4, 5, 499, 500, 999, 1000, 1001, 1299, 1300, 2199, 2200, 1 << 45} {
			want := 0
			for want < spec.Occurrences() && spec.DueUnixMillis(want) <= at {
				want++
			}
			if got := spec.DueOccurrences(at); got != want {
				t.Errorf("%d repetitions from %d every %d ms: %d are due at %d, want %d", spec.Repetitions, spec.FirstUnixMillis, spec.IntervalMillis, got, at, want)
			}
		}
	}
}

// Guards against jobs that are stored although their numbers are beyond what a replica
// can hold, whichever process hands them in.
func TestJobBeyondTheLimitsIsRefused(t *testing.T) {
	step := carobrock.Step{Count: 1}
	for _, test := range []struct {
		name    string
		spec    carobrock.JobSpec
		refused bool
	}{
		{"smallest", carobrock.JobSpec{Steps: []carobrock.Step{step}}, false},
		{"largest", carobrock.JobSpec{Repetitions: carobrock.MaxRepetitions, Steps: []carobrock.Step{{Count: carobrock.MaxJobTasks - 1}, {Count: 1, After: []int{0}}}}, false},
		{"no step", carobrock.JobSpec{}, true},
		{"too many steps", carobrock.JobSpec{Steps: make([]carobrock.Step, carobrock.MaxJobSteps+1)}, true},
		{"no task", carobrock.JobSpec{Steps: []carobrock.Step{{}}}, true},
		{"negative number of tasks", carobrock.JobSpec{Steps: []carobrock.Step{{Count: -1}}}, true},
		{"too many tasks together", carobrock.JobSpec{Steps: []carobrock.Step{{Count: carobrock.MaxJobTasks}, step}}, true},
		{"too many repetitions", carobrock.JobSpec{Repetitions: carobrock.MaxRepetitions + 1, Steps: []carobrock.Step{step}}, true},
		{"negative repetitions", carobrock.JobSpec{Repetitions: -1, Steps: []carobrock.Step{step}}, true},
		{"depends on itself", carobrock.JobSpec{Steps: []carobrock.Step{{Count: 1, After: []int{0}}}}, true},
		{"depends on no step", carobrock.JobSpec{Steps: []carobrock.Step{step, {Count: 1, After: []int{-1}}}}, true},
	} {
		if err := test.spec.Check(); errors.Is(err, carobrock.ErrRefused) != test.refused {
			t.Errorf("%s: error %v, want refused: %v", test.name, err, test.refused)
		}
	}
}
