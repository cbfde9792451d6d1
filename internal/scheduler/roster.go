package scheduler

import (
	"math"
	"time"

	"github.com/carobrock/carobrock"
)

// session identifies one incarnation of one worker.
type session struct{ worker, incarnation string }

// presence is what the leader knows of one incarnation of a worker.
type presence struct {
	// renewedAt is when the leader took the last announcement. The worker
	// counts its lease from sending it, which was earlier.
	renewedAt time.Time
	// firstMillis and sentMillis are SentMillis of the first and the last
	// announcement that this leader took.
	firstMillis int64
	sentMillis  int64
	// reports holds the attempts of the last announcement; nil if this leader
	// has had none.
	reports map[carobrock.AttemptRef]carobrock.TaskReport
	// quoted holds the newest announcement that an order for an attempt quoted.
	quoted map[carobrock.AttemptRef]int64
	// kinds counts what ran on the worker by kind, averaged up to averagedAt.
	kinds      map[string]float64
	averagedAt time.Time
}

// leastCount is where an average count is taken for zero.
const leastCount = 0.01

// average brings the average counts up to date and returns them. They forget
// about two thirds within half of usageLag, the mean age of reported usage.
func (p *presence) average(kinds map[string]float64, now time.Time) map[string]float64 {
	keep := 0.0
	if p.kinds != nil {
		keep = math.Exp(-2 * float64(now.Sub(p.averagedAt)) / float64(usageLag))
	}
	out := make(map[string]float64, len(kinds))
	for kind, n := range p.kinds {
		if keep*n > leastCount {
			out[kind] = keep * n
		}
	}
	for kind, n := range kinds {
		out[kind] += (1 - keep) * n
	}
	p.kinds, p.averagedAt = out, now
	return out
}

// roster is the leader's memory of the workers.
type roster struct {
	present map[session]*presence
	// current is the incarnation that announced last.
	current map[string]string
	// records hold how tasks ended on each worker lately.
	records map[string]*record
}

func newRoster() *roster {
	return &roster{present: map[session]*presence{}, current: map[string]string{}, records: map[string]*record{}}
}

// assume notes a worker that an earlier leader knew, as if it had announced now.
func (r *roster) assume(w *carobrock.Worker, now time.Time) {
	r.current[w.Name] = w.Incarnation
	r.presence(session{w.Name, w.Incarnation}).renewedAt = now
}

func (r *roster) presence(s session) *presence {
	p := r.present[s]
	if p == nil {
		p = &presence{quoted: map[carobrock.AttemptRef]int64{}}
		r.present[s] = p
	}
	return p
}

// announce takes an announcement.
func (r *roster) announce(a *carobrock.Announcement, now time.Time) {
	r.current[a.Name] = a.Incarnation
	p := r.presence(session{a.Name, a.Incarnation})
	if p.reports == nil {
		p.firstMillis = a.SentMillis
	}
	if a.SentMillis < p.sentMillis {
		return
	}
	p.renewedAt, p.sentMillis = now, a.SentMillis
	p.reports = map[carobrock.AttemptRef]carobrock.TaskReport{}
	for _, report := range a.Tasks {
		p.reports[carobrock.AttemptRef{ID: report.ID, Attempt: report.Attempt}] = report
	}
}

// isExpired reports whether the lease of an incarnation has certainly run out.
func (r *roster) isExpired(s session, now time.Time, lease time.Duration) bool {
	p := r.present[s]
	return p != nil && now.Sub(p.renewedAt) > lease
}

// forget drops the incarnations that have been silent for long.
func (r *roster) forget(now time.Time, after time.Duration) {
	for s, p := range r.present {
		if now.Sub(p.renewedAt) > after && r.current[s.worker] != s.incarnation {
			delete(r.present, s)
		}
	}
}
