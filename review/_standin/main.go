package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenario plays a case and returns how the rule was broken, empty if it held.
type scenario struct {
	play func(c *cluster, trouble bool) (string, error)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitCannotRun)
	}
	os.Exit(playCase(s, filepath.Join(os.Args[2], "record.txt")))
}

func playCase(s scenario, recordPath string) int {
	c, err := newCluster(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer c.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	c.workers.Go(func() {
		select {
		case <-signals:
			c.killAll()
			os.Exit(exitCannotRun)
		case <-c.workersCtx.Done():
		}
	})
	broken, err := s.play(c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		c.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	case broken != "":
		c.logf("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	c.logf("the rule held")
	fmt.Println("held")
	return exitHeld
}
