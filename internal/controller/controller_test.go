package controller

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
	"github.com/carobrock/carobrock/internal/keeper"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/placer"
	"github.com/carobrock/carobrock/internal/replicator"
	"github.com/carobrock/carobrock/internal/scheduler"
	"github.com/carobrock/carobrock/internal/watcher"
)

// discardRequests discards all requests to workers.
type discardRequests struct{}

func (discardRequests) Start(context.Context, string, *carobrock.StartTaskRequest) error { return nil }
func (discardRequests) Checkpoint(context.Context, string, carobrock.AttemptRef) error   { return nil }
func (discardRequests) Stop(_ context.Context, _ string, _ carobrock.AttemptRef) error   { return nil }

// controlGroup is a control group in one process, with real network connections
// and files.
type controlGroup struct {
	controllers []*Controller
	addresses   []string
	cancels     []context.CancelFunc
	running     *conc.WaitGroup
}

// startGroup starts n replicas and waits until there is a leader.
func startGroup(tb testing.TB, n int) *controlGroup {
	tb.Helper()
	g := &controlGroup{running: conc.NewWaitGroup()}
	dir := tb.TempDir()
	var initial []*encoder.Member
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, l)
		g.addresses = append(g.addresses, l.Addr().String())
		initial = append(initial, &encoder.Member{Name: fmt.Sprintf("c%d", i), Address: l.Addr().String()})
	}
	for i := range n {
		c := newTestController(tb, initial, i, listeners[i], filepath.Join(dir, initial[i].GetName()))
		ctx, cancel := context.WithCancel(context.Background())
		g.controllers, g.cancels = append(g.controllers, c), append(g.cancels, cancel)
		g.running.Go(func() { _ = c.Run(ctx) })
	}
	tb.Cleanup(func() {
		for _, cancel := range g.cancels {
			cancel()
		}
		g.running.Wait()
	})
	g.waitForLeader(tb)
	return g
}

func newTestController(tb testing.TB, initial []*encoder.Member, i int, l net.Listener, dir string) *Controller {
	tb.Helper()
	k := &keeper.Keeper{}
	k.Prepare()
	ms := &messenger.Messenger{Listener: l, Logger: zerolog.Nop()}
	name := initial[i].GetName()
	c := &Controller{
		Keeper: k, Messenger: ms, Logger: zerolog.Nop(),
		Scheduler: &scheduler.Scheduler{Placer: placer.FirstFit{}, WorkerClient: discardRequests{}, Logger: zerolog.Nop()},
		Replica: &replicator.Replica{
			Name: name, Address: initial[i].GetAddress(), InitialMembers: initial, StateMachine: k, Transport: ms, ElectionTimeout: 600 * time.Millisecond,
			Journal: &journaler.Journal{
				Directory: &journaler.DiskDirectory{Path: dir}, Name: name, NewIncarnation: func() uint64 { return uint64(i) + 1 },
			},
			Logger: zerolog.Nop(),
		},
	}
	if err := c.Replica.Prepare(); err != nil {
		tb.Fatal(err)
	}
	c.Prepare()
	return c
}

// waitForLeader waits until a replica holds the leader's lease and returns it.
func (g *controlGroup) waitForLeader(tb testing.TB) *Controller {
	tb.Helper()
	for range 1000 {
		for _, c := range g.controllers {
			if c.RemainingLease() > 0 {
				return c
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatal("no leader elected within 10 s")
	return nil
}

// startWatchers starts the watchers of n gateways and waits until all of their
// views are fresh.
func (g *controlGroup) startWatchers(tb testing.TB, n int) []*watcher.Watcher {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	running := conc.NewWaitGroup()
	var out []*watcher.Watcher
	for i := range n {
		ms := &messenger.Messenger{Logger: zerolog.Nop()}
		ms.Prepare()
		replicas := slices.Concat(g.addresses[i%len(g.addresses):], g.addresses[:i%len(g.addresses)])
		w := &watcher.Watcher{Gateway: fmt.Sprintf("g%d", i), Incarnation: "1", Replicas: replicas, RPCClient: ms, Logger: zerolog.Nop()}
		w.Prepare()
		running.Go(func() { _ = ms.Run(ctx) })
		running.Go(func() { _ = w.Run(ctx) })
		out = append(out, w)
	}
	tb.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, w := range out {
		for !w.IsFresh() {
			time.Sleep(time.Millisecond)
		}
	}
	return out
}

func putPools(ctx context.Context, c carobrock.Control, base uint64) (*carobrock.Result, error) {
	return c.Propose(ctx, &carobrock.Command{
		ChangeID: fmt.Sprint("change", base), PutTable: &carobrock.PutTable{
			Table: carobrock.TablePools, BaseVersion: base, Pools: []carobrock.Pool{{Name: "logbook"}},
		},
	})
}

// TestChangeReachesEveryGateway submits changes to each replica in turn and
// checks that 11 gateways apply all of them.
func TestChangeReachesEveryGateway(t *testing.T) {
	g := startGroup(t, 3)
	watchers := g.startWatchers(t, 11)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for n := range uint64(12) {
		res, err := putPools(ctx, g.controllers[n%3], n)
		if err != nil || res.Code != "" || res.Version != n+1 {
			t.Fatalf("change %d: %+v, %v", n, res, err)
		}
		for _, w := range watchers {
			for w.Current().PoolsVersion < n+1 {
				if ctx.Err() != nil {
					t.Fatalf("gateway %s has not applied version %d", w.Gateway, n+1)
				}
				time.Sleep(time.Millisecond)
			}
		}
	}
}

// percentile returns the quantile of the durations given by share, 0 to 1. It
// sorts d.
func percentile(d []time.Duration, share float64) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, int(share*float64(len(d))))]
}

