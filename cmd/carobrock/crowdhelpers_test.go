package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// Limits of the node under test, far below those of a deployment, so that a small crowd
// exceeds them.
const (
	crowdMemoryMB       = 96
	crowdMaxDescriptors = 512
	// crowdHoldTime is how long the crowd keeps its connections after all its members
	// have sent what they send.
	crowdHoldTime = time.Second
	// crowdActTimeout bounds what one member sends and reads. It must exceed the time
	// that the node takes for a complete request.
	crowdActTimeout = 6 * time.Second
	// spareDescriptors is by how many descriptors the node may have more open after the
	// crowd has left than before it came: connections of the worker and of the test.
	spareDescriptors = 24
)

// buildProduct builds the product without the test binary's race detector, which
// multiplies the memory of a process, and returns the path of the program.
func buildProduct(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "carobrock")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return path
}

// crowdNode is a node under test with a worker.
type crowdNode struct {
	*testNode
	exited atomic.Bool
	worker *standInWorker
	stop   context.CancelFunc
	group  *conc.WaitGroup
}

// startCrowdNode starts a node that is its own leader, with a configuration and one
// worker.
func startCrowdNode(t *testing.T, binary string) *crowdNode {
	t.Helper()
	n := &crowdNode{
		testNode: newTestNode(t, "127.0.0.1", freePorts(t, 4), fmt.Sprintf("limits: {memory_mb: %d, max_fds: %d}\nloss_counts: true\ndata_dir: %s",
			crowdMemoryMB, crowdMaxDescriptors, t.TempDir())),
		group: conc.NewWaitGroup(),
	}
	n.cmd = exec.Command(binary, n.args...)
	n.cmd.Env = append(os.Environ(), "CAROBROCK_LOG_LEVEL=error")
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	n.group.Go(func() {
		_ = n.cmd.Wait() // the state of the process is checked by the caller
		n.exited.Store(true)
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	t.Cleanup(func() {
		cancel()
		_ = n.cmd.Process.Kill()
		n.group.Wait()
	})
	waitForStatus(t, http.MethodPut, "http://"+n.control+"/v1/config", crowdConfiguration())
	waitForStatus(t, http.MethodGet, "http://"+n.ready+"/v1/readyz", "")
	n.worker = &standInWorker{address: n.control, born: time.Now().UnixMilli()}
	n.group.Go(func() { n.worker.run(ctx) })
	n.runJob(t, "00000000000000a1")
	return n
}

// crowdConfiguration returns a configuration of about 300 KB, the largest that is usual.
func crowdConfiguration() string {
	const route = `{"name":"r%d","host":"h.example","path_prefix":"/%s/","type":"non_idempotent","timeout_ms":3000,` +
		`"target_latency_ms":1200,"priority":0,"service":"pool","max_attempts":2,"stretch":1.5}`
	rows := []string{fmt.Sprintf(route, 0, "q")}
	for i := 1; i <= 1400; i++ {
		rows = append(rows, fmt.Sprintf(route, i, fmt.Sprintf("unused%d", i)))
	}
	return `{"version":1,"routes":[` + strings.Join(rows, ",\n") + `],"services":[{"name":"pool","health_path":"/healthz"}],"limits":{}}`
}

// descriptors returns the number of open descriptors of the process.
func (n *crowdNode) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	if err != nil {
		t.Errorf("descriptors of the node: %v", err)
	}
	return len(entries)
}

// peakMemoryMB returns the peak resident memory of the process.
func (n *crowdNode) peakMemoryMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		t.Errorf("memory of the node: %v", err)
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(after, "\n")
	kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(line, "kB")))
	if err != nil {
		t.Errorf("memory of the node: %q", line)
	}
	return kb >> 10
}

// runJob submits a job and waits until it is completed.
func (n *crowdNode) runJob(t *testing.T, id string) {
	t.Helper()
	const job = `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100}]}`
	deadline := time.Now().Add(operationTimeout)
	for accepted := false; ; time.Sleep(50 * time.Millisecond) {
		method, body := http.MethodGet, ""
		if !accepted {
			method, body = http.MethodPost, job
		}
		status, answer := n.call(method, id, body)
		switch {
		case accepted && strings.Contains(answer, `"completed"`):
			return
		case !accepted && status == http.StatusOK:
			accepted = true
		case n.exited.Load() || time.Now().After(deadline):
			t.Fatalf("job %s, accepted: %t, last answer %d %q, node exited: %t, heartbeats %d", id, accepted, status, answer, n.exited.Load(), n.worker.answered.Load())
		}
	}
}

