package dispatcher

import (
	"context"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// isSuperseded reports whether a later worker incarnation runs on the machine of
// r, which means that the heartbeat was delayed in transit. A worker whose pool was
// removed from the configuration does not count: it may not keep out one that can be
// used. d.mu must be held.
func (d *Dispatcher) isSuperseded(r *carobrock.WorkerReport) bool {
	for _, w := range d.workers {
		if r.Machine != "" && w.report.Machine == r.Machine && w.report.Started > r.Started && d.isPoolConfigured(w.report.Pool) {
			return true
		}
	}
	return false
}

// hasEnded reports whether a worker incarnation has ended, even if that is not
// committed yet. d.mu must be held.
func (d *Dispatcher) hasEnded(incarnation carobrock.WorkerIncarnation) bool {
	ended := d.losses[incarnation].IncarnationEnded
	d.StateMachine.View(func(s *bookkeeper.State) {
		rec := s.Workers[incarnation]
		ended = ended || rec != nil && rec.EndedUnixMillis != 0
	})
	return ended
}

// endEarlierIncarnations records the end of earlier incarnations on the machine
// of r, or under its name. d.mu must be held.
func (d *Dispatcher) endEarlierIncarnations(r *carobrock.WorkerReport) {
	for _, w := range d.workers {
		if w.report != nil && r.Machine != "" && w.report.Machine == r.Machine && w.report.WorkerIncarnation != r.WorkerIncarnation && w.report.Started <= r.Started {
			d.endIncarnation(w, "a newer worker runs on the machine")
		}
	}
	d.endReplacedIncarnations(r)
}

// endIncarnation removes a worker whose incarnation has ended from the worker
// table and records its loss together with its newest checkpoints. d.mu must be
// held.
func (d *Dispatcher) endIncarnation(w *worker, reason string) {
	d.Logger.Info().Str("worker", w.report.Name).Int64("started", w.report.Started).Int("runs", len(w.reported)).
		Uint64("sequence", w.report.Sequence).Dur("sinceHeartbeat", time.Since(w.receivedAt)).Bool("responseHeld", w.pendingResponse != nil).
		Str("reason", reason).Msg("dispatcher: worker incarnation ended")
	d.removeWorker(w)
	d.addLoss(w.report.WorkerIncarnation, w, true)
}

// removeWorker deletes a worker from the worker table and releases its delayed
// response. d.mu must be held.
func (d *Dispatcher) removeWorker(w *worker) {
	w.releaseResponse()
	delete(w.withUnrecorded, w)
	w.withUnrecorded = nil
	if d.workers[w.report.Name] == w {
		delete(d.workers, w.report.Name)
		d.sorted = nil
		if w.isDirect {
			d.directWorkers--
		}
	}
	for run := range w.loadEstimates {
		d.removeLoadEstimate(w, run)
	}
}

// heartbeatTransit is the longest time from the sending of a heartbeat to its
// arrival at the leader without a partition: a worker sends its report to another
// process after a second without a response.
const heartbeatTransit = time.Second

// pendingLoss is the loss of a worker incarnation that is not committed yet.
type pendingLoss struct {
	carobrock.LostWorker
	// endedAt is when the end of the incarnation was noticed, zero if the leases of
	// its runs had expired before.
	endedAt time.Time
	// leaseExpiry is when the leases of its runs have expired.
	leaseExpiry time.Time
}

// isDue reports whether the loss may be proposed.
func (l *pendingLoss) isDue(now time.Time) bool {
	return !now.Before(l.endedAt.Add(heartbeatTransit)) || now.After(l.leaseExpiry)
}

// addLoss adds the loss of a worker incarnation, which a placement round proposes.
// Checkpoints are included if w is not nil. incarnationEnded is set if the
// incarnation itself has ended. Its last heartbeats may then still be on their way,
// so that its loss is due when they have arrived, but not later than without its
// known end. d.mu must be held.
func (d *Dispatcher) addLoss(incarnation carobrock.WorkerIncarnation, w *worker, incarnationEnded bool) {
	lost, isKnown := d.losses[incarnation]
	lost.Incarnation = incarnation
	if !isKnown {
		lost.MayHaveCrashed = w == nil || !w.report.Leaving
		lost.IsWidespread = d.isWidespread(w, time.Now())
	}
	if incarnationEnded && !lost.IncarnationEnded {
		lost.IncarnationEnded = true
		if !isKnown {
			lost.endedAt, lost.leaseExpiry = time.Now(), d.leaseExpiry(w)
		}
	}
	if w != nil {
		lost.Checkpoints, lost.Proven = w.checkpoints(), append(w.provenRuns(), w.unsentRuns()...)
		w.releaseResponse()
	}
	d.losses[incarnation] = lost
	d.wakePlacement()
}

// isBeingLost reports whether the loss of a worker incarnation is not committed
// yet. d.mu must be held.
func (d *Dispatcher) isBeingLost(incarnation carobrock.WorkerIncarnation) bool {
	_, ok := d.losses[incarnation]
	return ok
}

// checkpoints returns the newest reported checkpoint of each run on the worker.
func (w *worker) checkpoints() []carobrock.RunCheckpoint {
	var out []carobrock.RunCheckpoint
	for run, x := range w.reported {
		if x.Checkpoint != "" {
			out = append(out, carobrock.RunCheckpoint{Task: run.Task, Attempt: run.Attempt, Checkpoint: x.Checkpoint})
		}
	}
	return out
}

// logLateEnds logs the ends in an overtaken heartbeat, and those of runs after which
// another run of the task was assigned. A success among the latter does not count.
func (d *Dispatcher) logLateEnds(r *carobrock.WorkerReport, ends []carobrock.RunEnd, isOvertaken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.StateMachine.View(func(s *bookkeeper.State) {
		for i := range ends {
			e := &ends[i]
			_, _, t := s.Task(e.Task)
			isSuperseded := t != nil && t.Attempt > e.Attempt
			if !isOvertaken && !isSuperseded {
				continue
			}
			d.Logger.Warn().Str("worker", r.Name).Int64("started", r.Started).Uint64("sequence", r.Sequence).
				Str("job", e.Task.Job).Int("occurrence", e.Task.Occurrence).Int("step", e.Task.Step).Int("index", e.Task.Index).
				Uint64("attempt", e.Attempt).Str("kind", string(e.Kind)).Bool("overtaken", isOvertaken).Bool("superseded", isSuperseded).
				Dur("sinceWorkerEnded", d.sinceEnd(s, r.WorkerIncarnation)).Msg("dispatcher: end of a run arrived late")
		}
	})
}

// sinceEnd returns the time since the end of a worker incarnation, zero if it has
// not ended. d.mu must be held.
func (d *Dispatcher) sinceEnd(s *bookkeeper.State, incarnation carobrock.WorkerIncarnation) time.Duration {
	if lost := d.losses[incarnation]; !lost.endedAt.IsZero() {
		return time.Since(lost.endedAt)
	}
	if rec := s.Workers[incarnation]; rec != nil && rec.EndedUnixMillis != 0 {
		return heartbeatTransit + d.Now().Sub(time.UnixMilli(rec.EndedUnixMillis))
	}
	return 0
}

// respondToOvertaken returns the response to a heartbeat that was overtaken. It is
// empty after a newer heartbeat, as the sender no longer waits for it. After the end
// of the incarnation it stops all runs: if a late removal from an earlier incarnation
// has ended a worker that still runs, its tasks are about to start elsewhere.
func (d *Dispatcher) respondToOvertaken(r *carobrock.WorkerReport) (*carobrock.HeartbeatResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	response := &carobrock.HeartbeatResponse{}
	if !d.hasEnded(r.WorkerIncarnation) {
		return response, nil
	}
	response.FencingToken, response.AckedThrough = d.term, d.lastEndNumber(r.WorkerIncarnation)
	b := newResponseBudget(response)
	for i := range r.Running {
		b.addStop(r.Running[i].Run)
	}
	if b.isExhausted {
		response.RetryMillis = incompleteRetryMillis
	}
	if err := d.checkTerm(response.FencingToken); err != nil {
		return nil, err
	}
	return response, nil
}

// RemoveWorker implements carobrock.JobControl. It ignores a worker that has not
// reported that it is leaving, or that has more than heartbeatTransit left by its
// last report: the call may be a late one of an earlier incarnation. If such a worker
// has left all the same, its leases expire.
func (d *Dispatcher) RemoveWorker(_ context.Context, name string) error {
	if err := d.ensureLeader(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.workers[name]
	if w == nil || !w.report.Leaving {
		d.Logger.Info().Str("worker", name).Bool("known", w != nil).Msg("dispatcher: removal of a worker that is not leaving ignored")
		return nil
	}
	remaining := time.Until(w.receivedAt.Add(time.Duration(w.report.RemainingMillis) * time.Millisecond))
	if remaining > heartbeatTransit {
		d.Logger.Info().Str("worker", name).Dur("remaining", remaining).Msg("dispatcher: removal of a worker that has time left ignored")
		return nil
	}
	d.endIncarnation(w, "worker left")
	return nil
}
