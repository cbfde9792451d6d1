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

// prepareElected returns a harness whose dispatcher is not started and whose replica
// leads. catchUp runs before the first check of its leadership.
func prepareElected(t *testing.T, catchUp func(h *harness)) *harness {
	t.Helper()
	m := &bookkeeper.StateMachine{}
	m.Prepare()
	g := &electedLog{fakeLog: &fakeLog{stateMachine: m, term: 2, isLeader: true}}
	h := &harness{t: t, log: g.fakeLog, stateMachine: m}
	h.d = &dispatcher.Dispatcher{StateMachine: m, Leadership: g, Settings: dispatcher.Settings{Lease: testLease}, Logger: zerolog.Nop()}
	h.d.Prepare()
	g.catchUp = func() { catchUp(h) }
	return h
}

// Guards against a replica that answers from the state that it had before it became the
// leader: a job that was accepted before the call is reported as unknown, and a job for
// an existing queue is refused with 404.
func TestReadIsNotOlderThanLeadership(t *testing.T) {
	h := prepareElected(t, func(h *harness) { h.applySubmission(0) })
	state, err := h.d.JobState(context.Background(), carobrock.JobQuery{JobKey: carobrock.JobKey{ID: jobID(0), Queue: queueKey}})
	if err == nil && state == "" {
		t.Error("an accepted job is reported as unknown")
	}
}

// What the calls of TestNoCallReadsTheStateBeforeTheReplay return once the whole log is
// applied.
const (
	replayedVersion = 2
	replayedWave    = 5
	replayedZone    = "az1"
	replayedAccount = "second"
)

// applyFirstPart applies the part of the log that a replica holds before it replays the
// rest: a configuration, and a job of the first account.
func (h *harness) applyFirstPart() {
	h.t.Helper()
	c := newConfiguration(1)
	c.Accounts = []carobrock.ClientAccount{{Name: "first", Weight: 1}}
	h.applyCommand(1, &carobrock.JobCommand{Configuration: c, Submit: []carobrock.JobSpec{
		{ID: jobID(0), Queue: queueKey, Account: "first", Steps: []carobrock.Step{oneCoreStep(1)}},
	}})
}

// applyRest applies the rest of the log: a newer configuration with another account, a
// change of a zone, a completed wave, and a job of the second account under the ID of
// the first one, which was cancelled and forgotten.
func (h *harness) applyRest() {
	h.t.Helper()
	c := newConfiguration(replayedVersion)
	c.Accounts = []carobrock.ClientAccount{{Name: replayedAccount, Weight: 1}}
	h.applyCommand(2, &carobrock.JobCommand{
		Configuration: c, Zones: []carobrock.ZoneChange{{Name: replayedZone, OutOfService: true, BaseVersion: 1}},
		Waves:  []carobrock.MaintenanceWave{{Number: replayedWave}},
		Cancel: []carobrock.JobKey{{ID: jobID(0), Queue: queueKey}},
	})
	late := time.Hour.Milliseconds()
	h.applyCommand(3, &carobrock.JobCommand{AtUnixMillis: late})
	h.applyCommand(4, &carobrock.JobCommand{AtUnixMillis: late, Submit: []carobrock.JobSpec{
		{ID: jobID(0), Queue: queueKey, Account: replayedAccount, Steps: []carobrock.Step{oneCoreStep(1)}},
	}})
}

func (h *harness) applyCommand(index uint64, c *carobrock.JobCommand) {
	h.t.Helper()
	data, err := c.Encode()
	h.must(err)
	if err, ok := h.stateMachine.Apply(index, data).(error); ok {
		h.must(err)
	}
}

