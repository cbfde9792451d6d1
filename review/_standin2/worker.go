package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a sound worker. A task runs for the time that its specification names:
// "ms=640" for 640 ms, "lasts" until it is stopped.
type worker struct {
	deployment *deployment
	record     *record
	// onStart is called when a task has been started, with mu held. It may be nil.
	onStart  func(w *worker, task string)
	number   int // of its machine
	life     int // on its machine, from zero
	id       string
	machine  string
	zone     string
	rack     string
	milliCPU int64
	memMB    int64

	mu       sync.Mutex
	born     int64
	sequence int64
	fence    uint64
	lease    time.Time
	running  map[string]*run
	seen     map[string]uint64 // highest attempt that was started or stopped here
	finished [][]any
	ends     uint64 // number of the last end
	wake     chan struct{}
	done     chan struct{}
	isDead   bool
	started  int // tasks
	lapsed   int // runs
	client   *http.Client
}

// run is a task at work.
type run struct {
	task    string
	attempt uint64
	begun   time.Time
	length  time.Duration // zero: until it is stopped
	sizeCPU int64
}

func newWorker(d *deployment, number int) *worker {
	return &worker{
		deployment: d, record: d.record, number: number, id: fmt.Sprintf("w-%d", number), machine: fmt.Sprintf("m-%d", number), zone: fmt.Sprintf("z%d", number%4),
		rack: fmt.Sprintf("r1-%d", number/4), milliCPU: 8000, memMB: 32000, born: time.Now().UnixMilli(),
		running: map[string]*run{}, seen: map[string]uint64{}, finished: [][]any{}, wake: make(chan struct{}, 1), done: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// startWorkers starts n workers. They end with the deployment.
func (d *deployment) startWorkers(n int) []*worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range n {
		w := newWorker(d, i)
		d.workers = append(d.workers, w)
		d.wait.Go(w.work)
	}
	return slices.Clone(d.workers)
}

// crash ends the worker silently.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDead {
		return
	}
	w.isDead = true
	w.record.add("worker %s: crashes, with %d tasks", w.id, len(w.running))
	close(w.done)
}

func (w *worker) stopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isDead
}

// heartbeat is what a worker says of itself.
func (w *worker) heartbeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.sequence++
	running := [][]any{}
	for _, r := range w.running {
		percent := 100
		if r.length > 0 {
			percent = min(99, int(100*now.Sub(r.begun)/r.length))
		} else if now.Sub(r.begun) < 300*time.Millisecond {
			percent = 50
		}
		running = append(running, []any{r.task, r.attempt, "", percent, 3})
	}
	body, err := json.Marshal(map[string]any{
		"service": "pool", "address": "127.77.2.1:8080", "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": w.milliCPU, "mem_mb": w.memMB, "gpu": 0}, "labels": []string{"a", w.rack}, "machine": w.machine,
		"clock_ms": now.UnixMilli() - w.born, "sequence": w.sequence, "born": w.born, "running": running, "finished": w.finished[:min(500, len(w.finished))],
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return body
}

// orders is the response to a heartbeat.
type orders struct {
	HoldMS       int64   `json:"hold_ms"`
	AckedThrough uint64  `json:"acked_through"`
	Fence        uint64  `json:"fencing_token"`
	Start        [][]any `json:"start"`
	Stop         [][]any `json:"stop"`
	RetryMS      int64   `json:"retry_ms"`
	URL          string  `json:"heartbeat_url"`
}

// work sends heartbeats and carries out orders until the worker crashes.
func (w *worker) work() {
	address, next := "", 0
	for !w.stopped() {
		if address == "" {
			address = w.deployment.controlOf(next)
			next++
		}
		sent := time.Now()
		status, text := send(w.client, http.MethodPut, address, "", "/v1/instances/"+w.id, string(w.heartbeat()), time.Second)
		if w.stopped() {
			return
		}
		pause := 1500 * time.Millisecond
		o := &orders{}
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(text), o) == nil:
			w.carryOut(o, sent)
			if o.RetryMS > 0 {
				pause = time.Duration(o.RetryMS) * time.Millisecond
			}
			if o.URL != "" {
				address = o.URL
			}
		default:
			address, pause = "", 100*time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-w.wake:
			time.Sleep(50 * time.Millisecond)
		case <-w.done:
			return
		}
	}
}

func (w *worker) carryOut(o *orders, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence || w.isDead {
		return
	}
	w.fence = o.Fence
	for len(w.finished) > 0 && w.finished[0][0].(uint64) <= o.AckedThrough {
		w.finished = w.finished[1:]
	}
	if o.HoldMS > 0 {
		if lease := sent.Add(time.Duration(min(o.HoldMS, 10_000)) * time.Millisecond); lease.After(w.lease) {
			w.lease = lease
			time.AfterFunc(time.Until(lease), w.checkLease)
		}
	}
	for _, row := range o.Stop {
		w.end(row[0].(string), uint64(row[1].(float64)), "stopped")
	}
	if o.HoldMS == 0 {
		return
	}
	for _, row := range o.Start {
		w.start(row[0].(string), uint64(row[1].(float64)), row[2].(string))
	}
}

// start begins a task. w.mu must be held.
func (w *worker) start(task string, attempt uint64, spec string) {
	if r := w.running[task]; r != nil && r.attempt == attempt {
		return
	}
	if attempt <= w.seen[task] {
		return
	}
	w.seen[task] = attempt
	var free int64 = w.milliCPU
	for _, r := range w.running {
		free -= r.sizeCPU
	}
	r := &run{task: task, attempt: attempt, begun: time.Now()}
	for _, field := range strings.Fields(spec) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "ms":
			r.length = time.Duration(n) * time.Millisecond
		case "cpu":
			r.sizeCPU = n
		}
	}
	if r.sizeCPU > free {
		w.record.add("worker %s: refuses %s run %d", w.id, task, attempt)
		w.list(task, attempt, "refused")
		return
	}
	w.started++
	w.running[task] = r
	w.record.add("worker %s: starts %s run %d", w.id, task, attempt)
	if w.onStart != nil {
		w.onStart(w, task)
	}
	if r.length > 0 {
		time.AfterFunc(r.length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[task] == r && !w.isDead {
				w.end(task, attempt, "done")
			}
		})
	}
}

// end ends a run, if there is such a one. w.mu must be held.
func (w *worker) end(task string, attempt uint64, how string) {
	w.seen[task] = max(w.seen[task], attempt)
	r := w.running[task]
	if r == nil || r.attempt != attempt {
		return
	}
	delete(w.running, task)
	w.record.add("worker %s: %s run %d ends %s", w.id, task, attempt, how)
	w.list(task, attempt, how)
}

// list adds an end to the list. w.mu must be held.
func (w *worker) list(task string, attempt uint64, how string) {
	w.ends++
	w.finished = append(w.finished, []any{w.ends, task, attempt, how, ""})
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// checkLease ends all runs if the lease has expired.
func (w *worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDead || time.Now().Before(w.lease) {
		return
	}
	for task, r := range w.running {
		w.lapsed++
		w.end(task, r.attempt, "lapsed")
	}
}
