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

const drainRounds = 10

// TestPlannedStopCutsNothing sends SIGTERM to one of two gateways under load,
// ten times. The callers do as the platform's balancer does: they open new
// connections only to a gateway that is ready. No request may be cut and no
// answer may be anything but whole.
func TestPlannedStopCutsNothing(t *testing.T) {
	addresses, err := freeAddresses(6)
	if err != nil {
		t.Fatal(err)
	}
	control := &process{args: []string{
		"control", "--name", "c1", "--listen", addresses[0], "--operations", addresses[1], "--dataDir", t.TempDir(),
		"--members", "c1=" + addresses[0], "--electionTimeout", "150ms",
	}}
	worker := &process{args: []string{
		"worker", "--name", "w1", "--pool", "logbook", "--serviceTime", "20ms", "--slots", "64", "--announce", addresses[1],
	}}
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
	putLogbook(t, addresses[1])
	b := &balancer{targets: addresses[2:4]}
	for i := range b.targets {
		b.waitReady(t, i)
		b.waitUpstream(t, i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	group.Go(func() { b.watch(ctx) })
	var answered atomic.Int64
	for range 16 {
		group.Go(func() { b.callUntil(ctx, t, &answered) })
	}
	for round := range drainRounds {
		g := gateways[round%2]
		if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := g.cmd.Wait(); err != nil {
			t.Errorf("round %d: the gateway ended with %v", round, err)
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

func putLogbook(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), acceptWithin)
	defer cancel()
	cl := &client.Client{Addresses: []string{address}}
	if _, err := cl.PutPools(ctx, "pools", 0, []carobrock.Pool{{Name: "logbook"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := cl.PutRoutes(ctx, "routes", 0, []carobrock.Route{{Name: "logbook", PathPrefix: "/", Pool: "logbook"}}); err != nil {
		t.Fatal(err)
	}
}

// balancer is a stand-in for the platform's: it asks every gateway every 50 ms
// whether it is ready.
type balancer struct {
	targets []string
	mu      sync.Mutex
	ready   [2]bool
	next    int
}

func (b *balancer) check(i int) bool {
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

func (b *balancer) waitReady(t *testing.T, i int) {
	t.Helper()
	for start := time.Now(); !b.check(i); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > acceptWithin {
			t.Fatalf("gateway %d is not ready", i)
		}
	}
}

// waitUpstream returns when gateway i has answered a request: a gateway is also
// ready while no worker has announced itself, and then truthfully refuses.
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
		if time.Since(start) > acceptWithin {
			t.Fatalf("gateway %d has no upstream: %v", i, err)
		}
	}
}

func (b *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range b.targets {
			b.check(i)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// dial opens a connection to a gateway that was ready at the last check.
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

// callUntil sends one request after the other over connections that it keeps.
func (b *balancer) callUntil(ctx context.Context, t *testing.T, answered *atomic.Int64) {
	c := &http.Client{Transport: &http.Transport{DialContext: b.dial, MaxIdleConnsPerHost: 4}}
	defer c.CloseIdleConnections()
	for ctx.Err() == nil {
		// The body offers no way to send it again, so that net/http does not
		// hide a cut by a repetition.
		req, err := http.NewRequest(http.MethodPost, "http://balancer/x", io.NopCloser(strings.NewReader("tow")))
		if err != nil {
			t.Error(err)
			return
		}
		req.ContentLength = 3
		res, err := c.Do(req)
		if err != nil {
			if !isRefusedConnection(err) {
				t.Errorf("a request was cut: %v", err)
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

// isRefusedConnection reports whether no connection was made, so that the
// balancer would have taken another gateway.
func isRefusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
