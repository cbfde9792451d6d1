package dispatcher

import (
	"context"
	"maps"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
)

const (
	// maxAdviceWorkers is the maximum number of workers in one advice request. The
	// response time grows with the number of workers; for a request of this size it
	// is still acceptable to users as part of the time of a step.
	maxAdviceWorkers = 30
	// ticketMargin is subtracted from the validity of a ticket, but not more than half of
	// it, to leave time for the commit and for the order to reach the worker.
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

// advice records which workers may run a step. What the advisor says of a worker holds
// for one incarnation: the next one may be of another kind, and needs a ticket of its own.
type advice struct {
	tickets map[carobrock.WorkerIncarnation]ticket
	// ineligible holds the workers that must not run the step.
	ineligible map[carobrock.WorkerIncarnation]bool
	// isRequested is set while an advice request for the step is queued or in
	// progress.
	isRequested bool
	retryAt     time.Time
	usedAt      time.Time
}

// ticket is an admission ticket that the advisor issued for a worker.
type ticket struct {
	text        string
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
// request if there are fewer workers with a ticket and room than waiting tasks.
// d.mu must be held.
func (d *Dispatcher) fillTickets(r *allocator.Request, policy *carobrock.AdvisorPolicy, candidates []*allocator.Worker, now time.Time) {
	r.NeedsTicket, r.Tickets = true, map[carobrock.WorkerIncarnation]string{}
	step := carobrock.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.StepNumber}
	a := d.adviceByStep[step]
	if a == nil {
		a = &advice{tickets: map[carobrock.WorkerIncarnation]ticket{}, ineligible: map[carobrock.WorkerIncarnation]bool{}}
		d.adviceByStep[step] = a
	}
	a.usedAt = now
	mayRequest := !a.isRequested && !now.Before(a.retryAt)
	q := adviceRequest{step: step, policy: *policy}
	unticketed := *r
	unticketed.NeedsTicket = false
	usable := 0
	for _, w := range candidates {
		t := a.tickets[w.Incarnation]
		isValid := now.Before(t.expiresAt)
		if isValid {
			r.Tickets[w.Incarnation] = t.text
		}
		switch {
		case !mayRequest || usable >= len(r.Indices) || a.ineligible[w.Incarnation] || !allocator.Fits(&unticketed, w):
		case isValid:
			usable++
		case len(q.workers) < maxAdviceWorkers:
			q.workers = append(q.workers, w.Incarnation)
		}
	}
	if len(q.workers) == 0 || usable >= len(r.Indices) {
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
	validity := time.Duration(q.policy.ValidityMillis) * time.Millisecond
	expiresAt := requestedAt.Add(validity - min(ticketMargin, validity/2))
	for _, incarnation := range q.workers {
		if text := tickets[incarnation.Name]; text != "" {
			a.tickets[incarnation] = ticket{text: text, requestedAt: requestedAt, expiresAt: expiresAt}
		} else {
			a.ineligible[incarnation] = true
		}
	}
	a.dropOutdated(d.workers, time.Now())
	d.Logger.Info().Str("job", q.step.Job).Int("step", q.step.Step).Int("asked", len(q.workers)).Int("eligible", len(tickets)).
		Dur("took", time.Since(requestedAt)).Msg("dispatcher: advisor responded")
}

// dropOutdated deletes the tickets that have long expired, and the advice on workers that
// a later incarnation has replaced, perhaps while the request was in progress.
func (a *advice) dropOutdated(workers map[string]*worker, now time.Time) {
	isReplaced := func(incarnation carobrock.WorkerIncarnation) bool {
		w := workers[incarnation.Name]
		return w != nil && w.report.WorkerIncarnation != incarnation
	}
	maps.DeleteFunc(a.tickets, func(incarnation carobrock.WorkerIncarnation, t ticket) bool {
		return isReplaced(incarnation) || now.Sub(t.expiresAt) > adviceRetention
	})
	maps.DeleteFunc(a.ineligible, func(incarnation carobrock.WorkerIncarnation, _ bool) bool { return isReplaced(incarnation) })
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
