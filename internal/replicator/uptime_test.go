package replicator_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspendedLeaderHasNoLease checks that a suspended leader has no lease after
// it resumes. While a machine is suspended its monotonic clock stops, so without
// Uptime the leader would still trust its lease.
func TestSuspendedLeaderHasNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		c.waitForLeader()
		var suspended atomic.Int64
		began := time.Now()
		for _, nd := range c.nodes {
			nd.kill()
			nd.uptime = func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) }
		}
		for _, nd := range c.nodes {
			nd.start()
		}
		r, _ := c.waitForLeader().replicaAndKeeper()
		if r.RemainingLease() == 0 {
			t.Fatal("the leader has no lease")
		}
		suspended.Store(int64(5 * time.Second))
		if remaining := r.RemainingLease(); remaining != 0 {
			t.Errorf("lease has %v left after 5 s of suspension, want 0", remaining)
		}
	})
}
