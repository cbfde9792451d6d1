package dispatcher

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/pacer"
)

const (
	// tailWindow is the interval over which a worker measures a tail latency; the
	// platform reports the last half second.
	tailWindow = 500 * time.Millisecond
	// shareHalfLife is the half-life for averaging the processor shares of fillers,
	// chosen to cover about tailWindow. Averages below minShare count as zero.
	shareHalfLife = 200 * time.Millisecond
	minShare      = 0.001
	// loadHalfLife is the half-life for smoothing the load estimates, as tail
	// latencies are noisy.
	loadHalfLife = 150 * time.Millisecond
	// paceSettleTime is how long after a pace change the reported tail latencies
	// still include time before the change.
	paceSettleTime = 600 * time.Millisecond
	// trendHalfLife is the half-life of pastLoad, an average of the load that is
	// slower than ownLoad; their difference shows the trend. trendAge is the
	// difference between the mean ages of the two averages.
	trendHalfLife = 600 * time.Millisecond
	trendAge      = 650 * time.Millisecond
	// growthHorizon is how far ahead a growing load is extrapolated. It is shorter
	// than a pace change takes, because bursts of fillers that are not yet
	// recognized also look like growth.
	growthHorizon = 150 * time.Millisecond
	// burstUseRatio is the ratio of the CPU that a filler uses to its request times
	// its pace; above it the filler counts as being in a burst. Between bursts,
	// fillers were observed to use two thirds of their request.
	burstUseRatio = 0.85
	// quietUseRatio is the ratio of used to requested CPU between bursts.
	quietUseRatio = 0.66
	// fallingRatio is the ratio of two consecutive tail latencies below which the
	// latency counts as falling.
	fallingRatio = 0.93
	// overTargetAfter is how long a tail latency must exceed its target before all
	// fillers on the worker are stopped, whatever the model predicts of them. A pace
	// change shows in the tail latency within a second.
	overTargetAfter = 1500 * time.Millisecond
	// overTargetLogAfter is how long a tail latency must exceed its target before
	// that is logged.
	overTargetLogAfter    = 3 * time.Second
	overTargetLogInterval = time.Second
	// saturatedLoad is the load above which a tail latency shows only that the
	// service has no spare capacity, not by how much it is overloaded.
	saturatedLoad = 0.95
	// nearSaturationLoad is the load above which the tail latency lags behind the
	// load.
	nearSaturationLoad = 0.85
	// maxLoadEstimateAge is the maximum age of a load estimate that is compared
	// with that of another task of the same job.
	maxLoadEstimateAge = 400 * time.Millisecond
)

// loadEstimate is the estimated load of a service task, derived from its tail
// latency. Loads are between 0 and 1.
type loadEstimate struct {
	workerName string
	step       *carobrock.Step
	// tailMillis is the last reported tail latency in milliseconds, ownLoad the
	// smoothed load without the part that fillers cause. isFalling is set if the
	// last report showed a falling tail latency.
	tailMillis float64
	ownLoad    float64
	isFalling  bool
	// pastLoad is ownLoad as of about trendAge ago.
	pastLoad  float64
	updatedAt time.Time
	// overTargetSince is when the tail latency rose above the target, zero while it
	// is below.
	overTargetSince time.Time
	// rawLoad is the load derived from the last report alone, shares the processor
	// shares that fillers used over the window of that report.
	rawLoad float64
	shares  pacer.Shares
	// learnedAt is when the model was last updated with the estimate.
	learnedAt time.Time
}

// updateLoadEstimates updates the load estimates of the worker's service tasks
// from the tail latencies in its heartbeat, and the interference model from the
// estimates. d.mu must be held.
func (d *Dispatcher) updateLoadEstimates(s *bookkeeper.State, w *worker, now time.Time) {
	rec := s.Workers[w.report.WorkerIncarnation]
	if rec == nil {
		return
	}
	for run := range w.loadEstimates {
		if w.reported[run] == nil {
			d.removeLoadEstimate(w, run)
		}
	}
	shares := w.updateMeanShares(rec, now)
	for i := range w.report.Running {
		x := &w.report.Running[i]
		step := rec.Runs[x.Run]
		if step == nil || !step.Service || step.TailTargetMillis == 0 || x.Percent < 100 || x.TailMillis <= 0 {
			continue
		}
		m := w.loadEstimates[x.Run]
		if m == nil {
			m = &loadEstimate{workerName: w.report.Name, step: step}
			w.loadEstimates[x.Run] = m
			d.addLoadEstimate(m, x.Run)
		}
		if now.Sub(w.firstSeen[x.Run]) >= 2*tailWindow {
			d.baseline.ObserveTail(step.Image, float64(x.TailMillis))
		}
		m.shares = shares
		load := d.baseline.Load(step.Image, float64(step.TailTargetMillis), float64(x.TailMillis))
		m.update(load, d.fillerLoad(step.Image, shares), float64(x.TailMillis), now)
		d.updateModel(x.Task.Job, m, now)
	}
}

