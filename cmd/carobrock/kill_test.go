package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/pkg/client"
)

const (
	killCount        = 50
	replicaCount     = 3
	writerCount      = 4
	operationTimeout = 30 * time.Second
)

// process is a carobrock process that a test starts.
type process struct {
	args []string
	cmd  *exec.Cmd
}

// suspend stops all threads of the process. They may run on for a moment after the
// signal was sent, and answer a request that was sent after it.
func (p *process) suspend(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(operationTimeout); !p.isSuspended(t); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the process does not stop")
		}
	}
}

// isSuspended reports whether all threads of the process are stopped.
func (p *process) isSuspended(t *testing.T) bool {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		t.Fatalf("no threads of the process: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		// The state follows the name, which is in parentheses.
		if i := bytes.LastIndexByte(data, ')'); i < 0 || !bytes.HasPrefix(data[i:], []byte(") T")) {
			return false
		}
	}
	return true
}

// start runs the test binary as carobrock with the arguments of p.
func (p *process) start(t *testing.T) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(self, p.args...)
	p.cmd.Args[0] = "carobrock" // testscript.Main selects the command by this name
	p.cmd.Env = append(os.Environ(), "CAROBROCK_LOG_LEVEL=warn")
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

// kill ends the process with SIGKILL and waits for it.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// TestKillNine kills control replicas with SIGKILL killCount times while writers
// submit tasks; in some rounds it kills two replicas at once. Afterwards every
// acknowledged task must be present exactly once. It guards against losing
// changes that were acknowledged before they were durable on a majority, and
// against applying retried changes twice.
func TestKillNine(t *testing.T) {
	addresses, err := freeAddresses(2 * replicaCount)
	if err != nil {
		t.Fatal(err)
	}
	var members []string
	for i := range replicaCount {
		members = append(members, "--members", fmt.Sprintf("c%d=%s", i+1, addresses[i]))
	}
	var replicas []*process
	for i := range replicaCount {
		p := &process{args: append([]string{
			"control", "--name", fmt.Sprintf("c%d", i+1), "--listen", addresses[i], "--operations", addresses[replicaCount+i],
			"--dataDir", t.TempDir(), "--electionTimeout", "150ms", "--snapshotEvery", "40",
		}, members...)}
		p.start(t)
		replicas = append(replicas, p)
	}
	defer func() {
		for _, p := range replicas {
			p.kill()
		}
	}()
	cl := &client.Client{Addresses: addresses[replicaCount:]}
	stop := make(chan struct{})
	acknowledged := make([][]string, writerCount)
	group := conc.NewWaitGroup()
	for w := range writerCount {
		group.Go(func() { acknowledged[w] = submitTasks(t, cl, w, stop) })
	}
	rng := rand.New(rand.NewPCG(4, 4))
	for range killCount {
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		killed := []*process{replicas[rng.IntN(replicaCount)]}
		if other := replicas[rng.IntN(replicaCount)]; other != killed[0] && rng.IntN(4) == 0 {
			killed = append(killed, other)
		}
		for _, p := range killed {
			p.kill()
		}
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		for _, p := range killed {
			p.start(t)
		}
	}
	close(stop)
	group.Wait()
	checkAcknowledged(t, cl, acknowledged)
}

// submitTasks submits tasks sequentially until stop is closed and returns the IDs
// of the acknowledged ones. It stops at the first error.
func submitTasks(t *testing.T, cl *client.Client, writer int, stop <-chan struct{}) []string {
	var ids []string
	for n := 0; ; n++ {
		select {
		case <-stop:
			return ids
		default:
		}
		id := fmt.Sprintf("t-%d-%d", writer, n)
		ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
		err := cl.SubmitTask(ctx, &carobrock.TaskSpec{ID: id, Pool: "p"})
		cancel()
		if err != nil {
			t.Errorf("%s: %v", id, err)
			return ids
		}
		ids = append(ids, id)
	}
}

// checkAcknowledged checks that each acknowledged task is present exactly once.
func checkAcknowledged(t *testing.T, cl *client.Client, acknowledged [][]string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	data, err := cl.Get(ctx, "tasks")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, ids := range acknowledged {
		for _, id := range ids {
			n++
			if got := strings.Count(string(data), `"id":"`+id+`"`); got != 1 {
				t.Errorf("acknowledged task %s is present %d times, want 1", id, got)
			}
		}
	}
	t.Logf("%d changes acknowledged, %d kills", n, killCount)
	if n < killCount {
		t.Errorf("only %d changes were acknowledged", n)
	}
}
