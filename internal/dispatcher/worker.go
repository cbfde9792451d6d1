package dispatcher

import (
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/pacer"
)

// worker is what the leader knows of one worker life from its heartbeats.
type worker struct {
	// report is the newest heartbeat.
	report *carobrock.WorkerReport
	// received is when it came.
	received time.Time
	// leaseEnd is when every lease that this leader granted has expired on the
	// worker's clock, at the latest.
	leaseEnd time.Time
	// listed holds the runs that report lists as running.
	listed map[carobrock.Run]*carobrock.RunReport
	// ended holds the runs that report lists as ended; their ends may still be
	// on their way into the log.
	ended map[carobrock.Run]bool
	// offered holds the runs that the answer to report told the worker to start.
	offered map[carobrock.Run]bool
	// withdrawn holds the runs whose withdrawal is proposed: they are not started
	// any more, whatever becomes of the proposal.
	withdrawn map[carobrock.Run]bool
	// losing is set while the loss of the worker's runs is proposed: it is told
	// nothing until that is recorded.
	losing bool
	// waiting is not nil while the heartbeat waits for orders; closing it ends
	// the wait.
	waiting chan struct{}
	// inherited holds the runs that another leader started: the paces that it
	// ordered are not known.
	inherited map[carobrock.Run]bool
	// record counts how runs ended lately.
	record record
	// progress tells when each run was last seen to advance.
	progress map[carobrock.Run]progress
	// unwanted holds runs that are to be stopped though their tasks go on.
	unwanted map[carobrock.Run]string
	// throttles holds the pace of each run that was ever slowed; pacedAt is when
	// one changed last.
	throttles map[carobrock.Run]*throttle
	pacedAt   time.Time
	// samples holds what the tail latencies of service tasks tell, since when
	// each run was first listed.
	samples map[carobrock.Run]*sample
	since   map[carobrock.Run]time.Time
	// meanShares are the fillers' shares averaged up to averagedAt, presentShares
	// those at that time.
	meanShares    pacer.Shares
	presentShares pacer.Shares
	averagedAt    time.Time
}

// progress is how far a run was when it last advanced.
type progress struct {
	percent int
	at      time.Time
}

func newWorker() *worker {
	return &worker{
		progress: map[carobrock.Run]progress{}, unwanted: map[carobrock.Run]string{},
		throttles: map[carobrock.Run]*throttle{}, inherited: map[carobrock.Run]bool{}, offered: map[carobrock.Run]bool{}, withdrawn: map[carobrock.Run]bool{}, samples: map[carobrock.Run]*sample{},
	}
}

// take notes a heartbeat.
func (w *worker) take(r *carobrock.WorkerReport, now time.Time) {
	w.report, w.received = r, now
	w.listed = make(map[carobrock.Run]*carobrock.RunReport, len(r.Running))
	w.ended = make(map[carobrock.Run]bool, len(r.Ends))
	for i := range r.Ends {
		w.ended[carobrock.Run{Task: r.Ends[i].Task, Attempt: r.Ends[i].Attempt}] = true
	}
	seen := make(map[carobrock.Run]progress, len(r.Running))
	since := make(map[carobrock.Run]time.Time, len(r.Running))
	for i := range r.Running {
		x := &r.Running[i]
		w.listed[x.Run] = x
		p, ok := w.progress[x.Run]
		if !ok || x.Percent != p.percent {
			p = progress{percent: x.Percent, at: now}
		}
		seen[x.Run] = p
		if t, ok := w.since[x.Run]; ok {
			since[x.Run] = t
		} else {
			since[x.Run] = now
			w.inherited[x.Run] = !w.offered[x.Run]
		}
	}
	clear(w.offered)
	w.progress, w.since = seen, since
	for run := range w.unwanted {
		if w.listed[run] == nil {
			delete(w.unwanted, run)
		}
	}
	for run := range w.throttles {
		if w.listed[run] == nil {
			delete(w.throttles, run)
		}
	}
	for run := range w.inherited {
		if w.listed[run] == nil {
			delete(w.inherited, run)
		}
	}
}

// stallTime is how long a run may stand still at full pace. A task that gets a
// tenth of its processors still advances by a percent in less.
const stallTime = 2500 * time.Millisecond

// judgeRuns marks the runs that are to end here: those that stand still, and on
// a leaving worker those that resume elsewhere from a checkpoint or are to be
// restarted anyway. The caller holds the dispatcher's lock.
func (w *worker) judgeRuns(steps map[carobrock.Run]*carobrock.Step, now time.Time) {
	for run, x := range w.listed {
		step := steps[run]
		if step == nil || w.unwanted[run] != "" {
			continue
		}
		switch {
		case w.report.Leaving && (step.Checkpoints || step.Service):
			w.unwanted[run] = "leaving"
		case step.Gang || x.Percent >= 100 || w.paceOf(run) < 50:
		case now.Sub(w.progress[run].at) > stallTime && now.Sub(w.pacedAt) > stallTime:
			w.unwanted[run] = "stalled"
			w.record.add(now, 1, 0)
		}
	}
}

// holds reports whether the worker may hold the run: it lists it, or was just
// told to start it.
func (w *worker) holds(run carobrock.Run) bool {
	return w.listed[run] != nil || w.ended[run] || w.offered[run]
}

// release ends the wait of a heartbeat for orders.
func (w *worker) release() {
	if w.waiting != nil {
		close(w.waiting)
		w.waiting = nil
	}
}

// record counts ends of runs with weights that halve over time.
type record struct {
	failed    float64
	succeeded float64
	at        time.Time
}

const (
	// recordHalfLife is how fast the past of a worker is forgotten: a few times
	// the run time of a short task.
	recordHalfLife = 3 * time.Second
	// recordPrior is how many ends without failure every worker is credited with.
	recordPrior = 2.0
)

func (r *record) add(now time.Time, failed, succeeded float64) {
	r.decay(now)
	r.failed += failed
	r.succeeded += succeeded
}

func (r *record) decay(now time.Time) {
	if !r.at.IsZero() {
		f := halve(now.Sub(r.at), recordHalfLife)
		r.failed *= f
		r.succeeded *= f
	}
	r.at = now
}

// failureShare estimates the share of runs that fail on the worker.
func (r *record) failureShare(now time.Time) float64 {
	r.decay(now)
	return r.failed / (r.failed + r.succeeded + recordPrior)
}
