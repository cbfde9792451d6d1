package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock/internal/replicator"
)

// commitRow commits a table with one route through the leader and returns the
// name of the route.
func commitRow(t *testing.T, c *cluster, n int, candidates ...*node) string {
	t.Helper()
	row := fmt.Sprintf("row%d", n)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		nd := c.waitForLeader(candidates...)
		attempt, cancelAttempt := context.WithTimeout(ctx, time.Second)
		res, err := proposeTable(attempt, nd.replica, row, uint64(n), row)
		cancelAttempt()
		if err == nil && res.Code == "" {
			return row
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("change %d was not committed", n)
	return ""
}

func currentRow(nd *node) string {
	if rows := nd.keeper.Routes().Rows; len(rows) > 0 {
		return rows[0].Name
	}
	return ""
}

// TestWipedReplicaCannotVote: replicas a and b of three hold a committed change
// that c lacks. Then b loses its disk and a fails. If b could vote under its old
// identity, it would elect c and the change would be lost. The first case reuses
// the old identity to show that the test detects the loss.
func TestWipedReplicaCannotVote(t *testing.T) {
	tests := []struct {
		name          string
		reuseIdentity bool
		wantLoss      bool
	}{
		{"old identity", true, true},
		{"new identity", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := losesChangeAfterWipe(t, tt.reuseIdentity); got != tt.wantLoss {
					t.Errorf("committed change lost: %v, want %v", got, tt.wantLoss)
				}
			})
		})
	}
}

func losesChangeAfterWipe(t *testing.T, reuseIdentity bool) bool {
	c := newCluster(t, 1, 3)
	defer c.stop()
	a := c.waitForLeader()
	others := c.nodesExcept(a)
	b, lagging := others[0], others[1]
	commitRow(t, c, 0)
	c.setIsolated(lagging, true)
	row := commitRow(t, c, 1, a)
	if err := waitFor(func() bool { return currentRow(b) == row }); err != nil {
		t.Fatal(err)
	}
	if reuseIdentity {
		b.incarnation = b.replica.Status().ID
	}
	b.wipeDisk()
	a.kill()
	b.start()
	c.setIsolated(lagging, false)
	time.Sleep(30 * time.Second)
	return lagging.replica.RemainingLease() > 0 && currentRow(lagging) != row
}

// TestReplaceThenLoseAnother: one of five replicas loses its disk and is
// replaced. Immediately after the replacement returns, a second replica fails.
// All committed changes must survive and the group must remain available.
func TestReplaceThenLoseAnother(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkReplaceThenLose(t, seed) })
		})
	}
}

func checkReplaceThenLose(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 5)
	defer c.stop()
	n := 0
	for ; n < 120; n++ {
		commitRow(t, c, n)
	}
	leader := c.waitForLeader()
	var lost, secondLost *node
	for _, nd := range c.nodes {
		switch {
		case nd == leader:
		case lost == nil:
			lost = nd
		case secondLost == nil:
			secondLost = nd
		}
	}
	lost.wipeDisk()
	commitRow(t, c, n)
	n++
	lost.initial = nil
	lost.start()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := leader.replica.ReplaceMember(ctx, lost.name, lost.address); err != nil {
		t.Fatal(err)
	}
	if got, want := lost.replica.Status().Last, leader.replica.Status().Commit; got < want {
		t.Errorf("new member holds index %d when ReplaceMember returns, want at least the committed index %d", got, want)
	}
	secondLost.kill()
	last := commitRow(t, c, n)
	n++
	// The group tolerates the loss of one more: three of five replicas are left.
	leader.kill()
	if err := waitFor(func() bool { return currentRow(c.waitForLeader()) == last }); err != nil {
		t.Errorf("the newest committed change is lost: row %q, want %q", currentRow(c.waitForLeader()), last)
	}
	commitRow(t, c, n)
	if got := len(c.waitForLeader().replica.Status().Members); got != 5 {
		t.Errorf("%d members after the replacement, want 5", got)
	}
}

// TestReplaceRejectsInvalidRequests covers invalid requests for a replacement.
func TestReplaceRejectsInvalidRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		commitRow(t, c, 0)
		leader := c.waitForLeader()
		other := c.nodes[0]
		if other == leader {
			other = c.nodes[1]
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := leader.replica.ReplaceMember(ctx, "z", other.address); !errors.Is(err, replicator.ErrNoMember) {
			t.Errorf("ReplaceMember with the wrong name: %v, want ErrNoMember", err)
		}
		if err := other.replica.ReplaceMember(ctx, other.name, other.address); !errors.Is(err, replicator.ErrNotLeader) {
			t.Errorf("ReplaceMember on a follower: %v, want ErrNotLeader", err)
		}
		if err := leader.replica.ReplaceMember(ctx, other.name, other.address); err != nil {
			t.Errorf("ReplaceMember with the same replica: %v, want no error", err)
		}
		if got := len(leader.replica.Status().Members); got != 3 {
			t.Errorf("%d members, want 3", got)
		}
	})
}

