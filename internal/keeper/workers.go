package keeper

import (
	"fmt"

	"github.com/carobrock/carobrock"
)

// putWorkers adds or replaces workers. A worker on a VM that has another one is
// refused; the others of the command are taken all the same.
func (k *Keeper) putWorkers(c *carobrock.PutWorkers, res *carobrock.Result) {
	for i := range c.Workers {
		w := c.Workers[i]
		if err := carobrock.CheckWorker(&w); err != nil {
			refuse(res, carobrock.CodeInvalid, err.Error())
			continue
		}
		if other := k.vmWorker[w.VM]; other != "" && other != w.Name {
			refuse(res, carobrock.CodeConflict, fmt.Sprintf("VM %q has the worker %q already", w.VM, other))
			continue
		}
		if old := k.state.Workers[w.Name]; old != nil {
			delete(k.vmWorker, old.VM)
		}
		k.vmWorker[w.VM] = w.Name
		k.state.Workers[w.Name] = &workerRow{Worker: w, Index: res.Index}
		k.touchView(res)
	}
}

// dropWorkers removes workers on which no attempt can be running.
func (k *Keeper) dropWorkers(c *carobrock.DropWorkers, res *carobrock.Result) {
	for _, name := range c.Names {
		w := k.state.Workers[name]
		if w == nil || k.committed[w.VM].attempts > 0 {
			continue
		}
		delete(k.vmWorker, w.VM)
		delete(k.state.Workers, name)
		k.state.Removed = append(k.state.Removed, removedRow{Name: name, Index: res.Index})
		k.touchView(res)
	}
	if extra := len(k.state.Removed) - maxRemoved; extra > 0 {
		k.state.Removed = k.state.Removed[extra:]
	}
}

// free returns what may still be committed on the worker's VM. Parts are
// negative if the worker announced less than is committed.
func (k *Keeper) free(w *carobrock.Worker) carobrock.Capacity {
	free := w.Capacity.Sub(k.committed[w.VM].size)
	for _, s := range w.Services {
		free = free.Sub(s.Reserved)
	}
	return free
}
