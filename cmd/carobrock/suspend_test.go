package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// orderTimeout is how long an operator waits for a response before it sends the order
// to another node.
const orderTimeout = time.Second

// openOrder sends an order for the availability zone az1 over a connection of its own
// and does not wait for the response.
func openOrder(t *testing.T, method, address, query string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "%s /v1/evacuate/az1%s HTTP/1.1\r\nHost: %s\r\n\r\n", method, query, address); err != nil {
		t.Fatal(err)
	}
	return conn
}

// readStatus returns the status of the response on conn and the query of the address
// to which it redirects, or zero if there is no response within orderTimeout.
func readStatus(t *testing.T, conn net.Conn) (status int, query string) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(orderTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	_ = resp.Body.Close()
	if location, err := resp.Location(); err == nil {
		query = "?" + location.RawQuery
	}
	return resp.StatusCode, query
}

// setTestZone sends an order like an operator, which follows two redirects, until it is
// acknowledged.
func setTestZone(t *testing.T, method string, n *testNode) {
	t.Helper()
	for deadline := time.Now().Add(operationTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		query := ""
		for range 3 {
			conn := openOrder(t, method, n.control, query)
			status, next := readStatus(t, conn)
			_ = conn.Close()
			if status == http.StatusOK {
				return
			}
			if query = next; query == "" {
				break
			}
		}
	}
	t.Fatalf("%s is not acknowledged", method)
}

// testJob is a job of one task, testJobPath its path.
const (
	testJob     = `{"spec":"s","steps":[{"count":1,"cpu":100}]}`
	testJobPath = "/q/5c0e7a21d94b36f8"
)

// requestTestJob repeats a request on testJob until its status is want.
func requestTestJob(t *testing.T, method string, n *testNode, body string, want int) {
	t.Helper()
	status := 0
	for deadline := time.Now().Add(operationTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequest(method, "http://"+n.callers+testJobPath, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if status = resp.StatusCode; status == want {
			return
		}
	}
	t.Fatalf("%s: status %d, want %d", method, status, want)
}

// testWorker is a worker in az1 that starts nothing.
type testWorker struct {
	node     *testNode
	born     int64
	sequence int
}

// sendHeartbeats sends heartbeats until n of them are answered and returns the tasks
// that the worker is told to start.
func (w *testWorker) sendHeartbeats(t *testing.T, n int) (starts [][]any) {
	t.Helper()
	for deadline := time.Now().Add(operationTimeout); n > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d heartbeats are not answered", n)
		}
		w.sequence++
		body := fmt.Sprintf(`{"service":"pool","address":"127.0.0.1:9","zone":"az1","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,
"capacity":{"cpu":4000,"mem_mb":4096,"gpu":0},"labels":["a"],"clock_ms":%[1]d,"born":%[2]d,"sequence":%[1]d,"machine":"m1","running":[],"finished":[]}`, w.sequence, w.born)
		req, err := http.NewRequest(http.MethodPut, "http://"+w.node.control+"/v1/instances/i-1", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		orders := struct {
			Start [][]any `json:"start"`
		}{}
		if err != nil || resp.StatusCode != http.StatusOK {
			continue
		}
		if err := json.Unmarshal(data, &orders); err != nil {
			t.Fatalf("response %s: %v", data, err)
		}
		starts = append(starts, orders.Start...)
		n--
	}
	return starts
}

// watchedHeartbeats is the number of heartbeats, 50 ms apart and more, in whose
// responses a test looks for starts.
const watchedHeartbeats = 40

// Guards against a node that was suspended and carries out an order that its operator
// has given up: the return of a zone to service undid a later order to take it out.
func TestSuspendedNodeCarriesOutNoGivenUpOrder(t *testing.T) {
	for _, test := range []struct {
		name       string
		redirected bool // the node has redirected the order before it is suspended
	}{
		{"first request", false},
		{"redirected request", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ports := freePorts(t, 4)
			leader := newTestNode(t, "127.0.0.1", ports, "loss_counts: true\ndata_dir: "+t.TempDir())
			other := newTestNode(t, "127.0.0.2", ports, "loss_counts: true\ndata_dir: "+t.TempDir())
			for _, n := range []*testNode{leader, other} {
				n.start(t)
				defer n.kill()
			}
			putNodeConfiguration(t, leader)
			waitForStatus(t, http.MethodGet, "http://"+other.ready+"/v1/readyz", "")
			setTestZone(t, http.MethodPost, leader)
			query := ""
			if test.redirected {
				conn := openOrder(t, http.MethodDelete, other.control, "")
				status, next := readStatus(t, conn)
				_ = conn.Close()
				if status != http.StatusTemporaryRedirect {
					t.Fatalf("status %d, want a redirect", status)
				}
				query = next
			}
			other.suspend(t)
			givenUp := openOrder(t, http.MethodDelete, other.control, query)
			defer func() { _ = givenUp.Close() }()
			time.Sleep(orderTimeout)
			setTestZone(t, http.MethodDelete, leader)
			setTestZone(t, http.MethodPost, leader)
			if err := other.cmd.Process.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			if status, _ := readStatus(t, givenUp); status == http.StatusOK {
				t.Error("the order that was given up is acknowledged")
			}
			requestTestJob(t, http.MethodPost, leader, testJob, http.StatusOK)
			worker := &testWorker{node: leader, born: time.Now().UnixMilli()}
			if starts := worker.sendHeartbeats(t, watchedHeartbeats); len(starts) > 0 {
				t.Errorf("%d starts in a zone that is out of service, the first is %v", len(starts), starts[0])
			}
			setTestZone(t, http.MethodDelete, other)
			if starts := worker.sendHeartbeats(t, watchedHeartbeats); len(starts) == 0 {
				t.Error("nothing started after the zone was returned to service")
			}
		})
	}
}

// Guards against a node that was suspended and submits a job that its caller has
// cancelled meanwhile.
func TestSuspendedNodeSubmitsNoCancelledJob(t *testing.T) {
	ports := freePorts(t, 4)
	leader := newTestNode(t, "127.0.0.1", ports, "loss_counts: true\ndata_dir: "+t.TempDir())
	relay := newTestNode(t, "127.0.0.2", ports, "")
	for _, n := range []*testNode{leader, relay} {
		n.start(t)
		defer n.kill()
	}
	putNodeConfiguration(t, leader)
	waitForStatus(t, http.MethodGet, "http://"+relay.ready+"/v1/readyz", "")
	relay.suspend(t)
	givenUp, err := net.Dial("tcp", relay.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = givenUp.Close() }()
	if _, err := fmt.Fprintf(givenUp, "POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", testJobPath, len(testJob), testJob); err != nil {
		t.Fatal(err)
	}
	time.Sleep(orderTimeout)
	requestTestJob(t, http.MethodDelete, leader, "", http.StatusGone)
	if err := relay.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	readStatus(t, givenUp) // any status, as nobody waits for it
	worker := &testWorker{node: leader, born: time.Now().UnixMilli()}
	if starts := worker.sendHeartbeats(t, watchedHeartbeats); len(starts) > 0 {
		t.Errorf("%d starts of a cancelled job, the first is %v", len(starts), starts[0])
	}
}
