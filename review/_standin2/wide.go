package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	wideSteps       = 64
	wideRepetitions = 10_000
	// wideStart is how long before now the first time of the job was due.
	wideStart = 3 * time.Hour
)

// playWide hands in one small job of many steps that was due each second of the last hours,
// and then ordinary jobs. It checks that no process uses more memory than its machine has
// and that the ordinary jobs are taken and run.
func playWide(rec *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	c, _, err := startFleet(d)
	if err != nil {
		return false, err
	}
	if hasTrouble {
		step := `{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":100}`
		body := fmt.Sprintf(`{"spec":"ms=100 cpu=100","repetitions":%d,"initial_delay_ms":%d,"interval_ms":1000,"steps":[%s]}`,
			wideRepetitions, time.Now().Add(-wideStart).UnixMilli(), repeatList(step, wideSteps))
		status := c.submit(newJobID(), body, time.Now().Add(5*time.Second))
		rec.add("the wide job of %d bytes was answered %d", len(body), status)
	}
	return keepsRunning(c, 3), nil
}

// startFleet limits the memory of the processes, stores the configuration, starts eight
// workers and waits until a job has been run.
func startFleet(d *deployment) (*client, []*worker, error) {
	d.limitMemory()
	c := newClient(d)
	if err := c.configure(); err != nil {
		return nil, nil, err
	}
	workers := d.startWorkers(8)
	time.Sleep(2 * time.Second)
	if !c.ordinaryJob(10 * time.Second) {
		return nil, nil, fmt.Errorf("an ordinary job was not run before the trouble")
	}
	return c, workers, nil
}

// keepsRunning hands in n ordinary jobs. It reports whether all were run within finish_s,
// and whether the processes of less than half of the machines ended three times.
func keepsRunning(c *client, n int) bool {
	isRun := true
	for range n {
		time.Sleep(2 * time.Second)
		isRun = c.ordinaryJob(14*time.Second) && isRun
	}
	failing := 0
	for _, nd := range c.deployment.nodes {
		nd.mu.Lock()
		c.record.add("platform: machine %d: peak %d MB, killed %d times for its memory", nd.number, nd.peakKB>>10, nd.kills)
		if nd.kills >= 3 {
			failing++
		}
		nd.mu.Unlock()
	}
	c.record.add("ordinary jobs completed: %v; machines whose process ended three times: %d of %d", isRun, failing, len(c.deployment.nodes))
	return isRun && 2*failing < len(c.deployment.nodes)
}

// repeatList returns n copies of an element of a JSON list.
func repeatList(element string, n int) string {
	return strings.TrimSuffix(strings.Repeat(element+",", n), ",")
}
