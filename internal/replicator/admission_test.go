package replicator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock/internal/encoder"
)

// Guards against a group that can never elect a leader again because a disk was lost
// while another voter, which was merely unreachable, was being replaced.
func TestDiskLostWhileAnotherVoterIsReplaced(t *testing.T) {
	const longestAdmission = 80 * time.Millisecond
	for after := time.Duration(0); after <= longestAdmission; after += 2 * time.Millisecond {
		for _, lost := range []string{"leader", "follower", "newcomer"} {
			t.Run(fmt.Sprintf("%s after %v", lost, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, 11, 3)
					defer c.stop()
					commitRoute(t, c, 0)
					leader := c.waitForLeader()
					followers := c.nodesExcept(leader)
					newcomer := &node{cluster: c, name: "d", address: "d0", directory: newMemoryDirectory()}
					c.mu.Lock()
					c.nodes = append(c.nodes, newcomer)
					c.mu.Unlock()
					newcomer.start()
					silent, follower := followers[0], followers[1]
					c.setIsolated(silent, true)
					time.Sleep(2 * time.Second)
					member := &encoder.Member{Id: newcomer.replica.Status().ID, Name: newcomer.name, Address: newcomer.address}
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					old, silentID := leader.replica, silent.replica.Status().ID
					c.goroutines.Go(func() { _ = old.AdmitVoter(ctx, member, silentID) })
					time.Sleep(after)
					for _, nd := range c.nodes {
						nd.kill()
						nd.initial = nil
					}
					wiped := map[string]*node{"leader": leader, "follower": follower, "newcomer": newcomer}[lost]
					wiped.wipeDisk()
					c.setIsolated(silent, false)
					for _, nd := range c.nodes {
						nd.start()
					}
					commitRoute(t, c, 1)
				})
			})
		}
	}
}
