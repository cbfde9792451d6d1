package dispatcher

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/locator"
)

// decayFactor returns the weight that remains after d of exponential decay with
// the given half-life: 2^(-d/halfLife).
func decayFactor(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

// Heartbeat implements carobrock.JobControl. It records the reported ends of
// runs, waits for orders, at most until the response delay has passed, and returns
// the orders.
func (d *Dispatcher) Heartbeat(ctx context.Context, r *carobrock.WorkerReport) (*carobrock.HeartbeatResponse, error) {
	received := time.Now()
	if err := d.checkReport(r); err != nil {
		return nil, err
	}
	if err := d.ensureLeader(); err != nil {
		return nil, err
	}
	if response := d.respondToUnusable(r, received); response != nil {
		return response, nil
	}
	w, isNewest := d.recordHeartbeat(r, received)
	if err := d.recordEnds(ctx, w, r); err != nil {
		return nil, err
	}
	if !isNewest {
		return d.respondToOvertaken(r)
	}
	d.awaitOrders(ctx, w, r, received)
	return d.buildResponse(w, r, received)
}

// maxClockLead is how far a worker's clock may be ahead of the leader's.
const maxClockLead = time.Hour

// checkReport fails with carobrock.ErrRefused if r is invalid. A report from the far
// future is, as it would end all workers of its machine and keep out the next ones.
func (d *Dispatcher) checkReport(r *carobrock.WorkerReport) error {
	if err := r.Check(); err != nil {
		return err
	}
	if r.Started > d.Now().Add(maxClockLead).UnixMilli() {
		return eris.Wrapf(carobrock.ErrRefused, "the worker's start %d is in the future", r.Started)
	}
	return nil
}

// respondToUnusable returns the response to a heartbeat of which nothing may be
// recorded, nil if the heartbeat is to be recorded. The response has no effect but
// to keep the sender calling: the configuration may name its pool later.
func (d *Dispatcher) respondToUnusable(r *carobrock.WorkerReport, now time.Time) *carobrock.HeartbeatResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isPoolConfigured(r.Pool) || d.isKnown(r) {
		return nil
	}
	if now.Sub(d.unusableLoggedAt) >= loadLogInterval {
		d.unusableLoggedAt = now
		d.Logger.Warn().Str("worker", r.Name).Int64("started", r.Started).Str("machine", r.Machine).Str("pool", r.Pool).
			Msg("dispatcher: heartbeat ignored, as no configuration in force names its pool")
	}
	return &carobrock.HeartbeatResponse{RetryMillis: d.rhythm.currentPeriod().Milliseconds()}
}

// isPoolConfigured reports whether the configuration in force contains a pool. Before
// the first configuration none does: no job has a pool then, so no worker is needed,
// and a foreign sender could otherwise end a worker before its pool is configured.
func (d *Dispatcher) isPoolConfigured(name string) (ok bool) {
	d.StateMachine.View(func(s *bookkeeper.State) {
		ok = s.Configuration != nil && slices.ContainsFunc(s.Configuration.Pools, func(p carobrock.WorkerPool) bool { return p.Name == name })
	})
	return ok
}

// isKnown reports whether the sender of r is a worker incarnation that is known in
// this term or recorded. If its pool was removed from the configuration, it must
// still report the ends of its runs and be told to stop them. A heartbeat that names
// another pool than the ones before comes from another sender. d.mu must be held.
func (d *Dispatcher) isKnown(r *carobrock.WorkerReport) (ok bool) {
	if w := d.workers[r.Name]; w != nil && w.report.WorkerIncarnation == r.WorkerIncarnation {
		return w.report.Pool == r.Pool
	}
	d.StateMachine.View(func(s *bookkeeper.State) { ok = s.Workers[r.WorkerIncarnation] != nil })
	return ok || d.isBeingLost(r.WorkerIncarnation)
}

