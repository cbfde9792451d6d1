package dispatcher

import (
	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// recordMachines adds to c the machines of the assigned workers whose machines are
// not recorded. d.mu must be held.
func (d *Dispatcher) recordMachines(s *bookkeeper.State, c *carobrock.JobCommand) {
	isRecorded := map[carobrock.WorkerIncarnation]bool{}
	for i := range c.Assign {
		incarnation := c.Assign[i].Incarnation
		w := d.workers[incarnation.Name]
		if rec := s.Workers[incarnation]; isRecorded[incarnation] || rec != nil && rec.Machine != "" || w == nil || w.report.Machine == "" {
			continue
		}
		isRecorded[incarnation] = true
		c.Machines = append(c.Machines, carobrock.WorkerMachine{Incarnation: incarnation, Machine: w.report.Machine})
	}
}

// isReplaced reports whether the worker incarnation of a record has ended because
// the sender of r is a newer one under its name or on its machine.
func isReplaced(incarnation carobrock.WorkerIncarnation, rec *bookkeeper.WorkerRecord, r *carobrock.WorkerReport) bool {
	if incarnation.Name == r.Name {
		return incarnation.Started < r.Started
	}
	return r.Machine != "" && rec.Machine == r.Machine && incarnation.Started <= r.Started
}

// endReplacedIncarnations records the end of the recorded worker incarnations that
// the sender of r has replaced. d.mu must be held.
func (d *Dispatcher) endReplacedIncarnations(r *carobrock.WorkerReport) {
	d.StateMachine.View(func(s *bookkeeper.State) {
		for incarnation, rec := range s.Workers {
			if isReplaced(incarnation, rec, r) && !d.losses[incarnation].IncarnationEnded {
				d.addLoss(incarnation, nil, true)
			}
		}
	})
}
