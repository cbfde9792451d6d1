package scheduler

import (
	"context"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/keeper"
	"github.com/carobrock/carobrock/internal/placer"
)

// placeQueuedTasks assigns queued tasks to workers and records why the others
// wait.
func (s *Scheduler) placeQueuedTasks(ctx context.Context) error {
	tasks := s.Keeper.Tasks(func(t *carobrock.Task) bool {
		return t.State == carobrock.TaskQueued || t.State == carobrock.TaskUnplaceable
	})
	if len(tasks) == 0 {
		return nil
	}
	view := s.newPlacementView(tasks, time.Now())
	placement := s.Placer.Place(view)
	changes := s.placementChanges(tasks, &placement)
	return s.commitTaskChanges(ctx, changes)
}

// newPlacementView returns the input for the placer.
func (s *Scheduler) newPlacementView(tasks []carobrock.Task, now time.Time) *carobrock.PlacementView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newPlacementViewLocked(tasks, now)
}

// newPlacementViewLocked is newPlacementView for a caller that holds s.mu.
func (s *Scheduler) newPlacementViewLocked(tasks []carobrock.Task, now time.Time) *carobrock.PlacementView {
	v := &carobrock.PlacementView{Pools: map[string]carobrock.Pool{}}
	for i := range tasks {
		v.Queued = append(v.Queued, &tasks[i])
	}
	for _, p := range s.Keeper.Pools().Rows {
		v.Pools[p.Name] = p
	}
	kinds := s.kindsByWorker()
	for _, w := range s.Keeper.Workers() {
		pw := carobrock.PlacementWorker{Worker: w.Worker, Free: w.Free, Reason: s.unusableReason(&w, now), Kinds: kinds[w.Name]}
		pw.Usable = pw.Reason == ""
		v.Workers = append(v.Workers, pw)
	}
	return v
}

// unusableReason returns why a worker may not get new tasks, or the empty
// string if it may.
func (s *Scheduler) unusableReason(w *keeper.WorkerState, now time.Time) string {
	if reason := replicatedUnusableReason(w); reason != "" {
		return reason
	}
	state := s.tracker.incarnations[workerIncarnation{w.Name, w.Incarnation}]
	if state == nil || state.reports == nil || now.Sub(state.renewedAt) > 3*s.Period {
		return "worker " + w.Name + " has not announced itself lately"
	}
	if s.tracker.outcomesOf(w.Name).isAvoided(now) {
		return "worker " + w.Name + " fails every task"
	}
	return ""
}

// kindsByWorker counts the attempts that hold capacity on each worker, by kind.
func (s *Scheduler) kindsByWorker() map[string]map[string]int {
	out := map[string]map[string]int{}
	s.Keeper.Tasks(func(t *carobrock.Task) bool {
		if !t.HoldsCapacity() {
			return false
		}
		if out[t.Worker] == nil {
			out[t.Worker] = map[string]int{}
		}
		out[t.Worker][t.Kind]++
		return false
	})
	return out
}

// observeUsage passes the usage that a worker reported to the placer, together
// with the average counts of tasks on that worker over the period in which the
// usage may have been measured. The caller holds s.mu.
func (s *Scheduler) observeUsage(a *carobrock.Announcement, now time.Time) {
	observer, ok := s.Placer.(carobrock.UsageObserver)
	state := s.tracker.incarnations[workerIncarnation{a.Name, a.Incarnation}]
	if !ok || state == nil {
		return
	}
	kinds := map[string]float64{}
	running := make([]carobrock.Task, len(a.Tasks))
	for i := range a.Tasks {
		t, ok := s.Keeper.Task(a.Tasks[i].ID)
		if ok && a.Tasks[i].State == carobrock.ReportRunning {
			running[i] = t
			kinds[t.Kind]++
		}
	}
	kinds = state.updateAverageCounts(kinds, now)
	for i := range a.Services {
		service := &a.Services[i]
		// A service without reported usage is treated as undisturbed, so that a
		// missing measurement does not block placement.
		ratio := 1.0
		if usage := serviceUsage(a, service.Pool); usage.MilliCPU > 0 && service.Reserved.MilliCPU > 0 {
			ratio = usageRatio(usage, service.Reserved)
		}
		observer.ObserveUsage(placer.ServiceKind(service.Pool), kinds, ratio)
	}
	for i := range a.Tasks {
		if size := running[i].Size; size.MilliCPU > 0 && a.Tasks[i].Usage.MilliCPU > 0 {
			observer.ObserveUsage(running[i].Kind, colocatedKinds(kinds, running[i].Kind, a.Services), usageRatio(a.Tasks[i].Usage, size))
		}
	}
}

// serviceUsage returns the reported usage of the service of a pool, or the zero
// value if none is reported.
func serviceUsage(a *carobrock.Announcement, pool string) carobrock.Capacity {
	for _, u := range a.ServiceUsage {
		if u.Pool == pool {
			return u.Usage
		}
	}
	return carobrock.Capacity{}
}

func usageRatio(usage, size carobrock.Capacity) float64 {
	return float64(usage.MilliCPU) / float64(size.MilliCPU)
}

// colocatedKinds returns the average numbers, by kind, of the other tasks and
// the services on the VM of a task of the given kind.
func colocatedKinds(kinds map[string]float64, kind string, services []carobrock.Service) map[string]float64 {
	out := map[string]float64{}
	for k, n := range kinds {
		if k == kind {
			n--
		}
		if n > 0 {
			out[k] = n
		}
	}
	for _, s := range services {
		out[placer.ServiceKind(s.Pool)]++
	}
	return out
}

// placementChanges converts a placement into task changes and records why the
// other tasks wait.
func (s *Scheduler) placementChanges(tasks []carobrock.Task, placement *carobrock.Placement) []carobrock.TaskChange {
	byID := map[string]*carobrock.Task{}
	for i := range tasks {
		byID[tasks[i].ID] = &tasks[i]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitReasons = map[string]string{}
	var out []carobrock.TaskChange
	probed := map[string]bool{}
	for _, a := range placement.Assignments {
		t := byID[a.Task]
		if s.tracker.outcomesOf(a.Worker).isSuspect() {
			// A suspect worker gets one task as a probe of whether it works
			// again.
			if probed[a.Worker] {
				continue
			}
			probed[a.Worker] = true
		}
		if t.State == carobrock.TaskUnplaceable {
			out = append(out, carobrock.TaskChange{ID: t.ID, Attempt: t.Attempt, Event: carobrock.EventFitAgain})
		}
		out = append(out, carobrock.TaskChange{ID: t.ID, Attempt: t.Attempt + 1, Event: carobrock.EventAssign, Worker: a.Worker})
	}
	for _, w := range placement.Unplaced {
		t := byID[w.Task]
		s.waitReasons[w.Task] = w.Reason
		switch {
		case w.FitsNoWorker && t.State == carobrock.TaskQueued:
			out = append(out, carobrock.TaskChange{ID: t.ID, Attempt: t.Attempt, Event: carobrock.EventNoFit, Reason: w.Reason})
		case !w.FitsNoWorker && t.State == carobrock.TaskUnplaceable:
			out = append(out, carobrock.TaskChange{ID: t.ID, Attempt: t.Attempt, Event: carobrock.EventFitAgain})
		}
	}
	return out
}
