package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playFields hands in jobs of legal size that are made of very many short fields, beside
// a service that runs. It checks that the service runs on and that ordinary jobs are
// taken and run.
func playFields(rec *record, hasTrouble bool) (bool, error) {
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
	var workers []*worker
	for i := range 8 {
		w := newWorker(d, i)
		defer w.crash()
		go w.work()
		workers = append(workers, w)
	}
	time.Sleep(2 * time.Second)
	if status := c.submit(newJobID(), `{"spec":"lasts cpu=2000","steps":[{"count":8,"cpu":2000,"mem_mb":64,"long_running":true}]}`, 5); status != http.StatusOK {
		return false, fmt.Errorf("the service was answered %d", status)
	}
	if !ordinaryJob(c, 10*time.Second) {
		return false, fmt.Errorf("an ordinary job was not run before the trouble")
	}
	if hasTrouble {
		n := 300
		if v, err := strconv.Atoi(os.Getenv("JOBS")); err == nil {
			n = v
		}
		body := manyFields(128)
		byStatus := submitCrowd(c, n, 8, body)
		rec.add("clients: %d jobs of %d bytes handed in; last answers by status: %v", n, len(body), byStatus)
	}
	isRun := true
	for range 3 {
		time.Sleep(2 * time.Second)
		isRun = ordinaryJob(c, 14*time.Second) && isRun
	}
	lapsed := 0
	for _, w := range workers {
		w.mu.Lock()
		lapsed += w.lapsed
		w.mu.Unlock()
	}
	kills := 0
	for _, nd := range d.nodes {
		rec.add("platform: machine %d: peak %d MB, killed %d times", nd.number, nd.peakKB>>10, nd.kills)
		kills += nd.kills
	}
	rec.add("%d runs lapsed, ordinary jobs run: %v", lapsed, isRun)
	return kills < 3 && isRun, nil
}

// manyFields returns a job of 2n steps, of which each of the later half depends on all of
// the earlier half. No worker has their label, so that none starts.
func manyFields(n int) string {
	var steps, depends []string
	for i := range n {
		steps = append(steps, `{"count":1,"cpu":1000,"requires":"b"}`)
		depends = append(depends, strconv.Itoa(i))
	}
	later := `{"count":1,"cpu":1000,"depends_on":[` + strings.Join(depends, ",") + `]}`
	for range n {
		steps = append(steps, later)
	}
	return `{"spec":"ms=300 cpu=1000","steps":[` + strings.Join(steps, ",") + `]}`
}

// submitCrowd hands n jobs in, from a number of clients with up to five attempts each,
// and returns how often each status was the last answer.
func submitCrowd(c *client, n, clients int, body string) map[int]int {
	work := make(chan struct{}, n)
	for range n {
		work <- struct{}{}
	}
	close(work)
	var mu sync.Mutex
	byStatus := map[int]int{}
	var group sync.WaitGroup
	for k := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for range work {
				id, status := newJobID(), 0
				for i := range 5 {
					status, _ = send(c.http, http.MethodPost, c.deployment.frontOf(k+i), routeHost, routePrefix+id, body, 3*time.Second)
					if status == http.StatusOK {
						break
					}
					time.Sleep(300 * time.Millisecond)
				}
				mu.Lock()
				byStatus[status]++
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	return byStatus
}
