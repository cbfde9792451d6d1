package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// configuration returns a configuration with one route. more is added to the route.
func configuration(more string) string {
	return `{"version":3,"routes":[{"name":"r-1","host":"` + host + `","path_prefix":"` + prefix + `","type":"non_idempotent","timeout_ms":3000,` +
		`"target_latency_ms":1200,"priority":0,"service":"` + service + `","max_attempts":3,"stretch":2.0` + more + `}],` +
		`"services":[{"name":"` + service + `","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"constraints":true,"standby":false}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
}

// playForeign: a heartbeat of another writer, with fields missing, arrives under the id
// of a worker that runs a task.
func playForeign() error {
	workers, err := deploy(configuration(""), "", 8, nil)
	if err != nil {
		return err
	}
	const job = "00000000000000f1"
	body := `{"spec":"work=20000","steps":[{"count":2,"cpu":1000,"mem_mb":256,"estimate_ms":20000}]}`
	if err := playing.submit(prefix, job, body); err != nil {
		return err
	}
	task := job + ".0.0.0"
	if err := waitFor("a run of the task", 10*time.Second, func() bool { return events.runningOn(task) != "" }); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var w *worker
	for _, x := range workers {
		if x.id == events.runningOn(task) {
			w = x
		}
	}
	if w == nil {
		return fmt.Errorf("the task does not run any more")
	}
	if trouble {
		foreign := map[string]any{}
		w.mu.Lock()
		for k, v := range w.lastBody {
			foreign[k] = v
		}
		foreign["sequence"], foreign["state"] = w.sequence+1000, "draining"
		w.mu.Unlock()
		for _, missing := range []string{"version", "slots", "labels", "cold_remaining_ms", "clock_ms", "running", "finished"} {
			delete(foreign, missing)
		}
		data, err := json.Marshal(foreign)
		if err != nil {
			return err
		}
		status, answer := call(http.MethodPut, "http://"+playing.nodes[3].control()+"/v1/instances/"+w.id, "", string(data), time.Second)
		record("another writer: PUT /v1/instances/%s %s: %d %s", w.id, data, status, answer)
	}
	time.Sleep(12 * time.Second)
	if _, text := events.overlap(job); text != "" {
		return broken("TWICE: %s", text)
	}
	return nil
}

// advisor is a stand-in for the advisor service. It gives tickets for some workers only,
// each for the life that the worker has then.
type advisor struct {
	mu    sync.Mutex
	lives map[string]int // of the eligible workers
	calls int
}

func (a *advisor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	in := struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}{}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(50*time.Millisecond + time.Duration(len(in.Workers))*time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	rows := [][]string{}
	for _, id := range in.Workers {
		if life := a.lives[id]; life > 0 {
			rows = append(rows, []string{id, fmt.Sprintf("%s/%s/%d", in.Step, id, life)})
		}
	}
	record("advisor: step %s, workers %v: eligible %v", in.Step, in.Workers, rows)
	_ = json.NewEncoder(rw).Encode(map[string]any{"eligible": rows})
}

// playTicket: the only worker that may run a step crashes and is back under its id. The
// ticket of its earlier life is not valid any more.
func playTicket() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a := &advisor{lives: map[string]int{"i-a102": 1}}
	server := &http.Server{Handler: a}
	background.Go(func() { _ = server.Serve(l) })
	defer func() { _ = server.Close() }()
	check := func(w *worker, step, ticket string) bool {
		return ticket == fmt.Sprintf("%s/%s/%d", step, w.id, w.life)
	}
	policy := `,"advisor":{"decision_ms":50,"per_worker_ms":1,"validity_ms":60000}`
	workers, err := deploy(configuration(policy), l.Addr().String(), 8, func(w *worker, _ int) { w.checkTicket = check })
	if err != nil {
		return err
	}
	const job = "00000000000000a1"
	body := `{"spec":"lasts","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":1000,"long_running":true}]}`
	if err := playing.submit(prefix, job, body); err != nil {
		return err
	}
	task := job + ".0.0.0"
	if err := waitFor("a run of the task", 15*time.Second, func() bool { return events.runningOn(task) != "" }); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		old := workers[2]
		old.crash()
		time.Sleep(4 * time.Second)
		a.mu.Lock()
		a.lives[old.id] = 2
		a.mu.Unlock()
		startWorker(&worker{
			id: old.id, machine: old.machine, zone: old.zone, labels: old.labels, cpu: old.cpu, memory: old.memory, c: old.c, life: 2, next: old.next, checkTicket: check,
		})
	}
	back := time.Now()
	// The rule excuses 6 s after the last run, and disruptions of the 4 s before the 3 s.
	for time.Since(back) < 20*time.Second {
		time.Sleep(100 * time.Millisecond)
		if time.Since(back) >= 8*time.Second && events.runningOn(task) != "" {
			return nil
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return broken("LOST: the task that lasts has not run for %.0f s since its worker is back and idle; the advisor was asked %d times", time.Since(back).Seconds(), a.calls)
}

// playFilling: the only worker without serving tasks, which runs a task that lasts and
// fills, crashes for good. The others have most of their room free.
func playFilling() error {
	workers, err := deploy(configuration(""), "", 8, func(w *worker, i int) {
		w.tail = func(*worker) int64 { return 14 }
		if i == 2 {
			w.labels = []string{"b", "r1-0"}
		}
	})
	if err != nil {
		return err
	}
	const serving, filling = "00000000000000c1", "00000000000000c2"
	body := `{"spec":"serves","steps":[{"count":7,"cpu":4000,"mem_mb":8000,"estimate_ms":1000,"long_running":true,"requires":"a","anti_affinity":1,"image":"web","target_ms":50}]}`
	if err := playing.submit(prefix, serving, body); err != nil {
		return err
	}
	if err := waitFor("all serving tasks", 10*time.Second, func() bool { return len(events.of(serving)) == 7 }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	body = `{"spec":"fills","steps":[{"count":1,"cpu":6000,"mem_mb":2000,"estimate_ms":1000,"long_running":true,"fills":true,"image":"batch"}]}`
	if err := playing.submit(prefix, filling, body); err != nil {
		return err
	}
	task := filling + ".0.0.0"
	if err := waitFor("a run of the filling task", 10*time.Second, func() bool { return events.runningOn(task) != "" }); err != nil {
		return err
	}
	if on := events.runningOn(task); on != workers[2].id {
		return fmt.Errorf("the filling task runs on %s", on)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		workers[2].crash()
	}
	lost := time.Now()
	for time.Since(lost) < 30*time.Second {
		time.Sleep(100 * time.Millisecond)
		// 6 s after its last run, and 3 s in which it may not run.
		if time.Since(lost) >= 10*time.Second && events.runningOn(task) != "" {
			record("the task runs %.1f s after the crash", time.Since(lost).Seconds())
			return nil
		}
	}
	return broken("LOST: the task that lasts has not run for %.0f s, and seven workers have 12 of 16 cores and 56 of 64 GB free", time.Since(lost).Seconds())
}

// playReplaced: one of the three machines with a disk is lost for good right after all
// have started for the first time, and another one takes its place at a new address.
func playReplaced() error {
	c, err := newCluster("")
	if err != nil {
		return err
	}
	playing = c
	lost := c.nodes[1]
	started := time.Now()
	for _, n := range []*node{lost, c.nodes[0], c.nodes[2], c.nodes[3]} {
		if err := n.start(true); err != nil {
			return err
		}
		record("machine %s starts", n.name)
		if n == lost && trouble {
			time.Sleep(100 * time.Millisecond)
			n.signal(syscall.SIGKILL)
			record("machine %s is lost for good", n.name)
		}
	}
	record("all were started within %d ms", time.Since(started).Milliseconds())
	if trouble {
		time.Sleep(2 * time.Second)
		next := &node{cluster: c, name: lost.name + "-new", ip: c.spareIP, zone: lost.zone, hasDisk: true}
		c.nodes[1] = next
		c.seeds = c.nodes[:3]
		if err := next.start(false); err != nil {
			return err
		}
		record("machine %s starts at a new address with an empty disk", next.name)
		for _, n := range []*node{c.nodes[0], c.nodes[2], c.nodes[3]} {
			if _, err := n.writeSettings(true); err != nil {
				return err
			}
			n.signal(syscall.SIGHUP)
		}
	}
	// contact_ms; the core is then stable.
	time.Sleep(4 * time.Second)
	stable := time.Now()
	for i := 0; time.Since(stable) < 25*time.Second; i++ {
		n := c.nodes[i%len(c.nodes)]
		status, _ := call(http.MethodPut, "http://"+n.control()+"/v1/config", "", configuration(""), time.Second)
		record("operator: PUT /v1/config at %s: %d", n.name, status)
		if status == http.StatusOK && time.Since(stable) < 4*time.Second {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	status, _ := call(http.MethodPost, "http://"+c.nodes[3].callers()+prefix+"00000000000000d1", host, `{"spec":"work=100","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":100}]}`, 3*time.Second)
	record("client: POST: %d", status)
	return broken("Acks: a valid configuration had no acknowledgement for %.0f s, ack_timeout_ms is 4 s", time.Since(stable).Seconds())
}

// playDropped: an operator removes routes, one after the other, while clients hand jobs
// in on them. Every job that was accepted has to run.
func playDropped() error {
	const routes, clients = 12, 8
	list := func(from int) string {
		var rows []string
		for i := from; i <= routes; i++ { // the last one stays
			rows = append(rows, fmt.Sprintf(`{"name":"r-%d","host":"%s","path_prefix":"/q%d/","type":"non_idempotent","timeout_ms":3000,"target_latency_ms":1200,"priority":0,"service":"%s","max_attempts":3,"stretch":2.0}`, i, host, i, service))
		}
		return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"%s","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"constraints":true,"standby":false}],"limits":{}}`,
			10+from, strings.Join(rows, ","), service)
	}
	if _, err := deploy(list(0), "", 8, nil); err != nil {
		return err
	}
	var mu sync.Mutex
	accepted := map[string]int{} // route by job
	statuses := map[int]int{}
	for route := range routes {
		sending := conc.NewWaitGroup()
		stop := make(chan struct{})
		for client := range clients {
			sending.Go(func() {
				n := playing.nodes[client%len(playing.nodes)]
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
					job := fmt.Sprintf("%04x%04x%08x", route+1, client+1, k)
					status, _ := call(http.MethodPost, fmt.Sprintf("http://%s/q%d/%s", n.callers(), route, job), host,
						`{"spec":"work=50","steps":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":50}]}`, 3*time.Second)
					record("client %d: POST /q%d/%s at %s: %d", client, route, job, n.name, status)
					mu.Lock()
					statuses[status]++
					if status == http.StatusOK {
						accepted[job] = route
					}
					mu.Unlock()
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		if trouble {
			if err := playing.configure(list(route + 1)); err != nil {
				return err
			}
		}
		time.Sleep(300 * time.Millisecond)
		close(stop)
		sending.Wait()
	}
	record("clients: answers by status: %v", statuses)
	// finish_s
	time.Sleep(14 * time.Second)
	var lost []string
	for job, route := range accepted {
		if len(events.of(job)) == 0 {
			lost = append(lost, job)
			record("job %s of route /q%d/ was accepted and has never begun", job, route)
		}
	}
	if len(lost) > 0 {
		return broken("LOST: %d of %d accepted jobs have not begun 14 s after the end of the traffic, the workers are idle", len(lost), len(accepted))
	}
	return nil
}
