package dispatcher_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/dispatcher"
)

// newLoadedDispatcher returns a dispatcher, which is not started, that leads 350
// workers, of which the first usable ones have the given number of cores and the others
// none. It has the given number of open jobs
// of one step of 20 tasks, none of which runs. Each step requests another size, of 1 to
// 5 cores, and has the constraints of step. The jobs belong to the given number of
// client accounts.
func newLoadedDispatcher(tb testing.TB, jobs, accounts, usable int, cores int64, step carobrock.Step) *dispatcher.Dispatcher {
	tb.Helper()
	m := &bookkeeper.StateMachine{}
	m.Prepare()
	d := &dispatcher.Dispatcher{StateMachine: m, Leadership: &fakeLog{stateMachine: m, term: 1, isLeader: true}}
	d.Prepare()
	c := &carobrock.JobCommand{Configuration: &carobrock.Configuration{
		Version: 1, Pools: []carobrock.WorkerPool{{Name: "pool"}},
		Queues: []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, TimeoutMillis: 1000}},
	}}
	for i := range accounts {
		c.Configuration.Accounts = append(c.Configuration.Accounts, carobrock.ClientAccount{Name: fmt.Sprint("x", i), Weight: float64(1 + i), Limit: carobrock.Capacity{MilliCPU: 1e6}})
	}
	for i := range jobs {
		x := step
		x.Count, x.Size, x.EstimateMillis = 20, carobrock.Capacity{MilliCPU: 1000 + int64(i)%4000, MemoryMB: 500 + int64(i)*7%8000}, 1000
		account := ""
		if accounts > 0 {
			account = fmt.Sprint("x", i%accounts)
		}
		c.Submit = append(c.Submit, carobrock.JobSpec{ID: jobID(i), Queue: queueKey, Account: account, Payload: "payload", Steps: []carobrock.Step{x}})
	}
	data, err := c.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	m.Apply(1, data)
	if _, err := d.Configuration(context.Background()); err != nil { // starts the term
		tb.Fatal(err)
	}
	for i := range 350 {
		r := &carobrock.WorkerReport{
			Machine: fmt.Sprint("m", i), Pool: "pool", AvailabilityZone: "az1", Rack: fmt.Sprint("r", i%20), Labels: []string{"usual"},
			Capacity: carobrock.Capacity{MemoryMB: 64000},
		}
		if i < usable {
			r.Capacity.MilliCPU = 1000 * cores
		}
		r.Name, r.Started, r.Sequence = fmt.Sprintf("w%04d", i), 1, 1
		d.RecordHeartbeat(r, time.Now())
	}
	return d
}

// BenchmarkReadBesideRounds measures placement rounds that follow one another without
// a pause, and how long a read of a job's state waits beside them at most.
func BenchmarkReadBesideRounds(b *testing.B) {
	for _, test := range []struct {
		name     string
		accounts int
		usable   int
		cores    int64
		step     carobrock.Step
	}{
		{"full", 0, 0, 0, carobrock.Step{}},
		{"room", 0, 350, 8, carobrock.Step{}},
		{"accounts", 12, 350, 8, carobrock.Step{}},
		{"label", 0, 350, 8, carobrock.Step{Label: "rare"}},
		{"spread", 0, 350, 1, carobrock.Step{MaxPerWorker: 1}},
		{"gangs that almost fit", 0, 19, 5, carobrock.Step{Gang: true}},
	} {
		for _, jobs := range []int{800, 2000, 4000} {
			b.Run(fmt.Sprintf("%s/jobs=%d", test.name, jobs), func(b *testing.B) {
				d := newLoadedDispatcher(b, jobs, test.accounts, test.usable, test.cores, test.step)
				isDone, reads, longest := atomic.Bool{}, 0, time.Duration(0)
				group := conc.NewWaitGroup()
				group.Go(func() {
					for ; !isDone.Load(); reads++ {
						began := time.Now()
						if _, err := d.JobState(context.Background(), carobrock.JobQuery{JobKey: carobrock.JobKey{ID: jobID(reads % jobs), Queue: queueKey}}); err != nil {
							b.Error(err)
						}
						longest = max(longest, time.Since(began))
						time.Sleep(time.Millisecond)
					}
				})
				assignments := 0
				for b.Loop() {
					assignments = d.PlanRound(true)
				}
				isDone.Store(true)
				group.Wait()
				b.ReportMetric(float64(longest.Microseconds())/1000, "longest-read-ms")
				b.ReportMetric(float64(assignments), "assignments")
			})
		}
	}
}
