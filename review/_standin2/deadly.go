package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyTime is the time from the start of the deadly task to the crash of its worker,
	// less than the longest work of a task at the site, 4.3 s.
	deadlyTime = 3800 * time.Millisecond
	// returnTime is the time from the crash of a worker to its next life.
	returnTime = 2 * time.Second
	// maxStarts is the number of starts after the third crash at which the rule is broken.
	maxStarts      = 3
	countedCrashes = 3
	// The job is watched for watchSteps times watchStep.
	watchStep  = 3 * time.Second
	watchSteps = 28
)

// deadly makes workers crash under a task and counts its starts.
type deadly struct {
	deployment *deployment
	job        string

	mu      sync.Mutex
	crashes int
	starts  []int // number of crashes before each start
}

// started notes that a worker has started a task, and lets the worker crash if it is the
// deadly one. The worker's mutex is held.
func (x *deadly) started(w *worker, task string) {
	if !strings.HasPrefix(task, x.job) {
		return
	}
	x.mu.Lock()
	x.starts = append(x.starts, x.crashes)
	x.mu.Unlock()
	time.AfterFunc(deadlyTime, func() {
		if w.stopped() {
			return
		}
		w.crash()
		x.mu.Lock()
		x.crashes++
		x.mu.Unlock()
		time.AfterFunc(returnTime, func() { x.deployment.restartWorker(w) })
	})
}

// restartWorker starts the next life of a worker, on the same machine.
func (d *deployment) restartWorker(old *worker) {
	select {
	case <-d.stop:
		return
	default:
	}
	w := newWorker(d, old.number)
	w.life = old.life + 1
	w.id = fmt.Sprintf("w-%d-%d", w.number, w.life)
	w.onStart = old.onStart
	d.mu.Lock()
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	d.record.add("worker %s: starts on the machine %s", w.id, w.machine)
	w.work()
}

// playDeadly hands in a job with one task that crashes each worker that starts it. It
// checks how often the task is started after three workers have crashed under it.
func playDeadly(rec *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	c, workers, err := startFleet(d)
	if err != nil {
		return false, err
	}
	x := &deadly{deployment: d, job: newJobID()}
	if hasTrouble {
		for _, w := range workers {
			w.mu.Lock()
			w.onStart = x.started
			w.mu.Unlock()
		}
	}
	body := `{"spec":"ms=4200 cpu=1000","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":4200}]}`
	if status := c.submit(x.job, body, time.Now().Add(10*time.Second)); status != http.StatusOK {
		return false, fmt.Errorf("the job was answered %d", status)
	}
	for range watchSteps {
		time.Sleep(watchStep)
		if _, state := c.state(x.job); !strings.Contains(state, "pending") && !strings.Contains(state, "running") {
			break
		}
		if x.startsAfterThird() > maxStarts {
			break
		}
	}
	after := x.startsAfterThird()
	x.mu.Lock()
	defer x.mu.Unlock()
	rec.add("the task was started %d times, %d workers crashed under it; %d starts after the third crash", len(x.starts), x.crashes, after)
	return after < maxStarts, nil
}

// startsAfterThird returns how often the task was started after three workers had crashed
// under it.
func (x *deadly) startsAfterThird() (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, crashes := range x.starts {
		if crashes >= countedCrashes {
			n++
		}
	}
	return n
}
