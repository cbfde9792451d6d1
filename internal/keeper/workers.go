package keeper

import (
	"fmt"

	"github.com/carobrock/carobrock"
)

// putWorkers adds or replaces workers. A worker is refused if its record is
// invalid or if its VM has another worker. The other workers of the command are
// still added.
func (k *Keeper) putWorkers(c *carobrock.PutWorkers, res *carobrock.Result) {
	for i := range c.Workers {
		w := c.Workers[i]
		if err := carobrock.CheckWorker(&w); err != nil {
			refuseCommand(res, carobrock.CodeInvalid, err.Error())
			continue
		}
		if other := k.workerByVM[w.VM]; other != "" && other != w.Name {
			refuseCommand(res, carobrock.CodeConflict, fmt.Sprintf("VM %q has the worker %q already", w.VM, other))
			continue
		}
		if old := k.state.Workers[w.Name]; old != nil {
			delete(k.workerByVM, old.VM)
		}
		k.workerByVM[w.VM] = w.Name
		k.state.Workers[w.Name] = &workerRow{Worker: w, Index: res.Index}
		k.markViewChanged(res)
	}
}

// dropWorkers removes the named workers on whose VMs no attempt can be running.
func (k *Keeper) dropWorkers(c *carobrock.DropWorkers, res *carobrock.Result) {
	for _, name := range c.Names {
		w := k.state.Workers[name]
		if w == nil || k.committed[w.VM].attempts > 0 {
			continue
		}
		delete(k.workerByVM, w.VM)
		delete(k.state.Workers, name)
		k.state.Removed = append(k.state.Removed, removedRow{Name: name, Index: res.Index})
		k.markViewChanged(res)
	}
	if excess := len(k.state.Removed) - maxRemoved; excess > 0 {
		k.state.Removed = k.state.Removed[excess:]
	}
}

// freeCapacity returns the capacity that can still be committed on the worker's
// VM. Components are negative if the worker announced less capacity than is
// already committed.
func (k *Keeper) freeCapacity(w *carobrock.Worker) carobrock.Capacity {
	free := w.Capacity.Sub(k.committed[w.VM].size)
	for _, s := range w.Services {
		free = free.Sub(s.Reserved)
	}
	return free
}
