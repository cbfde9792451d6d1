package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the availability zones of the deployment. Each has one machine with a disk.
var zones = []string{"lakes-west", "lakes-central", "lakes-east"}

// boot is the settings file of a machine, with the bounds of the small Records Office
// deployment. Its fields are the name, IP address, zone, ports (callers, readiness,
// control, first of the range), seeds, bootstrap, loss_counts, data folder and advisor.
const boot = `node: "%[1]s"
role: "node"
machine_class: "edge"
serves:
  - "edge"
  - "control_plane"
ip: "%[2]s"
zone: "%[3]s"
region: "lakes"
listen_addrs:
  front: "%[2]s:%[4]d"
  ready: "%[2]s:%[5]d"
  control: "%[2]s:%[6]d"
port_range:
  - %[7]d
  - %[8]d
seeds: %[9]s
bootstrap: %[10]v
loss_counts: %[11]v
limits:
  cpu_share: 0.56
  cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 128
data_dir: "%[12]s"
discovery: "registry"
entry: "vip"
heartbeat_ms: 1500
fault_tolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  contact_ms: 3000
  ack_timeout_ms: 4000
  drain_timeout_ms: 2000
  grace_s: 6
  config_apply_ms: 2000
  max_hold_ms: 6000
  stop_timeout_ms: 400
  gang_timeout_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  finish_s: 14
  status_s: 120
  notice_ms: 4500
  pace_ms: 100
commands: "heartbeat"
advisor: "%[13]s"
`

// cluster is a deployment of nodes on loopback addresses.
type cluster struct {
	root, dir string
	ports     [5]int // callers, readiness, control, first and last of the range
	advisor   string
	nodes     []*node
	seeds     []*node // the machines that the settings name
	spareIP   string  // the address of a machine that is added later
}

// node is a machine with one process of the system.
type node struct {
	cluster  *cluster
	name, ip string
	zone     string
	hasDisk  bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newCluster lays out three machines with a disk and one without.
func newCluster(advisor string) (*cluster, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, dir: dir, advisor: advisor}
	address := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, i) }
	c.spareIP = address(5)
	for i := range 4 {
		n := &node{cluster: c, ip: address(i + 1), zone: zones[i%len(zones)], hasDisk: i < 3}
		n.name = fmt.Sprintf("edge-%s-%d", n.zone, i/len(zones)+1)
		c.nodes = append(c.nodes, n)
	}
	c.seeds = c.nodes[:3]
	return c, c.choosePorts()
}

// choosePorts chooses ports that are free on the addresses of all machines.
func (c *cluster) choosePorts() error {
	for base := 21000 + os.Getpid()%20000; base < 60000; base += 16 {
		if c.arePortsFree(base) {
			c.ports = [5]int{base, base + 1, base + 2, base + 3, base + 8}
			return nil
		}
	}
	return errors.New("no free ports")
}

func (c *cluster) arePortsFree(base int) bool {
	for _, n := range c.nodes {
		for port := base; port < base+9; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (n *node) callers() string { return fmt.Sprintf("%s:%d", n.ip, n.cluster.ports[0]) }
func (n *node) control() string { return fmt.Sprintf("%s:%d", n.ip, n.cluster.ports[2]) }

// writeSettings writes the settings file of the machine and returns its path. bootstrap is
// set at the first start of all.
func (n *node) writeSettings(bootstrap bool) (string, error) {
	c := n.cluster
	var seeds []string
	for _, s := range c.seeds {
		seeds = append(seeds, `"`+s.control()+`"`)
	}
	dataDir := ""
	if n.hasDisk {
		dataDir = filepath.Join(c.dir, n.name)
	}
	file := filepath.Join(c.dir, n.name+".yaml")
	text := fmt.Sprintf(boot, n.name, n.ip, n.zone, c.ports[0], c.ports[1], c.ports[2], c.ports[3], c.ports[4],
		"["+strings.Join(seeds, ", ")+"]", bootstrap, n.hasDisk, dataDir, c.advisor)
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// start starts the process of the machine.
func (n *node) start(bootstrap bool) error {
	c := n.cluster
	file, err := n.writeSettings(bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(c.root, "target", "carobrock"), "node")
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "CAROBROCK_NODE_FILE=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	background.Go(func() {
		_ = cmd.Wait()
		close(done)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.done = cmd, done
	return nil
}

// signal sends a signal to the process and, if it is SIGKILL, waits for its end.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(s) // fails if the process has ended
	if s == syscall.SIGKILL {
		<-n.done
		n.cmd = nil
	}
}

// start starts all machines for the first time.
func (c *cluster) start() error {
	for _, n := range c.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the files, unless KEEP is set.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.signal(syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// call sends a request and returns the status, zero if there was no response, and the
// body. Like all callers of the control listeners it follows two redirects.
func call(method, url, host, body string, timeout time.Duration) (int, []byte) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirects")
		}
		return nil
	}}
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// configure sends a configuration until it is acknowledged.
func (c *cluster) configure(body string) error {
	for i := range 60 {
		n := c.nodes[i%len(c.nodes)]
		status, _ := call(http.MethodPut, "http://"+n.control()+"/v1/config", "", body, time.Second)
		record("operator: PUT /v1/config at %s: %d", n.name, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

// submit hands a job in until it is accepted.
func (c *cluster) submit(prefix, id, body string) error {
	for i := range 20 {
		n := c.nodes[(len(c.nodes)-1+i)%len(c.nodes)]
		status, _ := call(http.MethodPost, "http://"+n.callers()+prefix+id, host, body, 3*time.Second)
		record("client: POST %s%s at %s: %d", prefix, id, n.name, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}
