// Command standin plays the clients, the workers and the operator of a small
// deployment against nodes that it starts as separate processes. Each case of the
// review is one scenario. All addresses are loopback addresses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// Bounds of a small deployment, as in the site file of glsro-launchlog.
const (
	heartbeatMillis = 1500
	evacuateTime    = 5 * time.Second
	stopTimeout     = 400 * time.Millisecond
	maxHoldMillis   = 6000
	finishTime      = 14 * time.Second
	serviceName     = "huvo11a"
	hostName        = "nony24.example"
	pathPrefix      = "/lohu930/"
)

// errCannotRun reports that the case could not run, which is no result.
var errCannotRun = errors.New("the case could not run")

// cluster is a set of nodes and the record of what was seen.
type cluster struct {
	dir   string
	nodes []*node
	start time.Time

	frontPort, readyPort, controlPort, peerPort int

	recordMu sync.Mutex
	record   *os.File

	jobsMu  sync.Mutex
	jobs    map[string]*jobSpec
	started map[string]bool // jobs of which a task has started, by ID

	stopWorkers context.CancelFunc
	workersCtx  context.Context
	workers     *conc.WaitGroup // the loops of the workers, clients and other writers
	processes   *conc.WaitGroup // one that waits for the end of each process
}

// node is one process of the system.
type node struct {
	name, ip, zone string
	settingsPath   string
	cmd            *exec.Cmd
	exited         chan struct{}
}

func (c *cluster) logf(format string, args ...any) {
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// newCluster prepares three nodes with a disk, one in each zone.
func newCluster(recordPath string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "carobrock-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{dir: dir, start: time.Now(), record: record, jobs: map[string]*jobSpec{}, started: map[string]bool{}, workersCtx: ctx, stopWorkers: cancel, workers: conc.NewWaitGroup(), processes: conc.NewWaitGroup()}
	net0 := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, z := range zones {
		c.nodes = append(c.nodes, &node{name: fmt.Sprintf("core-%d", i+1), ip: net0 + fmt.Sprint(11+i), zone: z})
	}
	return c, c.choosePorts()
}

// choosePorts finds ports that are free on the addresses of all nodes.
func (c *cluster) choosePorts() error {
	for range 50 {
		base := 20000 + rand.IntN(30000)
		free := true
		for _, n := range c.nodes {
			for p := base; p < base+20 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			c.frontPort, c.readyPort, c.controlPort, c.peerPort = base, base+1, base+2, base+4
			return nil
		}
	}
	return errCannotRun
}

func (c *cluster) writeSettings(n *node, bootstrap bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node: %q\nrole: \"node\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\n  - \"control_plane\"\nip: %q\nzone: %q\nregion: \"r\"\n", n.name, n.ip, n.zone)
	b.WriteString("zones:\n  zone-a: \"r\"\n  zone-b: \"r\"\n  zone-c: \"r\"\n")
	fmt.Fprintf(&b, "listen_addrs:\n  front: \"%s:%d\"\n  ready: \"%s:%d\"\n  control: \"%s:%d\"\n", n.ip, c.frontPort, n.ip, c.readyPort, n.ip, c.controlPort)
	fmt.Fprintf(&b, "port_range:\n  - %d\n  - %d\nseeds:\n", c.peerPort, c.peerPort+15)
	for _, x := range c.nodes[:3] {
		fmt.Fprintf(&b, "  - \"%s:%d\"\n", x.ip, c.controlPort)
	}
	fmt.Fprintf(&b, "bootstrap: %v\nloss_counts: %v\n", bootstrap, true)
	b.WriteString("limits:\n  cpu_share: 0.56\n  cores: 1\n  memory_mb: 284\n  max_fds: 4100\n  link_mbps: 1000.0\n")
	b.WriteString("  disk_mb: 128\n")
	fmt.Fprintf(&b, "data_dir: %q\n", filepath.Join(c.dir, n.name+"-data"))
	fmt.Fprintf(&b, "discovery: \"registry\"\nentry: \"vip\"\nheartbeat_ms: %d\ncontracts: [base, drain, config, cost, recover, sched, places, advice, upkeep, sharing]\n", heartbeatMillis)
	b.WriteString("fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n  contact_ms: 3000\n  ack_timeout_ms: 4000\n  drain_timeout_ms: 2000\n  grace_s: 6\n  config_apply_ms: 2000\n  evacuate_ms: 5000\n  recovery_s: 12\n")
	fmt.Fprintf(&b, "  max_hold_ms: %d\n  stop_timeout_ms: 400\n  gang_timeout_ms: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  notice_ms: 4500\n  fencing: true\n  lease_ms: 3000\n", maxHoldMillis)
	b.WriteString("config_mode: \"highest\"\ncommands: \"heartbeat\"\n")
	n.settingsPath = filepath.Join(c.dir, n.name+".yaml")
	return os.WriteFile(n.settingsPath, []byte(b.String()), 0o600)
}