// recordHeartbeat stores a heartbeat in the worker table. It returns false if a
// newer heartbeat, a newer incarnation of the worker or the end of its incarnation
// is already known. A worker whose pool is not configured ends no other one.
func (d *Dispatcher) recordHeartbeat(r *carobrock.WorkerReport, now time.Time) (*worker, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heartbeatCount++
	w := d.workers[r.Name]
	if w != nil && w.report.WorkerIncarnation == r.WorkerIncarnation {
		// The first heartbeat of a term may name a pool that is not configured and come
		// from another sender. It does not keep out the worker of a configured one.
		isOvertaken := r.Sequence <= w.report.Sequence
		if isOvertaken && (d.isPoolConfigured(w.report.Pool) || !d.isPoolConfigured(r.Pool)) {
			return nil, false
		}
	} else {
		if w != nil && r.Started < w.report.Started || d.isSuperseded(r) || d.hasEnded(r.WorkerIncarnation) {
			return nil, false
		}
		isUsable := d.isPoolConfigured(r.Pool)
		if w != nil && !isUsable && d.isPoolConfigured(w.report.Pool) {
			return nil, false
		}
		if w != nil {
			d.endIncarnation(w, "worker was restarted")
		}
		w = newWorker()
		w.withUnrecorded = d.accounts.withUnrecorded
		// The worker may hold a lease from a lost response of this leader. Without an
		// expiry time it would count as lost before its first response.
		w.leaseExpiry = latestLeaseExpiry(now, d.Settings.Lease)
		d.workers[r.Name], d.sorted = w, nil
		if d.Settings.MaxDirectWorkers == 0 || d.directWorkers < d.Settings.MaxDirectWorkers {
			w.isDirect = true
			d.directWorkers++
		}
		if isUsable {
			d.endEarlierIncarnations(r)
		}
		d.Logger.Info().Str("worker", r.Name).Int64("started", r.Started).Str("machine", r.Machine).
			Str("availabilityZone", r.AvailabilityZone).Msg("dispatcher: worker joined")
	}
	if r.Leaving && (w.report == nil || !w.report.Leaving) {
		d.Logger.Info().Str("worker", r.Name).Int64("remainingMillis", r.RemainingMillis).Msg("dispatcher: worker is leaving")
	}
	w.releaseResponse()
	previous := w.report
	w.updateReport(r, now)
	d.StateMachine.View(func(s *bookkeeper.State) {
		d.logCapacityChange(s, w, previous)
		d.updateLoadEstimates(s, w, now)
		d.updatePaces(s, w, now)
		if rec := s.Workers[r.WorkerIncarnation]; rec != nil {
			w.markRunsToStop(rec.Runs, now)
		}
	})
	return w, true
}

// recordEnds commits the reported ends of runs that the replicated state does not
// yet hold. w is nil if the heartbeat was overtaken.
func (d *Dispatcher) recordEnds(ctx context.Context, w *worker, r *carobrock.WorkerReport) error {
	last := d.lastEndNumber(r.WorkerIncarnation)
	var ends []carobrock.RunEnd
	for _, e := range r.Ends {
		if e.Number > last {
			ends = append(ends, e)
		}
	}
	if len(ends) == 0 {
		return nil
	}
	d.logLateEnds(r, ends, w == nil)
	d.recordRefusals(r, ends)
	if w != nil {
		d.recordOutcomes(w, ends)
	}
	_, _, err := d.commitPart(ctx, func(c *carobrock.JobCommand) int {
		c.Ends = append(c.Ends, carobrock.WorkerEnds{Incarnation: r.WorkerIncarnation, Ends: ends})
		return 0
	})
	return err
}

// lastEndNumber returns the number of the last recorded end of a worker
// incarnation, zero if there is none.
func (d *Dispatcher) lastEndNumber(incarnation carobrock.WorkerIncarnation) (n uint64) {
	d.StateMachine.View(func(s *bookkeeper.State) {
		if rec := s.Workers[incarnation]; rec != nil {
			n = rec.LastEndNumber
		}
	})
	return n
}

// recordOutcomes updates the worker's failure statistics with ended runs.
func (d *Dispatcher) recordOutcomes(w *worker, ends []carobrock.RunEnd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for i := range ends {
		switch ends[i].Kind {
		case carobrock.EndFailed:
			w.outcomes.addOutcomes(now, 1, 0)
		case carobrock.EndSucceeded:
			w.outcomes.addOutcomes(now, 0, 1)
		}
	}
}

// awaitOrders blocks until there are orders for the worker, a newer heartbeat
// arrives, the response delay since the given time has passed or ctx is done. It
// returns at once for a leaving worker: that one starts nothing, and lists the end
// of a run only after the response, which may be after its last chance.
func (d *Dispatcher) awaitOrders(ctx context.Context, w *worker, r *carobrock.WorkerReport, received time.Time) {
	d.mu.Lock()
	if w.report != r || r.Leaving || d.hasOrders(w) {
		d.mu.Unlock()
		return
	}
	released := make(chan struct{})
	w.pendingResponse = released
	due := received.Add(d.rhythm.responseDelay())
	d.mu.Unlock()
	d.wakePlacement()
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	lateness := time.Duration(-1)
	select {
	case <-released:
	case <-timer.C:
		lateness = time.Since(due)
	case <-ctx.Done():
	}
	d.mu.Lock()
	if lateness >= 0 {
		d.rhythm.observe(lateness)
	}
	if w.pendingResponse == released {
		w.pendingResponse = nil
	}
	d.mu.Unlock()
}

// hasOrders reports whether a run is to be started, stopped or given a new pace.
// d.mu must be held.
func (d *Dispatcher) hasOrders(w *worker) (found bool) {
	d.StateMachine.View(func(s *bookkeeper.State) {
		v := w.updateView(s)
		found = len(v.inactive) > 0 || len(w.stopReasons) > 0 || w.hasUnsentPaces()
		for i := 0; i < len(v.unstarted) && !found; i++ {
			found = d.isStartable(s, w, v.unstarted[i])
		}
	})
	return found
}

