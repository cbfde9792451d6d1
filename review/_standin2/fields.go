package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
)

// Bounds of the rule on tasks that last: such a task has to run again within restartTime
// of its last run and neededTime more, while less than half of the capacity is in use.
const (
	restartTime = 6 * time.Second
	neededTime  = 3 * time.Second
)

const (
	fieldsJobs    = 300
	fieldsClients = 16
	// fieldsWidth steps, and as many that depend on all of these, make a body of 67 KB.
	fieldsWidth = 128
)

// playFields hands in jobs of legal size that are made of very many short fields, beside
// a service that runs. It checks that no task of the service stays away while there is
// capacity for it.
func playFields(rec *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	c, workers, err := startFleet(d)
	if err != nil {
		return false, err
	}
	const tasks = 8
	service := newJobID()
	body := fmt.Sprintf(`{"spec":"lasts cpu=2000","steps":[{"count":%d,"cpu":2000,"mem_mb":64,"estimate_ms":300,"long_running":true}]}`, tasks)
	if status := c.submit(service, body, time.Now().Add(10*time.Second)); status != http.StatusOK {
		return false, fmt.Errorf("the service was answered %d", status)
	}
	time.Sleep(2 * time.Second)
	watch := watchService(workers, service, tasks)
	if hasTrouble {
		c.submitCrowd(fieldsJobs, fieldsClients, manyFields(fieldsWidth))
	}
	time.Sleep(25 * time.Second)
	longest := watch()
	lapsed := 0
	for _, w := range workers {
		w.mu.Lock()
		lapsed += w.lapsed
		w.mu.Unlock()
	}
	rec.add("runs that lapsed: %d; longest absence of a task that lasts, from %v on with under half of the capacity in use: %v",
		lapsed, restartTime, longest.Round(time.Millisecond))
	return longest <= restartTime+neededTime, nil
}

// watchService watches the tasks of a service that lasts until the returned function is
// called, which returns the longest time since the end of a task's run in which under half
// of the capacity was in use all the while from restartTime on.
func watchService(workers []*worker, job string, tasks int) func() time.Duration {
	stop, done := make(chan struct{}), make(chan time.Duration, 1)
	group := conc.NewWaitGroup()
	group.Go(func() {
		longest := time.Duration(0)
		absentSince := make([]time.Time, tasks)
		for {
			select {
			case <-stop:
				done <- longest
				return
			case <-time.After(50 * time.Millisecond):
			}
			now := time.Now()
			used, capacity := int64(0), int64(0)
			isRunning := make([]bool, tasks)
			for _, w := range workers {
				w.mu.Lock()
				capacity += w.milliCPU
				for task, r := range w.running {
					used += r.sizeCPU
					for i := range tasks {
						if task == fmt.Sprintf("%s.0.0.%d", job, i) {
							isRunning[i] = true
						}
					}
				}
				w.mu.Unlock()
			}
			for i := range tasks {
				switch {
				case isRunning[i]:
					absentSince[i] = time.Time{}
				case absentSince[i].IsZero():
					absentSince[i] = now
				case now.Sub(absentSince[i]) > restartTime && 2*used >= capacity:
					absentSince[i] = now.Add(-restartTime) // the time begins anew
				default:
					longest = max(longest, now.Sub(absentSince[i]))
				}
			}
		}
	})
	return func() time.Duration {
		close(stop)
		group.Wait()
		return <-done
	}
}

// manyFields returns a job of 2n steps of one task, of which each of the later half depends
// on all of the earlier half.
func manyFields(n int) string {
	var steps, depends []string
	for i := range n {
		steps = append(steps, `{"count":1,"cpu":1000,"mem_mb":16,"estimate_ms":300}`)
		depends = append(depends, strconv.Itoa(i))
	}
	later := `{"count":1,"cpu":1000,"mem_mb":16,"estimate_ms":300,"depends_on":[` + strings.Join(depends, ",") + `]}`
	for range n {
		steps = append(steps, later)
	}
	return `{"spec":"ms=300 cpu=1000","steps":[` + strings.Join(steps, ",") + `]}`
}