// readCalls are the calls that answer from the state. Each returns an error, or fails t
// unless its answer is that of the whole log.
var readCalls = []struct {
	name string
	call func(t *testing.T, d *dispatcher.Dispatcher) error
}{
	{"configuration", func(t *testing.T, d *dispatcher.Dispatcher) error {
		c, err := d.Configuration(context.Background())
		if err == nil && (c == nil || c.Version != replayedVersion) {
			t.Errorf("got %+v, want version %d", c, replayedVersion)
		}
		return err
	}},
	{"watch", func(t *testing.T, d *dispatcher.Dispatcher) error {
		c, err := d.WatchConfiguration(context.Background(), 0)
		if err == nil && (c == nil || c.Version != replayedVersion) {
			t.Errorf("got %+v, want version %d", c, replayedVersion)
		}
		return err
	}},
	{"zone version", func(t *testing.T, d *dispatcher.Dispatcher) error {
		version, err := d.ZoneVersion(context.Background(), replayedZone)
		if err == nil && version != 2 {
			t.Errorf("got version %d, want 2", version)
		}
		return err
	}},
	{"wave", func(t *testing.T, d *dispatcher.Dispatcher) error {
		done, err := d.IsWaveDone(context.Background(), replayedWave)
		if err == nil && !done {
			t.Error("a completed wave is reported as running")
		}
		return err
	}},
	{"accounts", func(t *testing.T, d *dispatcher.Dispatcher) error {
		accounts, err := d.Accounts(context.Background())
		if err == nil && (len(accounts) == 0 || accounts[0].Name != replayedAccount) {
			t.Errorf("got %+v, want account %q first", accounts, replayedAccount)
		}
		return err
	}},
	{"job state", func(t *testing.T, d *dispatcher.Dispatcher) error {
		key := carobrock.JobKey{ID: jobID(0), Queue: queueKey}
		state, err := d.JobState(context.Background(), carobrock.JobQuery{JobKey: key, Account: replayedAccount})
		if err == nil && state != carobrock.JobPending {
			t.Errorf("got state %q, want %q", state, carobrock.JobPending)
		}
		return err
	}},
	{"cancellation by another account", func(t *testing.T, d *dispatcher.Dispatcher) error {
		key := carobrock.JobKey{ID: jobID(0), Queue: queueKey}
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		found, err := d.CancelJob(ctx, carobrock.JobQuery{JobKey: key, Account: "first"})
		if found || errors.Is(err, carobrock.ErrOutcomeUnknown) {
			t.Errorf("found %v, error %v: the command to cancel a job of another account was proposed", found, err)
		}
		return err
	}},
	{"cancellation by its account", func(t *testing.T, d *dispatcher.Dispatcher) error {
		key := carobrock.JobKey{ID: jobID(0), Queue: queueKey}
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		found, err := d.CancelJob(ctx, carobrock.JobQuery{JobKey: key, Account: replayedAccount})
		if err == nil && !found {
			t.Error("a stored job is reported as unknown")
		}
		return err
	}},
}

// Guards against calls that are answered from the state of a new leader before the
// replay of its log: an acknowledged configuration, order or job is missing there, and
// a job of another account can be cancelled.
func TestNoCallReadsTheStateBeforeTheReplay(t *testing.T) {
	for _, test := range readCalls {
		t.Run(test.name, func(t *testing.T) {
			h := prepareElected(t, (*harness).applyRest)
			h.applyFirstPart()
			if err := test.call(t, h.d); err != nil && !errors.Is(err, carobrock.ErrOutcomeUnknown) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Guards against calls that a replica answers although it lost its leadership in between.
func TestNoCallIsAnsweredAfterTheLeadership(t *testing.T) {
	for _, test := range readCalls {
		t.Run(test.name, func(t *testing.T) {
			h := prepareElected(t, func(h *harness) {
				h.applyRest()
				h.log.endTerm()
			})
			h.applyFirstPart()
			var notLeader *locator.NotLeaderError
			if err := test.call(t, h.d); !errors.As(err, &notLeader) {
				t.Errorf("got error %v, want that this replica is not the leader", err)
			}
		})
	}
}
