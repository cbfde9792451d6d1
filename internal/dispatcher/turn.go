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
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// turnInterval is the longest time between turns: lost workers, repetitions
	// and waiting tasks are looked at this often when nothing happens.
	turnInterval = 100 * time.Millisecond
	// turnPause is the least time between turns, in which more work gathers: a
	// fraction of a commit.
	turnPause = 4 * time.Millisecond
	// maxAssignments bounds one turn, so that a burst does not hold up the
	// heartbeats.
	maxAssignments = 300
	// silentAfter is how long after its last heartbeat a worker gets no more
	// tasks: a few times the usual time between two.
	silentAfter = 600 * time.Millisecond
	// recordLearned is the time between records of what was learned: what a new
	// leader misses is learned again within about as long.
	recordLearned = 2 * time.Second
	// serviceLoad is the share of its request that a service task is taken to
	// use; its use is not reported.
	serviceLoad = 0.55
)

// runPlacement takes turns until ctx ends.
func (d *Dispatcher) runPlacement(ctx context.Context) error {
	ticker := time.NewTicker(turnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.kick:
		case <-ticker.C:
		}
		if sleeper.Sleep(ctx, turnPause) != nil || d.lead() != nil {
			continue
		}
		c := d.plan(time.Now())
		if c == nil {
			continue
		}
		if _, err := d.propose(ctx, c); err != nil {
			d.Logger.Warn().Err(err).Int("assignments", len(c.Assign)).Msg("dispatcher: turn not committed")
			continue
		}
		d.settle(c)
	}
}

// settle draws the conclusions from a command that was committed: lost workers
// may come back, and heartbeats of workers with new runs are answered.
func (d *Dispatcher) settle(c *carobrock.JobCommand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range c.Lost {
		w := d.workers[c.Lost[i].Life.Name]
		if w == nil || w.report.WorkerLife != c.Lost[i].Life {
			continue
		}
		d.remove(w)
	}
	for i := range c.Withdrawn {
		if w := d.workers[c.Withdrawn[i].Life.Name]; w != nil {
			delete(w.withdrawn, carobrock.Run{Task: c.Withdrawn[i].Task, Attempt: c.Withdrawn[i].Attempt})
		}
	}
	for i := range c.Assign {
		if w := d.workers[c.Assign[i].Life.Name]; w != nil {
			w.release()
		}
	}
}

// plan returns what is to be committed in this turn, nil if nothing is.
func (d *Dispatcher) plan(now time.Time) *carobrock.JobCommand {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &carobrock.JobCommand{}
	d.Ledger.View(func(s *bookkeeper.State) {
		d.findLost(s, now, c)
		d.findWithdrawn(s, now, c)
		d.releaseStops(s)
		view := d.view(s, now)
		full := now.Sub(d.fullTurn) >= turnInterval
		if requests := d.requests(s, full, view, now); len(requests) > 0 {
			c.Assign = d.allocator.Place(requests, view, maxAssignments)
		}
		if full {
			d.fullTurn = now
			d.moveSlowed(s, view, now)
			d.dropAdvice(now)
		}
	})
	if now.Sub(d.learnedAt) >= recordLearned {
		d.learnedAt = now
		c.Learned = pacer.Export(&d.model, &d.rest)
	}
	if len(c.Lost)+len(c.Withdrawn)+len(c.Assign) == 0 && c.Learned == nil {
		return nil
	}
	return c
}

// findLost adds the lives whose leases have all expired.
func (d *Dispatcher) findLost(s *bookkeeper.State, now time.Time, c *carobrock.JobCommand) {
	inherited := expiry(d.since, d.Settings.MaxLease)
	for life, l := range s.Lives {
		if len(l.Runs) == 0 {
			continue
		}
		w := d.workers[life.Name]
		if w == nil || w.report.WorkerLife != life {
			if now.After(inherited) {
				d.Logger.Warn().Str("worker", life.Name).Int("runs", len(l.Runs)).Msg("dispatcher: worker was never heard of, its leases have expired")
				c.Lost = append(c.Lost, carobrock.LostWorker{Life: life})
			}
			continue
		}
		if w.losing || now.After(w.leaseEnd) && now.After(inherited) {
			d.Logger.Warn().Str("worker", life.Name).Int("runs", len(l.Runs)).Dur("silent", now.Sub(w.received)).Msg("dispatcher: worker is silent, its leases have expired")
			c.Lost = append(c.Lost, carobrock.LostWorker{Life: life, Checkpoints: w.checkpoints()})
			w.losing = true
			w.release()
		}
	}
}

