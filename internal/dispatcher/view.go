package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// workerView holds what is derived from the newest heartbeat of a worker and its
// replicated record. It is valid until one of them changes, so a placement round
// costs little for workers without changes.
type workerView struct {
	// report and version identify the heartbeat and the record from which the view
	// was derived.
	report  *carobrock.WorkerReport
	version uint64
	// unstarted holds the recorded runs that report lists neither as running nor as
	// ended, inactive the runs that it lists as running although they are no longer
	// active.
	unstarted []carobrock.Run
	inactive  []carobrock.Run
	// excess holds the active runs among unstarted that do not fit in the reported
	// capacity beside the running ones.
	excess map[carobrock.Run]bool
	// free is the reported capacity less the running runs whose steps are known. It
	// may be negative.
	free carobrock.Capacity
	// candidate describes the worker to the allocator, nil if it must be derived
	// again.
	candidate *allocator.Worker
}

// updateView derives the worker's view again if the report or the record has
// changed. d.mu must be held.
func (w *worker) updateView(s *bookkeeper.State) *workerView {
	rec := s.Workers[w.report.WorkerIncarnation]
	version := uint64(0)
	if rec != nil {
		version = rec.Version
	}
	v := &w.view
	if v.report == w.report && v.version == version {
		return v
	}
	v.report, v.version, v.candidate = w.report, version, nil
	v.unstarted, v.inactive = v.unstarted[:0], v.inactive[:0]
	v.free = w.report.Capacity
	recorded := 0
	if rec != nil {
		for run, step := range rec.Runs {
			switch {
			case w.reported[run] != nil:
				recorded++
				v.free = v.free.Sub(step.Committed())
			case !w.ended[run]:
				v.unstarted = append(v.unstarted, run)
			}
		}
	}
	for run := range w.reported {
		if !s.IsActive(w.report.WorkerIncarnation, run) {
			v.inactive = append(v.inactive, run)
		}
	}
	if recorded < len(w.reported) || len(w.unrecorded) > 0 {
		w.findUnrecorded(s, rec)
	}
	for _, step := range w.unrecorded {
		if step != nil {
			v.free = v.free.Sub(step.Committed())
		}
	}
	v.excess = w.findExcess(s, rec)
	return v
}

// candidate returns the description of the worker for the allocator. d.mu must be
// held.
func (d *Dispatcher) candidate(s *bookkeeper.State, w *worker, now time.Time) *allocator.Worker {
	v := w.updateView(s)
	if v.candidate == nil {
		r := w.report
		v.candidate = &allocator.Worker{
			Incarnation: r.WorkerIncarnation, Pool: r.Pool, AvailabilityZone: r.AvailabilityZone, Rack: r.Rack, Labels: r.Labels,
			Capacity: r.Capacity, Free: r.Capacity, SpareMilliCPU: r.Capacity.MilliCPU,
			FailureRate: w.outcomes.failureRate(now), ServicesByImage: map[string]int{},
		}
		if rec := s.Workers[r.WorkerIncarnation]; rec != nil {
			v.candidate.RunCount, v.candidate.RecentCount, v.candidate.IsIsolated = len(rec.Runs), w.recentCount(rec), len(rec.Isolated) > 0
			v.candidate.Services = w.describeServices(&d.baseline, now)
			d.subtractRuns(v.candidate, w, rec)
		}
		w.subtractUnrecordedRuns(v.candidate)
	}
	v.candidate.HasPendingResponse = w.pendingResponse != nil
	return v.candidate
}

// sortedWorkers returns the workers sorted by name. A fixed order makes ties
// between scores resolve the same way in every round. d.mu must be held.
func (d *Dispatcher) sortedWorkers() []*worker {
	if d.sorted == nil {
		d.sorted = make([]*worker, 0, len(d.workers))
		for _, w := range d.workers {
			d.sorted = append(d.sorted, w)
		}
		slices.SortFunc(d.sorted, func(a, b *worker) int { return cmp.Compare(a.report.Name, b.report.Name) })
	}
	return d.sorted
}

// candidateWorkers returns the workers that may get tasks, sorted by name. d.mu
// must be held.
func (d *Dispatcher) candidateWorkers(s *bookkeeper.State, now time.Time) []*allocator.Worker {
	out := make([]*allocator.Worker, 0, len(d.workers))
	for _, w := range d.sortedWorkers() {
		if d.isBeingLost(w.report.WorkerIncarnation) || !d.mayStartRuns(s, w) || w.isSilent(now) {
			continue
		}
		if w.updateView(s); w.hasUnknownRun() {
			continue
		}
		out = append(out, d.candidate(s, w, now))
	}
	return out
}

// dropCandidate makes the description of a worker be derived again, after the
// allocator has changed it.
func (d *Dispatcher) dropCandidate(incarnation carobrock.WorkerIncarnation) {
	if w := d.currentWorker(incarnation); w != nil {
		w.view.candidate = nil
	}
}

// subtractRuns subtracts the runs on a worker from its free capacity, counts
// its service tasks by image and adds the load that its fillers cause at full
// pace to its services.
func (d *Dispatcher) subtractRuns(v *allocator.Worker, w *worker, rec *bookkeeper.WorkerRecord) {
	for run, step := range rec.Runs {
		v.Free = v.Free.Sub(step.Committed())
		v.SpareMilliCPU -= expectedUse(step)
		if step.Service {
			v.ServicesByImage[step.Image]++
		}
		if !step.Filler {
			continue
		}
		f := w.describeFiller(run, step)
		for i := range v.Services {
			x := &v.Services[i]
			x.Load += d.model.Pressure(x.Image, f.Image) * f.Share
		}
	}
}

// serviceUseShare is the fraction of its requested CPU that a service task is
// assumed to use, as its actual use is not reported.
const serviceUseShare = 0.55

// expectedUse returns the CPU, in thousandths of a core, that a task of a step
// is expected to use.
func expectedUse(step *carobrock.Step) int64 {
	if step.Service {
		return int64(serviceUseShare * float64(step.Size.MilliCPU))
	}
	return step.Size.MilliCPU
}
