package bookkeeper_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// newQueues returns a command with n queues whose keys are of a usual length. Keys of
// up to 32 bytes are compared without an allocation.
func newQueues(version int64, n int) *carobrock.JobCommand {
	c := &carobrock.Configuration{Version: version, Pools: []carobrock.WorkerPool{{Name: "pool"}}}
	for i := range n {
		c.Queues = append(c.Queues, carobrock.Queue{
			Name: fmt.Sprint("q", i), Host: fmt.Sprintf("service%d.example.org", i%300), PathPrefix: fmt.Sprintf("/v1/jobs/%05d/", i),
			Pool: "pool", MaxAttempts: int(version), TimeoutMillis: 1000,
		})
	}
	return &carobrock.JobCommand{Configuration: c}
}

// Guards against a new configuration that holds up the leader and all reads for a time
// that grows with the product of queues and open jobs. A comparison of keys allocates,
// so the allocations count the comparisons.
func TestConfigurationCostsNothingForOpenJobs(t *testing.T) {
	measure := func(jobs int) float64 {
		l := newStateMachine(t)
		for i := range jobs {
			key := newQueues(1, 300).Configuration.Queues[299].Key()
			l.applyCommand(&carobrock.JobCommand{Submit: []carobrock.JobSpec{{ID: fmt.Sprint(i), Queue: key}}})
		}
		version := int64(10)
		return testing.AllocsPerRun(5, func() {
			version++
			l.applyCommand(newQueues(version, 300))
		})
	}
	if few, many := measure(1), measure(100); many-few > 100 {
		t.Errorf("%.0f allocations beside one open job, %.0f beside 100", few, many)
	}
}

// Guards against jobs that keep the settings of an older configuration, and against
// jobs without settings because a later configuration lacks their queue.
func TestOpenJobsFollowTheConfiguration(t *testing.T) {
	l := newStateMachine(t)
	l.applyCommand(newQueues(4, 3))
	queues := newQueues(4, 3).Configuration.Queues
	for i := range queues {
		l.applyCommand(&carobrock.JobCommand{Submit: []carobrock.JobSpec{{ID: fmt.Sprint(i), Queue: queues[i].Key()}}})
	}
	l.applyCommand(newQueues(5, 2))
	l.View(func(s *bookkeeper.State) {
		want := append(newQueues(5, 2).Configuration.Queues, queues[2])
		for i := range want {
			if diff := cmp.Diff(want[i], s.Jobs[fmt.Sprint(i)].Queue); diff != "" {
				t.Errorf("queue of job %d (-want +got):\n%s", i, diff)
			}
		}
	})
}
