package controller

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/keeper"
)

// upstreamRow is the status of a worker in responses to operators.
type upstreamRow struct {
	keeper.WorkerState
	// SilentMillis is the time since the last announcement, in milliseconds. It
	// is -1 if the current leader has received none.
	SilentMillis int64 `json:"silentMillis"`
}

// taskRow is the status of a task in responses to operators.
type taskRow struct {
	carobrock.Task
	// Waiting explains why a queued task is not placed.
	Waiting string `json:"waiting,omitempty"`
}

// systemStatus summarizes the state of the system.
type systemStatus struct {
	Leader        string            `json:"leader"`
	Term          uint64            `json:"term"`
	Commit        uint64            `json:"commit"`
	RoutesVersion uint64            `json:"routesVersion"`
	PoolsVersion  uint64            `json:"poolsVersion"`
	DanglingPools []string          `json:"danglingPools"`
	Zones         []carobrock.Zone  `json:"zones"`
	Workers       int               `json:"workers"`
	Tasks         map[string]int    `json:"tasks"`
	Gateways      []gatewayStateRow `json:"gateways"`
}

// runQuery evaluates a query on the local state.
func (c *Controller) runQuery(q carobrock.Query) (any, error) {
	switch q.Kind {
	case "routes":
		return c.Keeper.Routes(), nil
	case "pools":
		return c.Keeper.Pools(), nil
	case "zones":
		return c.Keeper.Zones(), nil
	case "upstreams":
		return c.upstreams(), nil
	case "tasks":
		return c.tasks(), nil
	case "task":
		t, ok := c.Keeper.Task(q.ID)
		if !ok {
			return nil, eris.Wrapf(carobrock.ErrNotFound, "there is no task %q", q.ID)
		}
		return taskRow{t, c.Scheduler.WaitReason(t.ID)}, nil
	case "gateways":
		return c.gateways.stateRows(c.GrantLease), nil
	case "grants":
		return c.Keeper.Grants(), nil
	case "replicas":
		return c.Replica.Status(), nil
	case "status":
		return c.status(), nil
	default:
		return nil, eris.Wrap(carobrock.ErrNotFound, fmt.Sprintf("there is no %q", q.Kind))
	}
}

// upstreams returns the status of all workers.
func (c *Controller) upstreams() []upstreamRow {
	workers := c.Keeper.Workers()
	out := make([]upstreamRow, len(workers))
	for i, w := range workers {
		out[i] = upstreamRow{w, -1}
		if d, ok := c.Scheduler.TimeSinceAnnouncement(w.Name); ok {
			out[i].SilentMillis = d.Milliseconds()
		}
	}
	return out
}

// tasks returns the status of all tasks in queue order.
func (c *Controller) tasks() []taskRow {
	tasks := c.Keeper.Tasks(func(*carobrock.Task) bool { return true })
	out := make([]taskRow, len(tasks))
	for i, t := range tasks {
		out[i] = taskRow{t, c.Scheduler.WaitReason(t.ID)}
	}
	return out
}

// status returns the overview of the system.
func (c *Controller) status() systemStatus {
	s := c.Replica.Status()
	row := systemStatus{
		Leader: s.Name, Term: s.Term, Commit: s.Commit, Zones: c.Keeper.Zones(), Tasks: map[string]int{},
		RoutesVersion: c.Keeper.Routes().Version, PoolsVersion: c.Keeper.Pools().Version,
		Workers: len(c.Keeper.Workers()), Gateways: c.gateways.stateRows(c.GrantLease), DanglingPools: c.danglingPools(),
	}
	c.Keeper.Tasks(func(t *carobrock.Task) bool {
		row.Tasks[string(t.State)]++
		return false
	})
	return row
}

// danglingPools returns the names of pools that routes refer to but that do not
// exist.
func (c *Controller) danglingPools() []string {
	known := map[string]bool{}
	for _, p := range c.Keeper.Pools().Rows {
		known[p.Name] = true
	}
	out := []string{}
	for _, r := range c.Keeper.Routes().Rows {
		if !known[r.Pool] {
			known[r.Pool] = true
			out = append(out, r.Pool)
		}
	}
	return out
}

// State returns the status of the system for the debug dump, based on the local
// state alone. On a replica that is not the leader, Leader is the name of that
// replica, not of the leader, and Gateways is not up to date.
func (c *Controller) State() any { return c.status() }
