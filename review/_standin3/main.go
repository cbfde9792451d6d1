// Command standin3 plays one case of the review: it starts the project's programs on
// loopback addresses, with stand-ins for clients, workers, the operator and the advisor.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	service = "logbook"
	host    = "clubs.example"
	prefix  = "/sheets/"
)

var (
	// trouble is set unless the case is to run without its disruption.
	trouble = os.Getenv("TROUBLE") != "0"
	began   = time.Now()

	// background holds what goes on until the case ends. Nothing waits for it.
	background = conc.NewWaitGroup()

	recordMu   sync.Mutex
	recordFile *os.File
)

// record writes a line to record.txt with the seconds since the start.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordFile, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// broken returns errBroken with what was seen.
func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

func main() {
	cases := map[string]func() error{
		"foreign": playForeign, "ticket": playTicket, "filling": playFilling, "replaced": playReplaced, "dropped": playDropped,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(timeLimit, func() {
		record("the case took too long")
		if playing != nil {
			playing.stop()
		}
		os.Exit(2)
	})
	err = cases[os.Args[1]]()
	if playing != nil {
		playing.stop()
	}
	switch {
	case errors.Is(err, errBroken):
		record("%v", err)
		fmt.Println(err)
		os.Exit(1)
	case err != nil:
		record("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	record("the rule held")
	fmt.Println("the rule held")
}

// playing is the deployment of the case.
var playing *cluster

// deploy starts a deployment with a configuration and workers. labels returns the labels
// of the i-th worker.
func deploy(config, advisor string, count int, setUp func(w *worker, i int)) ([]*worker, error) {
	c, err := newCluster(advisor)
	if err != nil {
		return nil, err
	}
	playing = c
	if err := c.start(); err != nil {
		return nil, err
	}
	if err := c.configure(config); err != nil {
		return nil, err
	}
	var workers []*worker
	for i := range count {
		w := &worker{
			id: fmt.Sprintf("i-%04x", 0xa100+i), machine: fmt.Sprintf("m-%04x", 0xb100+i), zone: zones[i%len(zones)],
			labels: []string{"a", fmt.Sprintf("r1-%d", i/8)}, cpu: 16000, memory: 64000, c: c, life: 1, next: i,
		}
		if setUp != nil {
			setUp(w, i)
		}
		workers = append(workers, startWorker(w))
	}
	// The leader knows all workers after a few heartbeats.
	time.Sleep(4 * time.Second)
	return workers, nil
}

// waitFor waits until a condition holds.
func waitFor(what string, limit time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New("not seen: " + what)
}
