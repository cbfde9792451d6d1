package scheduler

import (
	"math"
	"time"

	"github.com/carobrock/carobrock"
)

// workerIncarnation identifies one incarnation of one worker.
type workerIncarnation struct{ worker, incarnation string }

// incarnationState is what the leader knows about one incarnation of a worker.
type incarnationState struct {
	// renewedAt is when the leader received the last announcement. The worker
	// counts its lease from the time at which it sent the announcement, which
	// is earlier.
	renewedAt time.Time
	// firstSentMillis and lastSentMillis are the SentMillis, by the worker's
	// clock, of the first and the last announcement that this leader received.
	firstSentMillis int64
	lastSentMillis  int64
	// reports holds the task reports of the last announcement by attempt; nil
	// if this leader has received none.
	reports map[carobrock.AttemptRef]carobrock.TaskReport
	// quotedMillis holds, by attempt, the QuotedMillis of the latest request to
	// start it that this leader prepared: the SentMillis of the worker's last
	// announcement at that time.
	quotedMillis map[carobrock.AttemptRef]int64
	// averageCounts is the exponential moving average of the number of running
	// tasks by kind, up to averageCountsAt.
	averageCounts   map[string]float64
	averageCountsAt time.Time
}

// minAverageCount is the average count below which a kind is dropped.
const minAverageCount = 0.01

// updateAverageCounts updates the average counts with the current counts and
// returns them. The weight of old counts decays by about two thirds within half
// of maxUsageAge, which is the mean age of reported usage.
func (state *incarnationState) updateAverageCounts(kinds map[string]float64, now time.Time) map[string]float64 {
	oldWeight := 0.0
	if state.averageCounts != nil {
		oldWeight = math.Exp(-2 * float64(now.Sub(state.averageCountsAt)) / float64(maxUsageAge))
	}
	out := make(map[string]float64, len(kinds))
	for kind, n := range state.averageCounts {
		if oldWeight*n > minAverageCount {
			out[kind] = oldWeight * n
		}
	}
	for kind, n := range kinds {
		out[kind] += (1 - oldWeight) * n
	}
	state.averageCounts, state.averageCountsAt = out, now
	return out
}

// workerTracker is the leader's in-memory state about the workers: their
// leases, reports and recent outcomes.
type workerTracker struct {
	incarnations map[workerIncarnation]*incarnationState
	// currentIncarnation holds, by worker name, the incarnation whose
	// announcement was received last.
	currentIncarnation map[string]string
	// outcomes records the recent outcomes of tasks on each worker.
	outcomes map[string]*workerOutcomes
}

func newWorkerTracker() *workerTracker {
	return &workerTracker{incarnations: map[workerIncarnation]*incarnationState{}, currentIncarnation: map[string]string{}, outcomes: map[string]*workerOutcomes{}}
}

// assumeRenewed adds a worker that an earlier leader registered, with its lease
// renewed at now.
func (t *workerTracker) assumeRenewed(w *carobrock.Worker, now time.Time) {
	t.currentIncarnation[w.Name] = w.Incarnation
	t.stateOf(workerIncarnation{w.Name, w.Incarnation}).renewedAt = now
}

// stateOf returns the state of an incarnation and creates it if necessary.
func (t *workerTracker) stateOf(id workerIncarnation) *incarnationState {
	state := t.incarnations[id]
	if state == nil {
		state = &incarnationState{quotedMillis: map[carobrock.AttemptRef]int64{}}
		t.incarnations[id] = state
	}
	return state
}

// recordAnnouncement renews the lease of the announcing incarnation and stores
// its reports. An announcement that was sent before the last one received is
// ignored, except that its incarnation becomes the worker's current one.
func (t *workerTracker) recordAnnouncement(a *carobrock.Announcement, now time.Time) {
	if previous, ok := t.currentIncarnation[a.Name]; ok && previous != a.Incarnation {
		t.outcomesOf(a.Name).recordRestart()
	}
	t.currentIncarnation[a.Name] = a.Incarnation
	state := t.stateOf(workerIncarnation{a.Name, a.Incarnation})
	if state.reports == nil {
		state.firstSentMillis = a.SentMillis
	}
	if a.SentMillis < state.lastSentMillis {
		return
	}
	state.renewedAt, state.lastSentMillis = now, a.SentMillis
	state.reports = map[carobrock.AttemptRef]carobrock.TaskReport{}
	for _, report := range a.Tasks {
		state.reports[carobrock.AttemptRef{ID: report.ID, Attempt: report.Attempt}] = report
	}
}

// isExpired reports whether the last renewal of an incarnation is more than
// lease ago. It returns false for an unknown incarnation.
func (t *workerTracker) isExpired(id workerIncarnation, now time.Time, lease time.Duration) bool {
	state := t.incarnations[id]
	return state != nil && now.Sub(state.renewedAt) > lease
}

// removeSilentIncarnations removes the superseded incarnations that have been
// silent for longer than timeout.
func (t *workerTracker) removeSilentIncarnations(now time.Time, timeout time.Duration) {
	for id, state := range t.incarnations {
		if now.Sub(state.renewedAt) > timeout && t.currentIncarnation[id.worker] != id.incarnation {
			delete(t.incarnations, id)
		}
	}
}
