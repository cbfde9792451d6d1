package dispatcher

import (
	"math"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/pacer"
)

const (
	// tailWindow is the time over which a worker measures a tail: the platform
	// reports the last half second.
	tailWindow = 500 * time.Millisecond
	// tailHalfLife smooths the tails, which are rough figures.
	tailHalfLife = 250 * time.Millisecond
	// paceSettle is how long after a change of pace the tails still contain the
	// time before it; until then paces are only lowered.
	paceSettle = 600 * time.Millisecond
)

// tail is the smoothed tail latency of a service task.
type tail struct {
	log float64
	at  time.Time
	// learned is when the tail was last given to the model.
	learned time.Time
}

// measure smooths the tails of a heartbeat and lets the model learn from them.
// The caller holds d.mu.
func (d *Dispatcher) measure(s *bookkeeper.State, w *worker, now time.Time) {
	l := s.Lives[w.report.WorkerLife]
	if l == nil {
		return
	}
	for run := range w.tails {
		if w.listed[run] == nil {
			delete(w.tails, run)
		}
	}
	shares := w.shares(l, now)
	for i := range w.report.Running {
		x := &w.report.Running[i]
		step := l.Runs[x.Run]
		if step == nil || !step.Service || step.TailTargetMillis == 0 || x.Percent < 100 || x.TailMillis <= 0 {
			continue
		}
		t, log := w.tails[x.Run], math.Log(float64(x.TailMillis))
		if t == nil {
			t = &tail{log: log, at: now, learned: now}
			w.tails[x.Run] = t
			continue
		}
		keep := halve(now.Sub(t.at), tailHalfLife)
		t.log, t.at = keep*t.log+(1-keep)*log, now
		if now.Sub(t.learned) >= tailWindow {
			d.model.Observe(step.Image, shares, log)
			t.learned = now
		}
	}
}

// shares returns what the fillers on a worker used over the last tail window.
func (w *worker) shares(l *bookkeeper.Life, now time.Time) []pacer.Share {
	var out []pacer.Share
	for run := range w.listed {
		step := l.Runs[run]
		if step == nil || !step.Filler {
			continue
		}
		f := w.filler(run, step, now)
		out = append(out, pacer.Share{Image: step.Image, Share: f.Share * f.Felt * float64(f.Pace) / 100})
	}
	return out
}

// filler describes a filler on the worker.
func (w *worker) filler(run carobrock.Run, step *carobrock.Step, now time.Time) pacer.Filler {
	f := pacer.Filler{Image: step.Image, Share: float64(step.Size.MilliCPU) / float64(max(1, w.report.Capacity.MilliCPU)), Pace: 100}
	if pace, ok := w.paces[run]; ok {
		f.Pace = pace
	}
	if since, ok := w.since[run]; ok {
		f.Felt = math.Min(1, float64(now.Sub(since))/float64(tailWindow))
	}
	return f
}

// services describes the service tasks on the worker that have a target.
func (w *worker) services(l *bookkeeper.Life) []pacer.Service {
	var out []pacer.Service
	for run, t := range w.tails {
		if step := l.Runs[run]; step != nil {
			out = append(out, pacer.Service{Image: step.Image, LogTail: t.log, LogTarget: math.Log(float64(step.TailTargetMillis))})
		}
	}
	return out
}

// repace decides the paces of the fillers on a worker. The caller holds d.mu.
func (d *Dispatcher) repace(s *bookkeeper.State, w *worker, now time.Time) {
	l := s.Lives[w.report.WorkerLife]
	if l == nil {
		return
	}
	var runs []carobrock.Run
	var fillers []pacer.Filler
	for run := range w.listed {
		if step := l.Runs[run]; step != nil && step.Filler {
			runs = append(runs, run)
			fillers = append(fillers, w.filler(run, step, now))
		}
	}
	settled := now.Sub(w.pacedAt) >= paceSettle
	for i, pace := range pacer.Decide(&d.model, w.services(l), fillers) {
		before := fillers[i].Pace
		if pace == before || pace > before && !settled {
			continue
		}
		w.paces[runs[i]] = pace
		w.pacedAt = now
		w.repaced = true
		d.Logger.Debug().Str("worker", w.report.Name).Str("job", runs[i].Task.Job).Str("image", fillers[i].Image).Int("before", before).Int("pace", pace).
			Msg("dispatcher: pace changed")
	}
}

// paceOrders returns the paces of all runs that were ever slowed: an order that
// was lost on the way is repeated this way. The caller holds d.mu.
func (w *worker) paceOrders() []carobrock.PaceRun {
	var out []carobrock.PaceRun
	for run, pace := range w.paces {
		out = append(out, carobrock.PaceRun{Run: run, Percent: pace})
	}
	return out
}
