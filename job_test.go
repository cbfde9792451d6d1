package carobrock_test

import (
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
