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
	// reports holds the attempts of the last announcement; nil if this leader
	// has received none.
	reports map[carobrock.AttemptRef]carobrock.TaskReport
	// quotedMillis holds, by attempt, the SentMillis of the latest announcement
	// that an order to start it quoted.
	quotedMillis map[carobrock.AttemptRef]int64
	// averageKinds is the exponential moving average of the number of running
	// tasks by kind, up to averagedAt.
	averageKinds map[string]float64
	averagedAt   time.Time
}

// minAverageCount is the average count below which a kind is dropped.
const minAverageCount = 0.01

// updateAverageKinds updates the average counts with the current counts and
// returns them. The weight of old counts decays by about two thirds within half
// of maxUsageAge, which is the mean age of reported usage.
func (state *incarnationState) updateAverageKinds(kinds map[string]float64, now time.Time) map[string]float64 {
	oldWeight := 0.0
	if state.averageKinds != nil {
		oldWeight = math.Exp(-2 * float64(now.Sub(state.averagedAt)) / float64(maxUsageAge))
	}
	out := make(map[string]float64, len(kinds))
	for kind, n := range state.averageKinds {
		if oldWeight*n > minAverageCount {
			out[kind] = oldWeight * n
		}
	}
	for kind, n := range kinds {
		out[kind] += (1 - oldWeight) * n
	}
	state.averageKinds, state.averagedAt = out, now
	return out
}

// roster is the leader's in-memory state about the workers.
type roster struct {
	incarnations map[workerIncarnation]*incarnationState
	// currentIncarnation is the incarnation of each worker that announced
	// itself last.
	currentIncarnation map[string]string
	// outcomes records the recent outcomes of tasks on each worker.
	outcomes map[string]*workerOutcomes
}

func newRoster() *roster {
	return &roster{incarnations: map[workerIncarnation]*incarnationState{}, currentIncarnation: map[string]string{}, outcomes: map[string]*workerOutcomes{}}
}

// assumeRenewed adds a worker that an earlier leader registered, with its lease
// renewed at now.
func (r *roster) assumeRenewed(w *carobrock.Worker, now time.Time) {
	r.currentIncarnation[w.Name] = w.Incarnation
	r.stateOf(workerIncarnation{w.Name, w.Incarnation}).renewedAt = now
}

// stateOf returns the state of an incarnation and creates it if necessary.
func (r *roster) stateOf(id workerIncarnation) *incarnationState {
	state := r.incarnations[id]
	if state == nil {
		state = &incarnationState{quotedMillis: map[carobrock.AttemptRef]int64{}}
		r.incarnations[id] = state
	}
	return state
}

// recordAnnouncement renews the lease of the announcing incarnation and stores
// its reports. An announcement that was sent before the last one received is
// ignored, except that it becomes the current incarnation.
func (r *roster) recordAnnouncement(a *carobrock.Announcement, now time.Time) {
	r.currentIncarnation[a.Name] = a.Incarnation
	state := r.stateOf(workerIncarnation{a.Name, a.Incarnation})
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
func (r *roster) isExpired(id workerIncarnation, now time.Time, lease time.Duration) bool {
	state := r.incarnations[id]
	return state != nil && now.Sub(state.renewedAt) > lease
}

// dropSilent removes the superseded incarnations that have been silent for
// longer than timeout.
func (r *roster) dropSilent(now time.Time, timeout time.Duration) {
	for id, state := range r.incarnations {
		if now.Sub(state.renewedAt) > timeout && r.currentIncarnation[id.worker] != id.incarnation {
			delete(r.incarnations, id)
		}
	}
}