// buildResponse returns the orders for a worker and extends its lease. The orders
// are empty if a newer heartbeat has arrived, the worker was removed from the table,
// its loss is being committed or the next leader would not know the length of its lease. It fails with a *locator.NotLeaderError if this replica is no longer
// the leader.
func (d *Dispatcher) buildResponse(w *worker, r *carobrock.WorkerReport, received time.Time) (*carobrock.HeartbeatResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.report != r || d.workers[r.Name] != w || d.isBeingLost(r.WorkerIncarnation) || !d.isLeaseRecorded() {
		return &carobrock.HeartbeatResponse{RetryMillis: d.rhythm.retryMillis()}, nil
	}
	response := &carobrock.HeartbeatResponse{
		FencingToken: d.term, LeaseMillis: d.Settings.Lease.Milliseconds(), RetryMillis: d.rhythm.retryMillis(),
	}
	if w.isDirect {
		response.NextAddress = d.WorkerAddress
	}
	isComplete := true
	d.StateMachine.View(func(s *bookkeeper.State) {
		if rec := s.Workers[r.WorkerIncarnation]; rec != nil {
			response.AckedThrough = rec.LastEndNumber
		}
		isComplete = d.deriveOrders(s, w, response, received)
	})
	switch {
	case r.Leaving:
		response.RetryMillis = d.rhythm.currentPeriod().Milliseconds()
	case !isComplete:
		response.RetryMillis = min(response.RetryMillis, incompleteRetryMillis)
	}
	w.respondedAt = time.Now()
	for i := range response.Start {
		w.startsSent[response.Start[i].Run] = true
	}
	w.markPacesSent(response.Pace, received)
	if end := latestLeaseExpiry(received, d.Settings.Lease); end.After(w.leaseExpiry) {
		w.leaseExpiry = end
	}
	if err := d.checkTerm(response.FencingToken); err != nil {
		return nil, err
	}
	return response, nil
}

// checkTerm returns a *locator.NotLeaderError unless this replica leads in the
// given term. d.mu must be held.
func (d *Dispatcher) checkTerm(term uint64) error {
	if current, ok := d.Leadership.Term(); !ok || current != term {
		return &locator.NotLeaderError{Leader: d.Leadership.LeaderAddress()}
	}
	return nil
}

// isLeaseRecorded reports whether the replicated state tells later leaders of leases
// as long as those that this leader grants.
func (d *Dispatcher) isLeaseRecorded() (ok bool) {
	d.StateMachine.View(func(s *bookkeeper.State) { ok = s.LeaseMillis >= d.Settings.Lease.Milliseconds() })
	return ok
}

// latestLeaseExpiry returns the time by which a lease granted in response to a
// heartbeat received at the given time has certainly expired on the worker's
// clock.
func latestLeaseExpiry(at time.Time, lease time.Duration) time.Time {
	return at.Add(time.Duration(float64(lease)*(1+clockDrift)) + leaseSlack)
}

// deriveOrders adds start, stop and pace orders to response, derived from the
// replicated state and the newest heartbeat, as far as they fit into a response. It
// returns false if some are left for the next one. Stops come first, as they free
// capacity and are short. d.mu must be held.
func (d *Dispatcher) deriveOrders(s *bookkeeper.State, w *worker, response *carobrock.HeartbeatResponse, received time.Time) bool {
	v := w.updateView(s)
	b := newResponseBudget(response)
	for _, run := range v.inactive {
		b.addStop(run)
	}
	for run := range w.stopReasons {
		if s.IsActive(w.report.WorkerIncarnation, run) {
			b.addStop(run)
		}
	}
	for _, pace := range w.duePaces(received) {
		b.addPace(pace)
	}
	for _, run := range v.unstarted {
		if b.isExhausted {
			break
		}
		if !d.isStartable(s, w, run) {
			continue
		}
		j, _, t := s.Task(run.Task)
		b.addStart(carobrock.StartRun{
			Run: run, Payload: j.Spec.Payload, Checkpoint: t.Checkpoint, Ticket: s.Ticket(w.report.WorkerIncarnation, run),
		})
	}
	return !b.isExhausted
}

// isStartable reports whether a recorded run that the worker does not have may be
// started on it. It checks the limit of the client account again, as that may have been
// lowered since the assignment. The view of the worker must be up to date and d.mu must
// be held.
func (d *Dispatcher) isStartable(s *bookkeeper.State, w *worker, run carobrock.Run) bool {
	return d.mayStartRuns(s, w) && !w.withdrawalProposed[run] && !w.view.excess[run] && s.IsActive(w.report.WorkerIncarnation, run) &&
		!d.exceedsLimit(s, s.Jobs[run.Task.Job])
}

// mayStartRuns reports whether the worker may start new runs: it is not leaving,
// and its availability zone is in service.
func (d *Dispatcher) mayStartRuns(s *bookkeeper.State, w *worker) bool {
	return !w.report.Leaving && !s.OutOfServiceZones[w.report.AvailabilityZone]
}
