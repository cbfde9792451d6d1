package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxHold is the longest lease that a worker accepts.
const maxHold = 6 * time.Second

// run is a run of a task on a worker.
type run struct {
	task    string
	attempt uint64
	started time.Time
	// work is how long the run takes, zero if it lasts until it is stopped.
	work   time.Duration
	serves bool // reports a tail latency
	pace   int
}

// worker is a stand-in for a worker of the users. It sends heartbeats, obeys the orders
// in the responses and keeps leases on its own clock, as the pages say.
type worker struct {
	id, machine, zone string
	labels            []string
	cpu, memory       int64
	born              int64
	life              int
	c                 *cluster
	// checkTicket reports whether a ticket is valid for a step. Nil: none is needed.
	checkTicket func(w *worker, step, ticket string) bool
	// tail returns the tail latency of a serving task in milliseconds.
	tail func(w *worker) int64

	mu       sync.Mutex
	sequence int64
	token    uint64
	target   string // address for the next heartbeat
	next     int    // node to try if target is empty
	lease    time.Time
	runs     map[string]*run // by task
	highest  map[string]uint64
	ends     [][]any
	ended    int
	dead     bool
	wake     chan struct{}
	done     chan struct{}
	lastBody map[string]any
}

// startWorker starts a life of a worker.
func startWorker(w *worker) *worker {
	w.born = time.Now().UnixMilli()
	w.runs, w.highest, w.wake, w.done = map[string]*run{}, map[string]uint64{}, make(chan struct{}, 1), make(chan struct{})
	record("worker %s: life %d starts on machine %s", w.id, w.life, w.machine)
	background.Go(w.watchRuns)
	background.Go(w.sendHeartbeats)
	return w
}

// crash ends the life of the worker at once: it runs nothing and sends nothing any more.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	for _, r := range w.runs {
		events.end(w, r, "crashed")
	}
	w.runs = map[string]*run{}
	record("worker %s: crashes", w.id)
	close(w.done)
}

// end lists the end of a run. w.mu must be held.
func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ended++
	w.ends = append(w.ends, []any{w.ended, r.task, r.attempt, how, ""})
	events.end(w, r, how)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// watchRuns ends the runs whose work is done, and all when the lease expires.
