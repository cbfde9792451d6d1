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

// ErrOrder reports that an order failed or that its outcome is unknown.
var ErrOrder = eris.New("scheduler: order failed or unconfirmed")

// Orders sends orders to workers. Every order is idempotent and is fenced by
// the attempt number, so that a worker rejects orders for earlier attempts.
type Orders interface {
	// Start tells a worker to start an attempt.
	Start(ctx context.Context, address string, request *carobrock.StartTaskRequest) error
	// Checkpoint tells a worker to save a checkpoint of an attempt and pause
	// it.
	Checkpoint(ctx context.Context, address string, ref carobrock.AttemptRef) error
	// Stop tells a worker to stop an attempt.
	Stop(ctx context.Context, address string, ref carobrock.AttemptRef) error
}

// orderKey identifies an order that is repeated until its effect is observed.
type orderKey struct {
	ref   carobrock.AttemptRef
	state carobrock.TaskState
}

// sendOrders sends the orders that the states of the tasks require, each at
// most once per orderInterval.
func (s *Scheduler) sendOrders(orders *conc.WaitGroup, now time.Time) {
	tasks := s.Keeper.Tasks(func(t *carobrock.Task) bool {
		return t.HoldsCapacity() && t.State != carobrock.TaskRunning
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	sentAt := map[orderKey]time.Time{}
	var evacuating map[string]bool
	if len(tasks) > 0 {
		evacuating = s.workersToEvacuate()
	}
	for i := range tasks {
		t := tasks[i]
		key := orderKey{carobrock.AttemptRef{ID: t.ID, Attempt: t.Attempt}, t.State}
		sentAt[key] = s.orderSentAt[key]
		if now.Sub(sentAt[key]) < orderInterval {
			continue
		}
		if t.State == carobrock.TaskStarting && evacuating[t.Worker] {
			// The attempt ends when the last order to start it has expired.
			continue
		}
		if order := s.newOrder(&t, key.ref); order != nil && s.tryStartOrder(orders, order) {
			sentAt[key] = now
		}
	}
	s.orderSentAt = sentAt
}

// tryStartOrder sends an order in the background and reports whether it did; it
// does not if maxOrdersInFlight orders are in flight. It never blocks, because
// waiting for slow workers here would delay the announcements of all other
// workers.
func (s *Scheduler) tryStartOrder(orders *conc.WaitGroup, order func()) bool {
	select {
	case s.orderSemaphore <- struct{}{}:
	default:
		return false
	}
	orders.Go(func() {
		defer func() { <-s.orderSemaphore }()
		order()
	})
	return true
}

// orderTimeout bounds the time for one order.
const orderTimeout = 2 * time.Second

// newOrder returns a function that sends the order which the task's state
// requires, or nil if the worker has not announced itself to this leader yet or
// needs no order. The caller holds s.mu.
func (s *Scheduler) newOrder(t *carobrock.Task, ref carobrock.AttemptRef) func() {
	w, ok := s.Keeper.Worker(t.Worker)
	state := s.roster.incarnations[workerIncarnation{t.Worker, t.Incarnation}]
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
			QuotedMillis: state.lastSentMillis, StartWithinMillis: startOrderValidity.Milliseconds(), LeaseMillis: s.Lease.Milliseconds(),
		}
		send = func(ctx context.Context) error { return s.Orders.Start(ctx, w.Address, request) }
	case carobrock.TaskCheckpointing:
		send = func(ctx context.Context) error { return s.Orders.Checkpoint(ctx, w.Address, ref) }
	case carobrock.TaskEvicted, carobrock.TaskStopping:
		send = func(ctx context.Context) error { return s.Orders.Stop(ctx, w.Address, ref) }
	default:
		return nil
	}
	return func() { s.sendOrder(ref, send) }
}

// sendOrder sends an order if this process still holds the leader's lease.
func (s *Scheduler) sendOrder(ref carobrock.AttemptRef, send func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if s.Leadership.RemainingLease() <= 0 {
		return
	}
	if err := send(ctx); err != nil {
		s.Logger.Debug().Err(err).Str("task", ref.ID).Uint64("attempt", ref.Attempt).Msg("scheduler: order failed or unconfirmed")
	}
}

// HTTPOrders sends orders over HTTP.
type HTTPOrders struct {
	// Client sends the requests.
	Client *http.Client
}

var _ Orders = (*HTTPOrders)(nil)

// Start implements Orders.
func (h *HTTPOrders) Start(ctx context.Context, address string, request *carobrock.StartTaskRequest) error {
	return h.sendRequest(ctx, http.MethodPut, address, "/v1/tasks/"+url.PathEscape(request.Spec.ID), request)
}

// Checkpoint implements Orders.
func (h *HTTPOrders) Checkpoint(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return h.sendRequest(ctx, http.MethodPost, address, "/v1/tasks/"+url.PathEscape(ref.ID)+"/checkpoint", ref)
}

// Stop implements Orders.
func (h *HTTPOrders) Stop(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return h.sendRequest(ctx, http.MethodPost, address, "/v1/tasks/"+url.PathEscape(ref.ID)+"/stop", ref)
}

func (h *HTTPOrders) sendRequest(ctx context.Context, method, address, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(ErrOrder, err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(ErrOrder, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := h.Client.Do(req)
	if err != nil {
		return eris.Wrap(ErrOrder, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusMultipleChoices {
		return eris.Wrap(ErrOrder, fmt.Sprintf("%s answered %s", address, res.Status))
	}
	return nil
}