// fillerLoad returns the load that fillers with the given shares add to a task
// of a service image.
func (d *Dispatcher) fillerLoad(service string, shares pacer.Shares) (sum float64) {
	for image, share := range shares {
		sum += d.model.Pressure(service, image) * share
	}
	return sum
}

// update adds a report to the load estimate: the load derived from the tail
// latency in milliseconds, and the part of that load that fillers cause.
func (m *loadEstimate) update(load, fillerLoad, tailMillis float64, now time.Time) {
	keep := decayFactor(now.Sub(m.updatedAt), loadHalfLife)
	m.isFalling = tailMillis < fallingRatio*m.tailMillis
	ownLoad := math.Max(0, load-fillerLoad)
	// While a tail latency falls, the service still works off its backlog, so a
	// higher estimate is not used. A saturated service does not show how far it is
	// overloaded, so a lower estimate is not used.
	if !(m.isFalling && ownLoad > m.ownLoad) && !(load > saturatedLoad && ownLoad < m.ownLoad) {
		m.ownLoad = keep*m.ownLoad + (1-keep)*ownLoad
	}
	if m.updatedAt.IsZero() {
		m.pastLoad = m.ownLoad
	}
	keepPast := decayFactor(now.Sub(m.updatedAt), trendHalfLife)
	m.pastLoad = keepPast*m.pastLoad + (1-keepPast)*m.ownLoad
	m.tailMillis, m.rawLoad, m.updatedAt = tailMillis, load, now
	if tailMillis <= float64(m.step.TailTargetMillis) {
		m.overTargetSince = time.Time{}
	} else if m.overTargetSince.IsZero() {
		m.overTargetSince = now
	}
}

// expectedLoad returns the load without fillers at the time when a pace change
// takes effect. A growing load is extrapolated, a falling one is not.
func (m *loadEstimate) expectedLoad() float64 {
	return m.ownLoad + math.Max(0, m.ownLoad-m.pastLoad)*float64(growthHorizon)/float64(trendAge)
}

// addLoadEstimate adds a load estimate to those of its job.
func (d *Dispatcher) addLoadEstimate(m *loadEstimate, run carobrock.Run) {
	if d.jobLoadEstimates[run.Task.Job] == nil {
		d.jobLoadEstimates[run.Task.Job] = map[*loadEstimate]bool{}
	}
	d.jobLoadEstimates[run.Task.Job][m] = true
}

// removeLoadEstimate deletes the load estimate of a run on a worker.
func (d *Dispatcher) removeLoadEstimate(w *worker, run carobrock.Run) {
	m := w.loadEstimates[run]
	delete(w.loadEstimates, run)
	delete(d.jobLoadEstimates[run.Task.Job], m)
	if len(d.jobLoadEstimates[run.Task.Job]) == 0 {
		delete(d.jobLoadEstimates, run.Task.Job)
	}
}

