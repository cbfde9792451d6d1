package dispatcher_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/dispatcher"
	"github.com/carobrock/carobrock/internal/replicator"
	"github.com/carobrock/carobrock/internal/sleeper"
)

// commitTime is how long the fake log takes to commit.
const commitTime = 15 * time.Millisecond

// fakeLog is a replicated log of one replica: it commits every command after
// commitTime and reports leadership as isLeader says.
type fakeLog struct {
	stateMachine *bookkeeper.StateMachine

	applying sync.Mutex // held while a command is applied, not together with mu
	index    uint64

	mu       sync.Mutex
	term     uint64
	isLeader bool
	// extraDelay is added to the time of the next commit, proposalDelay to the time
	// before the next proposal reaches the log.
	extraDelay    time.Duration
	proposalDelay time.Duration
	// termDelay is the time that the next reader of the term takes to receive it.
	termDelay time.Duration
	// termEnds is set if the replica loses the leadership after the next read of the term.
	termEnds bool
}

func (g *fakeLog) Propose(ctx context.Context, term uint64, command []byte) (any, error) {
	g.mu.Lock()
	commitDelay, proposalDelay := commitTime+g.extraDelay, g.proposalDelay
	g.extraDelay, g.proposalDelay = 0, 0
	g.mu.Unlock()
	if err := sleeper.Sleep(ctx, proposalDelay); err != nil {
		return nil, err
	}
	if current, isLeader := g.Term(); !isLeader || current != term {
		return nil, replicator.ErrNotLeader
	}
	if err := sleeper.Sleep(ctx, commitDelay); err != nil {
		return nil, err
	}
	g.applying.Lock()
	defer g.applying.Unlock()
	g.index++
	return g.stateMachine.Apply(g.index, command), nil
}

// setTerm makes this replica the leader of a later term.
func (g *fakeLog) setTerm(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term = term
}

// setLeader sets whether this replica is the leader.
func (g *fakeLog) setLeader(isLeader bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isLeader = isLeader
}

// delayNextCommit delays the next commit by d.
func (g *fakeLog) delayNextCommit(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.extraDelay = d
}

// delayNextProposal delays the next proposal by d before it reaches the log.
func (g *fakeLog) delayNextProposal(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proposalDelay = d
}

// endTerm makes this replica lose the leadership after the next read of the term.
func (g *fakeLog) endTerm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.termEnds = true
}

// delayNextTerm delays the next reader of the term by d after it has read it.
func (g *fakeLog) delayNextTerm(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.termDelay = d
}

func (g *fakeLog) Term() (uint64, bool) {
	g.mu.Lock()
	term, isLeader, delay := g.term, g.isLeader, g.termDelay
	g.termDelay = 0
	if g.termEnds {
		g.isLeader, g.termEnds = false, false
	}
	g.mu.Unlock()
	time.Sleep(delay)
	return term, isLeader
}

func (g *fakeLog) LeaderAddress() string { return "" }

// harness runs a dispatcher with its replicated state in a synctest bubble.
type harness struct {
	t            testing.TB
	log          *fakeLog
	stateMachine *bookkeeper.StateMachine
	d            *dispatcher.Dispatcher
	cancel       context.CancelFunc
	done         *conc.WaitGroup
}

const testLease = 4 * time.Second

// newHarness starts a dispatcher that leads in term 1, with one pool and one
// queue that allows three attempts. The caller must call stop.
func newHarness(t testing.TB) *harness {
	t.Helper()
	h := prepareHarness(t)
	h.start(nil)
	return h
}

// prepareHarness returns a harness whose dispatcher is not started.
func prepareHarness(t testing.TB) *harness {
	t.Helper()
	l := &bookkeeper.StateMachine{}
	l.Prepare()
	g := &fakeLog{stateMachine: l, term: 1, isLeader: true}
	h := &harness{t: t, log: g, stateMachine: l, done: conc.NewWaitGroup()}
	h.d = &dispatcher.Dispatcher{
		StateMachine: l, Leadership: g, Settings: dispatcher.Settings{Lease: testLease}, Logger: zerolog.Nop(),
	}
	h.d.Prepare()
	return h
}

// start starts the dispatcher and configures its pool and queue. The queue has
// the given policy if it is not nil.
func (h *harness) start(policy *carobrock.AdvisorPolicy) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done.Go(func() { _ = h.d.Run(ctx) })
	c := newConfiguration(1)
	c.Queues[0].Policy = policy
	h.must(h.d.Configure(ctx, c))
}

// newConfiguration returns a configuration with the pool and the queue of the tests.
func newConfiguration(version int64) *carobrock.Configuration {
	return &carobrock.Configuration{
		Version: version, Pools: []carobrock.WorkerPool{{Name: "pool"}},
		Queues: []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, TimeoutMillis: 1000}},
	}
}

