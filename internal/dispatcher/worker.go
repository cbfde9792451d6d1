package dispatcher

import (
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/pacer"
)

// worker is the leader's record of one worker incarnation, built from its
// heartbeats.
type worker struct {
	// report is the newest heartbeat.
	report *carobrock.WorkerReport
	// isDirect is set if the worker is directed to the leader.
	isDirect bool
	// view is derived from report and the replicated record.
	view workerView
	// joinedAt is when the first heartbeat arrived, receivedAt when report arrived,
	// respondedAt when the last response was sent.
	joinedAt    time.Time
	receivedAt  time.Time
	respondedAt time.Time
	// leaseExpiry is the time by which every lease granted by this leader has
	// certainly expired on the worker's clock.
	leaseExpiry time.Time
	// reported holds the runs that report lists as running.
	reported map[carobrock.Run]*carobrock.RunReport
	// unrecorded holds the steps of the runs that report lists as running although they
	// are not recorded, nil for a run whose step is unknown. It is updated together
	// with view.
	unrecorded map[carobrock.Run]*carobrock.Step
	// withUnrecorded holds the workers with elements in unrecorded, nil after the worker
	// was removed.
	withUnrecorded map[*worker]bool
	// ended holds the runs that report lists as ended. Their ends may not be
	// committed yet.
	ended map[carobrock.Run]bool
	// startsSent holds the runs that the worker was told to start in the response
	// to report.
	startsSent map[carobrock.Run]bool
	// assigned holds the unstarted runs that were assigned in this term.
	assigned map[carobrock.Run]bool
	// withdrawalProposed holds the runs whose withdrawal is proposed. They are not
	// started any more, even if the proposal fails.
	withdrawalProposed map[carobrock.Run]bool
	// pendingResponse is non-nil while the response to a heartbeat is delayed until
	// there are orders; closing it releases the response.
	pendingResponse chan struct{}
	// inherited holds the runs that an earlier leader started, so that their ordered
	// paces are unknown.
	inherited map[carobrock.Run]bool
	// outcomes counts how the recent runs ended.
	outcomes outcomeHistory
	// progress holds the progress of each run and when it last changed.
	progress map[carobrock.Run]progress
	// stopReasons holds the reason for each run that is to be stopped although its
	// task is not done.
	stopReasons map[carobrock.Run]string
	// shortSince is since when the running tasks have exceeded the reported capacity,
	// zero if they do not.
	shortSince time.Time
	// throttles holds the throttle of each run that has one; paceChangedAt is the
	// time of the last pace change.
	throttles     map[carobrock.Run]*throttle
	paceChangedAt time.Time
	// overTargetLoggedAt is when a service over its target was last logged.
	overTargetLoggedAt time.Time
	// loadEstimates holds the load estimates of service tasks; firstSeen is when
	// each run was first reported.
	loadEstimates map[carobrock.Run]*loadEstimate
	firstSeen     map[carobrock.Run]time.Time
	// meanShares are the average processor shares of the fillers up to
	// sharesUpdatedAt, presentShares the shares at that time.
	meanShares      pacer.Shares
	presentShares   pacer.Shares
	sharesUpdatedAt time.Time
}

// progress is how far a run was, in percent, when it last advanced.
type progress struct {
	percent int
	at      time.Time
}

func newWorker() *worker {
	return &worker{
		progress: map[carobrock.Run]progress{}, stopReasons: map[carobrock.Run]string{},
		throttles: map[carobrock.Run]*throttle{}, inherited: map[carobrock.Run]bool{}, startsSent: map[carobrock.Run]bool{}, assigned: map[carobrock.Run]bool{}, withdrawalProposed: map[carobrock.Run]bool{}, loadEstimates: map[carobrock.Run]*loadEstimate{},
	}
}

