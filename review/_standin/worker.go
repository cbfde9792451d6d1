package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for one life of a worker that guards its capacity. It carries out
// starts and stops and keeps leases, as the pages say.
type worker struct {
	c                                *cluster
	id, machine, service, zone, rack string
	kind                             string // label that names its kind
	address                          string
	born                             int64
	cpu, mem                         int64
	wake                             chan struct{} // receives when a run has ended

	mu         sync.Mutex
	crashed    bool
	state      string
	sequence   int
	url        string // address for the next heartbeat, empty if any node will do
	next       int    // node that is called next
	fence      int64  // highest fencing token seen
	leaseUntil time.Time
	runs       map[string]*run // by task
	highest    map[string]int  // highest run that was stopped or has ended, by task
	ends       []end           // not yet acknowledged
	endCount   int
	events     []event
	beats      int // answers that acknowledged a heartbeat
	tooLarge   int // answers over maxAnswerBytes
}

// run is a run of a task on a worker.
type run struct {
	task     string
	number   int
	saved    string
	began    time.Time
	length   time.Duration
	lasts    bool
	stopAt   time.Time
	cpu, mem int64
}

// end is the end of a run that the worker lists until it is acknowledged.
type end struct {
	number int
	task   string
	run    int
	how    string
	saved  string
}

// event is a start or an end of a run.
type event struct {
	at   time.Time
	task string
	run  int
	how  string
}

func (c *cluster) newWorker(i int, zone string, cpu int64) *worker {
	return &worker{
		c: c, id: fmt.Sprintf("i-%02d%08x", i, rand.Uint32()), machine: fmt.Sprintf("m-%05x", i+1), service: serviceName, zone: zone,
		rack: "r1-" + strconv.Itoa(i%3+1), address: fmt.Sprintf("127.9.%d.%d:8080", rand.IntN(250), i+1), born: time.Now().UnixMilli(),
		cpu: cpu, mem: 64000, state: "ready", kind: "a", runs: map[string]*run{}, highest: map[string]int{}, wake: make(chan struct{}, 1), next: i,
	}
}

func (w *worker) run() {
	w.c.workers.Go(func() {
		for w.c.workersCtx.Err() == nil && !w.isCrashed() {
			w.tick(time.Now())
			time.Sleep(10 * time.Millisecond)
		}
	})
	w.c.workers.Go(func() {
		for w.c.workersCtx.Err() == nil && !w.isCrashed() {
			wait := w.beat()
			select {
			case <-time.After(wait):
			case <-w.wake:
				time.Sleep(50 * time.Millisecond)
			case <-w.c.workersCtx.Done():
			}
		}
	})
}

// tick ends the runs that are done, stopped or without a lease.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return
	}
	for _, r := range w.runs {
		switch {
		case now.After(w.leaseUntil):
			w.finish(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.finish(r, "stopped")
		case !r.lasts && now.Sub(r.began) >= r.length:
			w.finish(r, "done")
		}
	}
}

func (w *worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.addEnd(r.task, r.number, how, r.saved)
}

func (w *worker) addEnd(task string, number int, how, saved string) {
	w.highest[task] = max(w.highest[task], number)
	w.endCount++
	w.ends = append(w.ends, end{w.endCount, task, number, how, saved})
	w.events = append(w.events, event{time.Now(), task, number, how})
	w.c.logf("worker %s ends %s run %d: %s", w.id, task, number, how)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// report returns the body of the next heartbeat.
func (w *worker) report(now time.Time) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	running := [][]any{}
	for _, r := range w.runs {
		percent, metric := 100, int64(5)
		if !r.lasts {
			percent, metric = min(99, int(100*now.Sub(r.began)/max(1, r.length))), r.cpu
		} else if now.Sub(r.began) < 300*time.Millisecond {
			percent = 50
		} else {
			metric = serviceTail(now.Sub(r.began))
		}
		running = append(running, []any{r.task, r.number, r.saved, percent, metric})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	finished := [][]any{}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	data, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "cold_remaining_ms": 0,
		"machine": w.machine, "capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": []string{w.kind, w.rack},
		"clock_ms": now.UnixMilli() - w.born, "sequence": w.sequence, "born": w.born, "running": running, "finished": finished,
	})
	return data
}

