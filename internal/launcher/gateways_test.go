package launcher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/emulator"
	"github.com/carobrock/carobrock/internal/sleeper"
	"github.com/carobrock/carobrock/pkg/client"
)

// testSystem is a complete system in one process that uses real connections and disks.
type testSystem struct {
	t           *testing.T
	replicas    []string // peer addresses of the control replicas
	admin       *client.Client
	workers     []*emulator.Worker
	stopWorkers []context.CancelFunc // stops the worker of the same index
	running     *conc.WaitGroup
	cancels     []context.CancelFunc // stops all components
}

// newSystem starts a control replica and workers and stores a pool and a route for
// them. They are stopped at the end of the test.
func newSystem(t *testing.T, workers int) *testSystem {
	t.Helper()
	s := &testSystem{t: t, running: conc.NewWaitGroup()}
	c, err := NewControl(&ControlSettings{
		Name: "c1", Listen: anyLoopbackPort, Operations: anyLoopbackPort, DataDir: t.TempDir(), Members: []string{"c1=127.0.0.1:1"},
		ElectionTimeout: 200 * time.Millisecond, SnapshotEvery: 1000, Policy: "recordsOffice",
	}, "test", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.start(c.Run)
	s.replicas = []string{c.controller.Replica.Address}
	s.admin = &client.Client{Addresses: []string{c.operationsListener.Addr().String()}}
	for i := range workers {
		w, err := NewWorker(&WorkerSettings{
			Name: fmt.Sprint("w", i), AvailabilityZone: "az1", Listen: anyLoopbackPort, Service: anyLoopbackPort, Pool: "logbook",
			Slots: 8, Connections: 64, ServiceTime: 3 * time.Millisecond, Cores: 16, MemoryMB: 65536, Announce: s.admin.Addresses,
		}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		s.workers = append(s.workers, w)
		s.stopWorkers = append(s.stopWorkers, s.start(w.Run))
	}
	t.Cleanup(func() {
		for _, stop := range s.cancels {
			stop()
		}
		s.running.Wait()
	})
	s.putTables()
	s.waitForWorkers()
	return s
}

// waitForWorkers waits until the control group knows all workers. A gateway that
// sees none is ready and refuses requests.
func (s *testSystem) waitForWorkers() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		upstreams, err := s.admin.Get(ctx, "upstreams")
		missing := slices.ContainsFunc(s.workers, func(w *emulator.Worker) bool { return !strings.Contains(string(upstreams), fmt.Sprintf("%q", w.Name)) })
		if err == nil && !missing {
			return
		}
		if sleeper.Sleep(ctx, 10*time.Millisecond) != nil {
			s.t.Fatalf("the workers have not announced themselves: %s, %v", upstreams, err)
		}
	}
}

// start calls fn in a goroutine with a context that stop ends.
func (s *testSystem) start(fn func(ctx context.Context) error) (stop context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancels = append(s.cancels, cancel)
	s.running.Go(func() {
		if err := fn(ctx); err != nil {
			s.t.Error(err)
		}
	})
	return cancel
}

// putTables stores a pool and a route to it for all paths.
func (s *testSystem) putTables() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := s.admin.PutPools(ctx, "pools", 0, []carobrock.Pool{{Name: "logbook"}}); err != nil {
		s.t.Fatal(err)
	}
	if _, err := s.admin.PutRoutes(ctx, "routes", 0, []carobrock.Route{{Name: "logbook", PathPrefix: "/", Pool: "logbook", TimeoutMillis: 1000}}); err != nil {
		s.t.Fatal(err)
	}
}

// testGateway is a running gateway that can be stopped with or without a drain.
type testGateway struct {
	address   string
	gateway   *Gateway
	stop      context.CancelFunc
	forceStop chan struct{}
	done      chan struct{}
}

