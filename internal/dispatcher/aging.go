package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/pacer"
	"github.com/carobrock/carobrock/internal/ranker"
)

const (
	// agedShare is the share of the placed tasks of an aging class that goes to the jobs
	// which have waited longest. Finishing these has no value any more, so it is small.
	agedShare = 1.0 / 32
	// agedPerWorker is the number of aged tasks of a class that may be placed in addition,
	// per second and worker, so that waits are bounded if few tasks are placed.
	agedPerWorker = 1.0 / 50
	// reservedShare is the share of the workers, at least one, that are kept free for aged
	// tasks of a class which found no room.
	reservedShare = 1.0 / 50
	// maxAgedCredit is the largest number of aged tasks in a round.
	maxAgedCredit = 8.0
	// agedPaceFraction is the fraction of its full speed at which an aged filler must be
	// able to run beside the services of a worker, while workers have room. It exceeds
	// slowPacePercent, at which the filler would be moved again.
	agedPaceFraction = 0.25
	// idleShare is the share of the memory and of the spare CPU of a pool that must be
	// free for aged fillers to run at less than full speed, as slow ones occupy memory for
	// long.
	idleShare = 0.5
	// maxCrowdedShare is the share of the workers of a pool, at least one, with a service
	// that the fillers beside it at full pace would bring over its limit, up to which aged
	// fillers may run at less than full speed. Until they are slowed they harm the service.
	maxCrowdedShare = 0.1
	// standstillTime is how long no task of an aging class is placed, although some wait,
	// until the aged ones need no share.
	standstillTime = time.Second
	// reserveAfter is how long the oldest job waits for room until a worker is kept free
	// for it. Where all tasks have about the same size, room is found earlier.
	reserveAfter = 2 * time.Second
	// unfitTime is the interval at which it is tried again to find a worker to keep free
	// for a job that none suited.
	unfitTime = 5 * time.Second
)

// agingClass is a set of tasks that compete for the same room with the same priority.
type agingClass struct {
	pool     string
	priority int
	filler   bool
}

func agingClassOf(j *bookkeeper.Job, step *carobrock.Step) agingClass {
	return agingClass{j.Queue.Pool, j.Queue.Priority, step.Filler}
}

// agingState is the state of an aging class.
type agingState struct {
	// credit is the number of aged tasks that may be placed. A gang may overdraw it.
	credit float64
	// placedAt is when tasks of the class that were not aged were last placed, or when
	// none were waiting.
	placedAt time.Time
	// creditedAt is when the credit last grew with time.
	creditedAt time.Time
	// tried holds the jobs of which no aged task could be placed. They are tried again
	// after all others were.
	tried map[string]bool
	// head is the oldest job that may be promoted and for which no worker is kept free,
	// headSince the time since when it is. It is promoted in each full round.
	head      string
	headSince time.Time
	// reserved holds the workers that are kept free for the oldest jobs until these fit, by
	// job. No worker is kept free for several jobs of the class.
	reserved map[string]carobrock.WorkerIncarnation
	// unfit holds the jobs that no worker suits, as found since unfitSince.
	unfit      map[string]bool
	unfitSince time.Time
}

// agingTable bounds the waits of jobs that are too late to have a value, which come after
// all others of their priority.
//
// Invariant: agedShare of the placed tasks of a class, and in addition agedPerWorker, are
// those of its oldest jobs of which nothing runs, one task of each. So a job that a worker
// can run starts after a time that depends on the jobs before it and on the rate of
// placements, but neither on younger jobs nor on its value. If the oldest find no room for
// reserveAfter, reservedShare of the workers are kept free for them until they fit. A
// class of which nothing is placed for standstillTime, or of which tasks of overdue jobs are
// held back by interference, needs no such share.
type agingTable struct {
	// term is the term in which the states were derived.
	term   uint64
	states map[agingClass]*agingState
	// reservedJobs holds the jobs for which workers are kept free.
	reservedJobs map[string]bool
}

// resetAging forgets what was derived in an earlier term. d.mu must be held.
func (d *Dispatcher) resetAging() {
	if d.aging.term != d.term || d.aging.states == nil {
		d.aging = agingTable{term: d.term, states: map[agingClass]*agingState{}, reservedJobs: map[string]bool{}}
	}
}

// agingOf returns the state of a class. d.mu must be held.
func (d *Dispatcher) agingOf(c agingClass, now time.Time) *agingState {
	x := d.aging.states[c]
	if x == nil {
		x = &agingState{placedAt: now, creditedAt: now, tried: map[string]bool{}, unfit: map[string]bool{}, reserved: map[string]carobrock.WorkerIncarnation{}}
		d.aging.states[c] = x
	}
	return x
}

