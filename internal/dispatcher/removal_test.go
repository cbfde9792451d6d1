package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// Guards against a late removal from an earlier incarnation of a worker whose next
// incarnation is leaving as well: its runs were stopped and started elsewhere,
// although it had time left.
func TestLateRemovalLeavesALeavingWorkerItsTime(t *testing.T) {
	for _, test := range []struct {
		name            string
		remainingMillis int64
		wantAttempt     uint64
	}{
		{"time left", 2500, 1},
		{"at its end", 300, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newLeavingWorker("job")
				a.report.RemainingMillis = test.remainingMillis
				h.must(a.sendHeartbeat())
				time.Sleep(100 * time.Millisecond)
				h.must(h.d.RemoveWorker(context.Background(), "a"))
				for range 12 {
					h.must(a.sendHeartbeat())
					h.must(b.sendHeartbeat())
					time.Sleep(100 * time.Millisecond)
				}
				h.stateMachine.View(func(s *bookkeeper.State) {
					if _, _, task := s.Task(carobrock.TaskRef{Job: "job"}); task.Attempt != test.wantAttempt {
						t.Errorf("attempt %d, want %d", task.Attempt, test.wantAttempt)
					}
				})
			})
		})
	}
}
