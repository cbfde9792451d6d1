package dispatcher

import (
	"context"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
)

const (
	// maxAsked is how many workers one question names: each adds to its time, and
	// the users count one question of so many as part of a step's time.
	maxAsked = 30
	// ticketMargin is left of a ticket's time for the commit and the way to the
	// worker.
	ticketMargin = 500 * time.Millisecond
	// adviceTimeout bounds one question beyond the time that the policy states.
	adviceTimeout = 2 * time.Second
	// adviceRetry is the time until a question that failed is asked again.
	adviceRetry = 500 * time.Millisecond
	// maxQuestions is how many questions may wait: the advisor takes them one at
	// a time and refuses more than its own queue holds.
	maxQuestions = 16
	// adviceKept is how long what is known of a step is kept without use.
	adviceKept = time.Minute
)

// advice is what is known of the workers that may run one step.
type advice struct {
	tickets map[string]ticket
	// refused holds the workers that may not run it.
	refused map[string]bool
	// isAsked is set while a question waits or is on its way.
	isAsked bool
	retryAt time.Time
	usedAt  time.Time
}

type ticket struct {
	text  string
	until time.Time
}

// question asks about one step.
type question struct {
	step    carobrock.TaskRef
	workers []string
	policy  carobrock.AdvisorPolicy
}

// admit fills in the tickets that a request has, and asks for more if they do
// not suffice. The caller holds d.mu.
func (d *Dispatcher) admit(r *allocator.Request, policy *carobrock.AdvisorPolicy, view []*allocator.Worker, now time.Time) {
	r.NeedsTicket, r.Tickets = true, map[string]string{}
	step := carobrock.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.StepNumber}
	a := d.advice[step]
	if a == nil {
		a = &advice{tickets: map[string]ticket{}, refused: map[string]bool{}}
		d.advice[step] = a
	}
	a.usedAt = now
	for name, t := range a.tickets {
		if now.Before(t.until) {
			r.Tickets[name] = t.text
		}
	}
	if a.isAsked || now.Before(a.retryAt) || len(r.Tickets) >= len(r.Indices) {
		return
	}
	q := question{step: step, policy: *policy}
	bare := *r
	bare.NeedsTicket = false
	for _, w := range view {
		name := w.Life.Name
		if len(q.workers) < maxAsked && !a.refused[name] && r.Tickets[name] == "" && allocator.Fits(&bare, w) {
			q.workers = append(q.workers, name)
		}
	}
	if len(q.workers) == 0 {
		return
	}
	select {
	case d.questions <- q:
		a.isAsked = true
	default: // the queue is full; the next turn tries again
	}
}

// runAdvice asks one question after the other until ctx ends.
func (d *Dispatcher) runAdvice(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-d.questions:
			d.ask(ctx, q)
			d.wake()
		}
	}
}

func (d *Dispatcher) ask(ctx context.Context, q question) {
	limit := adviceTimeout + time.Duration(q.policy.DecisionMillis+q.policy.PerWorkerMillis*int64(len(q.workers)))*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := time.Now()
	tickets, err := d.Advisor.Advise(ctx, q.step, q.workers)
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.advice[q.step]
	if a == nil {
		return
	}
	a.isAsked = false
	if err != nil {
		d.Logger.Warn().Str("job", q.step.Job).Int("step", q.step.Step).Err(err).Msg("dispatcher: no advice")
		a.retryAt = time.Now().Add(adviceRetry)
		return
	}
	until := asked.Add(time.Duration(q.policy.ValidityMillis)*time.Millisecond - ticketMargin)
	for _, name := range q.workers {
		if text := tickets[name]; text != "" {
			a.tickets[name] = ticket{text: text, until: until}
		} else {
			a.refused[name] = true
		}
	}
	d.Logger.Info().Str("job", q.step.Job).Int("step", q.step.Step).Int("asked", len(q.workers)).Int("eligible", len(tickets)).
		Dur("took", time.Since(asked)).Msg("dispatcher: advice")
}

// dropAdvice forgets what has not been used for a while. The caller holds d.mu.
func (d *Dispatcher) dropAdvice(now time.Time) {
	for step, a := range d.advice {
		if !a.isAsked && now.Sub(a.usedAt) > adviceKept {
			delete(d.advice, step)
		}
	}
}
