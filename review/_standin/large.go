package main

import (
	"fmt"
	"strings"
	"time"
)

// playLargeJob hands in a job with one wide step of small tasks, all of which need the
// one worker with the label b. Without the trouble the step is as wide as the widest of
// the site.
func playLargeJob(c *cluster, trouble bool) (string, error) {
	if err := c.startAll(true); err != nil {
		return "", err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var special *worker
	for i := range 6 {
		w := c.newWorker(i, zones[i%3], 16000)
		if i == 0 {
			special, w.kind = w, "b"
		}
		w.run()
	}
	time.Sleep(2 * time.Second)
	other := c.addJob(stepSpec{Count: 1, CPU: 1000, Mem: 1000, LongRunning: true, Requires: "b"})
	if !c.submit(other, 0) {
		return "", errCannotRun
	}
	time.Sleep(2 * time.Second)
	if special.runCount() != 1 {
		return "", fmt.Errorf("the task that lasts has not started: %w", errCannotRun)
	}
	count := 36
	if trouble {
		count = 2000
	}
	j := c.addJob(stepSpec{Count: count, CPU: 3, Mem: 4, Estimate: 600, Requires: "b"})
	j.Spec = strings.Repeat("tow 450 m; ", 4000)[:4000]
	if !c.submit(j, 1) {
		return "", errCannotRun
	}
	time.Sleep(finishTime)
	state, running := c.state(j, 0), special.runCount()
	c.logf("the job is %s; worker %s has had %d answers of over 4 MiB, and %d runs are on it", state, special.id, special.tooLarge, running)
	if state != "completed" && state != "failed" {
		return fmt.Sprintf("LOST: the job is %s %v after it was accepted, with nothing running on its worker, which is healthy and has room", state, finishTime), nil
	}
	return "", nil
}
