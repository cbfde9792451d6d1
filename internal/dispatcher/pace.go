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
	// shareHalfLife averages the shares of fillers over about that window;
	// minShare is where an average counts as zero.
	shareHalfLife = 200 * time.Millisecond
	minShare      = 0.001
	// loadHalfLife smooths the loads, as tails are rough figures.
	loadHalfLife = 150 * time.Millisecond
	// paceSettle is how long after a change of pace the tails still contain the
	// time before it.
	paceSettle = 600 * time.Millisecond
	// easingRatio is the fall of a tail from one report to the next at which it
	// counts as easing.
	easingRatio = 0.93
	// overdueAfter is how long a tail is above its target before the fillers
	// beside it are all distrusted: a change of pace shows within a second.
	overdueAfter = 1500 * time.Millisecond
	// crowdedLoad is the load above which a tail lags behind.
	crowdedLoad = 0.85
	// sampleAge is how old the sample of a task may be to be compared with that
	// of another of its job.
	sampleAge = 400 * time.Millisecond
)

// sample is what is known of a service task from its tail latency.
type sample struct {
	worker string
	step   *carobrock.Step
	// tail is the last reported tail in milliseconds, load the smoothed load.
	tail   float64
	load   float64
	easing bool
	at     time.Time
	// overSince is when the tail rose above the target, zero while it is below.
	overSince time.Time
	// raw is the load of the last report alone, shares what fillers used over
	// its window.
	raw    float64
	shares pacer.Shares
	// learned is when the sample was last given to the model.
	learned time.Time
}

// measure takes the tails of a heartbeat and lets the model learn from them. The
// caller holds d.mu.
func (d *Dispatcher) measure(s *bookkeeper.State, w *worker, now time.Time) {
	l := s.Lives[w.report.WorkerLife]
	if l == nil {
		return
	}
	for run := range w.samples {
		if w.listed[run] == nil {
			d.forget(w, run)
		}
	}
	shares := w.average(l, now)
	for i := range w.report.Running {
		x := &w.report.Running[i]
		step := l.Runs[x.Run]
		if step == nil || !step.Service || step.TailTargetMillis == 0 || x.Percent < 100 || x.TailMillis <= 0 {
			continue
		}
		m := w.samples[x.Run]
		if m == nil {
			m = &sample{worker: w.report.Name, step: step}
			w.samples[x.Run] = m
			d.remember(m, x.Run)
		}
		if now.Sub(w.since[x.Run]) >= 2*tailWindow {
			d.rest.Observe(step.Image, float64(x.TailMillis))
		}
		m.take(d.rest.Load(step.Image, float64(step.TailTargetMillis), float64(x.TailMillis)), float64(x.TailMillis), now)
		m.shares = shares
		d.learn(x.Task.Job, m, now)
	}
}

// take notes a report.
func (m *sample) take(load, tail float64, now time.Time) {
	keep := halve(now.Sub(m.at), loadHalfLife)
	m.load = keep*m.load + (1-keep)*load
	m.easing = tail < easingRatio*m.tail
	m.tail, m.raw, m.at = tail, load, now
	if tail <= float64(m.step.TailTargetMillis) {
		m.overSince = time.Time{}
	} else if m.overSince.IsZero() {
		m.overSince = now
	}
}

// remember and forget keep the samples of each job together.
func (d *Dispatcher) remember(m *sample, run carobrock.Run) {
	if d.peers[run.Task.Job] == nil {
		d.peers[run.Task.Job] = map[*sample]bool{}
	}
	d.peers[run.Task.Job][m] = true
}

func (d *Dispatcher) forget(w *worker, run carobrock.Run) {
	m := w.samples[run]
	delete(w.samples, run)
	delete(d.peers[run.Task.Job], m)
	if len(d.peers[run.Task.Job]) == 0 {
		delete(d.peers, run.Task.Job)
	}
}

// learn compares a sample with the other tasks of its job, which share its load
// but not what is beside them.
func (d *Dispatcher) learn(job string, m *sample, now time.Time) {
	if m.easing || now.Sub(m.learned) < tailWindow {
		return
	}
	n, load, others := 0.0, 0.0, pacer.Shares{}
	crowded := m.raw > crowdedLoad
	for o := range d.peers[job] {
		if o == m || o.worker == m.worker || o.easing || now.Sub(o.at) > sampleAge || o.step != m.step {
			continue
		}
		n++
		load += o.raw
		crowded = crowded || o.raw > crowdedLoad
		for image, share := range o.shares {
			others[image] += share
		}
	}
	if n == 0 {
		return
	}
	for image := range others {
		others[image] /= n
	}
	m.learned = now
	d.model.Observe(m.step.Image, m.shares, others, m.raw-load/n, crowded)
}

// average brings the mean of the fillers' shares up to date, over about the
// window in which a worker measures a tail, and returns it.
func (w *worker) average(l *bookkeeper.Life, now time.Time) pacer.Shares {
	keep := halve(now.Sub(w.averagedAt), shareHalfLife)
	mean := pacer.Shares{}
	for image, share := range w.meanShares {
		if keep*share > minShare {
			mean[image] = keep * share
		}
	}
	for image, share := range w.presentShares {
		mean[image] += (1 - keep) * share
	}
	present := pacer.Shares{}
	for run := range w.listed {
		if step := l.Runs[run]; step != nil && step.Filler {
			f := w.filler(run, step, now)
			present[step.Image] += f.Share * float64(f.Pace) / 100
		}
	}
	w.meanShares, w.presentShares, w.averagedAt = mean, present, now
	return mean
}

// filler describes a filler on the worker.
func (w *worker) filler(run carobrock.Run, step *carobrock.Step, now time.Time) pacer.Filler {
	f := pacer.Filler{Image: step.Image, Share: float64(step.Size.MilliCPU) / float64(max(1, w.report.Capacity.MilliCPU)), Pace: w.paceOf(run)}
	if since, ok := w.since[run]; ok {
		f.Felt = math.Min(1, float64(now.Sub(since))/float64(tailWindow))
	}
	return f
}

// services describes the service tasks on the worker that have a target.
func (w *worker) services(rest *pacer.Rest, now time.Time) []pacer.Service {
	var out []pacer.Service
	for _, m := range w.samples {
		target := float64(m.step.TailTargetMillis)
		out = append(out, pacer.Service{
			Image: m.step.Image, Load: m.load, Limit: rest.Load(m.step.Image, target, target), Easing: m.easing,
			Overdue: !m.overSince.IsZero() && now.Sub(m.overSince) > overdueAfter,
		})
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
	for i, pace := range pacer.Decide(&d.model, w.services(&d.rest, now), fillers) {
		before := fillers[i].Pace
		if pace == before || !settled && fillers[i].Felt == 1 {
			continue
		}
		t := w.throttles[runs[i]]
		if t == nil {
			t = &throttle{percent: before}
			w.throttles[runs[i]] = t
		}
		t.order(pace, now)
		w.pacedAt = now
		d.Logger.Debug().Str("worker", w.report.Name).Str("job", runs[i].Task.Job).Str("image", fillers[i].Image).Int("before", before).Int("pace", pace).
			Msg("dispatcher: pace changed")
	}
}
