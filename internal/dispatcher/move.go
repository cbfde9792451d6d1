package dispatcher

import (
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const (
	// slowPace is the pace, in percent, at or below which a filler is better off
	// elsewhere.
	slowPace = 20
	// slowTime is how long a filler must have been that slow: its service's load
	// may be about to fall.
	slowTime = time.Second
	// parkedTime is how long a filler may hardly go on where no other worker has
	// room for it; then it waits in the queue and frees the memory for others.
	parkedTime = 2500 * time.Millisecond
	// maxMoves bounds the fillers that are moved at a time, maxTries those that
	// are looked at: each look goes over all workers.
	maxMoves = 16
	maxTries = 32
	// lostPercent is how far a filler that saves nothing may be to be moved.
	lostPercent = 15
)

// moveSlowed stops fillers that hardly go on, where another worker has room for
// them. They resume there from the checkpoint that the stop makes.
func (d *Dispatcher) moveSlowed(s *bookkeeper.State, view []*allocator.Worker, now time.Time) {
	moves, tries := 0, 0
	for name, w := range d.workers {
		l := s.Lives[w.report.WorkerLife]
		if l == nil {
			continue
		}
		for run, t := range w.throttles {
			step := l.Runs[run]
			if moves >= maxMoves || tries >= maxTries || step == nil || t.percent > slowPace || now.Sub(t.slowSince) < slowTime || w.unwanted[run] != "" {
				continue
			}
			if !step.Checkpoints && w.progress[run].percent > lostPercent || !s.IsActive(w.report.WorkerLife, run) {
				continue
			}
			j, _, _ := s.Task(run.Task)
			if j.Queue.Policy != nil {
				continue // another worker may not be allowed to run it
			}
			r := &allocator.Request{
				Job: run.Task.Job, Step: step, Pool: j.Queue.Pool, MinPace: 1,
				Avoid: map[carobrock.WorkerLife]bool{w.report.WorkerLife: true},
			}
			tries++
			to := ""
			if w := d.allocator.FindBetter(r, view); w != nil {
				to = w.Life.Name
			} else if now.Sub(t.slowSince) < parkedTime {
				continue
			}
			moves++
			w.unwanted[run] = "slowed"
			d.Logger.Debug().Str("worker", name).Str("job", run.Task.Job).Int("pace", t.percent).Str("to", to).Msg("dispatcher: slowed filler is moved")
			w.release()
		}
	}
}
