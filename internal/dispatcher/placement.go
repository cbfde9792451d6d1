package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/pacer"
	"github.com/carobrock/carobrock/internal/ranker"
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
		if w := d.workers[incarnation.Name]; w != nil && w.report.WorkerIncarnation == incarnation {
			d.removeWorker(w)
		}
	}
	for i := range c.Withdrawn {
		if w := d.workers[c.Withdrawn[i].Incarnation.Name]; w != nil {
			run := carobrock.Run{Task: c.Withdrawn[i].Task, Attempt: c.Withdrawn[i].Attempt}
			delete(w.withdrawalProposed, run)
			delete(w.assigned, run)
		}
	}
	for i := range c.Assign {
		if w := d.workers[c.Assign[i].Incarnation.Name]; w != nil {
			w.assigned[carobrock.Run{Task: c.Assign[i].Task, Attempt: c.Assign[i].Attempt}] = true
			w.releaseResponse()
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
		w := d.workers[incarnation.Name]
		if w != nil && w.report.WorkerIncarnation != incarnation {
			w = nil
		}
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

// waitingRequests returns the waiting tasks that are due, most urgent first, except
// those in ending. Unless includeAll is set, fillers are left out if some were left over in the last
// round that considered all: there are many of them, the loads of services change
// slowly, and new jobs must not overtake those that wait. Jobs for which a worker is
// kept free are not left out. Left out as well are tasks
// that do not fit in what the limit of their client account leaves. round is nil if
// there are no accounts.
func (d *Dispatcher) waitingRequests(s *bookkeeper.State, round *accountRound, includeAll bool, ending map[carobrock.TaskRef]bool, candidates []*allocator.Worker, now time.Time) []allocator.Request {
	ranked := d.ranked[:0]
	endingJobs := map[string]bool{}
	for task := range ending {
		endingJobs[task.Job] = true
	}
	suspects := d.newSuspectQueue(s, now)
	nowMillis := d.Now().UnixMilli()
	for _, j := range s.Open {
		if j.Queue.Pool == "" {
			continue
		}
		endingTasks := ending
		if !endingJobs[j.Spec.ID] {
			endingTasks = nil
		}
		account := 0
		if round != nil {
			account = d.accountIndex(s, j.Spec.Account)
		}
		for k, o := range j.Occurrences {
			if j.Spec.DueUnixMillis(k) > nowMillis {
				break
			}
			for i := range j.Spec.Steps {
				if j.Spec.Steps[i].Filler && !includeAll && d.fillersWait && !d.aging.reservedJobs[j.Spec.ID] {
					continue
				}
				if round != nil && !includeAll && !round.mayPlace(account, &j.Spec.Steps[i]) {
					continue
				}
				if r, ok := newRequest(j, o, k, i, endingTasks); ok {
					if round != nil && !d.admitRequest(s, round, account, &r, now) {
						continue
					}
					r.MinPaceFraction = minPaceFraction
					if j.Queue.Policy != nil {
						d.fillTickets(&r, j.Queue.Policy, candidates, now)
					}
					urgency := ranker.UrgencyOf(j, o, k, i, nowMillis)
					if len(s.Suspects) == 0 {
						ranked = append(ranked, rankedRequest{r, urgency, j})
						continue
					}
					for _, part := range suspects.splitRequest(&r) {
						ranked = append(ranked, rankedRequest{part, urgency, j})
					}
				}
			}
		}
	}
	if includeAll {
		d.suspectsSince = suspects.since
	}
	ranked = d.promoteAged(s, ranked, includeAll, candidates, now)
	d.ranked = ranked
	order := sortedOrder(ranked)
	if round != nil {
		sorted := make([]rankedRequest, len(ranked))
		for i, k := range order {
			sorted[i] = ranked[k]
		}
		return d.shareRequests(s, round, sorted, candidates)
	}
	out := make([]allocator.Request, len(ranked))
	for i, k := range order {
		out[i] = ranked[k].Request
	}
	return out
}

// sortedOrder returns the indices of the requests in the order of their urgency, those
// of equal urgency in the given order. It moves indices instead of requests, which are
// large.
func sortedOrder(ranked []rankedRequest) []int {
	order := make([]int, len(ranked))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, k int) int {
		a, b := &ranked[i], &ranked[k]
		return cmp.Or(compareIsolation(&a.Request, &b.Request), a.urgency.Compare(b.urgency), cmp.Compare(i, k))
	})
	return order
}