func (w *worker) watchRuns() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		now := time.Now()
		w.mu.Lock()
		for _, r := range w.runs {
			switch {
			case now.After(w.lease):
				w.end(r, "lapsed")
			case r.work > 0 && now.Sub(r.started) >= r.work:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// body returns the next heartbeat.
func (w *worker) body() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	running, finished := [][]any{}, w.ends
	for _, r := range w.runs {
		percent, figure := 100, int64(0)
		if r.work > 0 {
			percent = int(100 * time.Since(r.started) / r.work)
		} else if time.Since(r.started) < 300*time.Millisecond {
			percent = 50
		}
		if r.serves && w.tail != nil {
			figure = w.tail(w)
		} else if !r.serves {
			figure = int64(r.pace) * 10
		}
		running = append(running, []any{r.task, r.attempt, "", min(percent, 100), figure})
	}
	if finished == nil {
		finished = [][]any{}
	}
	w.lastBody = map[string]any{
		"service": service, "address": "127.0.0.1:9", "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0}, "labels": w.labels, "clock_ms": time.Now().UnixMilli() - w.born,
		"sequence": w.sequence, "born": w.born, "machine": w.machine, "running": running, "finished": finished,
	}
	return w.lastBody
}

// reply is the response to a heartbeat.
type reply struct {
	Token uint64  `json:"fencing_token"`
	Hold  int64   `json:"hold_ms"`
	Acked int     `json:"acked_through"`
	Retry int64   `json:"retry_ms"`
	URL   string  `json:"heartbeat_url"`
	Start [][]any `json:"start"`
	Stop  [][]any `json:"stop"`
	Rate  [][]any `json:"rate"`
}

// sendHeartbeats sends heartbeats until the life ends.
func (w *worker) sendHeartbeats() {
	for {
		body, err := json.Marshal(w.body())
		if err != nil {
			return
		}
		w.mu.Lock()
		address := w.target
		if address == "" {
			address = w.c.nodes[w.next%len(w.c.nodes)].control()
		}
		w.mu.Unlock()
		sent := time.Now()
		status, data := call(http.MethodPut, "http://"+address+"/v1/instances/"+w.id, "", string(body), time.Second)
		wait := 50 * time.Millisecond
		answer := &reply{}
		switch {
		case status == http.StatusOK && json.Unmarshal(data, answer) == nil:
			w.obey(answer, sent)
			wait = 1500 * time.Millisecond
			if answer.Retry > 0 {
				wait = time.Duration(answer.Retry) * time.Millisecond
			}
		default:
			w.mu.Lock()
			w.target = ""
			w.next++
			w.mu.Unlock()
		}
		select {
		case <-w.done:
			return
		case <-w.wake:
			time.Sleep(50 * time.Millisecond)
		case <-time.After(wait):
		}
	}
}

// obey carries out the orders in a response to a heartbeat that was sent at sent.
func (w *worker) obey(a *reply, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	if a.URL != "" {
		w.target = a.URL
	}
	if a.Token < w.token {
		return
	}
	w.token = a.Token
	for len(w.ends) > 0 && w.ends[0][0].(int) <= a.Acked {
		w.ends = w.ends[1:]
	}
	for _, row := range a.Stop {
		task, attempt := row[0].(string), uint64(row[1].(float64))
		record("worker %s: stop %s run %d", w.id, task, attempt)
		w.highest[task] = max(w.highest[task], attempt)
		if r := w.runs[task]; r != nil && r.attempt == attempt {
			w.end(r, "stopped")
		}
	}
	for _, row := range a.Rate {
		if r := w.runs[row[0].(string)]; r != nil && r.attempt == uint64(row[1].(float64)) {
			record("worker %s: rate %s run %d: %d", w.id, r.task, r.attempt, int(row[2].(float64)))
			r.pace = int(row[2].(float64))
		}
	}
	if a.Hold == 0 {
		return
	}
	if end := sent.Add(min(maxHold, time.Duration(a.Hold)*time.Millisecond)); end.After(w.lease) {
		w.lease = end
	}
	for _, row := range a.Start {
		w.startRun(row)
	}
}

// startRun starts a run, or lists it as refused. w.mu must be held.
func (w *worker) startRun(row []any) {
	task, attempt, spec, ticket := row[0].(string), uint64(row[1].(float64)), row[2].(string), ""
	if len(row) > 4 {
		ticket = row[4].(string)
	}
	r := &run{task: task, attempt: attempt, started: time.Now(), pace: 100, serves: strings.Contains(spec, "serves")}
	if i := strings.Index(spec, "work="); i >= 0 {
		n, _ := strconv.Atoi(spec[i+len("work="):])
		r.work = time.Duration(n) * time.Millisecond
	}
	if old := w.runs[task]; old != nil && old.attempt == attempt {
		return // it runs already
	}
	step := task[:strings.LastIndex(task, ".")]
	if attempt <= w.highest[task] || w.runs[task] != nil || w.checkTicket != nil && !w.checkTicket(w, step, ticket) {
		record("worker %s: start %s run %d ticket %q is rejected", w.id, task, attempt, ticket)
		w.end(r, "refused")
		return
	}
	w.runs[task] = r
	events.start(w, r)
}

// event is a run of a task as the workers saw it.
type event struct {
	task, worker string
	attempt      uint64
	life         int
	from, to     time.Time // to is zero while it runs
	how          string
}

// eventLog holds what the workers ran.
type eventLog struct {
	mu  sync.Mutex
	all []*event
}

var events eventLog

func (l *eventLog) start(w *worker, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, &event{task: r.task, worker: w.id, attempt: r.attempt, life: w.life, from: r.started})
	record("worker %s: run %d of %s starts", w.id, r.attempt, r.task)
}

func (l *eventLog) end(w *worker, r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.all {
		if e.task == r.task && e.worker == w.id && e.attempt == r.attempt && e.life == w.life && e.to.IsZero() {
			e.to, e.how = time.Now(), how
		}
	}
	record("worker %s: run %d of %s ends %s", w.id, r.attempt, r.task, how)
}

// of returns copies of the runs of a job.
func (l *eventLog) of(job string) []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []event
	for _, e := range l.all {
		if strings.HasPrefix(e.task, job+".") {
			out = append(out, *e)
		}
	}
	return out
}

// runningOn returns the worker that runs a task, empty if none does.
func (l *eventLog) runningOn(task string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.all {
		if e.task == task && e.to.IsZero() {
			return e.worker
		}
	}
	return ""
}

// overlap returns the longest time for which two runs of one task were at work together.
func (l *eventLog) overlap(job string) (longest time.Duration, text string) {
	all, now := l.of(job), time.Now()
	for i := range all {
		for k := i + 1; k < len(all); k++ {
			a, b := &all[i], &all[k]
			if a.task != b.task {
				continue
			}
			from, to := a.from, now
			if b.from.After(from) {
				from = b.from
			}
			for _, e := range []*event{a, b} {
				if !e.to.IsZero() && e.to.Before(to) {
					to = e.to
				}
			}
			if d := to.Sub(from); d > longest {
				longest, text = d, fmt.Sprintf("run %d on %s and run %d on %s of %s were at work together for %d ms", a.attempt, a.worker, b.attempt, b.worker, a.task, d.Milliseconds())
			}
		}
	}
	return longest, text
}
