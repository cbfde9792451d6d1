package replicator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
)

// countLeaseholders returns the number of replicas that hold a lease.
func (c *cluster) countLeaseholders() (n int) {
	for _, nd := range c.runningNodes() {
		if r, _ := nd.replicaAndKeeper(); r.RemainingLease() > 0 {
			n++
		}
	}
	return n
}

// TestTransferLeadership checks that a leadership transfer under load leaves the
// group without a leader for a few round trips only, never with two leaders, and
// loses no acknowledged change.
func TestTransferLeadership(t *testing.T) {
	const (
		rounds = 10
		// maxLeaderlessTime allows for a few round trips and syncs, far less than
		// the minimum election timeout.
		maxLeaderlessTime = 60 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		c.waitForLeader()
		stop := make(chan struct{})
		writers := conc.NewWaitGroup()
		acknowledged := 0
		writers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				r, k := c.waitForLeader().replicaAndKeeper()
				res, err := proposeTable(ctx, r, fmt.Sprint("change", i), k.Routes().Version, fmt.Sprint("row", i))
				cancel()
				if err == nil && res.Code == "" {
					acknowledged++
				}
				time.Sleep(time.Millisecond)
			}
		})
		for round := range rounds {
			time.Sleep(500 * time.Millisecond)
			r, _ := c.waitForLeader().replicaAndKeeper()
			ok, err := r.TransferLeadership(context.Background())
			if err != nil || !ok {
				t.Fatalf("round %d: transferred: %t, %v", round, ok, err)
			}
			began := time.Now()
			for c.countLeaseholders() == 0 && time.Since(began) < time.Minute {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(began); took > maxLeaderlessTime {
				t.Errorf("round %d: %v without a leader, want at most %v", round, took, maxLeaderlessTime)
			}
			if n := c.countLeaseholders(); n != 1 {
				t.Errorf("round %d: %d replicas hold a lease, want 1", round, n)
			}
		}
		close(stop)
		writers.Wait()
		time.Sleep(time.Second)
		_, k := c.waitForLeader().replicaAndKeeper()
		if got := int(k.Routes().Version); acknowledged < rounds || got < acknowledged {
			t.Errorf("table version %d after %d acknowledged changes", got, acknowledged)
		}
	})
}

// TestTransferLeadershipWithoutSuccessor checks that a leader continues to lead if
// no follower has a complete log.
func TestTransferLeadershipWithoutSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		nd := c.waitForLeader()
		r, _ := nd.replicaAndKeeper()
		for _, other := range c.nodesExcept(nd) {
			c.setLinkCut(nd, other, true)
		}
		time.Sleep(400 * time.Millisecond)
		if ok, err := r.TransferLeadership(context.Background()); ok || err != nil {
			t.Errorf("transferred: %t, %v", ok, err)
		}
		for _, other := range c.nodesExcept(nd) {
			c.setLinkCut(nd, other, false)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for ctx.Err() == nil {
			r, k := c.waitForLeader().replicaAndKeeper()
			if _, err := proposeTable(ctx, r, "change", k.Routes().Version, "row"); err == nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Error("no change was committed after the links were restored")
	})
}

// Guards against a replica that rejects all proposals when it leads again after it
// transferred its leadership.
func TestLeadsAgainAfterTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		first := c.waitForLeader()
		r, k := first.replicaAndKeeper()
		for i := 0; i == 0 || c.waitForLeader() != first; i++ {
			if i == 50 {
				t.Fatal("the first leader was not elected again")
			}
			time.Sleep(500 * time.Millisecond)
			leader, _ := c.waitForLeader().replicaAndKeeper()
			if _, err := leader.TransferLeadership(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if _, err := proposeTable(context.Background(), r, "change", k.Routes().Version, "row"); err != nil {
			t.Errorf("the leader rejects a proposal: %v", err)
		}
	})
}
