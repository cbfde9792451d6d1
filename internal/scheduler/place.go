package scheduler

import (
	"context"
	"time"

	"github.com/carobrock/carobrock"
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
	v := &carobrock.PlacementView{Pools: map[string]carobrock.Pool{}}
	for i := range tasks {
		v.Queued = append(v.Queued, &tasks[i])
	}
	for _, p := range s.Keeper.Pools().Rows {
		v.Pools[p.Name] = p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.Keeper.Workers() {
		pw := carobrock.PlacementWorker{Worker: w.Worker, Free: w.Free, Reason: workerReason(&w)}
		p := s.roster.present[session{w.Name, w.Incarnation}]
		if pw.Reason == "" && (p == nil || p.reports == nil || now.Sub(p.renewedAt) > 3*s.Period) {
			pw.Reason = "worker " + w.Name + " has not announced itself lately"
		}
		pw.Usable = pw.Reason == ""
		v.Workers = append(v.Workers, pw)
	}
	return v
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
	for _, a := range placement.Assignments {
		t := byID[a.Task]
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
