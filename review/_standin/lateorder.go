package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// evacuationRounds is how often the zone is taken back and evacuated again.
	evacuationRounds = 11
	// freezeTime is how long a machine stands still in each round.
	freezeTime = 2300 * time.Millisecond
	// watchTime is how long the starts in the zone are watched after evacuateTime.
	watchTime = 1500 * time.Millisecond
)

// playLateOrder freezes a machine of the core while it holds an order that ends an
// evacuation. The operator sends the order again to the next machine, then evacuates
// the zone once more, before the machine wakes. This is done several times.
func playLateOrder(c *cluster, trouble bool) (string, error) {
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
	leader := c.leader()
	if leader < 0 {
		return "", errCannotRun
	}
	c.workers.Go(func() {
		for c.workersCtx.Err() == nil {
			c.submit(c.addJob(stepSpec{Count: 18, CPU: 1000, Mem: 1000, Estimate: 500}), leader)
			time.Sleep(400 * time.Millisecond)
		}
	})
	const path, limit = "/v1/evacuate/zone-a", 4 * time.Second
	if !c.order(http.MethodPost, path, nil, leader, limit) {
		return "", errCannotRun
	}
	time.Sleep(evacuateTime)
	for round := range evacuationRounds {
		frozen := (leader + 1 + round%2) % len(c.nodes)
		if trouble {
			c.signal(c.nodes[frozen], syscall.SIGSTOP)
		}
		began := time.Now()
		if !c.order(http.MethodDelete, path, nil, frozen, limit) {
			return "", errCannotRun
		}
		time.Sleep(300 * time.Millisecond)
		if !c.order(http.MethodPost, path, nil, leader, limit) {
			return "", errCannotRun
		}
		acked := time.Now()
		c.logf("round %d: the evacuation of zone-a is acknowledged again", round)
		time.Sleep(time.Until(began.Add(freezeTime)))
		if trouble {
			c.signal(c.nodes[frozen], syscall.SIGCONT)
		}
		time.Sleep(time.Until(acked.Add(evacuateTime + watchTime)))
		if n := startsAfter(workers, "zone-a", acked.Add(evacuateTime)); n > 0 {
			return fmt.Sprintf("EVAC: %d tasks started in zone-a later than %v after its evacuation was acknowledged in round %d, which nobody has taken back",
				n, evacuateTime, round), nil
		}
	}
	return "", nil
}

// startsAfter counts the starts on the workers of a zone after a time.
func startsAfter(workers []*worker, zone string, at time.Time) (n int) {
	for _, w := range workers {
		if w.zone != zone {
			continue
		}
		w.mu.Lock()
		for _, e := range w.events {
			if e.how == "start" && e.at.After(at) {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}
