package dispatcher

import (
	"context"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
)

const (
	// maxAdviceWorkers is the maximum number of workers in one advice request. The
	// response time grows with the number of workers; for a request of this size it
	// is still acceptable to users as part of the time of a step.
	maxAdviceWorkers = 30
	// ticketMargin is subtracted from the validity of a ticket to leave time for the
	// commit and for the order to reach the worker.
	ticketMargin = 500 * time.Millisecond
	// adviceTimeoutMargin is added to the response time that the policy states to
	// form the timeout of an advice request.
	adviceTimeoutMargin = 2 * time.Second
	// adviceRetryDelay is the delay before a failed advice request is repeated.
	adviceRetryDelay = 500 * time.Millisecond
	// maxAdviceRequests is the capacity of the queue of advice requests. The advisor
	// handles one request at a time and rejects more than its own queue holds.
	maxAdviceRequests = 16
	// adviceRetention is how long unused advice on a step is kept.
	adviceRetention = time.Minute
)

// advice records which workers may run a step.
type advice struct {
	tickets map[string]ticket
	// refused holds the workers that must not run the step.
	refused map[string]bool
	// isRequested is set while an advice request for the step is queued or in
	// progress.
	isRequested bool
	retryAt     time.Time
	usedAt      time.Time
}

// ticket is an admission ticket that the advisor issued for a worker.
type ticket struct {
	text string
	// incarnation is the worker incarnation about which the advisor was asked.
	incarnation carobrock.WorkerIncarnation
	requestedAt time.Time
	expiresAt   time.Time
}

// adviceRequest asks the advisor which of the listed workers may run a step.
type adviceRequest struct {
	step    carobrock.TaskRef
	workers []carobrock.WorkerIncarnation
	policy  carobrock.AdvisorPolicy
}

// names returns the names of the workers.
func (q *adviceRequest) names() []string {
	out := make([]string, len(q.workers))
	for i, incarnation := range q.workers {
		out[i] = incarnation.Name
	}
	return out
}

// fillTickets adds the valid tickets for the step to r and queues an advice
// request if there are fewer tickets than waiting tasks. d.mu must be held.
func (d *Dispatcher) fillTickets(r *allocator.Request, policy *carobrock.AdvisorPolicy, candidates []*allocator.Worker, now time.Time) {
	r.NeedsTicket, r.Tickets = true, map[string]string{}
	step := carobrock.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.StepNumber}
	a := d.adviceByStep[step]
	if a == nil {
		a = &advice{tickets: map[string]ticket{}, refused: map[string]bool{}}
		d.adviceByStep[step] = a
	}
	a.usedAt = now
	for name, t := range a.tickets {
		if now.Before(t.expiresAt) {
			r.Tickets[name] = t.text
		}
	}
	if a.isRequested || now.Before(a.retryAt) || len(r.Tickets) >= len(r.Indices) {
		return
	}
	q := adviceRequest{step: step, policy: *policy}
	unticketed := *r
	unticketed.NeedsTicket = false
	for _, w := range candidates {
		name := w.Incarnation.Name
		if len(q.workers) < maxAdviceWorkers && !a.refused[name] && r.Tickets[name] == "" && allocator.Fits(&unticketed, w) {
			q.workers = append(q.workers, w.Incarnation)
		}
	}
	if len(q.workers) == 0 {
		return
	}
	select {
	case d.adviceRequests <- q:
		a.isRequested = true
	default: // the queue is full; the next placement round tries again
	}
}

// runAdvice sends the queued advice requests one at a time until ctx is done.
func (d *Dispatcher) runAdvice(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-d.adviceRequests:
			d.requestAdvice(ctx, q)
			d.wakePlacement()
		}
	}
}

// requestAdvice sends one request to the advisor and stores the response, or
// the time of the next attempt if the request fails.
func (d *Dispatcher) requestAdvice(ctx context.Context, q adviceRequest) {
	limit := adviceTimeoutMargin + time.Duration(q.policy.DecisionMillis+q.policy.PerWorkerMillis*int64(len(q.workers)))*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	requestedAt := time.Now()
	tickets, err := d.Advisor.Advise(ctx, q.step, q.names())
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.adviceByStep[q.step]
	if a == nil {
		return
	}
	a.isRequested = false
	if err != nil {
		d.Logger.Warn().Str("job", q.step.Job).Int("step", q.step.Step).Err(err).Msg("dispatcher: advice request failed; it will be retried")
		a.retryAt = time.Now().Add(adviceRetryDelay)
		return
	}
	expiresAt := requestedAt.Add(time.Duration(q.policy.ValidityMillis)*time.Millisecond - ticketMargin)
	for _, incarnation := range q.workers {
		if text := tickets[incarnation.Name]; text != "" {
			a.tickets[incarnation.Name] = ticket{text: text, incarnation: incarnation, requestedAt: requestedAt, expiresAt: expiresAt}
		} else {
			a.refused[incarnation.Name] = true
		}
	}
	d.Logger.Info().Str("job", q.step.Job).Int("step", q.step.Step).Int("asked", len(q.workers)).Int("eligible", len(tickets)).
		Dur("took", time.Since(requestedAt)).Msg("dispatcher: advisor responded")
}

// dropStaleAdvice deletes advice that was not used for adviceRetention. d.mu must
// be held.
func (d *Dispatcher) dropStaleAdvice(now time.Time) {
	for step, a := range d.adviceByStep {
		if !a.isRequested && now.Sub(a.usedAt) > adviceRetention {
			delete(d.adviceByStep, step)
		}
	}
}
