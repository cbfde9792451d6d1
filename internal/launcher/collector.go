package launcher

import (
	"context"
	"runtime/debug"
	"time"
)

const (
	// leaderGCPercent is the garbage collector's target while the replica leads. The
	// leader handles all heartbeats, and its processor share limits how soon tasks
	// start; its heap is a small part of its memory.
	leaderGCPercent = 400
	// defaultGCPercent is the runtime's default.
	defaultGCPercent = 100
	// collectorInterval is the interval at which the role of the replica is checked.
	collectorInterval = time.Second
)

// runCollector lets the garbage collector run less often while the replica leads,
// until ctx ends. The soft limit on memory still applies.
func (j *JobReplica) runCollector(ctx context.Context) error {
	ticker := time.NewTicker(collectorInterval)
	defer ticker.Stop()
	percent := defaultGCPercent
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		wanted := defaultGCPercent
		if s := j.replica.Status(); s.Leader == s.ID {
			wanted = leaderGCPercent
		}
		if wanted != percent {
			percent = wanted
			debug.SetGCPercent(percent)
		}
	}
}
