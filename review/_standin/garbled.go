package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playGarbledHeartbeat has another writer send two heartbeats with an id that is no
// UTF-8, and hands jobs in afterwards.
func playGarbledHeartbeat(c *cluster, trouble bool) (string, error) {
	if err := c.startAll(true); err != nil {
		return "", err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range 6 {
		w := c.newWorker(i, zones[i%3], 16000)
		w.run()
	}
	time.Sleep(2 * time.Second)
	step := stepSpec{Count: 10, CPU: 4000, Mem: 1000, Estimate: 600}
	before := c.addJob(step)
	if !c.submit(before, 0) {
		return "", errCannotRun
	}
	time.Sleep(3 * time.Second)
	if c.state(before, 0) != "completed" {
		return "", fmt.Errorf("the job before the disruption is not completed: %w", errCannotRun)
	}
	if trouble {
		c.writeGarbledHeartbeats()
		time.Sleep(2 * time.Second)
	}
	var jobs []*jobSpec
	for i := range 5 {
		j := c.addJob(step)
		if c.submit(j, i) {
			jobs = append(jobs, j)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finishTime)
	var open []string
	for i, j := range jobs {
		if s := c.state(j, i); s != "completed" && s != "failed" {
			open = append(open, j.ID+" "+s)
		}
	}
	if len(open) > 0 {
		return fmt.Sprintf("LOST: %d of %d accepted jobs have not run %v after the end of the traffic, although the workers are empty: %s",
			len(open), len(jobs), finishTime, strings.Join(open, ", ")), nil
	}
	return "", nil
}

// writeGarbledHeartbeats sends two heartbeats of a writer whose id cannot be read. The
// writer starts anew between them.
func (c *cluster) writeGarbledHeartbeats() {
	w := c.newWorker(90, "zone-a", 16000)
	w.id = "i-%ff%fe"
	for range 2 {
		body := w.report(time.Now())
		for _, n := range c.nodes {
			r := send(http.MethodPut, "http://"+c.control(n)+"/v1/instances/"+w.id, "", body, time.Second, nil)
			c.logf("other writer: heartbeat with an unreadable id, born %d, to %s, answer %d %s", w.born, n.name, r.status, r.body)
			if r.status == http.StatusOK {
				break
			}
		}
		time.Sleep(500 * time.Millisecond)
		w.born = time.Now().UnixMilli()
	}
}
