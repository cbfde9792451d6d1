package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// nodeSettings is the settings file of a node. Its fields are the IP address, the
// ports for callers, readiness, control and other processes, and further lines.
const nodeSettings = `node: "%[1]s"
ip: "%[1]s"
zone: "az1"
serves: ["edge", "control_plane"]
listen_addrs: {front: "%[1]s:%[2]s", ready: "%[1]s:%[3]s", control: "%[1]s:%[4]s"}
port_range: [%[5]s, %[5]s]
seeds: ["127.0.0.1:%[4]s"]
bootstrap: true
bounds: {max_hold_ms: 6000, status_s: 120}
fault_tolerance: {machines: 0}
%[6]s
`

// testNode is a node process.
type testNode struct {
	process
	callers, ready, control, peer string // addresses
}

// newTestNode writes the settings file of a node and returns the node, not started.
func newTestNode(t *testing.T, ip string, ports []string, more string) *testNode {
	t.Helper()
	file := filepath.Join(t.TempDir(), "boot.yaml")
	text := fmt.Sprintf(nodeSettings, ip, ports[0], ports[1], ports[2], ports[3], more)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return &testNode{
		process: process{args: []string{"node", "--settings", file}},
		callers: net.JoinHostPort(ip, ports[0]), ready: net.JoinHostPort(ip, ports[1]), control: net.JoinHostPort(ip, ports[2]), peer: net.JoinHostPort(ip, ports[3]),
	}
}

// freePorts returns n ports that were free on 127.0.0.1 when checked.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := freeAddresses(n)
	if err != nil {
		t.Fatal(err)
	}
	for i, a := range addresses {
		_, port, err := net.SplitHostPort(a)
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = port
	}
	return addresses
}

const nodeConfiguration = `{"version":1,"routes":[{"name":"r1","host":"h.example","path_prefix":"/q/","type":"non_idempotent","timeout_ms":3000,
"target_latency_ms":1200,"priority":0,"service":"pool","max_attempts":2,"stretch":1.5}],
"services":[{"name":"pool","health_path":"/healthz"}],"limits":{}}`

// putNodeConfiguration stores the configuration through n.
func putNodeConfiguration(t *testing.T, n *testNode) {
	t.Helper()
	waitForStatus(t, http.MethodPut, "http://"+n.control+"/v1/config", nodeConfiguration)
}

// waitForStatus repeats a request until its status is 200.
func waitForStatus(t *testing.T, method, url, body string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	for ; ; time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if ctx.Err() != nil {
			t.Fatalf("%s %s: %v", method, url, err)
		}
	}
}

// nodeCaller sends requests at a fixed period over one connection at a time, which it
// uses until the node closes it.
type nodeCaller struct {
	address string
	period  time.Duration
	// dialUntil is when the load balancer stops routing connections to the node, in
	// Unix nanoseconds.
	dialUntil *atomic.Int64
	answered  *atomic.Int64
}

// run sends requests until the node has closed the connection and dialUntil has passed.
func (c *nodeCaller) run(t *testing.T) {
	for {
		if time.Now().UnixNano() > c.dialUntil.Load() {
			return
		}
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			t.Errorf("cannot connect while the node is in rotation: %v", err)
			return
		}
		c.useConn(t, conn)
		_ = conn.Close()
	}
}

// useConn sends requests until the node has closed the connection. A connection that
// ends between two requests cuts none.
func (c *nodeCaller) useConn(t *testing.T, conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(c.period))
		if _, err := r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		start := time.Now()
		if _, err := io.WriteString(conn, "GET /q/ HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 3000\r\n\r\n"); err != nil {
			t.Errorf("request not sent: %v", err)
			return
		}
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			t.Errorf("request without a complete response after %v: %v", time.Since(start), err)
			return
		}
		c.answered.Add(1)
		if resp.Close {
			return
		}
	}
}

