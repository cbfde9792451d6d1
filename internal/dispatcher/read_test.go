package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/dispatcher"
	"github.com/carobrock/carobrock/internal/locator"
)

func jobID(i int) string { return fmt.Sprintf("%016x", i) }

// applySubmission applies the submission of a job. The dispatcher need not run.
func (h *harness) applySubmission(i int) {
	h.t.Helper()
	c := &carobrock.JobCommand{Configuration: newConfiguration(1), Submit: []carobrock.JobSpec{{ID: jobID(i), Queue: queueKey, Steps: []carobrock.Step{oneCoreStep(1)}}}}
	data, err := c.Encode()
	h.must(err)
	h.stateMachine.Apply(uint64(i), data)
}

// checkJobs fails unless job n-1 is found and at least n jobs are pending.
func (h *harness) checkJobs(n int) error {
	state, err := h.d.JobState(context.Background(), carobrock.JobQuery{JobKey: carobrock.JobKey{ID: jobID(n - 1), Queue: queueKey}})
	pending, pendingErr := h.d.PendingJobs(context.Background(), queueKey)
	if err == nil && pendingErr == nil && (state != carobrock.JobPending || pending < n) {
		return fmt.Errorf("after job %d: state %q, %d pending", n-1, state, pending)
	}
	return errors.Join(err, pendingErr)
}

// Guards against callers that get no answer in time for a job because the leader is
// busy with a placement round or with a snapshot, and against answers of a replica that
// is no longer the leader.
func TestReadsOfJobsDoNotWaitForARound(t *testing.T) {
	h := prepareHarness(t)
	h.applySubmission(0)
	group := conc.NewWaitGroup()
	defer group.Wait()
	h.d.HoldRound(func() {
		done := make(chan error, 1)
		group.Go(func() { done <- h.checkJobs(1) })
		select {
		case err := <-done:
			h.must(err)
		case <-time.After(3 * time.Second):
			t.Error("no answer within 3 s")
		}
	})
	h.log.setLeader(false)
	var notLeader *locator.NotLeaderError
	if err := h.checkJobs(1); !errors.As(err, &notLeader) {
		t.Errorf("without leadership: %v", err)
	}
}

// Guards against a read that is older than what was committed before it. The reads run
// beside commands and restores of snapshots.
func TestReadsOfJobsIncludeAllCommittedCommands(t *testing.T) {
	const jobs = 300
	h := prepareHarness(t)
	committed := atomic.Int64{}
	group := conc.NewWaitGroup()
	defer group.Wait()
	for range 4 {
		group.Go(func() {
			for n := 0; n < jobs && !t.Failed(); {
				if n = int(committed.Load()); n == 0 {
					continue
				}
				if err := h.checkJobs(n); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for i := range jobs {
		h.applySubmission(i)
		committed.Store(int64(i + 1))
		if i%20 == 0 {
			snapshot, err := h.stateMachine.Snapshot()
			h.must(err)
			h.must(h.stateMachine.Restore(uint64(i), snapshot))
		}
	}
}

// electedLog is a log whose replica catches up and becomes the leader just before its
// leadership is read, as it can while the reader is descheduled.
type electedLog struct {
	*fakeLog
	catchUp func()
}

func (g *electedLog) Term() (uint64, bool) {
	if fn := g.catchUp; fn != nil {
		g.catchUp = nil
		fn()
	}
	return g.fakeLog.Term()
}

// Guards against a replica that answers from the state that it had before it became the
// leader: a job that was accepted before the call is reported as unknown, and a job for
// an existing queue is refused with 404.
func TestReadIsNotOlderThanLeadership(t *testing.T) {
	m := &bookkeeper.StateMachine{}
	m.Prepare()
	g := &electedLog{fakeLog: &fakeLog{stateMachine: m, term: 2, isLeader: true}}
	h := &harness{t: t, log: g.fakeLog, stateMachine: m}
	h.d = &dispatcher.Dispatcher{StateMachine: m, Leadership: g, Settings: dispatcher.Settings{Lease: testLease}, Logger: zerolog.Nop()}
	h.d.Prepare()
	g.catchUp = func() { h.applySubmission(0) }
	state, err := h.d.JobState(context.Background(), carobrock.JobQuery{JobKey: carobrock.JobKey{ID: jobID(0), Queue: queueKey}})
	if err == nil && state == "" {
		t.Error("an accepted job is reported as unknown")
	}
}
