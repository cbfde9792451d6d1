package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

type stepSpec struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Mem          int64  `json:"mem_mb"`
	Estimate     int64  `json:"estimate_ms"`
	LongRunning  bool   `json:"long_running,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMillis int64  `json:"target_ms,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	Requires     string `json:"requires,omitempty"`
}

type jobSpec struct {
	ID    string     `json:"-"`
	Spec  string     `json:"spec"`
	Steps []stepSpec `json:"steps"`
}

// addJob gives a job an ID and makes it known to the workers.
func (c *cluster) addJob(steps ...stepSpec) *jobSpec {
	j := &jobSpec{ID: fmt.Sprintf("%016x", rand.Uint64()), Spec: "(text)", Steps: steps}
	c.jobsMu.Lock()
	defer c.jobsMu.Unlock()
	c.jobs[j.ID] = j
	return j
}

// call makes one request of a client at one node.
func (c *cluster) call(method, id string, n *node, body []byte, timeout time.Duration) reply {
	c.logf("client sends %s %s to %s", method, id, n.name)
	r := send(method, "http://"+c.front(n)+pathPrefix+id, hostName, body, timeout, map[string]string{"X-Deadline-Ms": fmt.Sprint(timeout.Milliseconds())})
	c.logf("client gets %d %s for %s %s from %s", r.status, strings.TrimSpace(string(r.body)), method, id, n.name)
	return r
}

// submit hands a job in, again at the next node while the outcome is not known, and
// reports whether it was accepted.
func (c *cluster) submit(j *jobSpec, first int) bool {
	body, _ := json.Marshal(j)
	for i := range 6 {
		r := c.call(http.MethodPost, j.ID, c.nodes[(first+i)%len(c.nodes)], body, 3*time.Second)
		if r.status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at several nodes until one answers.
func (c *cluster) state(j *jobSpec, first int) string {
	for i := range 6 {
		r := c.call(http.MethodGet, j.ID, c.nodes[(first+i)%len(c.nodes)], nil, 3*time.Second)
		x := struct {
			State string `json:"state"`
		}{}
		if r.status == http.StatusOK && json.Unmarshal(r.body, &x) == nil {
			return x.State
		}
		if r.status == http.StatusGone {
			return "gone"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}
