package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/pkg/client"
)

const (
	kills        = 50
	killGroup    = 3
	writers      = 4
	acceptWithin = 30 * time.Second
)

// process is a carobrock process of a test.
type process struct {
	args []string
	cmd  *exec.Cmd
}

func (p *process) start(t *testing.T) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(self, p.args...)
	p.cmd.Args[0] = "carobrock" // testscript.Main runs the command of this name
	p.cmd.Env = append(os.Environ(), "CAROBROCK_LOG_LEVEL=warn")
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// TestKillNine kills control replicas with SIGKILL 50 times in the middle of
// changes, now and then two at once. Every change that was acknowledged must be
// there afterwards, and each exactly once.
func TestKillNine(t *testing.T) {
	addresses, err := freeAddresses(2 * killGroup)
	if err != nil {
		t.Fatal(err)
	}
	var members []string
	for i := range killGroup {
		members = append(members, "--members", fmt.Sprintf("c%d=%s", i+1, addresses[i]))
	}
	var replicas []*process
	for i := range killGroup {
		p := &process{args: append([]string{
			"control", "--name", fmt.Sprintf("c%d", i+1), "--listen", addresses[i], "--operations", addresses[killGroup+i],
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
	cl := &client.Client{Addresses: addresses[killGroup:]}
	stop := make(chan struct{})
	accepted := make([][]string, writers)
	group := conc.NewWaitGroup()
	for w := range writers {
		group.Go(func() { accepted[w] = submitUntil(t, cl, w, stop) })
	}
	rnd := rand.New(rand.NewPCG(4, 4))
	for range kills {
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
		killed := []*process{replicas[rnd.IntN(killGroup)]}
		if other := replicas[rnd.IntN(killGroup)]; other != killed[0] && rnd.IntN(4) == 0 {
			killed = append(killed, other)
		}
		for _, p := range killed {
			p.kill()
		}
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
		for _, p := range killed {
			p.start(t)
		}
	}
	close(stop)
	group.Wait()
	checkAccepted(t, cl, accepted)
}

// submitUntil submits tasks one after the other and returns the IDs of those
// that were acknowledged.
func submitUntil(t *testing.T, cl *client.Client, writer int, stop <-chan struct{}) []string {
	var out []string
	for n := 0; ; n++ {
		select {
		case <-stop:
			return out
		default:
		}
		id := fmt.Sprintf("t-%d-%d", writer, n)
		ctx, cancel := context.WithTimeout(context.Background(), acceptWithin)
		err := cl.SubmitTask(ctx, &carobrock.TaskSpec{ID: id, Pool: "p"})
		cancel()
		if err != nil {
			t.Errorf("%s: %v", id, err)
			return out
		}
		out = append(out, id)
	}
}

func checkAccepted(t *testing.T, cl *client.Client, accepted [][]string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), acceptWithin)
	defer cancel()
	data, err := cl.Get(ctx, "tasks")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, ids := range accepted {
		for _, id := range ids {
			n++
			if got := strings.Count(string(data), `"id":"`+id+`"`); got != 1 {
				t.Errorf("%s was acknowledged and is there %d times", id, got)
			}
		}
	}
	t.Logf("%d changes acknowledged, %d kills", n, kills)
	if n < kills {
		t.Errorf("only %d changes were acknowledged", n)
	}
}
