package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/ranker"
)

// waitingRequests returns requests for the waiting tasks that are due, most urgent first,
// except those in ending; roundWindow selects them if a job has many. Unless includeAll is
// set, fillers are left out if some were left over in the last
// round that considered all: there are many of them, the loads of services change
// slowly, and new jobs must not overtake those that wait. Jobs for which a worker is
// kept free are not left out. Left out as well are tasks
// that do not fit in what the limit of their client account leaves. round is nil if
// there are no accounts. d.mu must be held.
func (d *Dispatcher) waitingRequests(s *bookkeeper.State, round *accountRound, includeAll bool, ending map[carobrock.TaskRef]bool, candidates []*allocator.Worker, now time.Time) []allocator.Request {
	ranked := d.ranked[:0]
	endingJobs := map[string]bool{}
	for task := range ending {
		endingJobs[task.Job] = true
	}
	suspects := d.newSuspectQueue(s, now)
	nowMillis := d.Now().UnixMilli()
	window := &d.window
	window.requests = 0
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
		for _, k := range d.startJob(window, j, candidates, nowMillis) {
			o := j.Occurrence(k)
			urgency := occurrenceUrgency{job: j, occurrence: o, number: k, atMillis: nowMillis}
			for i := range j.Spec.Steps {
				step := &j.Spec.Steps[i]
				if step.Filler && !includeAll && d.fillersWait && !d.aging.reservedJobs[j.Spec.ID] {
					continue
				}
				if round != nil && !includeAll && !round.mayPlace(account, step) {
					continue
				}
				n := min(j.WaitingCount(o, i), maxWindowTasks)
				if n == 0 {
					continue
				}
				if n = spreadLimit(step, o.Step(i), j.Queue.Pool, candidates, n); !window.admits(i, n) {
					if round != nil && j.IsReady(o, i) {
						d.countUnlisted(s, round, account, j, i, j.WaitingCount(o, i))
					}
					continue
				}
				r, ok := d.newRequest(j, o, k, i, endingTasks)
				if !ok {
					continue
				}
				if round != nil && len(r.Indices) == maxWindowTasks {
					d.countUnlisted(s, round, account, j, i, j.WaitingCount(o, i)-len(r.Indices))
				}
				if round != nil && !d.admitRequest(s, round, account, &r, now) {
					continue
				}
				r.MinPaceFraction = minPaceFraction
				r.Avoid = d.refusals.avoidedWorkers(carobrock.TaskRef{Job: r.Job, Occurrence: k, Step: i}, now)
				if j.Queue.Policy != nil {
					d.fillTickets(&r, j.Queue.Policy, candidates, now)
				}
				if len(s.Suspects) == 0 {
					ranked = append(ranked, rankedRequest{r, urgency.ofStep(i), j})
					window.add(i, min(n, len(r.Indices)))
					d.logRoundSize(s, ranked)
					continue
				}
				for _, part := range suspects.splitRequest(&r) {
					ranked = append(ranked, rankedRequest{part, urgency.ofStep(i), j})
					if !part.IsSuspect {
						window.add(i, min(n, len(part.Indices)))
					}
				}
			}
		}
		d.countUnstarted(s, round, account, j, window.job.unstarted)
	}
	if includeAll {
		d.suspectsSince = suspects.since
		d.dropVisits(s)
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

// occurrenceUrgency derives the urgencies of the steps of an occurrence. They differ only
// between services and others.
type occurrenceUrgency struct {
	job        *bookkeeper.Job
	occurrence *bookkeeper.Occurrence
	number     int
	atMillis   int64
	// known is the urgency of the steps that are no services. It is valid if isKnown is set.
	known   ranker.Urgency
	isKnown bool
}

// ofStep returns the urgency of step i.
func (x *occurrenceUrgency) ofStep(i int) ranker.Urgency {
	if x.job.Spec.Steps[i].Service {
		return ranker.UrgencyOf(x.job, x.occurrence, x.number, i, x.atMillis)
	}
	if !x.isKnown {
		x.known, x.isKnown = ranker.UrgencyOf(x.job, x.occurrence, x.number, i, x.atMillis), true
	}
	return x.known
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

// newRequest returns a request for the waiting tasks of a step. Unless the step is a gang,
// it has the first maxWindowTasks of them. It returns false
// if there are none, or the steps that it depends on are not done, or runs of a
// gang are still active. It leaves out the tasks in ending, as these may be done. d.mu
// must be held.
func (d *Dispatcher) newRequest(j *bookkeeper.Job, o *bookkeeper.Occurrence, k, i int, ending map[carobrock.TaskRef]bool) (allocator.Request, bool) {
	step := &j.Spec.Steps[i]
	waiting := j.WaitingCount(o, i)
	if waiting == 0 || !j.IsReady(o, i) {
		return allocator.Request{}, false
	}
	st := o.Step(i)
	if step.Gang && st != nil && st.ActiveCount > 0 {
		return allocator.Request{}, false
	}
	if !step.Gang {
		waiting = min(waiting, maxWindowTasks)
	}
	r := allocator.Request{Job: j.Spec.ID, Occurrence: k, StepNumber: i, Step: step, Pool: j.Queue.Pool}
	if step.MaxPerWorker > 0 {
		r.RunsPerWorker = runsPerWorker(st)
	}
	if st == nil {
		r.Indices, r.Attempts = d.neverAssigned.first(waiting)
		return r, true
	}
	r.Indices, r.Attempts = make([]int, 0, waiting), make([]uint64, 0, waiting)
	for n := st.Done.NextMissing(0); n < st.Count && len(r.Indices) < waiting; n = st.Done.NextMissing(n + 1) {
		t := st.Tasks[n]
		if t != nil && len(t.Runs) > 0 {
			continue
		}
		if ending[carobrock.TaskRef{Job: j.Spec.ID, Occurrence: k, Step: i, Index: n}] {
			if step.Gang {
				return allocator.Request{}, false
			}
			continue
		}
		attempt := uint64(1)
		if t != nil {
			attempt = t.Attempt + 1
		}
		r.Indices = append(r.Indices, n)
		r.Attempts = append(r.Attempts, attempt)
	}
	return r, len(r.Indices) > 0
}