// rankedRequest is a request with its urgency.
type rankedRequest struct {
	allocator.Request
	urgency ranker.Urgency
	job     *bookkeeper.Job
}

// hasUnplacedFillers reports whether some fillers of the requests are not among the
// assignments, except those that wait because of the limit of their account.
func hasUnplacedFillers(requests []allocator.Request, assigned []carobrock.TaskAssignment) bool {
	placed := map[string]int{}
	for i := range assigned {
		placed[assigned[i].Task.Job]++
	}
	for i := range requests {
		r := &requests[i]
		if !r.Step.Filler || r.IsSuspect {
			continue
		}
		if placed[r.Job] -= len(r.Indices) - r.HeldCount; placed[r.Job] < 0 {
			return true
		}
	}
	return false
}

// minPaceFraction is the fraction of its full speed at which a filler must be
// able to run on the worker where it is placed, as a slower one would occupy
// memory for long.
const minPaceFraction = 1.0

// sharedCount is the number of tasks up to which requests of steps without any runs
// share their indices and attempts.
const sharedCount = 256

// sharedIndices and sharedAttempts are those of the tasks of a step without any runs.
// They must not be changed.
var sharedIndices, sharedAttempts = newTaskLists(sharedCount)

// newTaskLists returns the indices and the next attempts of n tasks without any runs.
func newTaskLists(n int) (indices []int, attempts []uint64) {
	indices, attempts = make([]int, n), make([]uint64, n)
	for i := range n {
		indices[i], attempts[i] = i, 1
	}
	return indices, attempts
}

// newRequest returns a request for the waiting tasks of a step. It returns false
// if there are none, or the steps that it depends on are not done, or runs of a
// gang are still active. It leaves out the tasks in ending, as these may be done.
func newRequest(j *bookkeeper.Job, o *bookkeeper.Occurrence, k, i int, ending map[carobrock.TaskRef]bool) (allocator.Request, bool) {
	step := &j.Spec.Steps[i]
	if o != nil && o.Steps[i].WaitingCount() == 0 || !j.IsReady(o, i) {
		return allocator.Request{}, false
	}
	if step.Gang && o != nil && o.Steps[i].ActiveCount > 0 {
		return allocator.Request{}, false
	}
	r := allocator.Request{Job: j.Spec.ID, Occurrence: k, StepNumber: i, Step: step, Pool: j.Queue.Pool}
	if step.MaxPerWorker > 0 {
		r.RunsPerWorker = map[carobrock.WorkerIncarnation]int{}
	}
	if o == nil {
		r.Indices, r.Attempts = sharedIndices, sharedAttempts
		if step.Count > sharedCount {
			r.Indices, r.Attempts = newTaskLists(step.Count)
		}
		r.Indices, r.Attempts = r.Indices[:step.Count:step.Count], r.Attempts[:step.Count:step.Count]
		return r, len(r.Indices) > 0
	}
	waiting := o.Steps[i].WaitingCount()
	r.Indices, r.Attempts = make([]int, 0, waiting), make([]uint64, 0, waiting)
	for n := range o.Steps[i].Tasks {
		t := &o.Steps[i].Tasks[n]
		for _, run := range t.Runs {
			if r.RunsPerWorker != nil {
				r.RunsPerWorker[run.Incarnation]++
			}
		}
		if t.Done || len(t.Runs) > 0 {
			continue
		}
		if ending[carobrock.TaskRef{Job: j.Spec.ID, Occurrence: k, Step: i, Index: n}] {
			if step.Gang {
				return allocator.Request{}, false
			}
			continue
		}
		r.Indices = append(r.Indices, n)
		r.Attempts = append(r.Attempts, t.Attempt+1)
	}
	return r, len(r.Indices) > 0
}
