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

// accept commits a table through the leader and returns its row.
func accept(t *testing.T, c *cluster, n int, among ...*node) string {
	t.Helper()
	row := fmt.Sprintf("row%d", n)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		nd := c.leader(among...)
		try, stop := context.WithTimeout(ctx, time.Second)
		res, err := put(try, nd.replica, row, uint64(n), row)
		stop()
		if err == nil && res.Code == "" {
			return row
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("change %d was not accepted", n)
	return ""
}

func rowOf(nd *node) string {
	if rows := nd.keeper.Routes().Rows; len(rows) > 0 {
		return rows[0].Name
	}
	return ""
}

// TestWipedReplicaCannotVote: of three replicas, a and b hold an accepted
// change. b loses its disk, a is cut off. If b could vote under its old identity
// it would elect c, which lacks the change. The first case lets it do so, to
// show that the test sees the loss.
func TestWipedReplicaCannotVote(t *testing.T) {
	tests := []struct {
		name     string
		reuse    bool
		wantLoss bool
	}{
		{"old identity", true, true},
		{"new identity", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := losesWithWipedReplica(t, tt.reuse); got != tt.wantLoss {
					t.Errorf("accepted change lost: %v, want %v", got, tt.wantLoss)
				}
			})
		})
	}
}

func losesWithWipedReplica(t *testing.T, reuse bool) bool {
	c := newCluster(t, 1, 3)
	defer c.stop()
	a := c.leader()
	others := c.others(a)
	b, behind := others[0], others[1]
	accept(t, c, 0)
	c.isolate(behind, true)
	row := accept(t, c, 1, a)
	if err := waitFor(func() bool { return rowOf(b) == row }); err != nil {
		t.Fatal(err)
	}
	if reuse {
		b.incarnation = b.replica.Status().ID
	}
	b.wipe()
	a.kill()
	b.start()
	c.isolate(behind, false)
	time.Sleep(30 * time.Second)
	return behind.replica.LeaseLeft() > 0 && rowOf(behind) != row
}

// TestReplaceThenLoseAnother: of five replicas one loses its disk and is
// replaced; straight after the replacement returns, a second VM is lost. All
// that was accepted is there and the group goes on.
func TestReplaceThenLoseAnother(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { replaceThenLose(t, seed) })
		})
	}
}

func replaceThenLose(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 5)
	defer c.stop()
	n := 0
	for ; n < 120; n++ {
		accept(t, c, n)
	}
	leader := c.leader()
	var lost, next *node
	for _, nd := range c.nodes {
		switch {
		case nd == leader:
		case lost == nil:
			lost = nd
		case next == nil:
			next = nd
		}
	}
	lost.wipe()
	accept(t, c, n)
	n++
	lost.initial = nil
	lost.start()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := leader.replica.Replace(ctx, lost.name, lost.address); err != nil {
		t.Fatal(err)
	}
	if got, want := lost.replica.Status().Last, leader.replica.Status().Commit; got < want {
		t.Errorf("the newcomer holds %d when the replacement returns, committed is %d", got, want)
	}
	next.kill()
	last := accept(t, c, n)
	n++
	// The group now bears the loss of one more: three of five are left.
	leader.kill()
	if err := waitFor(func() bool { return rowOf(c.leader()) == last }); err != nil {
		t.Errorf("the newest accepted change is lost: row %q, want %q", rowOf(c.leader()), last)
	}
	accept(t, c, n)
	if got := len(c.leader().replica.Status().Members); got != 5 {
		t.Errorf("%d members after the replacement, want 5", got)
	}
}

// TestReplaceRefuses covers the ways in which a replacement is asked for wrongly.
func TestReplaceRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		accept(t, c, 0)
		leader := c.leader()
		other := c.nodes[0]
		if other == leader {
			other = c.nodes[1]
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := leader.replica.Replace(ctx, "z", other.address); !errors.Is(err, replicator.ErrNoMember) {
			t.Errorf("replace by the wrong name: %v, want ErrNoMember", err)
		}
		if err := other.replica.Replace(ctx, other.name, other.address); !errors.Is(err, replicator.ErrNotLeader) {
			t.Errorf("replace at a follower: %v, want ErrNotLeader", err)
		}
		if err := leader.replica.Replace(ctx, other.name, other.address); err != nil {
			t.Errorf("replace by the same replica: %v, want no error and no change", err)
		}
		if got := len(leader.replica.Status().Members); got != 3 {
			t.Errorf("%d members, want 3", got)
		}
	})
}