// call sends one caller's request on a connection of its own. The status is 0 if there
// was no answer.
func (n *crowdNode) call(method, id, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host, req.Close = "h.example", true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body) // an incomplete answer is not the expected one
	return resp.StatusCode, string(data)
}

// standInWorker sends heartbeats and ends each run at the next heartbeat after its
// start.
type standInWorker struct {
	address  string
	born     int64
	sequence int64
	ends     [][]any
	lastEnd  int64
	reported map[string]bool
	answered atomic.Int64
}

// run sends heartbeats until ctx ends. A heartbeat without an answer is repeated.
func (w *standInWorker) run(ctx context.Context) {
	w.reported = map[string]bool{}
	client := &http.Client{Timeout: time.Second}
	for ; ctx.Err() == nil; time.Sleep(150 * time.Millisecond) {
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"address": "127.0.0.1:9", "state": "ready", "machine": "m1", "service": "pool", "zone": "az1", "labels": []string{"r1-1"},
			"capacity": map[string]int{"cpu": 4000, "mem_mb": 4096, "gpu": 0}, "clock_ms": w.sequence, "sequence": w.sequence, "born": w.born,
			"running": [][]any{}, "finished": append([][]any{}, w.ends...),
		})
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.address+"/v1/instances/i-1", bytes.NewReader(body))
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		var orders struct {
			AckedThrough int64   `json:"acked_through"`
			Start        [][]any `json:"start"`
		}
		err = json.NewDecoder(resp.Body).Decode(&orders)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			continue
		}
		w.answered.Add(1)
		w.obey(orders.AckedThrough, orders.Start)
	}
}

// obey forgets the ends that were acknowledged and records the end of each started run.
func (w *standInWorker) obey(acked int64, starts [][]any) {
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= acked {
		w.ends = w.ends[1:]
	}
	for _, s := range starts {
		key := fmt.Sprint(s[0], s[1])
		if w.reported[key] {
			continue
		}
		w.reported[key] = true
		w.lastEnd++
		w.ends = append(w.ends, []any{w.lastEnd, s[0], s[1], "done", ""})
	}
}

// crowd is a number of misbehaving clients at one listener.
type crowd struct {
	address string
	size    int
	// act is what a member does on its connection before it holds it open.
	act func(conn net.Conn, member int)
}

// run lets the crowds act at the same time, holds their connections open, and returns
// the largest number of descriptors of the node that was seen.
func (n *crowdNode) run(t *testing.T, crowds []crowd) int {
	t.Helper()
	leave := make(chan struct{})
	members, acting := conc.NewWaitGroup(), sync.WaitGroup{}
	for _, c := range crowds {
		for i := range c.size {
			acting.Add(1)
			members.Go(func() {
				conn, err := net.DialTimeout("tcp", c.address, crowdActTimeout)
				if err != nil {
					acting.Done()
					return
				}
				_ = conn.SetDeadline(time.Now().Add(crowdActTimeout))
				c.act(conn, i)
				acting.Done()
				<-leave
				_ = conn.Close()
			})
		}
	}
	acted := make(chan struct{})
	watcher := conc.NewWaitGroup()
	watcher.Go(func() { acting.Wait(); close(acted) })
	most, isActing := 0, true
	for until := (time.Time{}); isActing || time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-acted:
			if isActing {
				isActing, until = false, time.Now().Add(crowdHoldTime)
			}
		default:
		}
		if n.exited.Load() {
			break
		}
		most = max(most, n.descriptors(t))
	}
	close(leave)
	members.Wait()
	watcher.Wait()
	return most
}

// checkCrowds runs the crowds against a new node and checks what must hold during and after.
func checkCrowds(t *testing.T, binary string, crowds func(n *crowdNode) []crowd) {
	t.Helper()
	n := startCrowdNode(t, binary)
	before := n.descriptors(t)
	most := n.run(t, crowds(n))
	if n.exited.Load() {
		t.Fatalf("the node has exited: %v", n.cmd.ProcessState)
	}
	n.runJob(t, "00000000000000a2")
	peak := n.peakMemoryMB(t)
	t.Logf("peak memory %d MB, at most %d descriptors (%d before)", peak, most, before)
	if peak > crowdMemoryMB {
		t.Errorf("peak memory %d MB, limit %d MB", peak, crowdMemoryMB)
	}
	if most > crowdMaxDescriptors {
		t.Errorf("%d descriptors, limit %d", most, crowdMaxDescriptors)
	}
	after := 0
	for deadline := time.Now().Add(operationTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if after = n.descriptors(t); after <= before+spareDescriptors {
			return
		}
	}
	t.Errorf("%d descriptors after the crowd has left, %d before it came", after, before)
}
