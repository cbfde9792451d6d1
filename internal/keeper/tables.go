package keeper

import (
	"fmt"

	"github.com/carobrock/carobrock"
)

// putTable replaces a table if its version equals the one on which the change
// is based.
func (k *Keeper) putTable(c *carobrock.PutTable, res *carobrock.Result) {
	version := k.tableVersion(c.Table)
	if version == nil {
		refuseCommand(res, carobrock.CodeNotFound, fmt.Sprintf("there is no table %q", c.Table))
		return
	}
	res.Version = *version
	if c.BaseVersion != *version {
		refuseCommand(res, carobrock.CodeConflict, fmt.Sprintf("%s: the change is based on version %d, the current one is %d", c.Table, c.BaseVersion, *version))
		return
	}
	if err := k.replaceRows(c, res.Index); err != nil {
		refuseCommand(res, carobrock.CodeInvalid, err.Error())
		return
	}
	*version++
	res.Version = *version
	k.markViewChanged(res)
}

// tableVersion returns a pointer to the version of a table, or nil if there is no
// such table.
func (k *Keeper) tableVersion(t carobrock.Table) *uint64 {
	switch t {
	case carobrock.TableRoutes:
		return &k.state.Routes.Version
	case carobrock.TablePools:
		return &k.state.Pools.Version
	default:
		return nil
	}
}

// replaceRows validates and stores the new rows of a table.
func (k *Keeper) replaceRows(c *carobrock.PutTable, index uint64) error {
	if c.Table == carobrock.TableRoutes {
		if err := carobrock.CheckRoutes(c.Routes); err != nil {
			return err
		}
		k.state.Routes.Rows, k.state.RoutesIndex = c.Routes, index
		return nil
	}
	if err := carobrock.CheckPools(c.Pools); err != nil {
		return err
	}
	k.state.Pools.Rows, k.state.PoolsIndex = c.Pools, index
	return nil
}

// findPool returns the pool with the given name, or nil.
func (k *Keeper) findPool(name string) *carobrock.Pool {
	for i := range k.state.Pools.Rows {
		if k.state.Pools.Rows[i].Name == name {
			return &k.state.Pools.Rows[i]
		}
	}
	return nil
}
