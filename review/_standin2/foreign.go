package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playForeign sends one heartbeat of another writer for each machine, which lacks fields
// that a worker's heartbeat includes. It checks that the jobs that are handed in before
// and after that are run by the sound workers.
func playForeign(rec *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	c, workers, err := startFleet(d)
	if err != nil {
		return false, err
	}
	const body = `{"spec":"ms=3000 cpu=1000","steps":[{"count":8,"cpu":1000,"mem_mb":64,"estimate_ms":3000}]}`
	var ids []string
	submit := func() {
		id := newJobID()
		if c.submit(id, body, time.Now().Add(5*time.Second)) == http.StatusOK {
			ids = append(ids, id)
		}
	}
	submit()
	time.Sleep(time.Second)
	if hasTrouble {
		for i := range workers {
			c.writeForeign(i)
		}
	}
	for range 3 {
		submit()
		time.Sleep(500 * time.Millisecond)
	}
	// finish_s after the end of the traffic, and 3 s.
	time.Sleep(17 * time.Second)
	completed := 0
	for _, id := range ids {
		if status, body := c.state(id); status == http.StatusOK && strings.Contains(body, "completed") {
			completed++
		}
	}
	rec.add("%d of %d accepted jobs are completed 17 s after the last was handed in", completed, len(ids))
	return completed == len(ids), nil
}

// writeForeign sends one heartbeat on a worker's machine that lacks the fields version,
// slots, cold_remaining_ms, clock_ms, running and finished, under a name of its own.
func (c *client) writeForeign(machine int) {
	body := fmt.Sprintf(`{"service":"pool","address":"127.77.3.%d:8080","zone":"z%d","state":"ready","capacity":{"cpu":8000,"mem_mb":32000,"gpu":0},"labels":["a"],"machine":"m-%d","sequence":1,"born":%d}`,
		machine+1, machine%4, machine, time.Now().UnixMilli())
	status, answer := send(c.http, http.MethodPut, c.deployment.controlOf(machine), "", fmt.Sprintf("/v1/instances/x-%d", machine), body, time.Second)
	c.record.add("another writer: PUT /v1/instances/x-%d %s: %d %s", machine, body, status, answer)
}
