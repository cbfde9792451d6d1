package replicator_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a new leader that holds the lease before its state includes all that
// was acknowledged in earlier terms: reads under the lease would miss some of it.
func TestLeaseBeginsAfterTheReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3)
		defer c.stop()
		route := ""
		for n := range 40 {
			route = commitRoute(t, c, n)
		}
		for _, nd := range c.nodes {
			nd.kill()
		}
		for _, nd := range c.nodes {
			// No command is proposed after the restart, so that each one is replayed.
			nd.onApply = func() {
				if r, _ := nd.replicaAndKeeper(); r.RemainingLease() > 0 {
					t.Errorf("replica %s holds the lease while it replays its log", nd.name)
				}
				time.Sleep(5 * time.Millisecond)
			}
			nd.start()
		}
		if leader := c.waitForLeader(); currentRoute(leader) != route {
			t.Errorf("the leader holds route %q, want %q", currentRoute(leader), route)
		}
	})
}
