package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	keptKey, revokedKey, newKey = "Yq3PhV0dUZ", "Wm8RkT5cXe", "Jd6LsB2nGf"
	// testRevokeTime is bounds.revoke_ms of the nodes. It is long enough for a busy
	// machine to confirm the configuration within 0.6 of it.
	testRevokeTime = 2 * time.Second
	// publicQueuePath is the path of the queue on which calls need no key.
	publicQueuePath = "/p/"
)

// keysConfiguration returns a configuration with the given version, one account with
// the given keys, and a public route in addition to that of nodeConfiguration.
func keysConfiguration(version int, keys ...string) string {
	c := strings.Replace(nodeConfiguration, `"version":1`, fmt.Sprintf(`"version":%d,"tenants":[{"name":"a","api_keys":["%s"],"weight":1}]`, version, strings.Join(keys, `","`)), 1)
	return strings.Replace(c, `"routes":[`, `"routes":[{"name":"r2","host":"h.example","path_prefix":"`+publicQueuePath+`","timeout_ms":3000,"service":"pool","public":true},`, 1)
}

// newKeyNodes returns a node with a replica and one without, not started, with
// operations listeners and testRevokeTime.
func newKeyNodes(t *testing.T) (leader, relay *testNode) {
	t.Helper()
	ports := freePorts(t, 4)
	ports[3] = freePortPair(t)
	leader = newTestNode(t, "127.0.0.1", ports, "loss_counts: true\ndata_dir: "+t.TempDir())
	relay = newTestNode(t, "127.0.0.2", ports, "")
	for _, n := range []*testNode{leader, relay} {
		file := n.args[len(n.args)-1]
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(string(data), "status_s: 120", fmt.Sprintf("status_s: 120, strict_revoke: true, revoke_ms: %d", testRevokeTime.Milliseconds()), 1)
		text = strings.Replace(text, fmt.Sprintf("[%[1]s, %[1]s]", ports[3]), fmt.Sprintf("[%s, %s]", ports[3], nextPort(t, ports[3])), 1)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return leader, relay
}

// startKeyNodes starts the nodes of newKeyNodes. The caller must kill them.
func startKeyNodes(t *testing.T) (leader, relay *testNode) {
	t.Helper()
	leader, relay = newKeyNodes(t)
	leader.start(t)
	relay.start(t)
	return leader, relay
}

// nextPort returns the port after port.
func nextPort(t *testing.T, port string) string {
	t.Helper()
	n, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	return strconv.Itoa(n + 1)
}

// freePortPair returns a port that was free on 127.0.0.1 and 127.0.0.2 when checked,
// together with the next one.
func freePortPair(t *testing.T) string {
	t.Helper()
	for range 100 {
		first := freePorts(t, 1)[0]
		if first == "65535" {
			continue
		}
		free := true
		for _, ip := range []string{"127.0.0.1", "127.0.0.2"} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, nextPort(t, first)))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return first
		}
	}
	t.Fatal("no two adjacent ports are free")
	return ""
}

// callWithKey opens a connection to n, sends a read of a queue with a key, and returns
// the connection.
func callWithKey(t *testing.T, n *testNode, path, key string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.callers)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n\r\n", path, key); err != nil {
		t.Fatal(err)
	}
	return conn
}

// statusOf returns the status of the response on conn and closes it.
func statusOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(operationTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitForKeyStatus repeats a read of the queue with a key until its status is want.
func waitForKeyStatus(t *testing.T, n *testNode, key string, want int) {
	t.Helper()
	status := 0
	for deadline := time.Now().Add(operationTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if status = statusOf(t, callWithKey(t, n, "/q/", key)); status == want {
			return
		}
	}
	t.Fatalf("status %d, want %d", status, want)
}

// Guards against a node that was frozen while a key was revoked and accepts the key
// after it is resumed, in calls that were waiting for it or in later ones.
func TestFrozenNodeAcceptsNoRevokedKey(t *testing.T) {
	const waitingCalls = 8
	leader, relay := startKeyNodes(t)
	defer leader.kill()
	defer relay.kill()
	waitForStatus(t, http.MethodPut, "http://"+leader.control+"/v1/config", keysConfiguration(1, keptKey, revokedKey))
	waitForStatus(t, http.MethodGet, "http://"+relay.ready+"/v1/readyz", "")
	waitForKeyStatus(t, relay, keptKey, http.StatusOK)
	waitForKeyStatus(t, relay, revokedKey, http.StatusOK)
	relay.suspend(t)
	waitForStatus(t, http.MethodPut, "http://"+leader.control+"/v1/config", keysConfiguration(2, keptKey))
	time.Sleep(testRevokeTime)
	var conns []net.Conn
	for range waitingCalls {
		conns = append(conns, callWithKey(t, relay, "/q/", revokedKey))
	}
	if err := relay.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for _, conn := range conns {
		if status := statusOf(t, conn); status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
			t.Errorf("call that waited for the node: status %d, want %d or %d", status, http.StatusUnauthorized, http.StatusServiceUnavailable)
		}
	}
	waitForKeyStatus(t, relay, keptKey, http.StatusOK)
	for range waitingCalls {
		if status := statusOf(t, callWithKey(t, relay, "/q/", revokedKey)); status == http.StatusOK {
			t.Error("the revoked key is accepted")
		}
	}
	waitForKeyStatus(t, relay, revokedKey, http.StatusUnauthorized)
	waitForKeyStatus(t, leader, revokedKey, http.StatusUnauthorized)
}

