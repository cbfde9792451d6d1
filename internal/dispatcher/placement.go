package dispatcher

import (
	"context"
	"time"
	"unsafe"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/pacer"
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// roundInterval is the maximum time between placement rounds. Without events,
	// lost workers, repeated jobs and waiting tasks are checked at this interval.
	roundInterval = 100 * time.Millisecond
	// minRoundPause is the minimum time between placement rounds, a fraction of the
	// time of a commit, so that each round handles more work.
	minRoundPause = 4 * time.Millisecond
	// maxAssignments bounds the assignments of one round, so that a burst of tasks
	// does not delay heartbeats.
	maxAssignments = 300
	// silentAfter is the time since its last heartbeat and the response to it after
	// which a worker gets no new tasks: a few times the usual heartbeat interval.
	silentAfter = 600 * time.Millisecond
	// modelRecordInterval is the interval at which the interference model is
	// written to the replicated state. A new leader relearns what was not yet
	// recorded in about the same time.
	modelRecordInterval = 2 * time.Second
	// loadLogInterval is the interval at which the load of the leader is logged.
	loadLogInterval = 5 * time.Second
	// minLoggedRound is the least number of requests of a round that logRoundSize logs.
	minLoggedRound = 256
)

// runPlacement executes placement rounds until ctx is done.
func (d *Dispatcher) runPlacement(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wakeup:
		case <-ticker.C:
		}
		if sleeper.Sleep(ctx, minRoundPause) != nil || d.ensureLeader() != nil {
			continue
		}
		c, term := d.planRound(time.Now())
		if c == nil {
			continue
		}
		res, err := d.proposeCommand(ctx, term, c)
		if err != nil {
			d.Logger.Warn().Err(err).Int("assignments", len(c.Assign)).Msg("dispatcher: placement command failed or its outcome is unknown")
			continue
		}
		d.updateWorkersAfterCommit(c)
		d.logCrashes(c, res)
	}
}

// updateWorkersAfterCommit updates the worker table after a command was
// committed. Lost workers are removed, so that they can register again,
// withdrawn runs are no longer marked, and the delayed responses to workers
// with new runs are released.
func (d *Dispatcher) updateWorkersAfterCommit(c *carobrock.JobCommand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range c.Lost {
		incarnation := c.Lost[i].Incarnation
		if d.losses[incarnation].IncarnationEnded == c.Lost[i].IncarnationEnded {
			delete(d.losses, incarnation)
		}
		if w := d.currentWorker(incarnation); w != nil {
			d.removeWorker(w)
		}
	}
	for i := range c.Withdrawn {
		if w := d.currentWorker(c.Withdrawn[i].Incarnation); w != nil {
			run := carobrock.Run{Task: c.Withdrawn[i].Task, Attempt: c.Withdrawn[i].Attempt}
			delete(w.withdrawalProposed, run)
			delete(w.assigned, run)
		}
	}
	for i := range c.Assign {
		incarnation, run := c.Assign[i].Incarnation, carobrock.Run{Task: c.Assign[i].Task, Attempt: c.Assign[i].Attempt}
		if w := d.currentWorker(incarnation); w != nil {
			w.assigned[run] = true
			w.releaseResponse()
		}
		// It gets no orders any more, so that the run cannot be the cause of its loss.
		if lost, ok := d.losses[incarnation]; ok {
			lost.Proven = append(lost.Proven, run)
			d.losses[incarnation] = lost
		}
	}
}