const (
	// gracePeriod is the time from SIGTERM to SIGKILL on the platform.
	gracePeriod = 6 * time.Second
	// rotationDelay is the time after which the load balancer has seen two failed
	// readiness probes.
	rotationDelay = 2100 * time.Millisecond
)

const (
	suspendedTime = 250 * time.Millisecond
	resumedTime   = 100 * time.Millisecond
)

// suspendRepeatedly suspends and resumes the process of n until ctx ends.
func suspendRepeatedly(ctx context.Context, n *testNode) {
	for ctx.Err() == nil {
		_ = n.cmd.Process.Signal(syscall.SIGSTOP) // fails once the process has exited
		time.Sleep(suspendedTime)
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(resumedTime)
	}
}

// Guards against requests that are cut by a planned stop of a node.
func TestPlannedStopOfNodeAnswersEveryRequest(t *testing.T) {
	for _, test := range []struct {
		name     string
		isLeader bool             // the node that is stopped is the leader
		noLeader bool             // the leader is killed before
		lags     bool             // the node is suspended again and again
		signals  []syscall.Signal // sent 0.5 s apart after the SIGTERM
	}{
		{"idle and busy connections", false, false, false, nil},
		{"leader", true, false, false, nil},
		{"no leader", false, true, false, nil},
		{"lagging node", false, false, true, nil},
		{"lagging leader", true, false, true, nil},
		{"further signals", false, false, false, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}},
	} {
		t.Run(test.name, func(t *testing.T) {
			ports := freePorts(t, 4)
			replica := newTestNode(t, "127.0.0.1", ports, "loss_counts: true\ndata_dir: "+t.TempDir())
			relay := newTestNode(t, "127.0.0.2", ports, "")
			for _, n := range []*testNode{replica, relay} {
				n.start(t)
				defer n.kill()
			}
			putNodeConfiguration(t, replica)
			stopped := relay
			if test.isLeader {
				stopped = replica
			}
			waitForStatus(t, http.MethodGet, "http://"+stopped.ready+"/v1/readyz", "")
			rng := rand.New(rand.NewPCG(23, 1))
			var answered, dialUntil atomic.Int64
			dialUntil.Store(time.Now().Add(time.Hour).UnixNano())
			group := conc.NewWaitGroup()
			for range 24 {
				c := &nodeCaller{address: stopped.callers, period: time.Duration(10+rng.IntN(1800)) * time.Millisecond, dialUntil: &dialUntil, answered: &answered}
				group.Go(func() { c.run(t) })
			}
			time.Sleep(time.Second)
			if test.noLeader {
				replica.kill()
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.lags {
				group.Go(func() { suspendRepeatedly(ctx, stopped) })
			}
			stoppedAt := time.Now()
			dialUntil.Store(stoppedAt.Add(rotationDelay).UnixNano())
			if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			for _, s := range test.signals {
				time.Sleep(500 * time.Millisecond)
				if err := stopped.cmd.Process.Signal(s); err != nil {
					t.Errorf("%v: %v", s, err)
				}
			}
			if err := stopped.cmd.Wait(); err != nil {
				t.Errorf("node exited with %v", err)
			}
			if took := time.Since(stoppedAt); took > gracePeriod {
				t.Errorf("the stop took %v, want at most %v", took, gracePeriod)
			}
			cancel()
			group.Wait()
			if answered.Load() < 100 {
				t.Errorf("only %d requests were answered", answered.Load())
			}
		})
	}
}

// Guards against SIGHUP ending a node that has opened its listeners.
func TestNodeOutlivesSIGHUPAtItsStart(t *testing.T) {
	for round := range 5 {
		n := newTestNode(t, "127.0.0.1", freePorts(t, 4), "loss_counts: true\ndata_dir: "+t.TempDir())
		n.start(t)
		defer n.kill()
		for start := time.Now(); ; {
			conn, err := net.Dial("tcp", n.peer)
			if err == nil {
				_ = conn.Close()
				break
			}
			if time.Since(start) > operationTimeout {
				t.Fatal(err)
			}
		}
		if err := n.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		putNodeConfiguration(t, n)
	}
}