// TestLeaderCutOffInSilence: a leader whose links go dead for ten minutes holds
// no lease after the election timeout, commits and confirms nothing, and comes
// back without forcing an election.
func TestLeaderCutOffInSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 5)
		defer c.stop()
		accept(t, c, 0)
		old := c.leader()
		c.isolate(old, true)
		early, stop := context.WithTimeout(context.Background(), electionTimeout/2)
		defer stop()
		if _, err := old.replica.Confirm(early); err == nil {
			t.Error("a read was confirmed without a majority")
		}
		time.Sleep(electionTimeout)
		if left := old.replica.LeaseLeft(); left > 0 {
			t.Errorf("the leader that is cut off holds a lease for %v more", left)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if _, err := put(ctx, old.replica, "cut", 1, "cut"); err == nil {
			t.Error("the leader that is cut off committed a change")
		}
		if _, err := old.replica.Confirm(ctx); err == nil {
			t.Error("the leader that is cut off confirmed a read")
		}
		if role := old.replica.Status().Role; role == "leader" {
			t.Error("a replica without a majority still calls itself the leader")
		}
		others := c.others(old)
		row := accept(t, c, 1, others...)
		time.Sleep(10 * time.Minute)
		now := c.leader(others...)
		term := now.replica.Status().Term
		c.isolate(old, false)
		time.Sleep(10 * time.Second)
		if got := now.replica.Status(); got.Term != term || got.Leader != got.ID {
			t.Errorf("the return moved the term from %d to %d", term, got.Term)
		}
		if rowOf(old) != row {
			t.Errorf("the replica that came back has %q, want %q", rowOf(old), row)
		}
	})
}

// TestRestartAfterManyChanges: a replica that missed 500 changes, so that the
// log it needs is gone, has the newest within 5 s of its start.
func TestRestartAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 3)
		defer c.stop()
		accept(t, c, 0)
		leader := c.leader()
		behind := c.nodes[0]
		if behind == leader {
			behind = c.nodes[1]
		}
		behind.kill()
		row := ""
		for n := 1; n <= 500; n++ {
			row = accept(t, c, n)
		}
		behind.start()
		time.Sleep(5 * time.Second)
		if got := rowOf(behind); got != row {
			t.Errorf("the restarted replica has %q after 5 s, want %q", got, row)
		}
	})
}

// TestDiskFailureStops: a replica whose disk fails a sync ends, and never tells
// anybody that it holds what it could not sync.
func TestDiskFailureStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3)
		defer c.stop()
		accept(t, c, 0)
		failed := c.leader()
		failed.folder.mu.Lock()
		failed.folder.failing = errors.New("input/output error")
		failed.folder.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if _, err := put(ctx, failed.replica, "x", 1, "x"); err == nil {
			// A majority may hold the change without this replica, but it must
			// not say so: its answer would come from a process that is ending.
			t.Error("a replica with a failed disk answered")
		}
		select {
		case <-failed.done:
		case <-time.After(time.Second):
			t.Error("the replica did not end")
		}
		others := c.others(failed)
		c.leader(others...)
	})
}

// TestElectionTime measures how long the group is without a leader after its
// leader was killed. The stated target is a p99 below 2 s.
func TestElectionTime(t *testing.T) {
	var longest time.Duration
	for seed := uint64(1); seed <= 40; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, 5)
			defer c.stop()
			accept(t, c, 0)
			c.leader().kill()
			start := time.Now()
			c.leader()
			longest = max(longest, time.Since(start))
		})
	}
	t.Logf("longest of 40: %v", longest)
	if longest > 2*time.Second {
		t.Errorf("%v without a leader, the target is below 2 s", longest)
	}
}

// TestReplaceWaitsForCatchUp: while the newcomer cannot be reached, the
// replacement does not return.
func TestReplaceWaitsForCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, 5)
		defer c.stop()
		for n := range 60 {
			accept(t, c, n)
		}
		leader := c.leader()
		lost := c.nodes[0]
		if lost == leader {
			lost = c.nodes[1]
		}
		lost.wipe()
		lost.initial = nil
		lost.start()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		returned := make(chan error, 1)
		c.group.Go(func() { returned <- leader.replica.Replace(ctx, lost.name, lost.address) })
		if err := waitFor(func() bool { return len(leader.replica.Status().Members) == 6 }); err != nil {
			t.Fatal(err)
		}
		c.isolate(lost, true)
		select {
		case err := <-returned:
			t.Errorf("the replacement returned (%v) while the newcomer was cut off", err)
			return
		case <-time.After(10 * time.Second):
		}
		c.isolate(lost, false)
		if err := <-returned; err != nil {
			t.Error(err)
		}
	})
}