// Guards against a node without contact to the leader that decides on keys by an old
// configuration: it must neither accept a key nor call a new one unknown.
func TestCutOffNodeRefusesKeys(t *testing.T) {
	leader, relay := startKeyNodes(t)
	defer leader.kill()
	defer relay.kill()
	waitForStatus(t, http.MethodPut, "http://"+leader.control+"/v1/config", keysConfiguration(1, keptKey))
	waitForStatus(t, http.MethodGet, "http://"+relay.ready+"/v1/readyz", "")
	waitForKeyStatus(t, relay, keptKey, http.StatusOK)
	waitForKeyStatus(t, relay, newKey, http.StatusUnauthorized)
	leader.suspend(t)
	waitForKeyStatus(t, relay, newKey, http.StatusServiceUnavailable)
	for range 20 {
		for _, key := range []string{keptKey, newKey} {
			if status := statusOf(t, callWithKey(t, relay, "/q/", key)); status != http.StatusServiceUnavailable {
				t.Errorf("status %d, want %d", status, http.StatusServiceUnavailable)
			}
		}
	}
	// The dump waits for no leader.
	dump := readOperations(t, relay, "/debug/dump")
	if refused := dump.RefusedCalls["staleCopy"]; refused < 40 {
		t.Errorf("%d refusals are counted, want at least 40", refused)
	}
	if dump.Configuration.KeysFresh || dump.Configuration.Version != 1 {
		t.Errorf("configuration in the dump: %+v", dump.Configuration)
	}
	if err := leader.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	waitForKeyStatus(t, relay, keptKey, http.StatusOK)
	waitForStatus(t, http.MethodPut, "http://"+leader.control+"/v1/config", keysConfiguration(2, keptKey, newKey))
	waitForKeyStatus(t, relay, newKey, http.StatusOK)
}

// operationsState holds the parts of a dump or of the metrics that the tests use.
type operationsState struct {
	Accounts      []map[string]any `json:"accounts"`
	RefusedCalls  map[string]int64 `json:"refusedCalls"`
	Configuration struct {
		Version   int64 `json:"version"`
		KeysFresh bool  `json:"keysFresh"`
	} `json:"configuration"`
	text string
}

// readOperations returns what the operations listener of n serves at path.
func readOperations(t *testing.T, n *testNode, path string) *operationsState {
	t.Helper()
	host, port, err := net.SplitHostPort(n.peer)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: operationTimeout}
	resp, err := client.Get("http://" + net.JoinHostPort(host, nextPort(t, port)) + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	state := &operationsState{text: string(data)}
	// Without a leader the accounts are an object with an error.
	if err := json.Unmarshal(data, state); err != nil && !strings.Contains(state.text, `"error"`) {
		t.Fatalf("%s: %v\n%s", path, err, data)
	}
	return state
}

// Guards against accounts and refusals that operators cannot see, and against keys in
// what they see.
func TestOperationsListenerShowsAccounts(t *testing.T) {
	leader, relay := startKeyNodes(t)
	defer leader.kill()
	defer relay.kill()
	waitForStatus(t, http.MethodPut, "http://"+leader.control+"/v1/config", keysConfiguration(1, keptKey))
	for _, n := range []*testNode{leader, relay} {
		waitForKeyStatus(t, n, keptKey, http.StatusOK)
		waitForKeyStatus(t, n, newKey, http.StatusUnauthorized)
		if status := statusOf(t, callWithKey(t, n, publicQueuePath, newKey)); status != http.StatusOK {
			t.Errorf("public route: status %d, want %d", status, http.StatusOK)
		}
		for _, path := range []string{"/debug/dump", "/debug/vars"} {
			state := readOperations(t, n, path)
			if len(state.Accounts) == 0 || state.Accounts[0]["name"] != "a" {
				t.Errorf("%s: accounts %v", path, state.Accounts)
			}
			if state.RefusedCalls["unknownKey"] == 0 {
				t.Errorf("%s: refused calls %v", path, state.RefusedCalls)
			}
			if strings.Contains(state.text, keptKey) || strings.Contains(state.text, newKey) {
				t.Errorf("%s contains a key", path)
			}
		}
	}
	// The client of readOperations has an open connection.
	if err := relay.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := relay.cmd.Wait(); err != nil {
		t.Errorf("planned stop: %v", err)
	}
}

// Guards against a node that does not serve because another process has the port of its
// operations listener.
func TestNodeServesWithoutOperationsListener(t *testing.T) {
	leader, _ := newKeyNodes(t)
	_, port, err := net.SplitHostPort(leader.peer)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", nextPort(t, port)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	leader.start(t)
	defer leader.kill()
	waitForStatus(t, http.MethodPut, "http://"+leader.control+"/v1/config", keysConfiguration(1, keptKey))
	waitForKeyStatus(t, leader, keptKey, http.StatusOK)
}
