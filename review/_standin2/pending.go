package main

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"time"
)

// playPending fills all workers but one with services, and then loses that one for good
// while short jobs arrive. No task of these jobs starts. It checks that the number of
// jobs that have not begun is not understated.
func playPending(rec *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	c := newClient(d)
	if err := c.configure(); err != nil {
		return false, err
	}
	const count = 8
	workers := d.startWorkers(count)
	time.Sleep(2 * time.Second)
	// One service a worker takes all of its CPU.
	service := fmt.Sprintf(`{"spec":"lasts cpu=8000","steps":[{"count":%d,"cpu":8000,"mem_mb":64,"long_running":true}]}`, count-1)
	if status := c.submit(newJobID(), service, time.Now().Add(10*time.Second)); status != http.StatusOK {
		return false, fmt.Errorf("the service was answered %d", status)
	}
	time.Sleep(3 * time.Second)
	var free *worker
	for _, w := range workers {
		w.mu.Lock()
		if len(w.running) == 0 {
			free = w
		}
		w.mu.Unlock()
	}
	if free == nil {
		return false, fmt.Errorf("no worker is free")
	}
	if hasTrouble {
		free.crash()
	}
	started := totalStarted(workers)
	accepted := 0
	for range 4 {
		if c.submit(newJobID(), `{"spec":"ms=300 cpu=1000","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":300}]}`, time.Now()) == http.StatusOK {
			accepted++
		}
		time.Sleep(50 * time.Millisecond)
	}
	// visible_ms and 2 s, and time for the leases of the lost worker.
	time.Sleep(8 * time.Second)
	held := true
	for i := range d.nodes {
		for range 3 {
			status, body := send(c.http, http.MethodGet, d.frontOf(i), routeHost, routePrefix, "", 3*time.Second)
			notBegun := accepted - (totalStarted(workers) - started)
			rec.add("client: GET %s at machine %d: %d %s; %d accepted jobs have not begun", routePrefix, i, status, body, notBegun)
			pending, err := pendingCount(body)
			if status != http.StatusOK || err != nil {
				return false, fmt.Errorf("no count at machine %d: %d %s", i, status, body)
			}
			held = held && 2*pending >= notBegun
			time.Sleep(500 * time.Millisecond)
		}
	}
	return held, nil
}

var countPattern = regexp.MustCompile(`"pending_count":(\d+)`)

func pendingCount(body string) (int, error) {
	m := countPattern.FindStringSubmatch(body)
	if m == nil {
		return 0, fmt.Errorf("no count in %q", body)
	}
	return strconv.Atoi(m[1])
}

// totalStarted returns the number of tasks that the workers have started.
func totalStarted(workers []*worker) (n int) {
	for _, w := range workers {
		w.mu.Lock()
		n += w.started
		w.mu.Unlock()
	}
	return n
}
