package dispatcher

import (
	"slices"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const (
	// provenTime is how long a run must have been seen running before its task is
	// ruled out as the cause of a crash: a task that crashes its worker does so soon
	// after its start.
	provenTime = 3 * time.Second
	// settledTime is how long a run must have been seen running before a suspect may
	// be isolated beside it. If the worker then crashes, the suspect is by far the
	// likelier cause.
	settledTime = time.Second
	// maxIsolationWait is how long a suspect waits for a worker of its own before it
	// starts beside other tasks.
	maxIsolationWait = 2 * time.Second
	// unresolvedHold is how long a task waits if as many of its runs were lost with
	// silent workers as may crash under it. It exceeds the time in which a worker is
	// back after a crash, and doubles with each further run.
	unresolvedHold = 30 * time.Second
	// maxHoldDoublings bounds the growth of the hold.
	maxHoldDoublings = 5
	// outageTime is the time within which losses of workers of one availability zone
	// count as one outage: about the spread of the times at which the workers are
	// back.
	outageTime = 3 * time.Second
	// minOutageWorkers is the number of workers that an outage affects at least.
	minOutageWorkers = 2
	// survivorTime is how long a worker whose runs were lost must send heartbeats
	// before it counts as running. A single one may have been held up in transit.
	survivorTime = time.Second
)

// startMode is how the next run of a task may be started.
type startMode int

const (
	// startNormally means that the task is not a suspect.
	startNormally startMode = iota
	// startIsolated means that the task gets a worker that no other task is assigned
	// to until the run is proven or ends. A crash of the worker then gives the task
	// up.
	startIsolated
	// startShared means that the task gets the worker with the fewest runs. A crash
	// of the worker is counted, but does not give the task up.
	startShared
	// startHeld means that the task is not started for now.
	startHeld
)

// chooseStartMode returns how a task may be started: crashes is the number of
// crashes that were counted against it, unresolved the number of its runs that were
// lost with silent workers, which may have crashed, and waited the time since the
// task was first found waiting.
func chooseStartMode(crashes, unresolved int, waited time.Duration) startMode {
	n := crashes + unresolved
	switch {
	case n < bookkeeper.SuspectCrashes:
		return startNormally
	case n >= bookkeeper.MaxCrashes && unresolved > 0 && waited < unresolvedHold<<min(n-bookkeeper.MaxCrashes, maxHoldDoublings):
		return startHeld
	case n < bookkeeper.MaxCrashes && waited >= maxIsolationWait:
		return startShared
	default:
		return startIsolated
	}
}

// suspectQueue decides on the start modes of the waiting suspects of one placement
// round.
type suspectQueue struct {
	state *bookkeeper.State
	// unresolved counts the unresolved losses by task.
	unresolved map[carobrock.TaskRef]int
	// since is when each suspect was first found waiting, previous the same of the
	// round before.
	since, previous map[carobrock.TaskRef]time.Time
	now             time.Time
}

// newSuspectQueue returns the queue for a round. d.mu must be held.
func (d *Dispatcher) newSuspectQueue(s *bookkeeper.State, now time.Time) *suspectQueue {
	q := &suspectQueue{state: s, since: map[carobrock.TaskRef]time.Time{}, previous: d.suspectsSince, now: now}
	if len(s.Suspects) > 0 {
		q.unresolved = s.UnresolvedLosses()
	}
	return q
}

// splitRequest replaces a request by one without suspects and one for each suspect
// that may start. A gang with a suspect is a suspect as a whole.
func (q *suspectQueue) splitRequest(r *allocator.Request) []allocator.Request {
	if r.Step.Gang {
		mode := startNormally
		for i := range r.Indices {
			mode = max(mode, q.startMode(r, i))
		}
		return q.appendRequest(nil, *r, mode)
	}
	var out []allocator.Request
	normal := *r
	normal.Indices, normal.Attempts = nil, nil
	for i, index := range r.Indices {
		mode := q.startMode(r, i)
		if mode == startNormally {
			normal.Indices, normal.Attempts = append(normal.Indices, index), append(normal.Attempts, r.Attempts[i])
			continue
		}
		single := *r
		single.Indices, single.Attempts = r.Indices[i:i+1], r.Attempts[i:i+1]
		out = q.appendRequest(out, single, mode)
	}
	if len(normal.Indices) > 0 {
		out = append(out, normal)
	}
	return out
}

func (q *suspectQueue) startMode(r *allocator.Request, i int) startMode {
	ref := carobrock.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.StepNumber, Index: r.Indices[i]}
	if !q.state.Suspects[ref] {
		return startNormally
	}
	_, _, t := q.state.Task(ref)
	since, ok := q.previous[ref]
	if !ok {
		since = q.now
	}
	q.since[ref] = since
	return chooseStartMode(t.Crashes, q.unresolved[ref], q.now.Sub(since))
}

