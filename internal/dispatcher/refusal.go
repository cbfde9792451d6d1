package dispatcher

import (
	"maps"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/logger"
)

// refusalCause is the likely reason why a worker refused to start a run, as far as the
// leader knows. A worker does not tell its reason.
type refusalCause string

// Values of refusalCause.
const (
	// runNotAssigned means that the run was not assigned to the worker any more, so that a
	// stop order may have overtaken the start.
	runNotAssigned refusalCause = "notAssigned"
	// ticketExpired means that the ticket was no longer valid when the worker reported
	// the refusal.
	ticketExpired refusalCause = "ticketExpired"
	// ticketRejected means that the ticket should be valid.
	ticketRejected refusalCause = "ticketRejected"
	// ticketUnknown means that the run has a ticket of which this leader knows nothing:
	// an earlier leader requested it, or a later ticket has replaced it.
	ticketUnknown refusalCause = "ticketUnknown"
	// noCapacity means that the run does not fit beside those that the worker lists.
	noCapacity refusalCause = "noCapacity"
	// unknownCause means that none of the above applies.
	unknownCause refusalCause = "unknown"
)

const (
	// minRefusalDelay is how long a worker gets no task of a step after it refused to start
	// one. The delay doubles with each further refusal, up to maxRefusalDelay, which is
	// shorter than the time within which a task must be started while there is capacity.
	minRefusalDelay = 250 * time.Millisecond
	maxRefusalDelay = 2 * time.Second
	// refusalRetention is how long after the delay a further refusal doubles it.
	refusalRetention = 10 * time.Second
)

// startRefusals holds what follows from the starts that workers refused. Its zero value is
// ready for use.
type startRefusals struct {
	counts map[refusalCause]int64 // since the start of the process
	log    logger.LineLimiter
	// avoided holds, by step, the worker incarnations that refused to start a run of it.
	// Steps without such workers have no element.
	avoided map[carobrock.TaskRef]map[carobrock.WorkerIncarnation]refusalDelay
}

// refusalDelay is the time during which a worker gets no task of a step.
type refusalDelay struct {
	length time.Duration
	until  time.Time
}

// delayStarts delays further starts of a step on a worker that has refused one. Refusals of
// starts that were sent before the last delay do not count.
func (x *startRefusals) delayStarts(step carobrock.TaskRef, incarnation carobrock.WorkerIncarnation, now time.Time) {
	if x.avoided == nil {
		x.avoided = map[carobrock.TaskRef]map[carobrock.WorkerIncarnation]refusalDelay{}
	}
	if x.avoided[step] == nil {
		x.avoided[step] = map[carobrock.WorkerIncarnation]refusalDelay{}
	}
	delay := x.avoided[step][incarnation]
	if now.Before(delay.until) {
		return
	}
	delay.length = min(max(2*delay.length, minRefusalDelay), maxRefusalDelay)
	delay.until = now.Add(delay.length)
	x.avoided[step][incarnation] = delay
}

// avoidedWorkers returns the workers that get no task of a step for now, nil if there are
// none.
func (x *startRefusals) avoidedWorkers(step carobrock.TaskRef, now time.Time) (out map[carobrock.WorkerIncarnation]bool) {
	for incarnation, delay := range x.avoided[step] {
		if now.Before(delay.until) {
			if out == nil {
				out = map[carobrock.WorkerIncarnation]bool{}
			}
			out[incarnation] = true
		}
	}
	return out
}

// dropStale deletes the delays that ended before refusalRetention.
func (x *startRefusals) dropStale(now time.Time) {
	for step, delays := range x.avoided {
		maps.DeleteFunc(delays, func(_ carobrock.WorkerIncarnation, delay refusalDelay) bool {
			return now.Sub(delay.until) > refusalRetention
		})
		if len(delays) == 0 {
			delete(x.avoided, step)
		}
	}
}

// RefusedStarts returns the number of starts that workers refused since the start of this
// process, by their likely cause.
func (d *Dispatcher) RefusedStarts() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]int64{}
	for cause, n := range d.refusals.counts {
		out[string(cause)] = n
	}
	return out
}

