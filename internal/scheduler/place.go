package scheduler

import (
	"context"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/keeper"
	"github.com/carobrock/carobrock/internal/placer"
)

// place assigns queued tasks and notes why the others wait.
func (s *Scheduler) place(ctx context.Context) error {
	tasks := s.Keeper.Tasks(func(t *carobrock.Task) bool {
		return t.State == carobrock.TaskQueued || t.State == carobrock.TaskUnplaceable
	})
	if len(tasks) == 0 {
		return nil
	}
	view := s.view(tasks, time.Now())
	placement := s.Placer.Place(view)
	changes := s.changes(tasks, &placement)
	return s.commit(ctx, changes)
}

// view prepares what the placer looks at.
func (s *Scheduler) view(tasks []carobrock.Task, now time.Time) *carobrock.PlacementView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placementView(tasks, now)
}

// placementView is view for a caller that holds s.mu.
func (s *Scheduler) placementView(tasks []carobrock.Task, now time.Time) *carobrock.PlacementView {
	v := &carobrock.PlacementView{Pools: map[string]carobrock.Pool{}}
	for i := range tasks {
		v.Queued = append(v.Queued, &tasks[i])
	}
	for _, p := range s.Keeper.Pools().Rows {
		v.Pools[p.Name] = p
	}
	kinds := s.kindsByWorker()
	for _, w := range s.Keeper.Workers() {
		pw := carobrock.PlacementWorker{Worker: w.Worker, Free: w.Free, Reason: s.whyUnusable(&w, now), Kinds: kinds[w.Name]}
		pw.Usable = pw.Reason == ""
		v.Workers = append(v.Workers, pw)
	}
	return v
}

// whyUnusable returns why a worker may get nothing new, empty if it may.
func (s *Scheduler) whyUnusable(w *keeper.WorkerState, now time.Time) string {
	if reason := workerReason(w); reason != "" {
		return reason
	}
	p := s.roster.present[session{w.Name, w.Incarnation}]
	if p == nil || p.reports == nil || now.Sub(p.renewedAt) > 3*s.Period {
		return "worker " + w.Name + " has not announced itself lately"
	}
	if s.roster.record(w.Name).isAvoided(now) {
		return "worker " + w.Name + " fails every task"
	}
	return ""
}

// kindsByWorker counts the attempts on each worker by their kind.
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

// learn shows the placer the usage that a worker reported, beside what ran there
// on the average over the time that the usage may be old. The caller holds s.mu.
func (s *Scheduler) learn(a *carobrock.Announcement, now time.Time) {
	learner, ok := s.Placer.(carobrock.Learner)
	p := s.roster.present[session{a.Name, a.Incarnation}]
	if !ok || p == nil {
		return
	}
	kinds := map[string]float64{}
	specs := make([]carobrock.Task, len(a.Tasks))
	for i := range a.Tasks {
		t, ok := s.Keeper.Task(a.Tasks[i].ID)
		if ok && a.Tasks[i].State == carobrock.ReportRunning {
			specs[i] = t
			kinds[t.Kind]++
		}
	}
	kinds = p.average(kinds, now)
	for i := range a.Services {
		service := &a.Services[i]
		// A service whose usage is not reported is taken to be undisturbed: what
		// cannot be measured must not keep work waiting.
		measured := 1.0
		if usage := usageOf(a, service.Pool); usage.MilliCPU > 0 && service.Reserved.MilliCPU > 0 {
			measured = ratio(usage, service.Reserved)
		}
		learner.Observe(placer.ServiceKind(service.Pool), kinds, measured)
	}
	for i := range a.Tasks {
		if size := specs[i].Size; size.MilliCPU > 0 && a.Tasks[i].Usage.MilliCPU > 0 {
			learner.Observe(specs[i].Kind, neighbours(kinds, specs[i].Kind, a.Services), ratio(a.Tasks[i].Usage, size))
		}
	}
}

// usageOf returns the reported usage of the service of a pool, zero if there is
// none.
func usageOf(a *carobrock.Announcement, pool string) carobrock.Capacity {
	for _, u := range a.ServiceUsage {
		if u.Pool == pool {
			return u.Usage
		}
	}
	return carobrock.Capacity{}
}

func ratio(usage, size carobrock.Capacity) float64 {
	return float64(usage.MilliCPU) / float64(size.MilliCPU)
}

// neighbours returns what runs beside one task of a kind.
func neighbours(kinds map[string]float64, kind string, services []carobrock.Service) map[string]float64 {
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

// changes turns a placement into events.
func (s *Scheduler) changes(tasks []carobrock.Task, placement *carobrock.Placement) []carobrock.TaskChange {
	byID := map[string]*carobrock.Task{}
	for i := range tasks {
		byID[tasks[i].ID] = &tasks[i]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = map[string]string{}
	var out []carobrock.TaskChange
	probed := map[string]bool{}
	for _, a := range placement.Assignments {
		t := byID[a.Task]
		if s.roster.record(a.Worker).isSuspect() {
			// One task tries whether the worker works again.
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
	for _, w := range placement.Waiting {
		t := byID[w.Task]
		s.waiting[w.Task] = w.Reason
		switch {
		case w.Never && t.State == carobrock.TaskQueued:
			out = append(out, carobrock.TaskChange{ID: t.ID, Attempt: t.Attempt, Event: carobrock.EventNoFit, Reason: w.Reason})
		case !w.Never && t.State == carobrock.TaskUnplaceable:
			out = append(out, carobrock.TaskChange{ID: t.ID, Attempt: t.Attempt, Event: carobrock.EventFitAgain})
		}
	}
	return out
}