func (q *suspectQueue) appendRequest(out []allocator.Request, r allocator.Request, mode startMode) []allocator.Request {
	if mode == startHeld {
		return out
	}
	r.IsSuspect = mode != startNormally
	r.IsIsolated = mode == startIsolated
	return append(out, r)
}

// compareIsolation orders isolated requests before others, which would otherwise
// occupy the few workers that suit them. Their number is limited by the allocator.
func compareIsolation(a, b *allocator.Request) int {
	switch {
	case a.IsIsolated == b.IsIsolated:
		return 0
	case a.IsIsolated:
		return -1
	default:
		return 1
	}
}

// markIsolated adds to c which of its assignments are isolated.
func (d *Dispatcher) markIsolated(requests []allocator.Request, c *carobrock.JobCommand) {
	isolated := map[carobrock.TaskRef]bool{}
	for i := range requests {
		r := &requests[i]
		if !r.IsIsolated {
			continue
		}
		for _, index := range r.Indices {
			isolated[carobrock.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.StepNumber, Index: index}] = true
		}
	}
	for i := range c.Assign {
		a := &c.Assign[i]
		if isolated[a.Task] {
			d.Logger.Info().Str("worker", a.Incarnation.Name).Str("job", a.Task.Job).Int("step", a.Task.Step).Int("index", a.Task.Index).
				Uint64("attempt", a.Attempt).Msg("dispatcher: suspect is assigned in isolation")
			c.Isolated = append(c.Isolated, carobrock.WorkerRun{Incarnation: a.Incarnation, Task: a.Task, Attempt: a.Attempt})
		}
	}
}

// recordMachines adds to c the machines of the assigned workers whose machines are
// not recorded. d.mu must be held.
func (d *Dispatcher) recordMachines(s *bookkeeper.State, c *carobrock.JobCommand) {
	isRecorded := map[carobrock.WorkerIncarnation]bool{}
	for i := range c.Assign {
		incarnation := c.Assign[i].Incarnation
		w := d.currentWorker(incarnation)
		if rec := s.Workers[incarnation]; isRecorded[incarnation] || rec != nil && rec.Machine != "" || w == nil || w.report.Machine == "" {
			continue
		}
		isRecorded[incarnation] = true
		c.Machines = append(c.Machines, carobrock.WorkerMachine{Incarnation: incarnation, Machine: w.report.Machine})
	}
}

// findProvenRuns adds to c the proven runs of suspects and isolated runs, and the
// workers that run on although their runs were lost. d.mu must be held.
func (d *Dispatcher) findProvenRuns(s *bookkeeper.State, c *carobrock.JobCommand) {
	for incarnation, rec := range s.Workers {
		w := d.currentWorker(incarnation)
		if w == nil || d.isBeingLost(incarnation) {
			continue
		}
		if len(rec.LostRuns) > 0 && w.receivedAt.Sub(w.joinedAt) >= survivorTime {
			c.Survivors = append(c.Survivors, incarnation)
		}
		for run := range rec.Isolated {
			if w.isProven(run) && !s.Suspects[run.Task] && s.IsActive(incarnation, run) {
				c.Proven = append(c.Proven, carobrock.WorkerRun{Incarnation: incarnation, Task: run.Task, Attempt: run.Attempt})
			}
		}
	}
	for ref := range s.Suspects {
		_, _, t := s.Task(ref)
		if t == nil {
			continue
		}
		for i := range t.Runs {
			incarnation, run := t.Runs[i].Incarnation, carobrock.Run{Task: ref, Attempt: t.Runs[i].Attempt}
			w := d.currentWorker(incarnation)
			if w != nil && !d.isBeingLost(incarnation) && w.isProven(run) {
				c.Proven = append(c.Proven, carobrock.WorkerRun{Incarnation: incarnation, Task: ref, Attempt: run.Attempt})
			}
		}
	}
}

// isProven reports whether a run was seen running for provenTime.
func (w *worker) isProven(run carobrock.Run) bool { return w.wasSeenFor(run, provenTime) }

// wasSeenFor reports whether the heartbeats of d or longer have listed a run.
func (w *worker) wasSeenFor(run carobrock.Run, d time.Duration) bool {
	first, ok := w.firstSeen[run]
	return ok && w.receivedAt.Sub(first) >= d
}

// recentCount counts the recorded runs that were not seen running for settledTime.
func (w *worker) recentCount(rec *bookkeeper.WorkerRecord) (n int) {
	for run := range rec.Runs {
		if !w.wasSeenFor(run, settledTime) {
			n++
		}
	}
	return n
}

