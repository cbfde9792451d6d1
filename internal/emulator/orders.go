package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/carobrock/carobrock"
)

// throttleRequest is the body of POST /v1/tasks/{id}/throttle.
type throttleRequest struct {
	carobrock.AttemptRef
	// Share is the share of the full speed, above 0 and at most 1.
	Share float64 `json:"share"`
}

func (w *Worker) ordersHandler() http.Handler {
	r := httprouter.New()
	r.PUT("/v1/tasks/:id", w.handleStart)
	r.POST("/v1/tasks/:id/checkpoint", w.handleAttempt((*attempt).save))
	r.POST("/v1/tasks/:id/stop", w.handleAttempt(func(a *attempt) { a.end(carobrock.ReportStopped, "stopped on order") }))
	r.POST("/v1/tasks/:id/throttle", w.handleThrottle)
	r.GET("/v1/state", w.handleState)
	return r
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request, p httprouter.Params) {
	o := &carobrock.StartOrder{}
	if err := json.NewDecoder(r.Body).Decode(o); err != nil || o.Spec.ID != p.ByName("id") {
		http.Error(rw, "the order is not valid", http.StatusBadRequest)
		return
	}
	if err := w.start(o, time.Now()); err != nil {
		http.Error(rw, err.Error(), http.StatusConflict)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

// start begins an attempt, or says why it must not.
func (w *Worker) start(o *carobrock.StartOrder, now time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	ref := carobrock.AttemptRef{ID: o.Spec.ID, Attempt: o.Attempt}
	switch {
	case o.Incarnation != w.Incarnation:
		return fmt.Errorf("the order is for incarnation %s", o.Incarnation)
	case w.attempts[ref] != nil:
		return nil
	case o.Attempt <= w.newest[o.Spec.ID]:
		return fmt.Errorf("attempt %d is not newer than attempt %d", o.Attempt, w.newest[o.Spec.ID])
	case w.millis(now) > o.QuotedMillis+o.StartWithinMillis:
		return fmt.Errorf("the order came too late")
	}
	if lease := w.started.Add(time.Duration(o.QuotedMillis+o.LeaseMillis) * time.Millisecond); lease.After(w.leaseEnd) {
		w.leaseEnd = lease
	}
	w.newest[o.Spec.ID] = o.Attempt
	w.attempts[ref] = newAttempt(o, now)
	return nil
}

// handleAttempt carries out an order about a running attempt. An order about an
// attempt that is not here is refused.
func (w *Worker) handleAttempt(do func(a *attempt)) httprouter.Handle {
	return func(rw http.ResponseWriter, r *http.Request, p httprouter.Params) {
		ref := carobrock.AttemptRef{}
		if err := json.NewDecoder(r.Body).Decode(&ref); err != nil || ref.ID != p.ByName("id") {
			http.Error(rw, "the order is not valid", http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		a := w.attempts[ref]
		if a == nil {
			http.Error(rw, "the attempt is not here", http.StatusNotFound)
			return
		}
		if !w.Faults.IgnoreStops.Load() {
			do(a)
		}
		rw.WriteHeader(http.StatusNoContent)
	}
}

func (w *Worker) handleThrottle(rw http.ResponseWriter, r *http.Request, p httprouter.Params) {
	req := throttleRequest{}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.ID != p.ByName("id") || req.Share <= 0 || req.Share > 1 {
		http.Error(rw, "the order is not valid", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.attempts[req.AttemptRef]; a != nil {
		a.throttle = req.Share
	}
	rw.WriteHeader(http.StatusNoContent)
}

// workerState is the answer to GET /v1/state.
type workerState struct {
	Worker         string                 `json:"worker"`
	Tasks          []carobrock.TaskReport `json:"tasks"`
	Served         int64                  `json:"served"`
	MaxInFlight    int64                  `json:"maxInFlight"`
	MaxConnections int64                  `json:"maxConnections"`
}

func (w *Worker) handleState(rw http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(w.State())
}

// State describes the worker for tests and people.
func (w *Worker) State() any {
	return workerState{
		Worker: w.Name, Tasks: w.announcement(time.Now()).Tasks,
		Served: w.served.Load(), MaxInFlight: w.maxInFlight.Load(), MaxConnections: w.maxOpen.Load(),
	}
}
