package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// ErrRequestFailed reports that a request to a worker failed or that its
// outcome is unknown.
var ErrRequestFailed = eris.New("scheduler: request to the worker failed or its outcome is unknown")

// WorkerClient sends requests to workers. Every request is idempotent and is
// fenced by the attempt number, so that a worker rejects requests for earlier
// attempts.
type WorkerClient interface {
	// Start tells a worker to start an attempt.
	Start(ctx context.Context, address string, request *carobrock.StartTaskRequest) error
	// Checkpoint tells a worker to save a checkpoint of an attempt and pause
	// it.
	Checkpoint(ctx context.Context, address string, ref carobrock.AttemptRef) error
	// Stop tells a worker to stop an attempt.
	Stop(ctx context.Context, address string, ref carobrock.AttemptRef) error
}

// requestKey identifies a request that is repeated until its effect is
// observed.
type requestKey struct {
	ref   carobrock.AttemptRef
	state carobrock.TaskState
}

// sendRequests sends the requests that the states of the tasks require, each at
// most once per requestInterval.
func (s *Scheduler) sendRequests(requests *conc.WaitGroup, now time.Time) {
	tasks := s.Keeper.Tasks(func(t *carobrock.Task) bool {
		return t.HoldsCapacity() && t.State != carobrock.TaskRunning
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	sentAt := map[requestKey]time.Time{}
	var withoutStarts map[string]bool
	if len(tasks) > 0 {
		withoutStarts = s.workersWithoutStarts()
	}
	for i := range tasks {
		t := tasks[i]
		key := requestKey{carobrock.AttemptRef{ID: t.ID, Attempt: t.Attempt}, t.State}
		sentAt[key] = s.requestSentAt[key]
		if now.Sub(sentAt[key]) < requestInterval {
			continue
		}
		if t.State == carobrock.TaskStarting && withoutStarts[t.Worker] {
			// The attempt ends when the last request to start it has expired.
			continue
		}
		if request := s.newRequest(&t, key.ref); request != nil && s.trySendInBackground(requests, request) {
			sentAt[key] = now
		}
	}
	s.requestSentAt = sentAt
}

// trySendInBackground calls send in the background and reports whether it did;
// it does not if maxRequestsInFlight requests are in flight. It never blocks,
// because waiting for slow workers here would delay the announcements of all
// other workers.
func (s *Scheduler) trySendInBackground(requests *conc.WaitGroup, send func()) bool {
	select {
	case s.requestSemaphore <- struct{}{}:
	default:
		return false
	}
	requests.Go(func() {
		defer func() { <-s.requestSemaphore }()
		send()
	})
	return true
}

// requestTimeout bounds the time for one request.
const requestTimeout = 2 * time.Second

// newRequest returns a function that sends the request which the task's state
// requires, or nil if the worker has not announced itself to this leader yet or
// needs no request. The caller holds s.mu.
func (s *Scheduler) newRequest(t *carobrock.Task, ref carobrock.AttemptRef) func() {
	w, ok := s.Keeper.Worker(t.Worker)
	state := s.tracker.incarnations[workerIncarnation{t.Worker, t.Incarnation}]
	if !ok || w.Incarnation != t.Incarnation || state == nil || state.reports == nil {
		return nil
	}
	var send func(ctx context.Context) error
	switch t.State {
	case carobrock.TaskStarting:
		if _, reported := state.reports[ref]; reported {
			return nil
		}
		state.quotedMillis[ref] = state.lastSentMillis
		request := &carobrock.StartTaskRequest{
			Attempt: t.Attempt, Incarnation: t.Incarnation, Spec: t.TaskSpec, Checkpoint: t.Checkpoint,
			QuotedMillis: state.lastSentMillis, StartWithinMillis: startRequestValidity.Milliseconds(), LeaseMillis: s.Lease.Milliseconds(),
		}
		send = func(ctx context.Context) error { return s.WorkerClient.Start(ctx, w.Address, request) }
	case carobrock.TaskCheckpointing:
		send = func(ctx context.Context) error { return s.WorkerClient.Checkpoint(ctx, w.Address, ref) }
	case carobrock.TaskEvicted, carobrock.TaskStopping:
		send = func(ctx context.Context) error { return s.WorkerClient.Stop(ctx, w.Address, ref) }
	default:
		return nil
	}
	return func() { s.sendRequest(ref, send) }
}

// sendRequest calls send if this process still holds the leader's lease.
func (s *Scheduler) sendRequest(ref carobrock.AttemptRef, send func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if s.Leadership.RemainingLease() <= 0 {
		return
	}
	if err := send(ctx); err != nil {
		s.Logger.Debug().Err(err).Str("task", ref.ID).Uint64("attempt", ref.Attempt).Msg("scheduler: request to a worker failed")
	}
}

// HTTPWorkerClient sends requests to workers over HTTP.
type HTTPWorkerClient struct {
	// Client sends the requests.
	Client *http.Client
}

var _ WorkerClient = (*HTTPWorkerClient)(nil)

// Start implements WorkerClient.
func (h *HTTPWorkerClient) Start(ctx context.Context, address string, request *carobrock.StartTaskRequest) error {
	return h.sendRequest(ctx, http.MethodPut, address, "/v1/tasks/"+url.PathEscape(request.Spec.ID), request)
}

// Checkpoint implements WorkerClient.
func (h *HTTPWorkerClient) Checkpoint(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return h.sendRequest(ctx, http.MethodPost, address, "/v1/tasks/"+url.PathEscape(ref.ID)+"/checkpoint", ref)
}

// Stop implements WorkerClient.
func (h *HTTPWorkerClient) Stop(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return h.sendRequest(ctx, http.MethodPost, address, "/v1/tasks/"+url.PathEscape(ref.ID)+"/stop", ref)
}

func (h *HTTPWorkerClient) sendRequest(ctx context.Context, method, address, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(ErrRequestFailed, err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(ErrRequestFailed, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := h.Client.Do(req)
	if err != nil {
		return eris.Wrap(ErrRequestFailed, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusMultipleChoices {
		return eris.Wrap(ErrRequestFailed, fmt.Sprintf("worker at %s responded with status %s", address, res.Status))
	}
	return nil
}