// planRound returns the command to commit in this round, nil if there is none,
// and the term in which it may be committed.
func (d *Dispatcher) planRound(now time.Time) (*carobrock.JobCommand, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	began := time.Now()
	defer func() {
		d.roundCount++
		d.planTime += time.Since(began)
	}()
	c := &carobrock.JobCommand{}
	// An end that is committed in between is found here or in the state.
	ending := d.batcher.tasksWithUncommittedEnds()
	d.StateMachine.View(func(s *bookkeeper.State) {
		d.findLostWorkers(s, now)
		for _, lost := range d.losses {
			if lost.isDue(now) {
				c.Lost = append(c.Lost, lost.LostWorker)
			}
		}
		d.withdrawUnstartedRuns(s, now, c)
		round := d.newAccountRound(s)
		d.withdrawBeyondLimits(s, round, now, c)
		d.releaseResponsesWithStops(s)
		candidates := d.candidateWorkers(s, now)
		isFull := now.Sub(d.lastFullRound) >= roundInterval
		d.resetAging()
		requests := d.waitingRequests(s, round, isFull, ending, candidates, now)
		if len(requests) > 0 {
			c.Assign = d.allocator.Place(requests, candidates, maxAssignments)
			d.settleAging(s, requests, len(candidates), isFull, now)
			d.markIsolated(requests, c)
			d.recordMachines(s, c)
			for i := range c.Assign {
				d.dropCandidate(c.Assign[i].Incarnation)
			}
		}
		d.recordHeldBack(s, round, requests, c.Assign, isFull, now)
		if isFull {
			d.lastFullRound = now
			d.forgetSilentWorkers(s, now)
			d.fillersWait = hasUnplacedFillers(requests, c.Assign)
			d.rhythm.adjust()
			d.recordWaits(s, requests, c.Assign, now)
			d.logLoad(s, now)
			d.moveSlowedFillers(s, candidates, now)
			d.evictShortages(s, now)
			d.dropStaleAdvice(now)
			d.refusals.dropStale(now)
			d.findProvenRuns(s, c)
		}
	})
	if now.Sub(d.modelRecordedAt) >= modelRecordInterval {
		d.modelRecordedAt = now
		c.Interference = pacer.Export(&d.model, &d.baseline)
	}
	if len(c.Lost)+len(c.Withdrawn)+len(c.Assign)+len(c.Proven)+len(c.Survivors) == 0 && c.Interference == nil {
		return nil, 0
	}
	return c, d.term
}

// logRoundSize logs the size of a round, also while it grows, whenever it is twice that of
// the largest round logged in this process: the memory of a leader follows it. d.mu must
// be held.
func (d *Dispatcher) logRoundSize(s *bookkeeper.State, ranked []rankedRequest) {
	if len(ranked) < 2*d.largestRound || len(ranked) < minLoggedRound {
		return
	}
	d.largestRound = len(ranked)
	d.Logger.Info().Int("requests", len(ranked)).Int("bytes", cap(ranked)*int(unsafe.Sizeof(rankedRequest{}))).
		Str("job", ranked[len(ranked)-1].Job).Int("openJobs", len(s.Open)).Msg("dispatcher: largest placement round")
}

// logLoad logs the load of the leader every loadLogInterval. d.mu must be held.
func (d *Dispatcher) logLoad(s *bookkeeper.State, now time.Time) {
	if now.Sub(d.loadLoggedAt) < loadLogInterval {
		return
	}
	d.loadLoggedAt = now
	d.Logger.Info().Int("workers", len(d.workers)).Int("openJobs", len(s.Open)).Dur("period", d.rhythm.currentPeriod()).
		Dur("lateness", d.rhythm.meanLateness).Uint64("heartbeats", d.heartbeatCount).Uint64("rounds", d.roundCount).Dur("planTime", d.planTime).Msg("dispatcher: load")
}

// inheritedLeaseExpiry returns the time by which all leases of earlier leaders have
// expired.
func (d *Dispatcher) inheritedLeaseExpiry() time.Time {
	return latestLeaseExpiry(d.termStart, d.inheritedLease)
}

// leaseExpiry returns the time by which all leases of a worker have expired. w is
// nil if the worker sent no heartbeat in this term. d.mu must be held.
func (d *Dispatcher) leaseExpiry(w *worker) time.Time {
	expiry := d.inheritedLeaseExpiry()
	if w != nil && w.leaseExpiry.After(expiry) {
		return w.leaseExpiry
	}
	return expiry
}