// promoteAged appends to ranked, which is in the order of submission, requests for the
// aged tasks, and removes these tasks from the others. Those of the oldest jobs come
// first among the requests of their priority. isFull is set if ranked has all waiting
// tasks. d.mu must be held.
func (d *Dispatcher) promoteAged(s *bookkeeper.State, ranked []rankedRequest, isFull bool, candidates []*allocator.Worker, now time.Time) []rankedRequest {
	promoted, untried, hasHead := map[agingClass]int{}, map[agingClass]bool{}, map[agingClass]bool{}
	reservedJobs := map[string]bool{}
	slots := &slowSlots{candidates: candidates, byPool: map[string]int{}}
	for i, n := 0, len(ranked); i < n; i++ {
		r := &ranked[i]
		if !r.urgency.IsTooLate() || r.IsSuspect || len(r.Indices) == 0 {
			continue
		}
		class := agingClassOf(r.job, r.Step)
		x := d.aging.states[class]
		if x == nil {
			continue // without a credit
		}
		mayPromote := x.credit >= float64(promoted[class]+1)
		if r.job.ActiveCount > 0 || !x.isReserved(r.Job) && !mayPromote {
			continue
		}
		isHead := !x.isReserved(r.Job) && !x.unfit[r.Job] && isFull && !hasHead[class]
		if isHead {
			hasHead[class] = true
			x.setHead(r.Job, now)
		}
		aged := *r
		aged.IsAged, aged.urgency = true, r.urgency.Promoted()
		if class.filler && slots.left(class.pool) > 0 {
			aged.MinPaceFraction = min(aged.MinPaceFraction, agedPaceFraction)
		}
		reserved := d.reserveWorker(s, x, &aged.Request, isHead && now.Sub(x.headSince) >= reserveAfter, candidates, now)
		if reserved == nil && !isHead && (!mayPromote || x.tried[r.Job]) {
			continue
		}
		if aged.MinPaceFraction < r.MinPaceFraction {
			slots.byPool[class.pool]--
		}
		if aged.Reserved = reserved; reserved != nil {
			reservedJobs[r.Job] = true
		}
		if !x.tried[r.Job] {
			untried[class] = true
		}
		promoted[class]++
		first := 1
		if r.Step.Gang {
			first = len(r.Indices)
		}
		aged.Indices, aged.Attempts = r.Indices[:first], r.Attempts[:first]
		r.Indices, r.Attempts = r.Indices[first:], r.Attempts[first:]
		ranked = append(ranked, aged)
	}
	if isFull {
		d.endAgingCycles(untried, reservedJobs, now)
	}
	return slices.DeleteFunc(ranked, func(r rankedRequest) bool { return len(r.Indices) == 0 })
}

// slowSlots counts the fillers that may be placed where they run at less than full speed.
type slowSlots struct {
	candidates []*allocator.Worker
	// byPool holds the number left for each pool that was asked for.
	byPool map[string]int
}

// left returns the number of such fillers that may still be placed in a pool.
func (x *slowSlots) left(pool string) int {
	n, ok := x.byPool[pool]
	if !ok {
		n = countSlowSlots(pool, x.candidates)
		x.byPool[pool] = n
	}
	return n
}

// countSlowSlots returns how many more workers of a pool may become crowded: none while
// the pool has little room.
func countSlowSlots(pool string, candidates []*allocator.Worker) int {
	workers, crowded := 0, 0
	var free, total carobrock.Capacity
	for _, w := range candidates {
		if w.Pool != pool {
			continue
		}
		workers++
		free.MemoryMB += w.Free.MemoryMB
		free.MilliCPU += max(0, w.SpareMilliCPU)
		total = total.Add(w.Capacity)
		if slices.ContainsFunc(w.Services, func(x pacer.Service) bool { return x.Load > x.Limit }) {
			crowded++
		}
	}
	if float64(free.MemoryMB) < idleShare*float64(total.MemoryMB) || float64(free.MilliCPU) < idleShare*float64(total.MilliCPU) {
		return 0
	}
	return max(1, int(maxCrowdedShare*float64(workers))) - crowded
}

// endAgingCycles drops reservations for jobs that do not wait any more, and lets the jobs
// of a class be tried again if none was left untried.
func (d *Dispatcher) endAgingCycles(untried map[agingClass]bool, reservedJobs map[string]bool, now time.Time) {
	d.aging.reservedJobs = reservedJobs
	for class, x := range d.aging.states {
		maps.DeleteFunc(x.reserved, func(job string, _ carobrock.WorkerIncarnation) bool { return !reservedJobs[job] })
		if x.credit >= 1 && !untried[class] {
			clear(x.tried)
		}
		if now.Sub(x.unfitSince) >= unfitTime {
			clear(x.unfit)
			x.unfitSince = now
		}
	}
}

