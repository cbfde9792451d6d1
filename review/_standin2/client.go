package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
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

// submit hands a job in, at most tries times, and returns the last status.
func (c *client) submit(id, body string, tries int) int {
	status := 0
	for i := range tries {
		status, _ = send(c.http, http.MethodPost, c.deployment.frontOf(i), routeHost, routePrefix+id, body, 3*time.Second)
		c.record.add("client: POST %s (%d bytes) at machine %d: %d", id, len(body), i%len(c.deployment.nodes), status)
		if status/100 == 2 || status/100 == 4 && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
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