// provenRuns returns the runs that were seen running for provenTime.
func (w *worker) provenRuns() []carobrock.Run {
	var out []carobrock.Run
	for run := range w.firstSeen {
		if w.isProven(run) {
			out = append(out, run)
		}
	}
	return out
}

// unsentRuns returns the assigned runs that were certainly not sent to the worker.
func (w *worker) unsentRuns() []carobrock.Run {
	var out []carobrock.Run
	for run := range w.assigned {
		if !w.startsSent[run] {
			out = append(out, run)
		}
	}
	return out
}

// isReplaced reports whether the worker incarnation of a record has ended because
// the sender of r is a newer one under its name or on its machine.
func isReplaced(incarnation carobrock.WorkerIncarnation, rec *bookkeeper.WorkerRecord, r *carobrock.WorkerReport) bool {
	if incarnation.Name == r.Name {
		return incarnation.Started < r.Started
	}
	return r.Machine != "" && rec.Machine == r.Machine && incarnation.Started <= r.Started
}

// endReplacedIncarnations records the end of the recorded worker incarnations that
// the sender of r has replaced. d.mu must be held.
func (d *Dispatcher) endReplacedIncarnations(r *carobrock.WorkerReport) {
	d.StateMachine.View(func(s *bookkeeper.State) {
		for incarnation, rec := range s.Workers {
			if rec.EndedUnixMillis != 0 || !isReplaced(incarnation, rec, r) {
				continue
			}
			if !d.losses[incarnation].IncarnationEnded {
				d.addLoss(incarnation, nil, true)
			}
			if lost := d.losses[incarnation]; lost.MayHaveCrashed {
				d.Logger.Warn().Str("worker", incarnation.Name).Int64("started", incarnation.Started).Str("machine", rec.Machine).
					Str("newWorker", r.Name).Int64("newStarted", r.Started).Int("unprovenRuns", len(rec.UnprovenRuns(&lost.LostWorker))).
					Msg("dispatcher: worker has crashed")
			}
		}
	})
}

// zoneLoss is the newest loss of a worker on a machine of an availability zone.
type zoneLoss struct {
	at      time.Time
	machine string
	zone    string
}

// isWidespread notes the loss of a worker and reports whether more workers of its
// availability zone were lost lately or are silent than have survived, that is, were
// there before its last heartbeat and still are. If this leader does not know the
// worker, or is too new to know of the others, the loss is taken to be widespread.
// d.mu must be held.
func (d *Dispatcher) isWidespread(lost *worker, now time.Time) bool {
	if lost == nil {
		return true
	}
	zone := lost.report.AvailabilityZone
	d.recentLosses = slices.DeleteFunc(d.recentLosses, func(x zoneLoss) bool {
		return now.Sub(x.at) > outageTime || x.machine == lost.report.Machine
	})
	d.recentLosses = append(d.recentLosses, zoneLoss{now, lost.report.Machine, zone})
	if now.Sub(d.termStart) < outageTime {
		return true
	}
	gone, survivors := 0, 0
	for _, x := range d.recentLosses {
		if x.zone == zone {
			gone++
		}
	}
	for _, w := range d.workers {
		switch {
		case w == lost || w.report == nil || w.report.AvailabilityZone != zone:
		case w.isSilent(now):
			if !d.isBeingLost(w.report.WorkerIncarnation) {
				gone++
			}
		case !w.joinedAt.After(lost.receivedAt):
			survivors++
		}
	}
	return gone >= minOutageWorkers && gone > survivors
}

// logCrashes logs what the crashes and proven runs of a committed command mean for
// their tasks.
func (d *Dispatcher) logCrashes(c *carobrock.JobCommand, res *carobrock.JobResult) {
	for i := range res.Crashes {
		x := &res.Crashes[i]
		message := ""
		switch {
		case x.IsGivenUp:
			message = "dispatcher: task is given up, as workers crash under it; its job has failed"
		case x.IsSuspect:
			message = "dispatcher: task is suspected of crashing workers"
		default:
			continue
		}
		d.Logger.Warn().Str("job", x.Task.Job).Int("occurrence", x.Task.Occurrence).Int("step", x.Task.Step).Int("index", x.Task.Index).
			Uint64("attempt", x.Attempt).Str("worker", x.Incarnation.Name).Int("crashes", x.Crashes).Msg(message)
	}
	for i := range c.Proven {
		x := &c.Proven[i]
		d.Logger.Info().Str("job", x.Task.Job).Int("occurrence", x.Task.Occurrence).Int("step", x.Task.Step).Int("index", x.Task.Index).
			Uint64("attempt", x.Attempt).Str("worker", x.Incarnation.Name).Msg("dispatcher: task is not suspected any more, as its run goes on")
	}
}
