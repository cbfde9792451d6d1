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
	// pastHalfLife smooths the load that the present one is compared with, pastAge
	// is by how much older it is in the mean.
	pastHalfLife = 600 * time.Millisecond
	pastAge      = 650 * time.Millisecond
	// growthLead is how far ahead the growth of a load is reckoned with: a part of
	// the time that a change of pace takes, since bursts that are not told apart
	// yet look like growth.
	growthLead = 150 * time.Millisecond
	// burstUse is the part of its request above which a filler's use tells a
	// burst: between bursts fillers were seen to use two thirds of it.
	burstUse = 0.85
	// quietUse is that part between bursts.
	quietUse = 0.66
	// easingRatio is the fall of a tail from one report to the next at which it
	// counts as easing.
	easingRatio = 0.93
	// overdueAfter is how long a tail is above its target before the fillers
	// beside it are all distrusted: a change of pace shows within a second.
	overdueAfter = 1500 * time.Millisecond
	// saturated is the load above which a tail only tells that there is no room.
	saturated = 0.95
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
	// tail is the last reported tail in milliseconds, own the smoothed load
	// without the pressure of fillers.
	tail   float64
	own    float64
	easing bool
	// past is own as it was about pastAge ago.
	past float64
	at   time.Time
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
		m.shares = shares
		load := d.rest.Load(step.Image, float64(step.TailTargetMillis), float64(x.TailMillis))
		m.take(load, d.pressureOn(step.Image, shares), float64(x.TailMillis), now)
		d.learn(x.Task.Job, m, now)
	}
}

// pressureOn returns by how much fillers raise the load of a service.
func (d *Dispatcher) pressureOn(service string, shares pacer.Shares) (sum float64) {
	for image, share := range shares {
		sum += d.model.Pressure(service, image) * share
	}
	return sum
}

// take notes a report with the load that it tells and the part of it that is
// the fillers' doing.
func (m *sample) take(load, pressure, tail float64, now time.Time) {
	keep := halve(now.Sub(m.at), loadHalfLife)
	m.easing = tail < easingRatio*m.tail
	own := math.Max(0, load-pressure)
	// What queued up is still being worked off while a tail falls, and a service
	// without any room left does not tell how far it is over: neither raises or
	// lowers the estimate.
	if !(m.easing && own > m.own) && !(load > saturated && own < m.own) {
		m.own = keep*m.own + (1-keep)*own
	}
	if m.at.IsZero() {
		m.past = m.own
	}
	keepPast := halve(now.Sub(m.at), pastHalfLife)
	m.past = keepPast*m.past + (1-keepPast)*m.own
	m.tail, m.raw, m.at = tail, load, now
	if tail <= float64(m.step.TailTargetMillis) {
		m.overSince = time.Time{}
	} else if m.overSince.IsZero() {
		m.overSince = now
	}
}

// expected returns the load without fillers by the time that a change of pace
// takes effect. A load that falls is not counted on.
func (m *sample) expected() float64 {
	return m.own + math.Max(0, m.own-m.past)*float64(growthLead)/float64(pastAge)
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
			present[step.Image] += w.filler(run, step).Share * w.intensity(run, step, now)
		}
	}
	w.meanShares, w.presentShares, w.averagedAt = mean, present, now
	return mean
}

// intensity returns how hard a filler presses at a time, as a part of the most
// that it can: in proportion to its pace, and less while it is in a quiet phase.
// One that has not reported its use yet is taken to be in a burst.
func (w *worker) intensity(run carobrock.Run, step *carobrock.Step, now time.Time) float64 {
	pace := float64(w.paceInForce(run, now)) / 100
	used := w.listed[run].MilliCPU
	if used > 0 && float64(used) < burstUse*pace*float64(step.Size.MilliCPU) {
		return pace * pacer.QuietIntensity
	}
	return pace
}

// filler describes a filler on the worker.
func (w *worker) filler(run carobrock.Run, step *carobrock.Step) pacer.Filler {
	return pacer.Filler{Image: step.Image, Share: float64(step.Size.MilliCPU) / float64(max(1, w.report.Capacity.MilliCPU)), Pace: w.paceOf(run)}
}

// services describes the service tasks on the worker that have a target.
func (w *worker) services(rest *pacer.Rest, now time.Time) []pacer.Service {
	var out []pacer.Service
	for _, m := range w.samples {
		target := float64(m.step.TailTargetMillis)
		out = append(out, pacer.Service{
			Image: m.step.Image, Load: m.expected(), Limit: rest.Load(m.step.Image, target, target),
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
			w.adopt(run, step, now)
			runs = append(runs, run)
			fillers = append(fillers, w.filler(run, step))
		}
	}
	settled := now.Sub(w.pacedAt) >= paceSettle
	for i, pace := range pacer.Decide(&d.model, w.services(&d.rest, now), fillers) {
		before := fillers[i].Pace
		t := w.throttles[runs[i]]
		if pace == before || pace > before && !settled || t != nil && t.isOnItsWay(now) {
			continue
		}
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
