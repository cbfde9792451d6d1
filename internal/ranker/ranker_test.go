package ranker

import (
	"slices"
	"testing"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// newJob returns a job of two steps in a row with an objective of 5 s, submitted at
// 0.
func newJob(priority int, state carobrock.JobState) *bookkeeper.Job {
	j := &bookkeeper.Job{State: state, Queue: carobrock.Queue{Priority: priority, StretchFactor: 2, TargetMillis: 1000}}
	j.Spec.Steps = []carobrock.Step{{Count: 1, EstimateMillis: 1500}, {Count: 1, EstimateMillis: 500, After: []int{0}}}
	return j
}

func TestOrder(t *testing.T) {
	const at = 100_000 // milliseconds
	ageOf := func(j *bookkeeper.Job, age int64) *bookkeeper.Job {
		j.SubmittedUnixMillis = at - age
		return j
	}
	service := newJob(5, carobrock.JobPending)
	service.Spec.Steps[0].Service = true
	// In the order in which they are to be placed.
	jobs := []struct {
		name string
		job  *bookkeeper.Job
	}{
		{"service of a low priority", service},
		{"started, little slack", ageOf(newJob(0, carobrock.JobRunning), 2900)},
		{"started, much slack", ageOf(newJob(0, carobrock.JobRunning), 500)},
		{"young", ageOf(newJob(0, carobrock.JobPending), 100)},
		{"old, still on time", ageOf(newJob(0, carobrock.JobPending), 3000)},
		{"started, late", ageOf(newJob(0, carobrock.JobRunning), 3001)},
		{"late", ageOf(newJob(0, carobrock.JobPending), 9000)},
		{"too late", ageOf(newJob(0, carobrock.JobRunning), 13_001)},
		{"on time, lower priority", ageOf(newJob(1, carobrock.JobPending), 0)},
	}
	for i := range jobs {
		for k := range jobs {
			a, b := UrgencyOf(jobs[i].job, nil, 0, 0, at), UrgencyOf(jobs[k].job, nil, 0, 0, at)
			if got := a.Compare(b); i < k && got >= 0 || i > k && got <= 0 || i == k && got != 0 {
				t.Errorf("%q compared with %q: %d", jobs[i].name, jobs[k].name, got)
			}
		}
	}
}

// The due times of a repeated job differ, and so do the urgencies of its
// occurrences.
func TestOccurrencesHaveTheirOwnUrgency(t *testing.T) {
	j := newJob(0, carobrock.JobRunning)
	j.Spec.Repetitions, j.Spec.FirstUnixMillis, j.Spec.IntervalMillis = 3, 1000, 2000
	var slack []int64
	for k := range 3 {
		slack = append(slack, UrgencyOf(j, nil, k, 0, 6000).SlackMillis)
	}
	if want := []int64{-2000, 0, 2000}; !slices.Equal(slack, want) {
		t.Errorf("slack %v ms, want %v", slack, want)
	}
}
