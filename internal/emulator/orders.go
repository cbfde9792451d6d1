package emulator

import (
	"encoding/json"
	"errors"
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
	r.POST("/v1/tasks/:id/checkpoint", handleAttempt(w.Save))
	r.POST("/v1/tasks/:id/stop", handleAttempt(w.End))
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
	if err := w.Begin(o); err != nil {
		http.Error(rw, err.Error(), http.StatusConflict)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

// Begin begins an attempt, or says why it must not.
func (w *Worker) Begin(o *carobrock.StartOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
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

// errNoAttempt is the answer to an order about an attempt that is not here.
var errNoAttempt = errors.New("the attempt is not here")

// Save has an attempt save a checkpoint and pause.
func (w *Worker) Save(ref carobrock.AttemptRef) error { return w.change(ref, (*attempt).save) }

// End stops an attempt.
func (w *Worker) End(ref carobrock.AttemptRef) error {
	return w.change(ref, func(a *attempt) { a.end(carobrock.ReportStopped, "stopped on order") })
}

func (w *Worker) change(ref carobrock.AttemptRef, do func(a *attempt)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.attempts[ref]
	if a == nil {
		return errNoAttempt
	}
	if !w.Faults.IgnoreStops.Load() {
		do(a)
	}
	return nil
}

// handleAttempt carries out an order about an attempt.
func handleAttempt(do func(ref carobrock.AttemptRef) error) httprouter.Handle {
	return func(rw http.ResponseWriter, r *http.Request, p httprouter.Params) {
		ref := carobrock.AttemptRef{}
		if err := json.NewDecoder(r.Body).Decode(&ref); err != nil || ref.ID != p.ByName("id") {
			http.Error(rw, "the order is not valid", http.StatusBadRequest)
			return
		}
		if err := do(ref); err != nil {
			http.Error(rw, err.Error(), http.StatusNotFound)
			return
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

// AttemptState is one attempt as it is on the worker.
type AttemptState struct {
	carobrock.AttemptRef
	// State is the attempt's state.
	State carobrock.ReportState
	// Progress is the work done, with what its checkpoint brought.
	Progress time.Duration
	// Began is when the attempt began here.
	Began time.Time
}

// Attempts returns the attempts that the worker knows of.
func (w *Worker) Attempts() []AttemptState {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]AttemptState, 0, len(w.attempts))
	for _, a := range w.attempts {
		out = append(out, AttemptState{AttemptRef: a.ref, State: a.state, Progress: a.progress, Began: a.began})
	}
	return out
}

// State describes the worker for tests and people.
func (w *Worker) State() any {
	return workerState{
		Worker: w.Name, Tasks: w.announcement(time.Now()).Tasks,
		Served: w.served.Load(), MaxInFlight: w.maxInFlight.Load(), MaxConnections: w.maxOpen.Load(),
	}
}
