package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// playWide hands in one small job that the pages allow, of many steps and repetitions,
// beside ordinary jobs. It checks that no machine's process uses more memory than the
// machine has and that the ordinary jobs are taken and run.
func playWide(rec *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.limitMemory()
	c := newClient(d)
	if err := c.configure(); err != nil {
		return false, err
	}
	for i := range 8 {
		w := newWorker(d, i)
		defer w.crash()
		go w.work()
	}
	time.Sleep(2 * time.Second)
	if !ordinaryJob(c, 10*time.Second) {
		return false, fmt.Errorf("an ordinary job was not run before the trouble")
	}
	if hasTrouble {
		steps, reps := 64, 10000
		if v, err := strconv.Atoi(os.Getenv("STEPS")); err == nil {
			steps = v
		}
		if v, err := strconv.Atoi(os.Getenv("REPS")); err == nil {
			reps = v
		}
		step := `{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":100}`
		body := fmt.Sprintf(`{"spec":"ms=100 cpu=100","repetitions":%d,"interval_ms":1000,"steps":[%s]}`, reps, strings.TrimSuffix(strings.Repeat(step+",", steps), ","))
		status := c.submit(newJobID(), body, 3)
		rec.add("the wide job was answered %d", status)
	}
	isRun := true
	for range 3 {
		time.Sleep(2 * time.Second)
		isRun = ordinaryJob(c, 14*time.Second) && isRun
	}
	kills := 0
	for _, nd := range d.nodes {
		rec.add("platform: machine %d: peak %d MB, killed %d times", nd.number, nd.peakKB>>10, nd.kills)
		kills += nd.kills
	}
	return kills < 3 && isRun, nil
}

// ordinaryJob hands in a job of four short tasks and reports whether it is completed in
// time.
func ordinaryJob(c *client, limit time.Duration) bool {
	id := newJobID()
	deadline := time.Now().Add(limit)
	if status := c.submit(id, `{"spec":"ms=300 cpu=500","steps":[{"count":4,"cpu":500,"mem_mb":64,"estimate_ms":300}]}`, 5); status != http.StatusOK {
		return false
	}
	for time.Now().Before(deadline) {
		if status, body := c.state(id); status == http.StatusOK && strings.Contains(body, "completed") {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