// BenchmarkCommit measures commits through the leader with real disk syncs,
// with 1 and 64 concurrent proposals.
func BenchmarkCommit(b *testing.B) {
	for _, replicas := range []int{3, 5} {
		for _, concurrent := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/concurrent=%d", replicas, concurrent), func(b *testing.B) {
				benchmarkCommit(b, replicas, concurrent)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, replicas, concurrent int) {
	g := startGroup(b, replicas)
	leader := g.waitForLeader(b).localControl()
	var mu sync.Mutex
	var latencies []time.Duration
	next := make(chan int, concurrent)
	workers := conc.NewWaitGroup()
	for range concurrent {
		workers.Go(func() {
			for n := range next {
				start := time.Now()
				_, err := leader.Propose(context.Background(), &carobrock.Command{
					ChangeID: fmt.Sprint("b", n), PutVerdicts: &carobrock.PutVerdicts{Verdicts: []carobrock.Verdict{{VM: "vm", Sequence: uint64(n)}}},
				})
				if err != nil {
					b.Error(err)
				}
				mu.Lock()
				latencies = append(latencies, time.Since(start))
				mu.Unlock()
			}
		})
	}
	b.ResetTimer()
	for n := range b.N {
		next <- n
	}
	close(next)
	workers.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(percentile(latencies, 0.5).Microseconds()), "p50-us")
	b.ReportMetric(float64(percentile(latencies, 0.99).Microseconds()), "p99-us")
}

// BenchmarkInForce measures the time from the commit of a change until 11
// gateways have applied it.
func BenchmarkInForce(b *testing.B) {
	g := startGroup(b, 3)
	watchers := g.startWatchers(b, 11)
	leader := g.waitForLeader(b).localControl()
	var latencies []time.Duration
	base := uint64(0)
	b.ResetTimer()
	for range b.N {
		if _, err := putPools(context.Background(), leader, base); err != nil {
			b.Fatal(err)
		}
		base++
		start := time.Now()
		for _, w := range watchers {
			for w.Current().PoolsVersion < base {
				time.Sleep(100 * time.Microsecond)
			}
		}
		latencies = append(latencies, time.Since(start))
		time.Sleep(20 * time.Millisecond)
	}
	b.ReportMetric(float64(percentile(latencies, 0.5).Microseconds()), "p50-us")
	b.ReportMetric(float64(percentile(latencies, 0.99).Microseconds()), "p99-us")
}

// BenchmarkStart measures the start of a replica that has 10,000 changes in its
// journal.
func BenchmarkStart(b *testing.B) {
	dir := b.TempDir()
	open := func() (*replicator.Replica, *keeper.Keeper) {
		k := &keeper.Keeper{}
		k.Prepare()
		r := &replicator.Replica{
			Name: "c0", Address: "c0", InitialMembers: []*encoder.Member{{Name: "c0", Address: "c0"}}, StateMachine: k, Logger: zerolog.Nop(),
			Journal: &journaler.Journal{
				Directory: &journaler.DiskDirectory{Path: dir}, Name: "c0", NewIncarnation: func() uint64 { return 1 },
			},
		}
		if err := r.Prepare(); err != nil {
			b.Fatal(err)
		}
		return r, k
	}
	run := func(until func(r *replicator.Replica)) {
		r, _ := open()
		ctx, cancel := context.WithCancel(context.Background())
		group := conc.NewWaitGroup()
		group.Go(func() { _ = r.Run(ctx) })
		until(r)
		cancel()
		group.Wait()
	}
	const changes = 10_000
	run(func(r *replicator.Replica) {
		group := conc.NewWaitGroup()
		for w := range 64 {
			group.Go(func() {
				for n := w; n < changes; n += 64 {
					c := &carobrock.Command{ChangeID: fmt.Sprint("c", n), SubmitTask: &carobrock.SubmitTask{Spec: carobrock.TaskSpec{ID: fmt.Sprint("t", n), Pool: "p"}}}
					data, _ := c.Encode()
					for {
						if _, err := r.Propose(context.Background(), data); err == nil {
							break
						}
						time.Sleep(time.Millisecond)
					}
				}
			})
		}
		group.Wait()
	})
	b.ResetTimer()
	for b.Loop() {
		run(func(r *replicator.Replica) {
			if err := r.WaitApplied(context.Background(), changes); err != nil {
				b.Fatal(err)
			}
		})
	}
}
