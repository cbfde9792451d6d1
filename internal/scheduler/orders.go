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

// ErrOrder reports that an order was not carried out, or it is not known whether it was.
var ErrOrder = eris.New("scheduler: the order was not confirmed")

// Orders sends orders to workers. Every order is idempotent and fenced by the
// attempt's number.
type Orders interface {
	// Start starts an attempt.
	Start(ctx context.Context, address string, o *carobrock.StartOrder) error
	// Checkpoint asks an attempt to save a checkpoint and pause.
	Checkpoint(ctx context.Context, address string, ref carobrock.AttemptRef) error
	// Stop stops an attempt.
	Stop(ctx context.Context, address string, ref carobrock.AttemptRef) error
}

// orderKey identifies an order that is repeated until its effect is seen.
type orderKey struct {
	ref   carobrock.AttemptRef
	state carobrock.TaskState
}

// sendOrders sends what the states of the tasks ask for.
func (s *Scheduler) sendOrders(orders *conc.WaitGroup, now time.Time) {
	tasks := s.Keeper.Tasks(func(t *carobrock.Task) bool {
		return t.HoldsCapacity() && t.State != carobrock.TaskRunning
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	live := map[orderKey]time.Time{}
	var unusable map[string]bool
	if len(tasks) > 0 {
		unusable = s.unusableWorkers()
	}
	for i := range tasks {
		t := tasks[i]
		key := orderKey{carobrock.AttemptRef{ID: t.ID, Attempt: t.Attempt}, t.State}
		live[key] = s.sentAt[key]
		if now.Sub(live[key]) < orderInterval {
			continue
		}
		if t.State == carobrock.TaskStarting && unusable[t.Worker] {
			// The attempt ends when the last order to start it has lapsed.
			continue
		}
		if order := s.order(&t, key.ref); order != nil && s.tryGo(orders, order) {
			live[key] = now
		}
	}
	s.sentAt = live
}

// tryGo sends an order unless too many are on their way. It never waits: a turn
// that waited for slow workers would hold up the announcements of all others.
func (s *Scheduler) tryGo(orders *conc.WaitGroup, order func()) bool {
	select {
	case s.orderSlots <- struct{}{}:
	default:
		return false
	}
	orders.Go(func() {
		defer func() { <-s.orderSlots }()
		order()
	})
	return true
}

// orderTimeout bounds one order.
const orderTimeout = 2 * time.Second

// order returns a function that sends the order which the task's state asks for,
// or nil if the worker cannot be reached yet. The caller holds s.mu.
func (s *Scheduler) order(t *carobrock.Task, ref carobrock.AttemptRef) func() {
	w, ok := s.Keeper.Worker(t.Worker)
	p := s.roster.present[session{t.Worker, t.Incarnation}]
	if !ok || w.Incarnation != t.Incarnation || p == nil || p.reports == nil {
		return nil
	}
	var send func(ctx context.Context) error
	switch t.State {
	case carobrock.TaskStarting:
		if _, reported := p.reports[ref]; reported {
			return nil
		}
		p.quoted[ref] = p.sentMillis
		o := &carobrock.StartOrder{
			Attempt: t.Attempt, Incarnation: t.Incarnation, Spec: t.TaskSpec, Checkpoint: t.Checkpoint,
			QuotedMillis: p.sentMillis, StartWithinMillis: startWithin.Milliseconds(), LeaseMillis: s.Lease.Milliseconds(),
		}
		send = func(ctx context.Context) error { return s.Orders.Start(ctx, w.Address, o) }
	case carobrock.TaskCheckpointing:
		send = func(ctx context.Context) error { return s.Orders.Checkpoint(ctx, w.Address, ref) }
	case carobrock.TaskEvicted, carobrock.TaskStopping:
		send = func(ctx context.Context) error { return s.Orders.Stop(ctx, w.Address, ref) }
	default:
		return nil
	}
	return func() { s.deliver(ref, send) }
}

// deliver sends an order, if this process certainly still leads.
func (s *Scheduler) deliver(ref carobrock.AttemptRef, send func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if s.Leadership.LeaseLeft() <= 0 {
		return
	}
	if err := send(ctx); err != nil {
		s.Logger.Debug().Err(err).Str("task", ref.ID).Uint64("attempt", ref.Attempt).Msg("scheduler: order not confirmed")
	}
}

// HTTPOrders sends orders over HTTP.
type HTTPOrders struct {
	// Client makes the requests.
	Client *http.Client
}

var _ Orders = (*HTTPOrders)(nil)

// Start implements Orders.
func (h *HTTPOrders) Start(ctx context.Context, address string, o *carobrock.StartOrder) error {
	return h.do(ctx, http.MethodPut, address, "/v1/tasks/"+url.PathEscape(o.Spec.ID), o)
}

// Checkpoint implements Orders.
func (h *HTTPOrders) Checkpoint(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return h.do(ctx, http.MethodPost, address, "/v1/tasks/"+url.PathEscape(ref.ID)+"/checkpoint", ref)
}

// Stop implements Orders.
func (h *HTTPOrders) Stop(ctx context.Context, address string, ref carobrock.AttemptRef) error {
	return h.do(ctx, http.MethodPost, address, "/v1/tasks/"+url.PathEscape(ref.ID)+"/stop", ref)
}

func (h *HTTPOrders) do(ctx context.Context, method, address, path string, body any) error {
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
