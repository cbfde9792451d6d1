package dispatcher

import (
	"slices"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const (
	// maxWindowTasks is the number of waiting tasks of a job that a placement round
	// considers in addition to one request of each step: it assigns no more. The steps have
	// equal shares of it.
	maxWindowTasks = maxAssignments
	// maxStartedVisits is the number of started occurrences of a job that a placement
	// round looks at. Those of a job with more take turns.
	maxStartedVisits = 512
	// maxRoundRequests is the number of requests of a placement round in addition to one
	// of each step of each job.
	maxRoundRequests = 4096
)

// roundWindow selects the waiting tasks that a placement round considers, so that the
// size of a round follows the number of open jobs and of tasks that it can assign, not
// the number of repetitions and tasks.
//
// Invariant: a round has a request of each step of a job for which some of the occurrences
// that it looks at have one, and the requests of a step take no room from the others. The
// tasks of a step do not differ between occurrences but in how many of them run on a worker
// and in whether they are suspects. Tasks that a worker must not run beside others of their
// occurrence, and suspects, do not count. So tasks which are left out can only be placed if
// others of their step were.
type roundWindow struct {
	// requests counts the requests of the round beyond the first one of each step.
	requests int
	// occurrences is the memory for those of a job.
	occurrences []int
	// job holds what was selected of the current job.
	job jobWindow
}

// jobWindow holds what a round considers of one job.
type jobWindow struct {
	// tasks counts the tasks of the requests of each step, hasRequest is set for those that
	// have a request.
	tasks      []int
	hasRequest []bool
	// share is the number of tasks of a step above which only its first request counts.
	share int
	// unstarted counts the occurrences that are due, none of whose tasks was assigned and
	// that the round does not look at.
	unstarted int
}

// admits reports whether the round considers a request of step i of the current job, of
// whose tasks n may be placed beside each other.
func (x *roundWindow) admits(i, n int) bool {
	return !x.job.hasRequest[i] || n > 0 && x.job.tasks[i] < x.job.share && x.requests < maxRoundRequests
}

// add counts a request of step i of the current job for n tasks.
func (x *roundWindow) add(i, n int) {
	if x.job.hasRequest[i] {
		x.requests++
	}
	x.job.hasRequest[i] = true
	x.job.tasks[i] += n
}

// spreadLimit returns how many tasks of a step may be placed beside those of the same
// occurrence that run already, at most n.
func spreadLimit(step *carobrock.Step, st *bookkeeper.StepState, pool string, candidates []*allocator.Worker, n int) int {
	if step.MaxPerWorker == 0 {
		return n
	}
	left := 0
	runs := runsPerWorker(st)
	for _, w := range candidates {
		if w.Pool == pool {
			left += max(0, step.MaxPerWorker-runs[w.Incarnation])
		}
		if left >= n {
			return n
		}
	}
	return left
}

// runsPerWorker counts the active runs of a step, which may be nil, by worker incarnation.
func runsPerWorker(st *bookkeeper.StepState) map[carobrock.WorkerIncarnation]int {
	out := map[carobrock.WorkerIncarnation]int{}
	if st == nil {
		return out
	}
	for _, t := range st.Tasks {
		for i := range t.Runs {
			out[t.Runs[i].Incarnation]++
		}
	}
	return out
}

// startJob selects the occurrences of a job that the round looks at and returns their
// numbers: the started ones, and the oldest and the newest others by turns, as the newest
// are the most likely to end in time. If that are all, the numbers are in ascending order.
// d.mu must be held.
func (d *Dispatcher) startJob(x *roundWindow, j *bookkeeper.Job, candidates []*allocator.Worker, nowMillis int64) []int {
	steps := len(j.Spec.Steps)
	x.job = jobWindow{
		tasks: append(x.job.tasks[:0], make([]int, steps)...), hasRequest: append(x.job.hasRequest[:0], make([]bool, steps)...),
		share: maxWindowTasks / max(1, steps),
	}
	due := j.Spec.DueOccurrences(nowMillis)
	x.occurrences = d.appendStarted(x.occurrences[:0], j, due)
	started := len(x.occurrences)
	x.job.unstarted = due - j.Touched.CountBelow(due)
	n := x.job.unstarted
	if n > 1 {
		n = min(n, occurrencesForWindow(j, candidates))
	}
	low, high := 0, due-1
	for i := range n {
		if i%2 == 0 {
			low = j.Touched.NextMissing(low)
			x.occurrences = append(x.occurrences, low)
			low++
		} else {
			high = j.Touched.PreviousMissing(high)
			x.occurrences = append(x.occurrences, high)
			high--
		}
	}
	x.job.unstarted -= n
	if x.job.unstarted == 0 && n+started > 1 {
		slices.Sort(x.occurrences)
	}
	return x.occurrences
}

// appendStarted appends the numbers of the started occurrences below due that the round
// looks at. d.mu must be held.
func (d *Dispatcher) appendStarted(out []int, j *bookkeeper.Job, due int) []int {
	n, _ := slices.BinarySearchFunc(j.Started, due, func(o *bookkeeper.Occurrence, k int) int { return o.Number - k })
	first, visits := 0, n
	if n > maxStartedVisits {
		visits = maxStartedVisits
		first, _ = slices.BinarySearchFunc(j.Started[:n], d.nextVisits[j.Spec.ID], func(o *bookkeeper.Occurrence, k int) int { return o.Number - k })
		d.nextVisits[j.Spec.ID] = j.Started[(first+visits)%n].Number
	}
	for i := range visits {
		out = append(out, j.Started[(first+i)%n].Number)
	}
	return out
}

// dropVisits forgets the turns of jobs that have ended. d.mu must be held.
func (d *Dispatcher) dropVisits(s *bookkeeper.State) {
	for id := range d.nextVisits {
		if j := s.Jobs[id]; j == nil || !j.IsOpen() {
			delete(d.nextVisits, id)
		}
	}
}

// occurrencesForWindow returns the number of occurrences without assigned tasks that fill
// the share of each step that waits for no other, at least 1.
func occurrencesForWindow(j *bookkeeper.Job, candidates []*allocator.Worker) int {
	smallest := maxWindowTasks
	for i := range j.Spec.Steps {
		if step := &j.Spec.Steps[i]; len(step.After) == 0 {
			smallest = min(smallest, spreadLimit(step, nil, j.Queue.Pool, candidates, min(step.Count, maxWindowTasks)))
		}
	}
	return max(1, maxWindowTasks/max(1, smallest*len(j.Spec.Steps)))
}

// taskLists holds the indices and the next attempts of tasks that were never assigned.
// Requests share them. They must not be changed.
type taskLists struct {
	indices  []int
	attempts []uint64
}

// first returns the lists of the first n tasks.
func (x *taskLists) first(n int) (indices []int, attempts []uint64) {
	for i := len(x.indices); i < n; i++ {
		x.indices, x.attempts = append(x.indices, i), append(x.attempts, 1)
	}
	return x.indices[:n:n], x.attempts[:n:n]
}
