package main

import (
	"fmt"
	"strings"
	"time"
)

// playStarvedFiller loses the one worker without a service for good. The jobs that
// fill have to go on beside the services then.
func playStarvedFiller(c *cluster, trouble bool) (string, error) {
	if err := c.startAll(true); err != nil {
		return "", err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var workers []*worker
	for i := range 8 {
		w := c.newWorker(i, zones[i%3], 16000)
		workers = append(workers, w)
		w.run()
	}
	time.Sleep(2 * time.Second)
	service := c.addJob(stepSpec{Count: 7, CPU: 2000, Mem: 4000, Estimate: 1000, LongRunning: true, AntiAffinity: 1, Image: "svc-a", TargetMillis: 150})
	if !c.submit(service, 0) {
		return "", errCannotRun
	}
	time.Sleep(6 * time.Second)
	var empty *worker
	serving := 0
	for _, w := range workers {
		if w.runCount() == 0 {
			empty = w
		}
		serving += w.runCount()
	}
	if empty == nil || serving != 7 {
		return "", fmt.Errorf("%d tasks of the service run: %w", serving, errCannotRun)
	}
	filler := stepSpec{Count: 2, CPU: 3500, Mem: 3200, Estimate: 1000, Fills: true, Image: "fill-b"}
	before := c.addJob(filler)
	if !c.submit(before, 1) {
		return "", errCannotRun
	}
	time.Sleep(4 * time.Second)
	if c.state(before, 0) != "completed" {
		return "", fmt.Errorf("the job before the disruption is not completed: %w", errCannotRun)
	}
	if trouble {
		c.logf("worker %s crashes and is lost for good; seven workers with one service task each are left", empty.id)
		empty.crash()
	}
	time.Sleep(time.Second)
	var jobs []*jobSpec
	for i := range 5 {
		j := c.addJob(filler)
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
		return fmt.Sprintf("LOST: %d of %d accepted jobs have not run %v after the end of the traffic, although 14 of 112 cores are in use: %s",
			len(open), len(jobs), finishTime, strings.Join(open, ", ")), nil
	}
	return "", nil
}