// findWithdrawn adds runs that certainly never reached their worker and that it
// can, or need, no longer start.
func (d *Dispatcher) findWithdrawn(s *bookkeeper.State, now time.Time, c *carobrock.JobCommand) {
	for name, w := range d.workers {
		l := s.Lives[w.report.WorkerLife]
		if l == nil || w.losing {
			continue
		}
		silent := now.Sub(w.received) > silentAfter && w.waiting == nil
		for run := range l.Runs {
			if w.holds(run) {
				continue
			}
			if silent || !d.mayStart(s, w) || !s.IsActive(w.report.WorkerLife, run) || w.withdrawn[run] {
				w.withdrawn[run] = true
				d.Logger.Info().Str("worker", name).Str("job", run.Task.Job).Uint64("attempt", run.Attempt).Bool("silent", silent).Msg("dispatcher: run withdrawn")
				c.Withdrawn = append(c.Withdrawn, carobrock.WithdrawnRun{Life: w.report.WorkerLife, Task: run.Task, Attempt: run.Attempt})
			}
		}
	}
}

// releaseStops answers the heartbeats of workers that run what they should not.
func (d *Dispatcher) releaseStops(s *bookkeeper.State) {
	for _, w := range d.workers {
		if w.waiting == nil {
			continue
		}
		for run := range w.listed {
			if !s.IsActive(w.report.WorkerLife, run) {
				w.release()
				break
			}
		}
	}
}

// view returns the workers that may get tasks.
func (d *Dispatcher) view(s *bookkeeper.State, now time.Time) []*allocator.Worker {
	out := make([]*allocator.Worker, 0, len(d.workers))
	for _, w := range d.workers {
		r := w.report
		if w.losing || !d.mayStart(s, w) || w.waiting == nil && now.Sub(w.received) > silentAfter {
			continue
		}
		v := &allocator.Worker{
			Life: r.WorkerLife, Pool: r.Pool, AvailabilityZone: r.AvailabilityZone, Rack: r.Rack, Labels: r.Labels,
			Capacity: r.Capacity, Free: r.Capacity, SpareMilliCPU: r.Capacity.MilliCPU, IsWaiting: w.waiting != nil,
			Distrust: w.record.failureShare(now), Images: map[string]int{},
		}
		if l := s.Lives[r.WorkerLife]; l != nil {
			v.Services = w.services(&d.rest, now)
			d.count(v, w, l)
		}
		out = append(out, v)
	}
	// A fixed order makes equal scores fall the same way each turn.
	slices.SortFunc(out, func(a, b *allocator.Worker) int { return cmp.Compare(a.Life.Name, b.Life.Name) })
	return out
}

// count takes what runs on a worker off its amounts. Fillers add to the
// loads of services what they press at their full pace.
func (d *Dispatcher) count(v *allocator.Worker, w *worker, l *bookkeeper.Life) {
	for run, step := range l.Runs {
		v.Free = v.Free.Sub(step.Committed())
		v.SpareMilliCPU -= expectedUse(step)
		if step.Service {
			v.Images[step.Image]++
		}
		if !step.Filler {
			continue
		}
		f := w.filler(run, step)
		for i := range v.Services {
			x := &v.Services[i]
			x.Load += d.model.Pressure(x.Image, f.Image) * f.Share
		}
	}
}

// expectedUse returns the processor time that a task of a step is taken to use.
func expectedUse(step *carobrock.Step) int64 {
	if step.Service {
		return int64(serviceLoad * float64(step.Size.MilliCPU))
	}
	return step.Size.MilliCPU
}

