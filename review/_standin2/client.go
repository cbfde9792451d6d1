package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	routeHost   = "h.example"
	routePrefix = "/q/"
)

const configuration = `{"version":1,"routes":[{"name":"r1","host":"h.example","path_prefix":"/q/","type":"non_idempotent","timeout_ms":3000,"target_latency_ms":1200,"priority":0,"service":"pool","max_attempts":3,"stretch":1.5}],"services":[{"name":"pool","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"constraints":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// client is a caller of the system, and its operator.
type client struct {
	deployment *deployment
	record     *record
	http       *http.Client
}

func newClient(d *deployment) *client {
	return &client{deployment: d, record: d.record, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// configure stores the configuration, and waits until it is in force at all machines.
func (c *client) configure() error {
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		status, _ := send(c.http, http.MethodPut, c.deployment.controlOf(i), "", "/v1/config", configuration, time.Second)
		c.record.add("operator: PUT /v1/config at machine %d: %d", i%len(c.deployment.nodes), status)
		if status == http.StatusOK {
			time.Sleep(2 * time.Second)
			return c.deployment.endFirstStart()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, at one machine after the other, until it is accepted, refused for
// good or time is over. It returns the last status.
func (c *client) submit(id, body string, until time.Time) int {
	status := 0
	for i := 0; i == 0 || time.Now().Before(until); i++ {
		status, _ = send(c.http, http.MethodPost, c.deployment.frontOf(i), routeHost, routePrefix+id, body, 3*time.Second)
		c.record.add("client: POST %s (%d bytes) at machine %d: %d", id, len(body), i%len(c.deployment.nodes), status)
		if status/100 == 2 || status/100 == 4 && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

// ordinaryJob hands in a job of four short tasks and reports whether it is completed in
// time.
func (c *client) ordinaryJob(limit time.Duration) bool {
	const body = `{"spec":"ms=300 cpu=500","steps":[{"count":4,"cpu":500,"mem_mb":64,"estimate_ms":300}]}`
	id, until := newJobID(), time.Now().Add(limit)
	if c.submit(id, body, until) != http.StatusOK {
		return false
	}
	for time.Now().Before(until) {
		if status, body := c.state(id); status == http.StatusOK && strings.Contains(body, "completed") {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// Of a crowd: the number of attempts for each job, and when its clients stop.
const (
	crowdAttempts = 5
	crowdTime     = 45 * time.Second
)

// submitCrowd hands n jobs in from a number of clients, and returns how often each status
// was the last answer.
func (c *client) submitCrowd(n, clients int, body string) map[int]int {
	until := time.Now().Add(crowdTime)
	work := make(chan struct{}, n)
	for range n {
		work <- struct{}{}
	}
	close(work)
	var mu sync.Mutex
	byStatus := map[int]int{}
	group := conc.NewWaitGroup()
	for k := range clients {
		group.Go(func() {
			for range work {
				id, status := newJobID(), 0
				for i := 0; i < crowdAttempts && time.Now().Before(until); i++ {
					status, _ = send(c.http, http.MethodPost, c.deployment.frontOf(k+i), routeHost, routePrefix+id, body, 3*time.Second)
					c.record.add("client %d of the crowd: POST %s (%d bytes) at machine %d: %d", k, id, len(body), (k+i)%len(c.deployment.nodes), status)
					if status == http.StatusOK {
						break
					}
					time.Sleep(300 * time.Millisecond)
				}
				mu.Lock()
				byStatus[status]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	c.record.add("the crowd: %d jobs of %d bytes handed in by %d clients; last answers by status (0: none): %v", n, len(body), clients, byStatus)
	return byStatus
}

// state asks each machine for the state of a job until one answers.
func (c *client) state(id string) (int, string) {
	status, body := 0, ""
	for i := range c.deployment.nodes {
		status, body = send(c.http, http.MethodGet, c.deployment.frontOf(i), routeHost, routePrefix+id, "", 3*time.Second)
		c.record.add("client: GET %s at machine %d: %d %s", id, i, status, body)
		if status == http.StatusOK || status == http.StatusGone {
			break
		}
	}
	return status, body
}
