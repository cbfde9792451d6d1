package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/pkg/client"
)

// drainRounds is the number of gateway restarts.
const drainRounds = 10

// TestPlannedStopCutsNothing restarts one of two gateways with SIGTERM while both
// are under load, drainRounds times. Like the platform's load balancer, the
// callers open new connections only to gateways that report ready. Every request
// must receive a complete response: a gateway that stops accepting connections
// before the balancer has seen it as not ready interrupts requests.
func TestPlannedStopCutsNothing(t *testing.T) {
	addresses, err := freeAddresses(6)
	if err != nil {
		t.Fatal(err)
	}
	control, worker := newLogbookProcesses(t, addresses, "64")
	gateways := make([]*process, 2)
	for i := range gateways {
		gateways[i] = &process{args: []string{
			"gateway", "--name", fmt.Sprint("g", i), "--listen", addresses[2+i], "--operations", addresses[4+i],
			"--replicas", addresses[0], "--drainDelay", "300ms",
		}}
	}
	for _, p := range append([]*process{control, worker}, gateways...) {
		p.start(t)
		defer p.kill()
	}
	putLogbookTables(t, addresses[1])
	b := &balancer{targets: addresses[2:4]}
	for i := range b.targets {
		b.waitReady(t, i)
		b.waitUpstream(t, i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	group.Go(func() { b.pollReadiness(ctx) })
	var answered atomic.Int64
	for range 16 {
		group.Go(func() { b.sendRequests(ctx, t, &answered) })
	}
	for round := range drainRounds {
		g := gateways[round%2]
		if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := g.cmd.Wait(); err != nil {
			t.Errorf("round %d: gateway exited with %v", round, err)
		}
		g.start(t)
		b.waitReady(t, round%2)
	}
	cancel()
	group.Wait()
	t.Logf("%d requests answered in %d rounds", answered.Load(), drainRounds)
	if answered.Load() < 100 {
		t.Errorf("only %d requests were answered", answered.Load())
	}
}

// Guards against a gateway that rejects its queue after it was paused.
func TestPausedGatewayRejectedItsQueue(t *testing.T) {
	const (
		rounds  = 5
		callers = 8
		pause   = 1200 * time.Millisecond // above the default of --maxQueueWait
	)
	addresses, err := freeAddresses(4)
	if err != nil {
		t.Fatal(err)
	}
	control, worker := newLogbookProcesses(t, addresses, "4")
	gateway := &process{args: []string{
		"gateway", "--name", "g0", "--listen", addresses[2], "--operations", addresses[3],
		"--replicas", addresses[0], "--maxExpectedWait", "1m",
	}}
	for _, p := range []*process{control, worker, gateway} {
		p.start(t)
		defer p.kill()
	}
	putLogbookTables(t, addresses[1])
	b := &balancer{targets: addresses[2:3]}
	b.waitReady(t, 0)
	b.waitUpstream(t, 0)
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	var answered atomic.Int64
	for range callers {
		group.Go(func() { b.sendRequests(ctx, t, &answered) })
	}
	for range rounds {
		time.Sleep(300 * time.Millisecond)
		gateway.suspend(t)
		time.Sleep(pause)
		if err := gateway.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	cancel()
	group.Wait()
	if answered.Load() < 100 {
		t.Errorf("only %d requests were answered", answered.Load())
	}
}

// newLogbookProcesses returns a control replica, which listens on the first two
// addresses, and a worker of the pool logbook.
func newLogbookProcesses(t *testing.T, addresses []string, slots string) (control, worker *process) {
	t.Helper()
	control = &process{args: []string{
		"control", "--name", "c1", "--listen", addresses[0], "--operations", addresses[1], "--dataDir", t.TempDir(),
		"--members", "c1=" + addresses[0], "--electionTimeout", "150ms",
	}}
	worker = &process{args: []string{
		"worker", "--name", "w1", "--pool", "logbook", "--serviceTime", "20ms", "--slots", slots, "--announce", addresses[1],
	}}
	return control, worker
}

// putLogbookTables creates the pool logbook and a route that sends every path to
// it.
func putLogbookTables(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	cl := &client.Client{Addresses: []string{address}}
	if _, err := cl.PutPools(ctx, "pools", 0, []carobrock.Pool{{Name: "logbook"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := cl.PutRoutes(ctx, "routes", 0, []carobrock.Route{{Name: "logbook", PathPrefix: "/", Pool: "logbook"}}); err != nil {
		t.Fatal(err)
	}
}

// balancer emulates the platform's load balancer. It checks the readiness of
// every gateway every 50 ms.
type balancer struct {
	targets []string
	mu      sync.Mutex
	ready   [2]bool
	next    int
}

// checkReady queries the readiness of gateway i, records it and returns it.
func (b *balancer) checkReady(i int) bool {
	c := &http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + b.targets[i] + "/readyz")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	c.CloseIdleConnections()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = ok
	return ok
}

// waitReady waits until gateway i is ready.
func (b *balancer) waitReady(t *testing.T, i int) {
	t.Helper()
	for start := time.Now(); !b.checkReady(i); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > operationTimeout {
			t.Fatalf("gateway %d is not ready", i)
		}
	}
}

// waitUpstream waits until gateway i has served a request. Readiness is not
// enough: a gateway is also ready before any worker has announced itself, and
// rejects requests until then.
func (b *balancer) waitUpstream(t *testing.T, i int) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		res, err := http.Post("http://"+b.targets[i]+"/x", "text/plain", strings.NewReader("tow"))
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Since(start) > operationTimeout {
			t.Fatalf("gateway %d has no upstream: %v", i, err)
		}
	}
}

// pollReadiness checks all gateways periodically until ctx ends.
func (b *balancer) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range b.targets {
			b.checkReady(i)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// dial opens a connection to the next gateway in turn, or to the other one if
// that gateway was not ready at the last check.
func (b *balancer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	b.mu.Lock()
	b.next++
	i := b.next % len(b.targets)
	if !b.ready[i] {
		i = 1 - i
	}
	b.mu.Unlock()
	return (&net.Dialer{}).DialContext(ctx, "tcp", b.targets[i])
}

// sendRequests sends requests one at a time over persistent connections until
// ctx ends, and counts the complete responses in answered.
func (b *balancer) sendRequests(ctx context.Context, t *testing.T, answered *atomic.Int64) {
	c := &http.Client{Transport: &http.Transport{DialContext: b.dial, MaxIdleConnsPerHost: 4}}
	defer c.CloseIdleConnections()
	for ctx.Err() == nil {
		// The body cannot be rewound, so net/http cannot hide an interrupted
		// request by retrying it.
		req, err := http.NewRequest(http.MethodPost, "http://balancer/x", io.NopCloser(strings.NewReader("tow")))
		if err != nil {
			t.Error(err)
			return
		}
		req.ContentLength = 3
		res, err := c.Do(req)
		if err != nil {
			if !isDialError(err) {
				t.Errorf("request was interrupted: %v", err)
			}
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("status %d, %v: %s", res.StatusCode, err, body)
			continue
		}
		answered.Add(1)
	}
}

// isDialError reports whether err occurred while connecting, in which
// case the platform's balancer would have chosen another gateway.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