// requests returns the waiting tasks whose turn has come, most urgent first.
// Fillers that have waited for a harmless place are left out unless full is
// set: they are many, and the services' loads change slowly.
func (d *Dispatcher) requests(s *bookkeeper.State, full bool, view []*allocator.Worker, now time.Time) []allocator.Request {
	var out []allocator.Request
	at := d.Now().UnixMilli()
	order := map[*carobrock.Step]urgency{}
	for _, j := range s.Open {
		if j.Queue.Pool == "" {
			continue
		}
		for k, o := range j.Occurrences {
			if j.Spec.DueUnixMillis(k) > at {
				break
			}
			for i := range j.Spec.Steps {
				if r, ok := request(j, o, k, i); ok {
					age := at - j.SubmittedUnixMillis
					if r.Step.Filler && !full && age > freshMillis {
						continue
					}
					u, _ := urgencyOf(j, o, k, i, at)
					r.MinPace = minPace
					order[r.Step] = u
					if j.Queue.Policy != nil {
						d.admit(&r, j.Queue.Policy, view, now)
					}
					out = append(out, r)
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b allocator.Request) int { return order[a.Step].compare(order[b.Step]) })
	return out
}

// urgency orders the waiting tasks: lower comes first.
type urgency struct {
	// class is -1 for services, else it follows the queue's priority and what a
	// job can still earn.
	class int
	// isBegun is set if a task of the job has run.
	isBegun bool
	// slackMillis is how much later the job could go on and still be in time.
	slackMillis int64
}

// compare orders urgencies. What was begun is finished first, the least slack
// before the rest. What was not begun goes by the most slack: when more comes
// than can be done, the oldest first would leave every job just too late
// (Buttazzo et al. 1995 show that of the earliest deadline first).
func (u urgency) compare(o urgency) int {
	begun := func(u urgency) int {
		if u.isBegun {
			return 0
		}
		return 1
	}
	c := cmp.Or(cmp.Compare(u.class, o.class), cmp.Compare(begun(u), begun(o)))
	if c != 0 {
		return c
	}
	if u.isBegun {
		return cmp.Compare(u.slackMillis, o.slackMillis)
	}
	return cmp.Compare(o.slackMillis, u.slackMillis)
}

// What a job can still earn.
const (
	inTime = iota
	late
	expired
	earnings // how many there are
)

// lateFactor is how many times its objective a job may take and still earn a
// little.
const lateFactor = 3

// urgencyOf returns the urgency of a step of an occurrence at a time, and what
// the job can still earn. Work that can still be in time goes before work that
// is late anyway, as in Buttazzo et al., "Value vs. deadline scheduling in
// overload conditions" (1995).
func urgencyOf(j *bookkeeper.Job, o *bookkeeper.Occurrence, k, i int, atMillis int64) (urgency, int) {
	if j.Spec.Steps[i].Service {
		return urgency{class: -1}, inTime
	}
	begin := max(j.SubmittedUnixMillis, j.Spec.DueUnixMillis(k))
	objective := int64(j.Queue.Stretch*float64(chainMillis(j, nil))) + j.Queue.TargetMillis
	done := atMillis + chainMillis(j, o) - begin
	earns := expired
	switch {
	case done <= objective:
		earns = inTime
	case done <= lateFactor*objective:
		earns = late
	}
	return urgency{class: j.Queue.Priority*earnings + earns, isBegun: j.State == carobrock.JobRunning, slackMillis: objective - done}, earns
}

// chainMillis returns the longest chain of estimated work among the steps that
// are not done.
func chainMillis(j *bookkeeper.Job, o *bookkeeper.Occurrence) int64 {
	longest := int64(0)
	ends := make([]int64, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		if o == nil || o.Steps[i].Done < len(o.Steps[i].Tasks) {
			ends[i] += step.EstimateMillis
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// minPace is the share of its full pace at which a filler must be able to work
// where it is placed: a slower one would hold memory for long.
const minPace = 1.0

// freshMillis is the age up to which a job's fillers are placed in every turn.
const freshMillis = 500

// request returns the waiting tasks of a step, false if there are none or their
// turn has not come.
func request(j *bookkeeper.Job, o *bookkeeper.Occurrence, k, i int) (allocator.Request, bool) {
	step := &j.Spec.Steps[i]
	if o != nil && o.Steps[i].Waiting() == 0 || !j.IsReady(o, i) {
		return allocator.Request{}, false
	}
	if step.Gang && o != nil && o.Steps[i].Active > 0 {
		return allocator.Request{}, false
	}
	r := allocator.Request{Job: j.Spec.ID, Occurrence: k, StepNumber: i, Step: step, Pool: j.Queue.Pool}
	if step.MaxPerWorker > 0 {
		r.OnWorker = map[carobrock.WorkerLife]int{}
	}
	for n := range step.Count {
		attempt := uint64(1)
		if o != nil {
			t := &o.Steps[i].Tasks[n]
			attempt = t.Attempt + 1
			for _, run := range t.Runs {
				if r.OnWorker != nil {
					r.OnWorker[run.Life]++
				}
			}
			if t.Done || len(t.Runs) > 0 {
				continue
			}
		}
		r.Indices = append(r.Indices, n)
		r.Attempts = append(r.Attempts, attempt)
	}
	return r, len(r.Indices) > 0
}