// findLostWorkers adds the losses of the worker incarnations with runs whose
// leases have all expired.
func (d *Dispatcher) findLostWorkers(s *bookkeeper.State, now time.Time) {
	for incarnation, rec := range s.Workers {
		if len(rec.Runs) == 0 || d.isBeingLost(incarnation) {
			continue
		}
		w := d.currentWorker(incarnation)
		if !now.After(d.leaseExpiry(w)) {
			continue
		}
		if w == nil {
			d.Logger.Warn().Str("worker", incarnation.Name).Int("runs", len(rec.Runs)).Msg("dispatcher: worker sent no heartbeat in this term and its leases have expired; its runs are lost")
		} else {
			d.Logger.Warn().Str("worker", incarnation.Name).Int("runs", len(rec.Runs)).Dur("silent", now.Sub(w.receivedAt)).Msg("dispatcher: worker is silent and its leases have expired; its runs are lost")
		}
		d.addLoss(incarnation, w, false)
	}
}

// forgetSilentWorkers forgets the workers without runs that sent no heartbeat for as
// long as a lease. A shorter silence may have ended with a heartbeat that is waiting
// for its response, and for which this round assigns a task.
func (d *Dispatcher) forgetSilentWorkers(s *bookkeeper.State, now time.Time) {
	for _, w := range d.workers {
		if !now.After(latestLeaseExpiry(w.receivedAt, d.Settings.Lease)) || d.isBeingLost(w.report.WorkerIncarnation) {
			continue
		}
		if rec := s.Workers[w.report.WorkerIncarnation]; rec == nil || len(rec.Runs) == 0 {
			d.Logger.Info().Str("worker", w.report.Name).Dur("silent", now.Sub(w.receivedAt)).Msg("dispatcher: worker without runs is silent; it is forgotten until it is heard of again")
			d.removeWorker(w)
		}
	}
}

// withdrawUnstartedRuns adds to c the runs that have certainly not reached
// their worker and that the worker cannot or need not start any more.
func (d *Dispatcher) withdrawUnstartedRuns(s *bookkeeper.State, now time.Time, c *carobrock.JobCommand) {
	for name, w := range d.workers {
		runs := d.withdrawableRuns(s, w, now)
		if len(runs) == 0 {
			continue
		}
		v, silent := &w.view, w.isSilent(now)
		for _, run := range runs {
			if silent || !d.mayStartRuns(s, w) || !s.IsActive(w.report.WorkerIncarnation, run) || w.withdrawalProposed[run] || v.excess[run] {
				w.withdrawalProposed[run] = true
				d.Logger.Info().Str("worker", name).Str("job", run.Task.Job).Uint64("attempt", run.Attempt).Bool("silent", silent).Bool("exceedsCapacity", v.excess[run]).Msg("dispatcher: proposing to withdraw a run that its worker has not started")
				c.Withdrawn = append(c.Withdrawn, carobrock.WithdrawnRun{Incarnation: w.report.WorkerIncarnation, Task: run.Task, Attempt: run.Attempt})
			}
		}
	}
}

// withdrawableRuns returns the runs that have certainly not reached a worker. An
// earlier leader may have sent a run in its response to a later heartbeat than the one
// that this leader has received, so its runs may be withdrawn only after its leases.
// d.mu must be held.
func (d *Dispatcher) withdrawableRuns(s *bookkeeper.State, w *worker, now time.Time) (out []carobrock.Run) {
	v := w.updateView(s)
	if len(v.unstarted) == 0 || d.isBeingLost(w.report.WorkerIncarnation) {
		return nil
	}
	inheritedExpiry := d.inheritedLeaseExpiry()
	for _, run := range v.unstarted {
		if !w.startsSent[run] && (w.assigned[run] || now.After(inheritedExpiry)) {
			out = append(out, run)
		}
	}
	return out
}

// releaseResponsesWithStops releases the delayed responses to workers with runs
// that are no longer active, so that stop orders are sent.
func (d *Dispatcher) releaseResponsesWithStops(s *bookkeeper.State) {
	for _, w := range d.workers {
		if w.pendingResponse != nil && len(w.updateView(s).inactive) > 0 {
			w.releaseResponse()
		}
	}
}
