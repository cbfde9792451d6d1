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
	// Share is the fraction of full speed, above 0 and at most 1.
	Share float64 `json:"share"`
}

// taskHandler returns the handler of TaskListener.
func (w *Worker) taskHandler() http.Handler {
	r := httprouter.New()
	r.PUT("/v1/tasks/:id", w.handleStart)
	r.POST("/v1/tasks/:id/checkpoint", handleAttemptRequest(w.SaveCheckpoint))
	r.POST("/v1/tasks/:id/stop", handleAttemptRequest(w.StopAttempt))
	r.POST("/v1/tasks/:id/throttle", w.handleThrottle)
	r.GET("/v1/state", w.handleState)
	return r
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request, p httprouter.Params) {
	request := &carobrock.StartTaskRequest{}
	if err := json.NewDecoder(r.Body).Decode(request); err != nil || request.Spec.ID != p.ByName("id") {
		http.Error(rw, "the order is not valid", http.StatusBadRequest)
		return
	}
	if err := w.StartAttempt(request); err != nil {
		http.Error(rw, err.Error(), http.StatusConflict)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

// StartAttempt starts an attempt. It returns an error if the request is for another
// incarnation, is not newer than the newest attempt of the task, or arrives too
// late. Repeating a request whose attempt is known has no effect.
func (w *Worker) StartAttempt(request *carobrock.StartTaskRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	ref := carobrock.AttemptRef{ID: request.Spec.ID, Attempt: request.Attempt}
	switch {
	case request.Incarnation != w.Incarnation:
		return fmt.Errorf("the order is for incarnation %s", request.Incarnation)
	case w.attempts[ref] != nil:
		return nil
	case request.Attempt <= w.newestAttempt[request.Spec.ID]:
		return fmt.Errorf("attempt %d is not newer than attempt %d", request.Attempt, w.newestAttempt[request.Spec.ID])
	case w.clockMillis(now) > request.QuotedMillis+request.StartWithinMillis:
		return fmt.Errorf("the order came too late")
	}
	if leaseEnd := w.started.Add(time.Duration(request.QuotedMillis+request.LeaseMillis) * time.Millisecond); leaseEnd.After(w.leaseEnd) {
		w.leaseEnd = leaseEnd
	}
	w.newestAttempt[request.Spec.ID] = request.Attempt
	w.attempts[ref] = newAttempt(request, now)
	return nil
}

// errUnknownAttempt reports a request for an attempt that the worker does not know.
var errUnknownAttempt = errors.New("the attempt is not here")

// SaveCheckpoint makes an attempt save a checkpoint and pause. It returns
// an error if the worker does not know the attempt.
func (w *Worker) SaveCheckpoint(ref carobrock.AttemptRef) error {
	return w.applyToAttempt(ref, (*attempt).saveCheckpoint)
}

// StopAttempt stops an attempt. It returns an error if the worker does not know
// the attempt.
func (w *Worker) StopAttempt(ref carobrock.AttemptRef) error {
	return w.applyToAttempt(ref, func(a *attempt) { a.end(carobrock.ReportStopped, "stopped on order") })
}

// applyToAttempt calls apply with the attempt while it holds w.mu, unless the
// worker ignores requests to stop or checkpoint.
func (w *Worker) applyToAttempt(ref carobrock.AttemptRef, apply func(a *attempt)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.attempts[ref]
	if a == nil {
		return errUnknownAttempt
	}
	if !w.Faults.IgnoreStops.Load() {
		apply(a)
	}
	return nil
}

// handleAttemptRequest returns a handler that decodes a request for an attempt and
// passes it to apply.
func handleAttemptRequest(apply func(ref carobrock.AttemptRef) error) httprouter.Handle {
	return func(rw http.ResponseWriter, r *http.Request, p httprouter.Params) {
		ref := carobrock.AttemptRef{}
		if err := json.NewDecoder(r.Body).Decode(&ref); err != nil || ref.ID != p.ByName("id") {
			http.Error(rw, "the order is not valid", http.StatusBadRequest)
			return
		}
		if err := apply(ref); err != nil {
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
		a.speedShare = req.Share
	}
	rw.WriteHeader(http.StatusNoContent)
}

// workerState is the response to GET /v1/state.
type workerState struct {
	Worker         string                 `json:"worker"`
	Tasks          []carobrock.TaskReport `json:"tasks"`
	Served         int64                  `json:"served"`
	MaxInFlight    int64                  `json:"maxInFlight"`
	MaxConnections int64                  `json:"maxConnections"`
}

func (w *Worker) handleState(rw http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(w.State()) // fails only if the caller has gone
}

// AttemptState is the state of an attempt on the worker.
type AttemptState struct {
	carobrock.AttemptRef
	// State is the state that the worker reports for the attempt.
	State carobrock.ReportState
	// Progress is the work done, including that restored from a checkpoint.
	Progress time.Duration
	// StartedAt is the time at which the attempt started on this worker.
	StartedAt time.Time
}

// Attempts returns the states of all attempts that the worker knows, in no
// particular order.
func (w *Worker) Attempts() []AttemptState {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]AttemptState, 0, len(w.attempts))
	for _, a := range w.attempts {
		out = append(out, AttemptState{AttemptRef: a.ref, State: a.state, Progress: a.progress, StartedAt: a.startTime})
	}
	return out
}

// State returns the worker's state in a form that encoding/json can encode, for
// tests and for inspection by operators.
func (w *Worker) State() any {
	return workerState{
		Worker: w.Name, Tasks: w.newAnnouncement(time.Now()).Tasks,
		Served: w.served.Load(), MaxInFlight: w.maxInFlight.Load(), MaxConnections: w.maxOpenConnections.Load(),
	}
}
