package bookkeeper_test

import (
	"fmt"
	"testing"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// Guards against running a job whose submission was held up, after its caller has
// cancelled it and was told that there is no such job.
func TestJobThatWasCancelledBeforeItsSubmissionNeverRuns(t *testing.T) {
	const retentionMillis, other = 1000, "h/other/"
	cancel := func(id, queue string) *carobrock.JobCommand {
		return &carobrock.JobCommand{Cancel: []carobrock.JobKey{{ID: id, Queue: queue}}}
	}
	submit := &carobrock.JobCommand{Submit: []carobrock.JobSpec{{ID: "job", Queue: queue, Steps: []carobrock.Step{{Count: 1}}}}}
	var others []*carobrock.JobCommand
	for i := range 10_001 {
		others = append(others, cancel(fmt.Sprint("other", i), queue))
	}
	for _, test := range []struct {
		name     string
		commands []*carobrock.JobCommand
		at       []int64 // milliseconds, those of the later commands equal the last
		want     carobrock.JobState
	}{
		{"cancelled before", []*carobrock.JobCommand{cancel("job", queue), submit}, []int64{0, 500}, carobrock.JobCancelled},
		{"cancelled twice", []*carobrock.JobCommand{cancel("job", queue), cancel("job", queue), submit}, []int64{0, 10, 500}, carobrock.JobCancelled},
		{"submitted twice", []*carobrock.JobCommand{cancel("job", queue), submit, submit}, []int64{0, 500, 600}, carobrock.JobCancelled},
		{"other job cancelled", []*carobrock.JobCommand{cancel("other", queue), submit}, []int64{0, 500}, carobrock.JobPending},
		{"cancelled in another queue", []*carobrock.JobCommand{cancel("job", other), submit}, []int64{0, 500}, carobrock.JobPending},
		{"after the retention", []*carobrock.JobCommand{cancel("job", queue), cancel("x", queue), submit}, []int64{0, 1500, 1600}, carobrock.JobPending},
		{"after very many others", append(append([]*carobrock.JobCommand{cancel("job", queue)}, others...), submit), []int64{0}, carobrock.JobPending},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := &bookkeeper.StateMachine{RetentionMillis: retentionMillis}
			m.Prepare()
			for i, c := range test.commands {
				command := *c
				command.AtUnixMillis = 1_000_000 + test.at[min(i, len(test.at)-1)]
				data, err := command.Encode()
				if err != nil {
					t.Fatal(err)
				}
				res, ok := m.Apply(uint64(i+1), data).(*carobrock.JobResult)
				if !ok || len(res.Cancelled) > 0 && res.Cancelled[0] || len(res.Submitted) > 0 && !res.Submitted[0] {
					t.Fatalf("command %d: result %+v", i, res)
				}
				if i > 10 {
					continue
				}
				reload(t, m, uint64(i+1))
			}
			m.View(func(s *bookkeeper.State) {
				if got := s.Jobs["job"].State; got != test.want {
					t.Errorf("state %q, want %q", got, test.want)
				}
				if open, pending := len(s.Open), m.PendingJobs(queue); (open == 1) != (test.want == carobrock.JobPending) || open != pending {
					t.Errorf("%d open and %d pending jobs", open, pending)
				}
			})
		})
	}
}
