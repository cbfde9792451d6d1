package dispatcher_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/carobrock/carobrock"
)

// Guards against jobs that are accepted for a queue that was removed, through a gateway
// whose copy of the configuration is older. Such jobs never start.
func TestRemovedQueueTakesNoJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		ctx := context.Background()
		h.submitJob("before", oneCoreStep(1))
		next := newConfiguration(2)
		next.Queues = nil
		h.must(h.d.Configure(ctx, next))
		h.submitJob("before", oneCoreStep(1)) // sent again, it remains accepted
		if state := h.jobState("before"); state != carobrock.JobPending {
			t.Errorf("state %q of a job that was stored before", state)
		}
		_, err := h.d.SubmitJob(ctx, &carobrock.JobSpec{ID: "after", Queue: queueKey, Steps: []carobrock.Step{oneCoreStep(1)}})
		if !errors.Is(err, carobrock.ErrNotFound) {
			t.Errorf("submission: %v, want ErrNotFound", err)
		}
		if _, err := h.d.PendingJobs(ctx, queueKey); !errors.Is(err, carobrock.ErrNotFound) {
			t.Errorf("pending jobs: %v, want ErrNotFound", err)
		}
		h.must(h.d.Configure(ctx, newConfiguration(3)))
		h.submitJob("after", oneCoreStep(1))
	})
}