// maxAnswerBytes is the size up to which an answer acknowledges a heartbeat.
const maxAnswerBytes = 4 << 20

type beatReply struct {
	Hold  *int64  `json:"hold_ms"`
	Acked int     `json:"acked_through"`
	Fence int64   `json:"fencing_token"`
	Retry int     `json:"retry_ms"`
	URL   string  `json:"heartbeat_url"`
	Start [][]any `json:"start"`
	Stop  [][]any `json:"stop"`
}

// beat sends one heartbeat, carries the orders out and returns the time until the
// next one.
func (w *worker) beat() time.Duration {
	sent := time.Now()
	body := w.report(sent)
	target := w.url
	if target == "" {
		target = w.c.control(w.c.nodes[w.next%len(w.c.nodes)])
		w.next++
	}
	r := send(http.MethodPut, "http://"+target+"/v1/instances/"+w.id, "", body, time.Second, nil)
	if len(r.body) > maxAnswerBytes {
		w.tooLarge++
		w.c.logf("worker %s gets an answer of %d bytes, which is too large to acknowledge its heartbeat", w.id, len(r.body))
	}
	if r.status != http.StatusOK || time.Since(sent) > time.Second || len(r.body) > maxAnswerBytes {
		w.url = ""
		return 20 * time.Millisecond
	}
	x := beatReply{}
	if json.Unmarshal(r.body, &x) != nil {
		return 20 * time.Millisecond
	}
	if x.URL != "" {
		w.url = x.URL
	}
	w.obey(&x, sent)
	if x.Retry > 0 {
		return time.Duration(x.Retry) * time.Millisecond
	}
	return heartbeatMillis * time.Millisecond
}

func (w *worker) obey(x *beatReply, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed || x.Fence < w.fence {
		return
	}
	w.fence = x.Fence
	w.beats++
	for len(w.ends) > 0 && w.ends[0].number <= x.Acked {
		w.ends = w.ends[1:]
	}
	if x.Hold != nil {
		until := sent.Add(time.Duration(min(*x.Hold, maxHoldMillis)) * time.Millisecond)
		if until.After(w.leaseUntil) {
			w.leaseUntil = until
		}
		for _, row := range x.Start {
			w.startRun(row)
		}
	}
	for _, row := range x.Stop {
		task, number := row[0].(string), int(row[1].(float64))
		w.highest[task] = max(w.highest[task], number)
		if r := w.runs[task]; r != nil && r.number == number && r.stopAt.IsZero() {
			w.c.logf("worker %s is told to stop %s run %d", w.id, task, number)
			r.stopAt = time.Now().Add(stopTimeout / 4)
		}
	}
}

func (w *worker) startRun(row []any) {
	task, number, saved := row[0].(string), int(row[1].(float64)), row[3].(string)
	if r := w.runs[task]; r != nil && r.number == number {
		return
	}
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[2])
	w.c.jobsMu.Lock()
	j := w.c.jobs[parts[0]]
	w.c.jobsMu.Unlock()
	if j == nil || number <= w.highest[task] {
		w.addEnd(task, number, "refused", "")
		return
	}
	s := &j.Steps[step]
	cpu, mem := s.CPU, s.Mem
	if s.Fills {
		cpu = 0
	}
	committed := cpu
	for _, r := range w.runs {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	if cpu > w.cpu || mem > w.mem {
		w.addEnd(task, number, "refused", "")
		return
	}
	w.runs[task] = &run{
		task: task, number: number, saved: saved, began: time.Now(), length: time.Duration(s.Estimate) * time.Millisecond, lasts: s.LongRunning, cpu: committed, mem: s.Mem,
	}
	w.events = append(w.events, event{time.Now(), task, number, "start"})
	w.c.jobsMu.Lock()
	w.c.started[j.ID] = true
	w.c.jobsMu.Unlock()
	w.c.logf("worker %s (%s) starts %s run %d, fencing token %d", w.id, w.zone, task, number, w.fence)
}

// crash ends the worker without a word.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = true
}

func (w *worker) isCrashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

// runCount returns the number of runs.
func (w *worker) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// serviceTail returns the tail of the response times of a task that serves, in
// milliseconds. Its load is a quarter at first and about a half later.
func serviceTail(age time.Duration) int64 {
	if age < 3*time.Second {
		return 33
	}
	return 48
}