// updateModel updates the interference model with the difference between the
// load that one service task reported and the mean of those that tasks of the
// same step reported on other workers. The loads of the tasks of a job differ
// only by the part that the fillers beside them cause.
func (d *Dispatcher) updateModel(job string, m *loadEstimate, now time.Time) {
	if m.isFalling || now.Sub(m.learnedAt) < tailWindow {
		return
	}
	n, load, others := 0.0, 0.0, pacer.Shares{}
	nearSaturation := m.rawLoad > nearSaturationLoad
	for o := range d.jobLoadEstimates[job] {
		if o == m || o.workerName == m.workerName || o.isFalling || now.Sub(o.updatedAt) > maxLoadEstimateAge || o.step != m.step {
			continue
		}
		n++
		load += o.rawLoad
		nearSaturation = nearSaturation || o.rawLoad > nearSaturationLoad
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
	m.learnedAt = now
	d.model.ObserveDifference(m.step.Image, m.shares, others, m.rawLoad-load/n, nearSaturation)
}

// updateMeanShares updates and returns the average processor shares of the
// fillers on the worker, over about the window in which the worker measures a
// tail latency.
func (w *worker) updateMeanShares(rec *bookkeeper.WorkerRecord, now time.Time) pacer.Shares {
	keep := decayFactor(now.Sub(w.sharesUpdatedAt), shareHalfLife)
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
	for run := range w.reported {
		if step := rec.Runs[run]; step != nil && step.Filler {
			present[step.Image] += w.describeFiller(run, step).Share * w.fillerIntensity(run, step, now)
		}
	}
	w.meanShares, w.presentShares, w.sharesUpdatedAt = mean, present, now
	return mean
}

// fillerIntensity returns the interference that a filler causes as a fraction
// of its maximum: proportional to its pace, and lower between its bursts. A
// filler that has not yet reported its CPU use is assumed to be in a burst.
func (w *worker) fillerIntensity(run carobrock.Run, step *carobrock.Step, now time.Time) float64 {
	pace := float64(w.effectivePace(run, now)) / 100
	used := w.reported[run].MilliCPU
	if used > 0 && float64(used) < burstUseRatio*pace*float64(step.Size.MilliCPU) {
		return pace * pacer.QuietIntensity
	}
	return pace
}

// describeFiller describes a filler on the worker to the model.
func (w *worker) describeFiller(run carobrock.Run, step *carobrock.Step) pacer.Filler {
	return pacer.Filler{Image: step.Image, Share: float64(step.Size.MilliCPU) / float64(max(1, w.report.Capacity.MilliCPU)), Pace: w.orderedPace(run)}
}

// describeServices describes to the model the service tasks on the worker that
// have a latency target.
func (w *worker) describeServices(baseline *pacer.Baseline, now time.Time) []pacer.Service {
	var out []pacer.Service
	for _, m := range w.loadEstimates {
		target := float64(m.step.TailTargetMillis)
		out = append(out, pacer.Service{
			Image: m.step.Image, Load: m.expectedLoad(), Limit: baseline.Load(m.step.Image, target, target),
			OverTarget: !m.overTargetSince.IsZero() && now.Sub(m.overTargetSince) > overTargetAfter,
		})
	}
	return out
}

// logOverTarget logs a service that has been over its target for so long that the
// paces of the fillers beside it should have helped, at most once in
// overTargetLogInterval for a worker. d.mu must be held.
func (d *Dispatcher) logOverTarget(w *worker, runs []carobrock.Run, fillers []pacer.Filler, now time.Time) {
	if now.Sub(w.overTargetLoggedAt) < overTargetLogInterval {
		return
	}
	for run, m := range w.loadEstimates {
		if m.overTargetSince.IsZero() || now.Sub(m.overTargetSince) < overTargetLogAfter {
			continue
		}
		w.overTargetLoggedAt = now
		list := zerolog.Arr()
		for i := range fillers {
			t := w.throttles[runs[i]]
			list.Dict(zerolog.Dict().Str("image", fillers[i].Image).Int("pace", fillers[i].Pace).Int64("milliCPU", w.reported[runs[i]].MilliCPU).
				Bool("unconfirmed", t != nil && t.isInFlight(now)))
		}
		d.Logger.Warn().Str("worker", w.report.Name).Str("job", run.Task.Job).Int("index", run.Task.Index).Str("image", m.step.Image).
			Float64("tailMillis", m.tailMillis).Int64("targetMillis", m.step.TailTargetMillis).Float64("ownLoad", m.ownLoad).
			Dur("since", now.Sub(m.overTargetSince)).Array("fillers", list).Msg("dispatcher: service is over its target although fillers were slowed")
		return
	}
}

// updatePaces decides the paces of the fillers on a worker. A pace is not raised
// within paceSettleTime of the last change. d.mu must be held.
func (d *Dispatcher) updatePaces(s *bookkeeper.State, w *worker, now time.Time) {
	rec := s.Workers[w.report.WorkerIncarnation]
	if rec == nil {
		return
	}
	var runs []carobrock.Run
	var fillers []pacer.Filler
	for run := range w.reported {
		if step := rec.Runs[run]; step != nil && step.Filler {
			w.adoptThrottle(run, step, now)
			runs = append(runs, run)
			fillers = append(fillers, w.describeFiller(run, step))
		}
	}
	d.logOverTarget(w, runs, fillers, now)
	isSettled := now.Sub(w.paceChangedAt) >= paceSettleTime
	for i, pace := range pacer.DecidePaces(&d.model, w.describeServices(&d.baseline, now), fillers) {
		before := fillers[i].Pace
		t := w.throttles[runs[i]]
		if pace == before || pace > before && !isSettled || t != nil && t.isInFlight(now) {
			continue
		}
		if t == nil {
			t = &throttle{percent: before}
			w.throttles[runs[i]] = t
		}
		t.setPace(pace, now)
		w.paceChangedAt = now
		d.Logger.Debug().Str("worker", w.report.Name).Str("job", runs[i].Task.Job).Str("image", fillers[i].Image).Int("before", before).Int("pace", pace).
			Msg("dispatcher: pace changed")
	}
}