func (h *harness) stop() {
	h.cancel()
	h.done.Wait()
}

func (h *harness) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

const queueKey = "h/q/"

// submitJob submits a job of one step.
func (h *harness) submitJob(id string, step carobrock.Step) {
	h.t.Helper()
	ok, err := h.d.SubmitJob(context.Background(), &carobrock.JobSpec{ID: id, Queue: queueKey, Payload: "p", Steps: []carobrock.Step{step}})
	h.must(err)
	if !ok {
		h.t.Fatalf("the ID of job %s belongs to another queue", id)
	}
}

// cancelJob cancels a job, which may not exist.
func (h *harness) cancelJob(id string) {
	h.t.Helper()
	_, err := h.d.CancelJob(context.Background(), carobrock.JobQuery{JobKey: carobrock.JobKey{ID: id, Queue: queueKey}})
	h.must(err)
}

func (h *harness) jobState(id string) carobrock.JobState {
	h.t.Helper()
	s, err := h.d.JobState(context.Background(), carobrock.JobQuery{JobKey: carobrock.JobKey{ID: id, Queue: queueKey}})
	h.must(err)
	return s
}

// fakeWorker simulates a worker. It holds the runs that it was told to start.
type fakeWorker struct {
	h            *harness
	report       carobrock.WorkerReport
	endCount     uint64
	lastResponse *carobrock.HeartbeatResponse
	// isStalled keeps its runs from making progress.
	isStalled bool
}

func (h *harness) newWorker(name string, cores int64) *fakeWorker {
	v := &fakeWorker{h: h}
	v.report = carobrock.WorkerReport{
		Machine: "m-" + name, Pool: "pool", AvailabilityZone: "az1",
		Capacity: carobrock.Capacity{MilliCPU: cores * 1000, MemoryMB: 64000},
	}
	v.report.Name, v.report.Started = name, 1
	return v
}

// sendHeartbeat sends a heartbeat and carries out the orders in the response.
// It returns the error of the call.
func (v *fakeWorker) sendHeartbeat() error {
	v.report.Sequence++
	for i := range v.report.Running {
		if !v.isStalled {
			v.report.Running[i].Percent = (v.report.Running[i].Percent + 1) % 100
		}
	}
	r := v.report
	r.Running = append([]carobrock.RunReport(nil), v.report.Running...)
	r.Ends = append([]carobrock.RunEnd(nil), v.report.Ends...)
	response, err := v.h.d.Heartbeat(context.Background(), &r)
	if err != nil {
		return err
	}
	v.lastResponse = response
	for len(v.report.Ends) > 0 && v.report.Ends[0].Number <= response.AckedThrough {
		v.report.Ends = v.report.Ends[1:]
	}
	for _, s := range response.Start {
		v.report.Running = append(v.report.Running, carobrock.RunReport{Run: s.Run})
	}
	for _, s := range response.Stop {
		v.endRun(s, carobrock.EndStopped)
	}
	return nil
}

// sendHeartbeats sends n heartbeats of each worker, those of different workers at the
// same time, and returns the names of all runs that the workers had at any time.
func (h *harness) sendHeartbeats(n int, workers ...*fakeWorker) map[string]bool {
	h.t.Helper()
	started := map[string]bool{}
	for range n {
		calls := conc.NewWaitGroup()
		for _, v := range workers {
			calls.Go(func() { h.must(v.sendHeartbeat()) })
		}
		calls.Wait()
		for _, v := range workers {
			for _, run := range v.runNames() {
				started[run] = true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return started
}

// sendHeartbeatsFor sends a heartbeat every 40 ms for d.
func (v *fakeWorker) sendHeartbeatsFor(d time.Duration) {
	v.h.t.Helper()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(40 * time.Millisecond) {
		v.h.must(v.sendHeartbeat())
	}
}

// endRun removes a run from the running ones and adds its end to the report.
func (v *fakeWorker) endRun(run carobrock.Run, kind carobrock.EndKind) {
	for i, x := range v.report.Running {
		if x.Run == run {
			v.report.Running = append(v.report.Running[:i], v.report.Running[i+1:]...)
			v.endCount++
			v.report.Ends = append(v.report.Ends, carobrock.RunEnd{Number: v.endCount, Task: run.Task, Attempt: run.Attempt, Kind: kind, Checkpoint: x.Checkpoint})
			return
		}
	}
}

// runNames returns the running runs, formatted as job.index#attempt.
func (v *fakeWorker) runNames() []string {
	var out []string
	for _, x := range v.report.Running {
		out = append(out, fmt.Sprintf("%s.%d#%d", x.Task.Job, x.Task.Index, x.Attempt))
	}
	return out
}

// oneCoreStep returns a step of n tasks that request one core each.
func oneCoreStep(n int) carobrock.Step {
	return carobrock.Step{Count: n, Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: 100}}
}
