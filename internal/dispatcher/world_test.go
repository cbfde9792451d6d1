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
)

// commitTime is how long the stand-in for the replicated log takes to commit.
const commitTime = 15 * time.Millisecond

// group stands in for the control group: it commits everything after
// commitTime, as long as it leads.
type group struct {
	ledger *bookkeeper.Ledger

	mu    sync.Mutex
	index uint64
	term  uint64
	leads bool
	// slowness is added to the time of the next commit.
	slowness time.Duration
}

func (g *group) Propose(ctx context.Context, command []byte) (any, error) {
	g.mu.Lock()
	wait := commitTime + g.slowness
	g.slowness = 0
	g.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	return g.ledger.Apply(g.index, command), nil
}

func (g *group) Term() (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term, g.leads
}

func (g *group) LeaderAddress() string { return "" }

// world is a leader's dispatcher with its ledger, in a synctest bubble.
type world struct {
	t      *testing.T
	group  *group
	ledger *bookkeeper.Ledger
	d      *dispatcher.Dispatcher
	cancel context.CancelFunc
	done   *conc.WaitGroup
}

const testLease = 4 * time.Second

// newWorld starts a dispatcher that leads in term 1, with one pool and one
// queue of three attempts. The caller stops it.
func newWorld(t *testing.T) *world {
	t.Helper()
	w := prepareWorld(t)
	w.run(nil)
	return w
}

// prepareWorld makes a world whose dispatcher does not run yet.
func prepareWorld(t *testing.T) *world {
	t.Helper()
	l := &bookkeeper.Ledger{}
	l.Prepare()
	g := &group{ledger: l, term: 1, leads: true}
	w := &world{t: t, group: g, ledger: l, done: conc.NewWaitGroup()}
	w.d = &dispatcher.Dispatcher{
		Ledger: l, Leadership: g, Settings: dispatcher.Settings{Lease: testLease}, Logger: zerolog.Nop(),
	}
	w.d.Prepare()
	return w
}

// run starts the dispatcher; the queue has a policy if one is given.
func (w *world) run(policy *carobrock.AdvisorPolicy) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.done.Go(func() { _ = w.d.Run(ctx) })
	w.must(w.d.Configure(ctx, &carobrock.Configuration{
		Version: 1, Pools: []carobrock.WorkerPool{{Name: "pool"}},
		Queues: []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, TimeoutMillis: 1000, Policy: policy}},
	}))
}

func (w *world) stop() {
	w.cancel()
	w.done.Wait()
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

const queueKey = "h/q/"

// submit hands in a job of one step.
func (w *world) submit(id string, step carobrock.Step) {
	w.t.Helper()
	ok, err := w.d.Submit(context.Background(), &carobrock.JobSpec{ID: id, Queue: queueKey, Payload: "p", Steps: []carobrock.Step{step}})
	w.must(err)
	if !ok {
		w.t.Fatalf("job %s was refused", id)
	}
}

func (w *world) state(id string) carobrock.JobState {
	w.t.Helper()
	s, err := w.d.JobState(context.Background(), carobrock.JobKey{ID: id, Queue: queueKey})
	w.must(err)
	return s
}

// vm stands in for a worker. It keeps what it was told to run.
type vm struct {
	w      *world
	report carobrock.WorkerReport
	ends   uint64
	orders *carobrock.WorkerOrders
	// stuck keeps its runs from advancing.
	stuck bool
}

func (w *world) vm(name string, cores int64) *vm {
	v := &vm{w: w}
	v.report = carobrock.WorkerReport{
		Machine: "m-" + name, Pool: "pool", AvailabilityZone: "az1",
		Capacity: carobrock.Capacity{MilliCPU: cores * 1000, MemoryMB: 64000},
	}
	v.report.Name, v.report.Started = name, 1
	return v
}

// beat sends a heartbeat and carries the orders out. It returns the error of
// the call.
func (v *vm) beat() error {
	v.report.Sequence++
	for i := range v.report.Running {
		if !v.stuck {
			v.report.Running[i].Percent = (v.report.Running[i].Percent + 1) % 100
		}
	}
	r := v.report
	r.Running = append([]carobrock.RunReport(nil), v.report.Running...)
	r.Ends = append([]carobrock.RunEnd(nil), v.report.Ends...)
	o, err := v.w.d.Heartbeat(context.Background(), &r)
	if err != nil {
		return err
	}
	v.orders = o
	for len(v.report.Ends) > 0 && v.report.Ends[0].Number <= o.AckedThrough {
		v.report.Ends = v.report.Ends[1:]
	}
	for _, s := range o.Start {
		v.report.Running = append(v.report.Running, carobrock.RunReport{Run: s.Run})
	}
	for _, s := range o.Stop {
		v.end(s, carobrock.EndStopped)
	}
	return nil
}

// beatFor sends heartbeats for a time.
func (v *vm) beatFor(d time.Duration) {
	v.w.t.Helper()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(40 * time.Millisecond) {
		v.w.must(v.beat())
	}
}

// end ends a run.
func (v *vm) end(run carobrock.Run, kind carobrock.EndKind) {
	for i, x := range v.report.Running {
		if x.Run == run {
			v.report.Running = append(v.report.Running[:i], v.report.Running[i+1:]...)
			v.ends++
			v.report.Ends = append(v.report.Ends, carobrock.RunEnd{Number: v.ends, Task: run.Task, Attempt: run.Attempt, Kind: kind, Checkpoint: x.Checkpoint})
			return
		}
	}
}

// runs returns what runs, as text.
func (v *vm) runs() []string {
	var out []string
	for _, x := range v.report.Running {
		out = append(out, fmt.Sprintf("%s.%d#%d", x.Task.Job, x.Task.Index, x.Attempt))
	}
	return out
}

// cores returns a step of n tasks of one core.
func cores(n int) carobrock.Step {
	return carobrock.Step{Count: n, Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: 100}}
}
