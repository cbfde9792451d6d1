package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// shortageTolerance is how long the runs on a worker may exceed its capacity before
// some are evicted, so that a short dip of the capacity costs no work.
const shortageTolerance = 2 * time.Second

// evictable is a run that may be evicted from a worker.
type evictable struct {
	run  carobrock.Run
	step *carobrock.Step
	// percent is the progress of the run.
	percent int
}

// The order in which kinds of runs are evicted. Evicting a member of a gang breaks
// the whole gang.
const (
	rankBatch = iota
	rankGang
	rankService
)

// rank returns the kind of the run.
func (x *evictable) rank() int {
	switch {
	case x.step.Service:
		return rankService
	case x.step.Gang:
		return rankGang
	default:
		return rankBatch
	}
}

// lostWork returns the work that an eviction loses, in thousandths of a
// core-millisecond. Runs with checkpoints resume where they were.
func (x *evictable) lostWork() int64 {
	if x.step.Checkpoints {
		return 0
	}
	return int64(x.percent) * max(1, x.step.EstimateMillis) * max(1, x.step.Size.MilliCPU) / 100
}

// relief returns the fraction of a shortage that an eviction removes, summed over
// the resources.
func (x *evictable) relief(shortage carobrock.Capacity) float64 {
	c := x.step.Committed()
	return reliefOf(c.MilliCPU, shortage.MilliCPU) + reliefOf(c.MemoryMB, shortage.MemoryMB) + reliefOf(c.Accelerators, shortage.Accelerators)
}

func reliefOf(amount, shortage int64) float64 {
	if shortage <= 0 {
		return 0
	}
	return float64(min(amount, shortage)) / float64(shortage)
}

// chooseEvictions returns the runs to evict so that a shortage ends: those that lose
// the least work, gangs and services last. Negative components of shortage are
// free capacity. allowed holds how many service tasks may be evicted from each
// step that has a limit. The result may fall short of the shortage.
//
// The choice is greedy by cost, followed by a pass that spares the costliest runs
// which the others make needless (reverse delete).
func chooseEvictions(shortage carobrock.Capacity, runs []evictable, allowed map[carobrock.TaskRef]int) []carobrock.Run {
	ordered := slices.Clone(runs)
	slices.SortFunc(ordered, func(a, b evictable) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.lostWork(), b.lostWork()),
			cmp.Compare(b.relief(shortage), a.relief(shortage)), a.run.Compare(b.run))
	})
	var chosen []evictable
	evicted := map[carobrock.TaskRef]int{}
	for _, x := range ordered {
		if x.relief(shortage) == 0 {
			continue
		}
		step := stepOf(x.run)
		if limit, ok := allowed[step]; ok && evicted[step] >= limit {
			continue
		}
		evicted[step]++
		chosen = append(chosen, x)
		shortage = shortage.Sub(x.step.Committed())
	}
	var out []carobrock.Run
	for i := len(chosen) - 1; i >= 0; i-- {
		without := shortage.Add(chosen[i].step.Committed())
		if without.Fits(carobrock.Capacity{}) {
			shortage = without
			continue
		}
		out = append(out, chosen[i].run)
	}
	slices.Reverse(out)
	return out
}

// stepOf returns a reference to the step of a run: that of its first task.
func stepOf(run carobrock.Run) carobrock.TaskRef {
	ref := run.Task
	ref.Index = 0
	return ref
}

// evictShortages stops runs on workers whose running tasks have exceeded the
// reported capacity for shortageTolerance. d.mu must be held.
func (d *Dispatcher) evictShortages(s *bookkeeper.State, now time.Time) {
	for _, w := range d.sortedWorkers() {
		v := w.updateView(s)
		if !v.free.IsNegative() || w.report.Leaving || w.isSilent(now) || d.isBeingLost(w.report.WorkerIncarnation) {
			w.shortSince = time.Time{}
			continue
		}
		runs, committed := w.evictableRuns(s)
		switch {
		case committed.Fits(w.report.Capacity): // enough runs are being stopped
			w.shortSince = time.Time{}
		case w.shortSince.IsZero():
			w.shortSince = now
		case now.Sub(w.shortSince) >= shortageTolerance:
			d.evict(w, chooseEvictions(committed.Sub(w.report.Capacity), runs, d.allowedEvictions(s, runs)))
		}
	}
}

// evictableRuns returns the runs on the worker that are not being stopped, and what
// is committed to them.
func (w *worker) evictableRuns(s *bookkeeper.State) (runs []evictable, committed carobrock.Capacity) {
	rec := s.Workers[w.report.WorkerIncarnation]
	for run, x := range w.reported {
		if w.stopReasons[run] != "" || !s.IsActive(w.report.WorkerIncarnation, run) {
			continue
		}
		step := rec.Runs[run]
		runs = append(runs, evictable{run: run, step: step, percent: x.Percent})
		committed = committed.Add(step.Committed())
	}
	return runs, committed
}

// allowedEvictions returns how many service tasks may be made unavailable, for each
// step of the runs that has a limit.
func (d *Dispatcher) allowedEvictions(s *bookkeeper.State, runs []evictable) map[carobrock.TaskRef]int {
	out := map[carobrock.TaskRef]int{}
	for i := range runs {
		x := &runs[i]
		step := stepOf(x.run)
		if _, ok := out[step]; ok || !x.step.Service || x.step.MaxUnavailable == 0 {
			continue
		}
		out[step] = x.step.MaxUnavailable - x.step.Count
		_, st, _ := s.Task(x.run.Task)
		for n, t := range st.Tasks {
			ref := step
			ref.Index = n
			if d.isServing(ref, t) {
				out[step]++
			}
		}
	}
	return out
}

// isServing reports whether a run of a service task serves requests and is not being
// stopped. d.mu must be held.
func (d *Dispatcher) isServing(ref carobrock.TaskRef, t *bookkeeper.Task) bool {
	for i := range t.Runs {
		run := carobrock.Run{Task: ref, Attempt: t.Runs[i].Attempt}
		w := d.currentWorker(t.Runs[i].Incarnation)
		if w == nil || w.stopReasons[run] != "" {
			continue
		}
		if x := w.reported[run]; x != nil && x.Percent >= 100 {
			return true
		}
	}
	return false
}

// evict stops runs on a worker because of a shortage. d.mu must be held.
func (d *Dispatcher) evict(w *worker, runs []carobrock.Run) {
	for _, run := range runs {
		w.stopReasons[run] = "capacity"
		d.Logger.Info().Str("worker", w.report.Name).Str("job", run.Task.Job).Int("task", run.Task.Index).Uint64("attempt", run.Attempt).
			Msg("dispatcher: evicting a run because the capacity of its worker has shrunk")
	}
	if len(runs) > 0 {
		w.releaseResponse()
	}
}