// startGateway starts a gateway that runs until the end of the test or until it is
// stopped.
func (s *testSystem) startGateway(name string) *testGateway {
	s.t.Helper()
	g, err := NewGateway(&GatewaySettings{
		Name: name, Listen: anyLoopbackPort, Operations: anyLoopbackPort, Replicas: s.replicas, StaleAfter: 5 * time.Second,
		DrainDelay: 50 * time.Millisecond, MaxBodyBytes: 1 << 20, MaxQueue: 1024, MaxExpectedWait: 100 * time.Millisecond, MaxQueueWait: time.Second,
	}, "test", zerolog.Nop())
	if err != nil {
		s.t.Fatal(err)
	}
	tg := &testGateway{address: g.gateway.CallerListener.Addr().String(), gateway: g, forceStop: make(chan struct{}), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	tg.stop = cancel
	s.cancels = append(s.cancels, cancel)
	s.running.Go(func() {
		defer close(tg.done)
		if err := g.Run(ctx, tg.forceStop); err != nil {
			s.t.Error(err)
		}
	})
	return tg
}

// TestGatewaysComeAndGo checks that no worker ever gets more requests than its
// slots or more connections than its limit while 11 gateways are drained, killed
// and replaced under load, and that every response belongs to its request.
func TestGatewaysComeAndGo(t *testing.T) {
	const gateways, rounds = 11, 12
	s := newSystem(t, 2)
	var mu sync.Mutex
	var alive []*testGateway
	started := 0
	addGateway := func() {
		started++
		g := s.startGateway(fmt.Sprint("g", started))
		mu.Lock()
		defer mu.Unlock()
		alive = append(alive, g)
	}
	for range gateways {
		addGateway()
	}
	loadCtx, stopLoad := context.WithCancel(context.Background())
	callers := conc.NewWaitGroup()
	answered := make([]int, 64)
	for i := range answered {
		callers.Go(func() { answered[i] = sendRequests(loadCtx, t, &mu, &alive, uint64(i)) })
	}
	rng := rand.New(rand.NewPCG(11, 11))
	for round := range rounds {
		time.Sleep(300 * time.Millisecond)
		mu.Lock()
		i := rng.IntN(len(alive))
		g := alive[i]
		alive = append(alive[:i:i], alive[i+1:]...)
		mu.Unlock()
		if round%3 == 0 {
			close(g.forceStop) // like a kill: no grants are released
		}
		g.stop()
		addGateway()
	}
	stopLoad()
	callers.Wait()
	total := 0
	for _, n := range answered {
		total += n
	}
	for _, w := range s.workers {
		peaks := peaksOf(w)
		t.Logf("%s: most requests at a time %d, most connections %d", w.Name, peaks.MaxInFlight, peaks.MaxConnections)
		if peaks.MaxInFlight > 8 || peaks.MaxConnections > 64 {
			t.Errorf("%s: %d requests and %d connections at a time, the limits are 8 and 64", w.Name, peaks.MaxInFlight, peaks.MaxConnections)
		}
	}
	t.Logf("%d requests answered", total)
	if total < 100 {
		t.Errorf("only %d requests were answered", total)
	}
}

// sendRequests sends requests to randomly chosen gateways until ctx ends and returns
// how many got a complete response.
func sendRequests(ctx context.Context, t *testing.T, mu *sync.Mutex, alive *[]*testGateway, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	answered := 0
	for n := 0; ctx.Err() == nil; n++ {
		mu.Lock()
		address := (*alive)[rng.IntN(len(*alive))].address
		mu.Unlock()
		path := fmt.Sprintf("/c%d/%d", seed, n)
		res, err := c.Post("http://"+address+path, "text/plain", strings.NewReader("tow"))
		if err != nil {
			continue // the gateway was killed or drained
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		switch {
		case err != nil:
		case res.StatusCode == http.StatusOK && strings.Contains(string(body), `"path":"`+path+`"`):
			answered++
		case res.StatusCode == http.StatusOK:
			t.Errorf("%s got the response to another request: %s", path, body)
		default:
			time.Sleep(time.Millisecond)
		}
	}
	return answered
}

// workerPeaks holds the peaks of a worker's load.
type workerPeaks struct{ MaxInFlight, MaxConnections int64 }

// peaksOf returns the peaks of w so far.
func peaksOf(w *emulator.Worker) workerPeaks {
	inFlight, connections := w.MaxConcurrency()
	return workerPeaks{inFlight, connections}
}

// waitReady waits until the gateway is ready, at most for 20 s.
func (tg *testGateway) waitReady(t *testing.T) {
	t.Helper()
	for start := time.Now(); !tg.gateway.gateway.IsReady(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 20*time.Second {
			t.Fatal("the gateway is not ready")
		}
	}
}

// TestLeavingUpstream checks that no request fails when a worker announces that it
// leaves and stops 3 s later: by then it must get no new requests.
func TestLeavingUpstream(t *testing.T) {
	s := newSystem(t, 2)
	g := s.startGateway("g1")
	g.waitReady(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	responses := map[string]int{}
	callers := conc.NewWaitGroup()
	for range 6 {
		callers.Go(func() {
			for ctx.Err() == nil {
				res, err := http.Post("http://"+g.address+"/x", "text/plain", strings.NewReader("tow"))
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				if err != nil || res.StatusCode != http.StatusOK {
					t.Errorf("status %d, %v: %s", res.StatusCode, err, body)
					return
				}
				mu.Lock()
				for _, w := range s.workers {
					if strings.Contains(string(body), `"worker":"`+w.Name+`"`) {
						responses[w.Name]++
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	s.stopWorkers[0]()
	time.Sleep(2500 * time.Millisecond)
	mu.Lock()
	before := responses["w0"]
	mu.Unlock()
	time.Sleep(2 * time.Second)
	cancel()
	callers.Wait()
	if before == 0 || responses["w0"] != before {
		t.Errorf("the leaving worker answered %d requests in 2.5 s and %d more afterwards", before, responses["w0"]-before)
	}
	if responses["w1"] == 0 {
		t.Error("the other worker answered nothing")
	}
}

// TestKeyThroughTwoGateways checks that a request with an idempotency key that is
// resent through another gateway runs once and gets the recorded response.
func TestKeyThroughTwoGateways(t *testing.T) {
	s := newSystem(t, 1)
	first, second := s.startGateway("g1"), s.startGateway("g2")
	first.waitReady(t)
	second.waitReady(t)
	post := func(g *testGateway, body string) (status int, replayed, content string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+g.address+"/payout", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(carobrock.HeaderIdempotencyKey, "crate-17")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = res.Body.Close() }()
		data, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, res.Header.Get("Carobrock-Replayed"), string(data)
	}
	status, replayed, content := post(first, "10")
	if status != http.StatusOK || replayed != "" {
		t.Fatalf("first: %d, replayed %q", status, replayed)
	}
	if resendStatus, resendReplayed, resendContent := post(second, "10"); resendStatus != http.StatusOK || resendReplayed != "true" || resendContent != content {
		t.Errorf("resend: %d, replayed %q, %q, want %q", resendStatus, resendReplayed, resendContent, content)
	}
	if status, _, _ := post(second, "20"); status != http.StatusUnprocessableEntity {
		t.Errorf("the key for another request: %d", status)
	}
	if !strings.Contains(content, `"run":1`) {
		t.Errorf("first response %q", content)
	}
}
