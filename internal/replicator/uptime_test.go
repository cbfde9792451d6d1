package replicator_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// A suspended machine's steady clock stands still: without the uptime clock the
// leader would trust its lease when it wakes.
func TestSuspendedLeaderHasNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		c.leader()
		var suspended atomic.Int64
		began := time.Now()
		for _, nd := range c.nodes {
			nd.kill()
			nd.uptime = func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) }
		}
		for _, nd := range c.nodes {
			nd.start()
		}
		r, _ := c.leader().parts()
		if r.LeaseLeft() == 0 {
			t.Fatal("the leader has no lease")
		}
		suspended.Store(int64(5 * time.Second))
		if left := r.LeaseLeft(); left != 0 {
			t.Errorf("after 5 s of suspension the lease has %v left", left)
		}
	})
}