// TestLeaderCutOffInSilence: a leader that is partitioned from all other replicas
// for ten minutes holds no lease after the election timeout, commits and confirms
// nothing, and rejoins without forcing an election.
func TestLeaderCutOffInSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 5)
		defer c.stop()
		commitRow(t, c, 0)
		old := c.waitForLeader()
		c.setIsolated(old, true)
		early, stop := context.WithTimeout(context.Background(), electionTimeout/2)
		defer stop()
		if _, err := old.replica.ReadIndex(early); err == nil {
			t.Error("a read was confirmed without a majority")
		}
		time.Sleep(electionTimeout)
		if remaining := old.replica.RemainingLease(); remaining > 0 {
			t.Errorf("partitioned leader still holds a lease for %v", remaining)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if _, err := proposeTable(ctx, old.replica, "cut", 1, "cut"); err == nil {
			t.Error("partitioned leader committed a change")
		}
		if _, err := old.replica.ReadIndex(ctx); err == nil {
			t.Error("partitioned leader confirmed a read")
		}
		if role := old.replica.Status().Role; role == "leader" {
			t.Error("replica without a majority still has the role leader")
		}
		others := c.nodesExcept(old)
		row := commitRow(t, c, 1, others...)
		time.Sleep(10 * time.Minute)
		now := c.waitForLeader(others...)
		term := now.replica.Status().Term
		c.setIsolated(old, false)
		time.Sleep(10 * time.Second)
		if got := now.replica.Status(); got.Term != term || got.Leader != got.ID {
			t.Errorf("rejoining changed the term from %d to %d", term, got.Term)
		}
		if currentRow(old) != row {
			t.Errorf("the rejoined replica has row %q, want %q", currentRow(old), row)
		}
	})
}

// TestRestartAfterManyChanges: a replica that missed 500 changes, whose log
// entries have been compacted, has the newest change within 5 s of its start.
func TestRestartAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 3)
		defer c.stop()
		commitRow(t, c, 0)
		leader := c.waitForLeader()
		lagging := c.nodes[0]
		if lagging == leader {
			lagging = c.nodes[1]
		}
		lagging.kill()
		row := ""
		for n := 1; n <= 500; n++ {
			row = commitRow(t, c, n)
		}
		lagging.start()
		time.Sleep(5 * time.Second)
		if got := currentRow(lagging); got != row {
			t.Errorf("the restarted replica has row %q after 5 s, want %q", got, row)
		}
	})
}

// TestDiskFailureStops: a replica whose disk fails a sync stops and never
// acknowledges data that it could not sync.
func TestDiskFailureStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3)
		defer c.stop()
		commitRow(t, c, 0)
		failed := c.waitForLeader()
		failed.directory.mu.Lock()
		failed.directory.syncError = errors.New("input/output error")
		failed.directory.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if _, err := proposeTable(ctx, failed.replica, "x", 1, "x"); err == nil {
			// A majority may hold the change without this replica, but the
			// replica must not acknowledge it, because its process is about to
			// exit.
			t.Error("a replica with a failed disk acknowledged a change")
		}
		select {
		case <-failed.done:
		case <-time.After(time.Second):
			t.Error("the replica did not stop")
		}
		others := c.nodesExcept(failed)
		c.waitForLeader(others...)
	})
}

// TestElectionTime measures the time without a leader after the leader is killed.
// The target is a p99 below 2 s.
func TestElectionTime(t *testing.T) {
	var longest time.Duration
	for seed := uint64(1); seed <= 40; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, 5)
			defer c.stop()
			commitRow(t, c, 0)
			c.waitForLeader().kill()
			start := time.Now()
			c.waitForLeader()
			longest = max(longest, time.Since(start))
		})
	}
	t.Logf("longest of 40 elections: %v", longest)
	if longest > 2*time.Second {
		t.Errorf("%v without a leader, want at most 2 s", longest)
	}
}

// TestReplaceWaitsForCatchUp: a replacement does not return while the new member
// is unreachable.
func TestReplaceWaitsForCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, 5)
		defer c.stop()
		for n := range 60 {
			commitRow(t, c, n)
		}
		leader := c.waitForLeader()
		lost := c.nodes[0]
		if lost == leader {
			lost = c.nodes[1]
		}
		lost.wipeDisk()
		lost.initial = nil
		lost.start()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		returned := make(chan error, 1)
		c.goroutines.Go(func() { returned <- leader.replica.ReplaceMember(ctx, lost.name, lost.address) })
		if err := waitFor(func() bool { return len(leader.replica.Status().Members) == 6 }); err != nil {
			t.Fatal(err)
		}
		c.setIsolated(lost, true)
		select {
		case err := <-returned:
			t.Errorf("ReplaceMember returned (%v) while the new member was unreachable", err)
			return
		case <-time.After(10 * time.Second):
		}
		c.setIsolated(lost, false)
		if err := <-returned; err != nil {
			t.Error(err)
		}
	})
}
