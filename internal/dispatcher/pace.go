package dispatcher

import (
	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// paceOrders returns the changes of pace for a worker. The caller holds d.mu.
func (d *Dispatcher) paceOrders(_ *bookkeeper.State, _ *worker) []carobrock.PaceRun {
	return nil
}