// recordRefusals records which of the reported ends, none of which is committed, are
// refusals.
func (d *Dispatcher) recordRefusals(r *carobrock.WorkerReport, ends []carobrock.RunEnd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.StateMachine.View(func(s *bookkeeper.State) {
		for i := range ends {
			if ends[i].Kind == carobrock.EndRefused {
				d.recordRefusal(s, r, carobrock.Run{Task: ends[i].Task, Attempt: ends[i].Attempt}, now)
			}
		}
	})
}

// recordRefusal counts and logs the refusal of a run. If the run is assigned to the worker,
// its ticket is forgotten, as the worker would refuse it again, and further starts of the
// step on the worker are delayed. d.mu must be held.
func (d *Dispatcher) recordRefusal(s *bookkeeper.State, r *carobrock.WorkerReport, run carobrock.Run, now time.Time) {
	step := stepOf(run)
	t, isTicketKnown := d.findTicket(step, r.WorkerIncarnation, s.Ticket(r.WorkerIncarnation, run))
	cause := causeOfRefusal(s, r, run, t, now)
	w := d.currentWorker(r.WorkerIncarnation)
	if cause != runNotAssigned {
		d.refusals.delayStarts(step, r.WorkerIncarnation, now)
	}
	if isTicketKnown {
		delete(d.adviceByStep[step].tickets, r.WorkerIncarnation)
	}
	if w != nil && cause == unknownCause {
		w.outcomes.addOutcomes(now, 1, 0)
	}
	if d.refusals.counts == nil {
		d.refusals.counts = map[refusalCause]int64{}
	}
	d.refusals.counts[cause]++
	if !d.refusals.log.Admit(now) {
		return
	}
	e := d.Logger.Warn().Str("worker", r.Name).Int64("started", r.Started).Uint64("sequence", r.Sequence).
		Str("job", run.Task.Job).Int("occurrence", run.Task.Occurrence).Int("step", run.Task.Step).Int("index", run.Task.Index).
		Uint64("attempt", run.Attempt).Str("cause", string(cause)).Dur("delay", d.refusals.avoided[step][r.WorkerIncarnation].length).
		Int("suppressed", d.refusals.log.TakeSuppressed())
	if w != nil {
		e = e.Dur("sinceJoined", now.Sub(w.joinedAt))
	}
	if isTicketKnown {
		e = e.Dur("ticketAge", now.Sub(t.requestedAt)).Dur("ticketValidFor", t.expiresAt.Sub(now))
	}
	e.Msg("dispatcher: worker refused to start a run")
}

// causeOfRefusal returns the likely cause why the sender of r refused a run. t is the ticket
// of the run, zero if it has none or none that is known.
func causeOfRefusal(s *bookkeeper.State, r *carobrock.WorkerReport, run carobrock.Run, t ticket, now time.Time) refusalCause {
	switch {
	case !s.IsActive(r.WorkerIncarnation, run):
		return runNotAssigned
	case s.Ticket(r.WorkerIncarnation, run) == "":
		if !s.Workers[r.WorkerIncarnation].Runs[run].Committed().Fits(reportedFree(s, r)) {
			return noCapacity
		}
		return unknownCause
	case t.text == "":
		return ticketUnknown
	case !now.Before(t.expiresAt):
		return ticketExpired
	default:
		return ticketRejected
	}
}

// findTicket returns the ticket with the given text that the advisor issued for a worker
// and a step, and whether it is still recorded. d.mu must be held.
func (d *Dispatcher) findTicket(step carobrock.TaskRef, incarnation carobrock.WorkerIncarnation, text string) (ticket, bool) {
	if a := d.adviceByStep[step]; a != nil && text != "" && a.tickets[incarnation].text == text {
		return a.tickets[incarnation], true
	}
	return ticket{}, false
}

// reportedFree returns the reported capacity less that of the reported runs whose steps are
// recorded.
func reportedFree(s *bookkeeper.State, r *carobrock.WorkerReport) carobrock.Capacity {
	free := r.Capacity
	for i := range r.Running {
		if step := s.Workers[r.WorkerIncarnation].Runs[r.Running[i].Run]; step != nil {
			free = free.Sub(step.Committed())
		}
	}
	return free
}
