package dispatcher

import (
	"context"
	"math"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/locator"
)

const (
	// holdTime is how long a heartbeat waits for orders. A worker reports an end
	// only with its next heartbeat, so a longer wait delays these reports.
	holdTime = 100 * time.Millisecond
	// retryMillis is when a worker is to send its next heartbeat after an answer.
	retryMillis = 40
)

// halve returns 0.5 to the power of d / halfLife.
func halve(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

// Heartbeat implements carobrock.JobControl: it records the ends that the
// worker reports, waits a short while for orders and returns them.
func (d *Dispatcher) Heartbeat(ctx context.Context, r *carobrock.WorkerReport) (*carobrock.WorkerOrders, error) {
	received := time.Now()
	if err := d.lead(); err != nil {
		return nil, err
	}
	w, fresh := d.note(r, received)
	if !fresh {
		// A heartbeat that was overtaken says nothing new; its sender no longer
		// waits for the answer.
		return &carobrock.WorkerOrders{}, nil
	}
	if err := d.recordEnds(ctx, w, r); err != nil {
		return nil, err
	}
	d.await(ctx, w, r)
	return d.orders(w, r, received)
}

// note takes a heartbeat into the table. It reports false for one that is not
// the newest of the worker's newest life.
func (d *Dispatcher) note(r *carobrock.WorkerReport, now time.Time) (*worker, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.workers[r.Name]
	if w != nil && w.report.WorkerLife == r.WorkerLife {
		if r.Sequence <= w.report.Sequence {
			return nil, false
		}
	} else {
		if w != nil && r.Started < w.report.Started || d.isOverOn(r) {
			return nil, false
		}
		if w != nil {
			d.endLife(w, "worker started again")
		}
		w = newWorker()
		// An earlier answer of this leader may have been lost on its way to it.
		w.leaseEnd = expiry(now, d.Settings.Lease)
		d.workers[r.Name] = w
		d.endEarlierLives(r)
		d.Logger.Info().Str("worker", r.Name).Int64("started", r.Started).Str("machine", r.Machine).
			Str("availabilityZone", r.AvailabilityZone).Msg("dispatcher: worker joined")
	}
	if r.Leaving && (w.report == nil || !w.report.Leaving) {
		d.Logger.Info().Str("worker", r.Name).Int64("remainingMillis", r.RemainingMillis).Msg("dispatcher: worker is leaving")
	}
	w.release()
	w.take(r, now)
	d.Ledger.View(func(s *bookkeeper.State) {
		d.measure(s, w, now)
		d.repace(s, w, now)
		if l := s.Lives[r.WorkerLife]; l != nil {
			w.judgeRuns(l.Runs, now)
		}
	})
	return w, true
}

// isOverOn reports whether a later life runs on the machine of r: its heartbeat
// was held up on the way. The caller holds d.mu.
func (d *Dispatcher) isOverOn(r *carobrock.WorkerReport) bool {
	for _, w := range d.workers {
		if r.Machine != "" && w.report.Machine == r.Machine && w.report.Started > r.Started {
			return true
		}
	}
	return false
}

// endEarlierLives records that earlier lives on the machine of r are over. The
// caller holds d.mu.
func (d *Dispatcher) endEarlierLives(r *carobrock.WorkerReport) {
	if r.Machine == "" {
		return
	}
	for _, w := range d.workers {
		if w.report != nil && w.report.Machine == r.Machine && w.report.WorkerLife != r.WorkerLife && w.report.Started <= r.Started {
			d.endLife(w, "machine has a new worker")
		}
	}
	d.Ledger.View(func(s *bookkeeper.State) {
		for life := range s.Lives {
			if life.Name == r.Name && life.Started < r.Started {
				d.loseLife(life, nil, true)
			}
		}
	})
}

// endLife takes a worker whose life is over out of the table and records that,
// with the newest checkpoints. The caller holds d.mu.
func (d *Dispatcher) endLife(w *worker, reason string) {
	d.remove(w)
	d.Logger.Info().Str("worker", w.report.Name).Int64("started", w.report.Started).Int("runs", len(w.listed)).
		Str("reason", reason).Msg("dispatcher: worker is gone")
	d.loseLife(w.report.WorkerLife, w, true)
}

// remove takes a worker out of the table and answers its heartbeat. The caller
// holds d.mu.
func (d *Dispatcher) remove(w *worker) {
	w.release()
	if d.workers[w.report.Name] == w {
		delete(d.workers, w.report.Name)
	}
	for run := range w.samples {
		d.forget(w, run)
	}
}

// loseLife puts the loss of a life into the next command.
func (d *Dispatcher) loseLife(life carobrock.WorkerLife, w *worker, gone bool) {
	lost := carobrock.LostWorker{Life: life, Gone: gone}
	if w != nil {
		lost.Checkpoints = w.checkpoints()
	}
	d.intake.add(func(c *carobrock.JobCommand) int {
		c.Lost = append(c.Lost, lost)
		return 0
	})
}

// checkpoints returns the newest checkpoints that the worker has reported.
func (w *worker) checkpoints() []carobrock.RunCheckpoint {
	var out []carobrock.RunCheckpoint
	for run, x := range w.listed {
		if x.Checkpoint != "" {
			out = append(out, carobrock.RunCheckpoint{Task: run.Task, Attempt: run.Attempt, Checkpoint: x.Checkpoint})
		}
	}
	return out
}

// recordEnds commits the ends that are not recorded yet.
func (d *Dispatcher) recordEnds(ctx context.Context, w *worker, r *carobrock.WorkerReport) error {
	acked := d.acked(r.WorkerLife)
	var ends []carobrock.RunEnd
	for _, e := range r.Ends {
		if e.Number > acked {
			ends = append(ends, e)
		}
	}
	if len(ends) == 0 {
		return nil
	}
	d.judge(w, ends)
	_, _, err := d.commit(ctx, func(c *carobrock.JobCommand) int {
		c.Ends = append(c.Ends, carobrock.WorkerEnds{Life: r.WorkerLife, Ends: ends})
		return 0
	})
	return err
}

func (d *Dispatcher) acked(life carobrock.WorkerLife) (n uint64) {
	d.Ledger.View(func(s *bookkeeper.State) {
		if l := s.Lives[life]; l != nil {
			n = l.Acked
		}
	})
	return n
}

// judge counts ends for and against their worker.
func (d *Dispatcher) judge(w *worker, ends []carobrock.RunEnd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for i := range ends {
		switch ends[i].Kind {
		case carobrock.EndFailed:
			w.record.add(now, 1, 0)
		case carobrock.EndSucceeded:
			w.record.add(now, 0, 1)
		}
	}
}

// await returns when there are orders for the worker, a newer heartbeat has
// come, or holdTime has passed.
func (d *Dispatcher) await(ctx context.Context, w *worker, r *carobrock.WorkerReport) {
	d.mu.Lock()
	if w.report != r || d.hasOrders(w) {
		d.mu.Unlock()
		return
	}
	waiting := make(chan struct{})
	w.waiting = waiting
	d.mu.Unlock()
	d.wake()
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-waiting:
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	if w.waiting == waiting {
		w.waiting = nil
	}
	d.mu.Unlock()
}

// hasOrders reports whether the worker is to start or stop a run. The caller
// holds d.mu.
func (d *Dispatcher) hasOrders(w *worker) (found bool) {
	d.Ledger.View(func(s *bookkeeper.State) {
		o := &carobrock.WorkerOrders{}
		d.fill(s, w, o)
		found = len(o.Start)+len(o.Stop) > 0 || w.hasNewPaces()
	})
	return found
}

// orders returns the orders for a worker. It fails if this replica no longer
// leads or a newer heartbeat has come.
func (d *Dispatcher) orders(w *worker, r *carobrock.WorkerReport, received time.Time) (*carobrock.WorkerOrders, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.report != r || w.losing {
		return &carobrock.WorkerOrders{}, nil
	}
	o := &carobrock.WorkerOrders{
		FencingToken: d.term, LeaseMillis: d.Settings.Lease.Milliseconds(), RetryMillis: retryMillis, NextAddress: d.WorkerAddress,
	}
	d.Ledger.View(func(s *bookkeeper.State) {
		if l := s.Lives[r.WorkerLife]; l != nil {
			o.AckedThrough = l.Acked
		}
		d.fill(s, w, o)
	})
	for i := range o.Start {
		w.offered[o.Start[i].Run] = true
	}
	o.Pace = w.duePaces(received)
	w.notePaces(o.Pace, received)
	if end := expiry(received, d.Settings.Lease); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	if term, ok := d.Leadership.Term(); !ok || term != o.FencingToken {
		return nil, &locator.NotLeaderError{Leader: d.Leadership.LeaderAddress()}
	}
	return o, nil
}

// expiry returns when a lease granted in answer to a heartbeat that came by at
// has expired on the worker's clock, at the latest.
func expiry(at time.Time, lease time.Duration) time.Time {
	return at.Add(time.Duration(float64(lease)*(1+clockDrift)) + leaseSlack)
}

// fill derives the orders from the recorded state and the newest heartbeat. The
// caller holds d.mu.
func (d *Dispatcher) fill(s *bookkeeper.State, w *worker, o *carobrock.WorkerOrders) {
	life := w.report.WorkerLife
	if l := s.Lives[life]; l != nil && d.mayStart(s, w) {
		for run := range l.Runs {
			if w.listed[run] != nil || w.ended[run] || w.withdrawn[run] || !s.IsActive(life, run) {
				continue
			}
			j, _, t := s.Task(run.Task)
			o.Start = append(o.Start, carobrock.StartRun{
				Run: run, Payload: j.Spec.Payload, Checkpoint: t.Checkpoint, Ticket: s.Ticket(life, run),
			})
		}
	}
	for run := range w.listed {
		_, unwanted := w.unwanted[run]
		if unwanted || !s.IsActive(life, run) {
			o.Stop = append(o.Stop, run)
		}
	}
}

// mayStart reports whether the worker may be given new runs.
func (d *Dispatcher) mayStart(s *bookkeeper.State, w *worker) bool {
	return !w.report.Leaving && !s.ZonesOut[w.report.AvailabilityZone]
}

// Leave implements carobrock.JobControl.
func (d *Dispatcher) Leave(ctx context.Context, name string) error {
	if err := d.lead(); err != nil {
		return err
	}
	d.mu.Lock()
	w := d.workers[name]
	if w == nil {
		d.mu.Unlock()
		return nil
	}
	d.remove(w)
	lost := carobrock.LostWorker{Life: w.report.WorkerLife, Checkpoints: w.checkpoints(), Gone: true}
	d.mu.Unlock()
	d.Logger.Info().Str("worker", name).Msg("dispatcher: worker left")
	_, _, err := d.commit(ctx, func(c *carobrock.JobCommand) int {
		c.Lost = append(c.Lost, lost)
		return 0
	})
	return err
}