// setHead notes the oldest job that may be promoted and for which no worker is kept free.
func (x *agingState) setHead(job string, now time.Time) {
	if x.head != job {
		x.head, x.headSince = job, now
	}
}

func (x *agingState) isReserved(job string) bool { return x.reserved[job].Name != "" }

// reserveWorker returns the worker that is kept free for a job: the same as before if
// that still suits the job, else the one with the most free memory. If none is kept free
// for the job yet, it chooses one only if mayChoose is set and the share of the class is
// not used up. It returns nil if there is none, or if the job waits for something else
// than room. d.mu must be held.
func (d *Dispatcher) reserveWorker(s *bookkeeper.State, x *agingState, r *allocator.Request, mayChoose bool, candidates []*allocator.Worker, now time.Time) (best *allocator.Worker) {
	before, isReserved := x.reserved[r.Job]
	if !isReserved && (!mayChoose || x.unfit[r.Job] || len(x.reserved) >= max(1, int(reservedShare*float64(len(candidates))))) {
		return nil
	}
	delete(x.reserved, r.Job)
	if r.Step.Gang || r.Room != nil && !r.Room.Holds(r.Step.Size, 1) {
		return nil
	}
	isTaken := map[carobrock.WorkerIncarnation]bool{}
	for _, incarnation := range x.reserved {
		isTaken[incarnation] = true
	}
	for _, w := range candidates {
		isSame := w.Incarnation == before
		if isTaken[w.Incarnation] || !isSame && best != nil && w.Free.MemoryMB <= best.Free.MemoryMB || !d.suitsWhenFree(s, r, w, now) {
			continue
		}
		best = w
		if isSame {
			break
		}
	}
	if best == nil {
		x.unfit[r.Job] = true
		return nil
	}
	x.reserved[r.Job] = best.Incarnation
	return best
}

// suitsWhenFree reports whether a worker could run a task of r if it had no runs but
// those of services. d.mu must be held.
func (d *Dispatcher) suitsWhenFree(s *bookkeeper.State, r *allocator.Request, w *allocator.Worker, now time.Time) bool {
	empty := *w
	if rec := s.Workers[w.Incarnation]; rec != nil {
		for _, step := range rec.Runs {
			if !step.Service {
				empty.Free = empty.Free.Add(step.Committed())
			}
		}
	}
	known := d.currentWorker(w.Incarnation)
	if known == nil || !allocator.Fits(r, &empty) {
		return false
	}
	services := known.describeServices(&d.baseline, now)
	share := float64(r.Step.Size.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
	return !r.Step.Filler || pacer.HeadroomUse(&d.model, services, pacer.Filler{Image: r.Step.Image, Share: share})*r.MinPaceFraction <= 1
}

// isOverdue reports whether occurrence k of a job has waited or run long past its
// objective.
func (d *Dispatcher) isOverdue(j *bookkeeper.Job, k int) bool {
	x := WaitingJob{
		AgeSeconds:       float64(d.Now().UnixMilli()-ranker.DueMillis(j, k)) / 1000,
		ObjectiveSeconds: float64(ranker.ObjectiveMillis(j)) / 1000,
	}
	return x.isOverdue()
}

// settleAging updates the states of the aging classes after a round with the given
// requests and number of workers. isFull is set if the round considered all waiting tasks. d.mu must be held.
func (d *Dispatcher) settleAging(s *bookkeeper.State, requests []allocator.Request, workers int, isFull bool, now time.Time) {
	isWaiting, isBlocked := map[*agingState]bool{}, map[*agingState]bool{}
	for i := range requests {
		r := &requests[i]
		if r.Step.Service {
			continue
		}
		x := d.agingOf(agingClassOf(s.Jobs[r.Job], r.Step), now)
		switch {
		case r.IsAged && r.PlacedCount > 0:
			x.credit -= float64(r.PlacedCount)
		case r.IsAged:
			x.tried[r.Job] = true
		case r.PlacedCount > 0:
			x.credit = min(maxAgedCredit, x.credit+agedShare*float64(r.PlacedCount))
			x.placedAt = now
		}
		isWaiting[x] = isWaiting[x] || r.PlacedCount < len(r.Indices)
		isBlocked[x] = isBlocked[x] || r.PlacedCount < len(r.Indices) && r.WaitReason == allocator.Interference && d.isOverdue(s.Jobs[r.Job], r.Occurrence)
	}
	if !isFull {
		return
	}
	for _, x := range d.aging.states {
		switch {
		case !isWaiting[x]:
			x.placedAt = now
		case isBlocked[x], now.Sub(x.placedAt) >= standstillTime:
			// The others leave room that they cannot use.
			x.credit = maxAgedCredit
		default:
			x.credit = min(maxAgedCredit, x.credit+now.Sub(x.creditedAt).Seconds()*agedPerWorker*float64(workers))
		}
		x.creditedAt = now
	}
}
