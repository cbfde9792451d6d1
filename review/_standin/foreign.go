package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playForeignService has another writer send one heartbeat for each machine, of a
// service that the configuration does not name, and hands jobs in afterwards.
func playForeignService(c *cluster, trouble bool) (string, error) {
	if err := c.startAll(true); err != nil {
		return "", err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var workers []*worker
	for i := range 6 {
		w := c.newWorker(i, zones[i%3], 16000)
		workers = append(workers, w)
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
	for i, w := range workers {
		if !trouble {
			break
		}
		f := c.newWorker(50+i, w.zone, 16000)
		f.service, f.machine = "metrics7", w.machine
		body := f.report(time.Now())
		for _, n := range c.nodes {
			r := send(http.MethodPut, "http://"+c.control(n)+"/v1/instances/"+f.id, "", body, time.Second, nil)
			c.logf("other writer: one heartbeat of service metrics7 on machine %s to %s, answer %d %s", w.machine, n.name, r.status, r.body)
			if r.status != 0 {
				break
			}
		}
	}
	time.Sleep(time.Second)
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
	answered := 0
	for _, w := range workers {
		w.mu.Lock()
		answered += w.beats
		c.logf("worker %s has had %d answers to its heartbeats, %d runs", w.id, w.beats, len(w.runs))
		w.mu.Unlock()
	}
	if len(open) > 0 {
		return fmt.Sprintf("LOST: %d of %d accepted jobs have not run %v after the end of the traffic, although all %d workers are empty and send heartbeats: %s",
			len(open), len(jobs), finishTime, len(workers), strings.Join(open, ", ")), nil
	}
	return "", nil
}