// updateReport replaces the worker's report and drops the state of runs that it
// no longer lists.
func (w *worker) updateReport(r *carobrock.WorkerReport, now time.Time) {
	if w.report == nil {
		w.joinedAt = now
	}
	w.report, w.receivedAt = r, now
	w.reported = make(map[carobrock.Run]*carobrock.RunReport, len(r.Running))
	w.ended = make(map[carobrock.Run]bool, len(r.Ends))
	for i := range r.Ends {
		w.ended[carobrock.Run{Task: r.Ends[i].Task, Attempt: r.Ends[i].Attempt}] = true
	}
	updatedProgress := make(map[carobrock.Run]progress, len(r.Running))
	firstSeen := make(map[carobrock.Run]time.Time, len(r.Running))
	for i := range r.Running {
		x := &r.Running[i]
		w.reported[x.Run] = x
		p, ok := w.progress[x.Run]
		if !ok || x.Percent != p.percent {
			p = progress{percent: x.Percent, at: now}
		}
		updatedProgress[x.Run] = p
		if t, ok := w.firstSeen[x.Run]; ok {
			firstSeen[x.Run] = t
		} else {
			firstSeen[x.Run] = now
			w.inherited[x.Run] = !w.startsSent[x.Run]
		}
	}
	clear(w.startsSent)
	w.progress, w.firstSeen = updatedProgress, firstSeen
	for run := range w.assigned {
		if w.reported[run] != nil || w.ended[run] {
			delete(w.assigned, run)
		}
	}
	for run := range w.stopReasons {
		if w.reported[run] == nil {
			delete(w.stopReasons, run)
		}
	}
	for run := range w.throttles {
		if w.reported[run] == nil {
			delete(w.throttles, run)
		}
	}
	for run := range w.inherited {
		if w.reported[run] == nil {
			delete(w.inherited, run)
		}
	}
}

// stallTime is how long a run at half of its full pace or more may go without
// progress before it counts as stalled. A task that gets a tenth of its CPU
// still advances by one percent in less time.
const stallTime = 2500 * time.Millisecond

// markRunsToStop sets stopReasons for runs that have stalled, and on a leaving
// worker for service tasks and for tasks that resume elsewhere from a checkpoint.
// The mutex of the dispatcher must be held.
func (w *worker) markRunsToStop(steps map[carobrock.Run]*carobrock.Step, now time.Time) {
	for run, x := range w.reported {
		step := steps[run]
		if step == nil || w.stopReasons[run] != "" {
			continue
		}
		switch {
		case w.report.Leaving && (step.Checkpoints || step.Service):
			w.stopReasons[run] = "leaving"
		case step.Gang || x.Percent >= 100 || w.orderedPace(run) < 50:
		case now.Sub(w.progress[run].at) > stallTime && now.Sub(w.paceChangedAt) > stallTime:
			w.stopReasons[run] = "stalled"
			w.outcomes.addOutcomes(now, 1, 0)
		}
	}
}

// isSilent reports whether the worker's next heartbeat is overdue.
func (w *worker) isSilent(now time.Time) bool {
	return w.pendingResponse == nil && now.Sub(w.receivedAt) > silentAfter && now.Sub(w.respondedAt) > silentAfter
}

// releaseResponse lets the delayed response to a heartbeat be sent.
func (w *worker) releaseResponse() {
	if w.pendingResponse != nil {
		close(w.pendingResponse)
		w.pendingResponse = nil
	}
}

// outcomeHistory counts failed and succeeded runs with weights that decay
// exponentially.
type outcomeHistory struct {
	failed    float64
	succeeded float64
	at        time.Time
}

const (
	// outcomeHalfLife is the half-life of the weights: a few times the run time of a
	// short task.
	outcomeHalfLife = 3 * time.Second
	// priorSuccesses is the number of successful runs that every worker is credited
	// with initially.
	priorSuccesses = 2.0
)

// addOutcomes adds failed and succeeded runs.
func (h *outcomeHistory) addOutcomes(now time.Time, failed, succeeded float64) {
	h.decay(now)
	h.failed += failed
	h.succeeded += succeeded
}

// decay reduces the counts by the weight that they have lost since the last call.
func (h *outcomeHistory) decay(now time.Time) {
	if !h.at.IsZero() {
		f := decayFactor(now.Sub(h.at), outcomeHalfLife)
		h.failed *= f
		h.succeeded *= f
	}
	h.at = now
}

// failureRate estimates the fraction of runs that fail on the worker.
func (h *outcomeHistory) failureRate(now time.Time) float64 {
	h.decay(now)
	return h.failed / (h.failed + h.succeeded + priorSuccesses)
}

// currentWorker returns the leader's record of a worker incarnation, nil if there is none.
// What is known of an incarnation must not be applied to a later one under its name. d.mu
// must be held.
func (d *Dispatcher) currentWorker(incarnation carobrock.WorkerIncarnation) *worker {
	if w := d.workers[incarnation.Name]; w != nil && w.report.WorkerIncarnation == incarnation {
		return w
	}
	return nil
}