// startNode starts the program of the deploy file with the settings of n.
func (c *cluster) startNode(n *node, bootstrap bool) error {
	if err := c.writeSettings(n, bootstrap); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/carobrock", "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CAROBROCK_NODE_FILE=" + n.settingsPath}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	exited := n.exited
	c.processes.Go(func() {
		err := cmd.Wait()
		c.logf("process of %s ended: %v", n.name, err)
		close(exited)
	})
	c.logf("process of %s started, pid %d", n.name, cmd.Process.Pid)
	return nil
}

func (c *cluster) signal(n *node, s syscall.Signal) {
	c.logf("signal to %s: %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// close ends everything that was started.
func (c *cluster) close() {
	c.stopWorkers()
	c.workers.Wait()
	c.killAll()
	_ = c.record.Close()
}

// killAll ends all processes that were started and removes their folder.
func (c *cluster) killAll() {
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
		}
	}
	c.processes.Wait()
	_ = os.RemoveAll(c.dir)
}

func (c *cluster) control(n *node) string { return fmt.Sprintf("%s:%d", n.ip, c.controlPort) }
func (c *cluster) front(n *node) string   { return fmt.Sprintf("%s:%d", n.ip, c.frontPort) }

// reply is the answer to a request; status 0 means that none came.
type reply struct {
	status int
	body   []byte
}

// send makes one request on a connection of its own, follows up to two redirects,
// and closes the connection if no answer comes in time.
func send(method, url, host string, body []byte, timeout time.Duration, header map[string]string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for range 3 {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return reply{}
		}
		if host != "" {
			req.Host = host
		}
		for k, v := range header {
			req.Header.Set(k, v)
		}
		if len(body) > 0 {
			req.Header.Set("Content-Type", "application/json")
		}
		resp, err := client.Do(req)
		if err != nil {
			return reply{}
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return reply{}
		}
		if resp.StatusCode == http.StatusTemporaryRedirect {
			url = resp.Header.Get("Location")
			continue
		}
		return reply{resp.StatusCode, data}
	}
	return reply{}
}

// order sends an order of the operator, to the given node first and then to the
// others, until it is acknowledged or the time in which it may be sent again is over.
func (c *cluster) order(method, path string, body []byte, first int, limit time.Duration) bool {
	began, wait := time.Now(), 100*time.Millisecond
	for i := 0; time.Since(began) < limit; i++ {
		n := c.nodes[(first+i)%len(c.nodes)]
		c.logf("operator sends %s %s to %s", method, path, n.name)
		r := send(method, "http://"+c.control(n)+path, "", body, time.Second, nil)
		c.logf("operator gets %d for %s %s from %s", r.status, method, path, n.name)
		if r.status/100 == 2 {
			return true
		}
		time.Sleep(wait)
		wait = wait * 3 / 2
	}
	return false
}

// startAll starts all nodes and sends the first configuration.
func (c *cluster) startAll(guarded bool) error {
	for _, n := range c.nodes {
		if err := c.startNode(n, true); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	conf, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "r-1", "host": hostName, "path_prefix": pathPrefix, "type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 1200, "priority": 0, "service": serviceName, "max_attempts": 4, "stretch": 1.5}},
		"services": []map[string]any{{"name": serviceName, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "constraints": guarded, "standby": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if !c.order(http.MethodPut, "/v1/config", conf, 0, 15*time.Second) {
		return fmt.Errorf("no acknowledgement of the first configuration: %w", errCannotRun)
	}
	return nil
}

// leader returns the index of the node that other nodes name as the leader.
func (c *cluster) leader() int {
	for i, n := range c.nodes {
		data, err := os.ReadFile(filepath.Join(c.dir, n.name+".log"))
		if err != nil {
			continue
		}
		role := ""
		for _, line := range strings.Split(string(data), "\n") {
			x := struct {
				Role    string `json:"role"`
				Message string `json:"message"`
			}{}
			if json.Unmarshal([]byte(line), &x) == nil && x.Message == "replica: role changed" {
				role = x.Role
			}
		}
		if role == "leader" {
			return i
		}
	}
	return -1
}
