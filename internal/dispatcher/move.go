package dispatcher

import (
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const (
	// slowPacePercent is the pace, in percent, at or below which a filler is moved
	// to another worker if one has capacity for it.
	slowPacePercent = 20
	// minSlowTime is how long a filler must run at such a pace before it is moved,
	// as the load of the service beside it may soon fall.
	minSlowTime = time.Second
	// maxSlowTime is how long a filler may run at such a pace if no other worker
	// has capacity for it. After that it returns to the queue and frees its memory
	// for other tasks.
	maxSlowTime = 2500 * time.Millisecond
	// maxMoves bounds the fillers that are moved in one round, maxMoveChecks those
	// that are examined: each check scans all workers.
	maxMoves      = 16
	maxMoveChecks = 32
	// maxLostPercent is the highest progress, in percent, at which a filler without
	// checkpoints is moved, since it loses its progress.
	maxLostPercent = 15
)

// moveSlowedFillers stops fillers that run at slowPacePercent or less, to move
// them to another worker or, if none has capacity, back to the queue. They resume
// from the checkpoint that is made when they stop.
func (d *Dispatcher) moveSlowedFillers(s *bookkeeper.State, candidates []*allocator.Worker, now time.Time) {
	moves, checks := 0, 0
	for name, w := range d.workers {
		rec := s.Workers[w.report.WorkerIncarnation]
		if rec == nil {
			continue
		}
		for run, t := range w.throttles {
			step := rec.Runs[run]
			if moves >= maxMoves || checks >= maxMoveChecks || step == nil || t.percent > slowPacePercent || now.Sub(t.slowSince) < minSlowTime || w.stopReasons[run] != "" {
				continue
			}
			if !step.Checkpoints && w.progress[run].percent > maxLostPercent || !s.IsActive(w.report.WorkerIncarnation, run) {
				continue
			}
			j, _, _ := s.Task(run.Task)
			if j.Queue.Policy != nil {
				continue // the policy may forbid other workers to run it
			}
			r := &allocator.Request{
				Job: run.Task.Job, Step: step, Pool: j.Queue.Pool, MinPaceFraction: 1,
				Avoid: map[carobrock.WorkerIncarnation]bool{w.report.WorkerIncarnation: true},
			}
			checks++
			target := ""
			if w := d.allocator.ReserveForFiller(r, candidates); w != nil {
				target = w.Incarnation.Name
				d.dropCandidate(w.Incarnation)
			} else if now.Sub(t.slowSince) < maxSlowTime {
				continue
			}
			moves++
			w.stopReasons[run] = "slowed"
			d.Logger.Debug().Str("worker", name).Str("job", run.Task.Job).Int("pace", t.percent).Str("to", target).Msg("dispatcher: stopping a slowed filler to move it to another worker or back to the queue")
			w.releaseResponse()
		}
	}
}
