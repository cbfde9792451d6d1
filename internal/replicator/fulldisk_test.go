package replicator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
	"github.com/carobrock/carobrock/internal/replicator"
)

// returnTime is the time after the return of space within which a replica takes part
// again: one interval of probes, an election and a catch-up.
const returnTime = 5 * time.Second

func isDiskFull(nd *node) bool { return nd.replica.Status().DiskFull }

// mustTakePart fails the test unless nd takes part again within returnTime and holds
// route.
func mustTakePart(t *testing.T, nd *node, route string) {
	t.Helper()
	for deadline := time.Now().Add(returnTime); isDiskFull(nd) || currentRoute(nd) != route; {
		if time.Now().After(deadline) {
			t.Fatalf("replica %s: full %v, route %q, want %q", nd.name, isDiskFull(nd), currentRoute(nd), route)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// mustRun fails the test if the replica has ended by itself.
func mustRun(t *testing.T, nd *node) {
	t.Helper()
	select {
	case <-nd.done:
		t.Fatalf("replica %s has ended", nd.name)
	default:
	}
}

// forFullDisks runs test for a disk whose writes fail and for one whose syncs fail.
func forFullDisks(t *testing.T, test func(t *testing.T, failsAtSync bool)) {
	for _, failsAtSync := range []bool{false, true} {
		t.Run(fmt.Sprintf("failsAtSync=%v", failsAtSync), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, failsAtSync) })
		})
	}
}

// Guards against a follower whose full disk ends its process, and against one that
// does not return, returns with other entries than the others or logs each probe.
func TestFullFollowerReturns(t *testing.T) {
	forFullDisks(t, func(t *testing.T, failsAtSync bool) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		leader := c.waitForLeader()
		full := c.nodesExcept(leader)[0]
		full.kill()
		log := &bytes.Buffer{}
		full.logger = zerolog.New(log)
		full.start()
		n := 0
		commit := func(count int) (route string) {
			for range count {
				route = commitRoute(t, c, n)
				n++
			}
			return route
		}
		mustTakePart(t, full, commit(5))
		full.directory.setFree(100, failsAtSync)
		for _, missed := range []int{10, 200} { // with 200 entries it needs a snapshot
			route := commit(missed)
			mustRun(t, full)
			if !isDiskFull(full) {
				t.Fatal("the status does not report the full disk")
			}
			full.directory.setFree(-1, false)
			mustTakePart(t, full, route)
			full.directory.setFree(100, failsAtSync)
		}
		if log.Len() == 0 || strings.Count(log.String(), "disk is full") != 2 || strings.Count(log.String(), "has space again") != 2 {
			t.Errorf("want one line each time that the disk becomes full and that it has space again:\n%s", log)
		}
	})
}

// Guards against a leader that leads on, uses its lease or acknowledges entries after
// its disk has become full, and against a group that stays without a leader.
func TestFullLeaderStepsDown(t *testing.T) {
	forFullDisks(t, func(t *testing.T, failsAtSync bool) {
		c := newCluster(t, 2, 3)
		defer c.stop()
		leader := c.waitForLeader()
		commitRoute(t, c, 0)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		leader.directory.setFree(10, failsAtSync)
		if _, err := proposeTable(ctx, leader.replica, "unknown", 1, "unknown"); !errors.Is(err, replicator.ErrOutcomeUnknown) {
			t.Errorf("proposal in flight: %v, want ErrOutcomeUnknown", err)
		}
		if leader.replica.RemainingLease() > 0 {
			t.Error("the replica with the full disk has a lease")
		}
		if _, err := proposeTable(ctx, leader.replica, "late", 1, "late"); !errors.Is(err, replicator.ErrNotLeader) {
			t.Errorf("new proposal: %v, want ErrNotLeader", err)
		}
		if _, err := leader.replica.ReadIndex(ctx); !errors.Is(err, replicator.ErrNotLeader) {
			t.Errorf("read: %v, want ErrNotLeader", err)
		}
		if _, err := leader.replica.TransferLeadership(ctx); err != nil {
			t.Errorf("transfer of leadership: %v", err)
		}
		failed := time.Now()
		c.waitForLeader(c.nodesExcept(leader)...)
		if d := time.Since(failed); d > electionTimeout {
			t.Errorf("the next leader was elected after %v, want at most %v", d, electionTimeout)
		}
		version := currentVersion(t, c)
		route := fmt.Sprint("row", version)
		if res, err := proposeTable(ctx, c.waitForLeader().replica, route, version, route); err != nil || res.Code != "" {
			t.Fatalf("change under the next leader: %v, %v", res, err)
		}
		leader.directory.setFree(-1, false)
		mustTakePart(t, leader, route)
	})
}

// currentVersion returns the version of the table at the leader.
func currentVersion(t *testing.T, c *cluster) uint64 {
	t.Helper()
	leader := c.waitForLeader()
	if _, err := leader.replica.ReadIndex(context.Background()); err != nil {
		t.Fatal(err)
	}
	return leader.keeper.Routes().Version
}

// Guards against a group that commits, acknowledges or elects with two of three disks
// full, and against one that does not recover when one of them has space again.
func TestTwoOfThreeFull(t *testing.T) {
	forFullDisks(t, func(t *testing.T, failsAtSync bool) {
		for _, leaderIsFull := range []bool{false, true} {
			c := newCluster(t, 3, 3)
			leader := c.waitForLeader()
			commitRoute(t, c, 0)
			route := commitRoute(t, c, 1)
			time.Sleep(electionTimeout) // the followers learn that it is committed
			full := c.nodesExcept(leader)
			if leaderIsFull {
				full[0] = leader
			}
			for _, nd := range full {
				nd.directory.setFree(20, failsAtSync)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			for range 20 {
				for _, nd := range c.nodes {
					attempt, cancelAttempt := context.WithTimeout(ctx, 300*time.Millisecond)
					if res, err := proposeTable(attempt, nd.replica, "never", 2, "never"); err == nil {
						t.Errorf("acknowledged with two disks full: %+v", res)
					}
					cancelAttempt()
				}
			}
			cancel()
			for _, nd := range c.nodes {
				mustRun(t, nd)
				if nd.replica.RemainingLease() > 0 {
					t.Errorf("replica %s has a lease", nd.name)
				}
				if got := currentRoute(nd); got != route {
					t.Errorf("replica %s has route %q, want %q", nd.name, got, route)
				}
			}
			full[0].directory.setFree(-1, false)
			start := time.Now()
			c.waitForLeader()
			if d := time.Since(start); d > returnTime {
				t.Errorf("no leader for %v after the return of space", d)
			}
			version := currentVersion(t, c) // a proposal of unknown outcome may have been committed now
			last := commitRoute(t, c, int(version))
			full[1].directory.setFree(-1, false)
			for _, nd := range c.nodes {
				mustTakePart(t, nd, last)
			}
			c.stop()
		}
	})
}

// Guards against a snapshot without space that ends the replica or damages the old
// snapshot or the log, and against one that is never tried again.
func TestNoSpaceForSnapshot(t *testing.T) {
	for _, file := range []string{"snapshot", "log"} {
		t.Run(file, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4, 3)
				defer c.stop()
				leader := c.waitForLeader()
				other := c.nodesExcept(leader)[0]
				n := 0
				commit := func(count int) (route string) {
					for range count {
						route = commitRoute(t, c, n)
						n++
					}
					return route
				}
				mustTakePart(t, other, commit(60))
				other.directory.setFullFor(file)
				route := commit(60)
				if got := isDiskFull(other); got != (file == "log") {
					t.Errorf("status reports a full disk: %v", got)
				}
				mustRun(t, other)
				if file == "snapshot" { // entries are still acknowledged
					mustTakePart(t, other, route)
				}
				other.directory.setFullFor("")
				mustTakePart(t, other, commit(1))
				time.Sleep(15 * time.Second)
				mustTakePart(t, other, commit(1))
				state, err := other.directory.durableState(other.name)
				if err != nil {
					t.Fatal(err)
				}
				if state.Snapshot.GetIndex() < 100 {
					t.Errorf("the newest snapshot is at index %d", state.Snapshot.GetIndex())
				}
				other.kill()
				other.start()
				mustTakePart(t, other, commit(1))
			})
		})
	}
}

// Guards against a disk that the log fills before a snapshot is due by the number or
// size of the entries.
func TestSnapshotIsTakenWhileItFits(t *testing.T) {
	for _, isKnown := range []bool{true, false} {
		t.Run(fmt.Sprintf("sizeKnown=%v", isKnown), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 10, 3)
				defer c.stop()
				commitRoute(t, c, 0)
				const diskBytes = 8 << 10
				for _, nd := range c.nodes {
					nd.kill()
					if isKnown {
						nd.diskBytes = diskBytes
					}
					nd.directory.setFree(diskBytes-nd.directory.size(), false)
				}
				for _, nd := range c.nodes {
					nd.start()
				}
				for n := 1; n < 45; n++ { // a snapshot is due by number after 50
					commitRoute(t, c, n)
				}
				time.Sleep(electionTimeout)
				for _, nd := range c.nodes {
					state, err := nd.directory.durableState(nd.name)
					if err != nil {
						t.Fatal(err)
					}
					if taken := state.Snapshot.GetIndex() > 0; taken != isKnown || isDiskFull(nd) {
						t.Errorf("replica %s: snapshot at index %d, disk of %d bytes with %d in use, full %v", nd.name, state.Snapshot.GetIndex(), diskBytes, nd.directory.size(), isDiskFull(nd))
					}
				}
			})
		})
	}
}

// Guards against a replica that cannot install the leader's snapshot for lack of
// space and ends, reports the snapshot's index to the leader or never installs it.
func TestNoSpaceForSnapshotFromLeader(t *testing.T) {
	for _, file := range []string{"snapshot", "log"} {
		t.Run(file, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 5, 3)
				defer c.stop()
				c.setOnSend(checkDurability)
				leader := c.waitForLeader()
				lagging := c.nodesExcept(leader)[0]
				c.setIsolated(lagging, true)
				route := ""
				for n := range 200 {
					route = commitRoute(t, c, n, c.nodesExcept(lagging)...)
				}
				lagging.directory.setFullFor(file)
				c.setIsolated(lagging, false)
				time.Sleep(10 * time.Second)
				mustRun(t, lagging)
				if !isDiskFull(lagging) {
					t.Error("the status does not report the full disk")
				}
				lagging.directory.setFullFor("")
				mustTakePart(t, lagging, route)
				lagging.kill()
				lagging.start()
				mustTakePart(t, lagging, commitRoute(t, c, 200))
			})
		})
	}
}

// Guards against a replica that ends at its start because the disk is full, and
// against a group that is not formed when there is space.
func TestStartWithFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, 3)
		defer c.stop()
		for _, nd := range c.nodes { // before the first message arrives
			nd.wipeDisk()
			nd.directory.setFree(0, false)
			nd.start()
		}
		time.Sleep(10 * time.Second)
		for _, nd := range c.nodes {
			mustRun(t, nd)
			if s := nd.replica.Status(); !s.DiskFull || s.Leader == s.ID {
				t.Errorf("status of a replica without a data directory: %+v", s)
			}
			nd.directory.setFree(-1, false)
		}
		commitRoute(t, c, 0)
		leader := c.waitForLeader()
		other := c.nodesExcept(leader)[0]
		other.kill()
		other.directory.setFree(0, false)
		other.start()
		route := commitRoute(t, c, 1)
		mustRun(t, other)
		other.directory.setFree(-1, false)
		mustTakePart(t, other, route)
	})
}

// Guards against the loss of acknowledged changes if a disk is full, the machine loses
// power and the replica starts with and without space, and then another disk is lost
// to the group.
func TestFullThenPowerLoss(t *testing.T) {
	for seed := uint64(1); seed <= 24; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkFullThenPowerLoss(t, seed) })
		})
	}
}

func checkFullThenPowerLoss(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	c := newCluster(t, seed, 3)
	defer c.stop()
	c.setOnSend(checkDurability)
	n := 0
	commit := func(count int) (route string) {
		for range count {
			route = commitRoute(t, c, n)
			n++
		}
		return route
	}
	commit(3 + rnd.IntN(60))
	full := c.nodes[rnd.IntN(3)]
	full.directory.setFree(rnd.IntN(1500), rnd.IntN(2) == 0)
	commit(1 + rnd.IntN(20))
	full.killProcess()
	if rnd.IntN(2) == 0 {
		full.directory.losePower(rnd)
	}
	hasSpace := rnd.IntN(2) == 0
	if hasSpace {
		full.directory.setFree(-1, false)
	}
	if !full.start() {
		t.FailNow()
	}
	route := commit(1 + rnd.IntN(20))
	mustRun(t, full)
	full.directory.setFree(-1, false)
	mustTakePart(t, full, route)
	full.killProcess()
	full.directory.losePower(rnd)
	full.start()
	mustTakePart(t, full, route)
	c.nodesExcept(full)[rnd.IntN(2)].kill()
	commit(1)
}

// checkDurability fails the test if a message reports or implies a state that is not
// durable at its sender. Once a higher term is durable, the sender cannot vote again in
// the term of the message.
func checkDurability(nd *node, m *encoder.Message) {
	t := nd.cluster.t
	state, err := nd.directory.durableState(nd.name)
	if err != nil {
		t.Errorf("replica %s: the durable files cannot be read: %v", nd.name, err)
		return
	}
	last := state.Snapshot.GetIndex() + uint64(len(state.Entries))
	term, vote := state.HardState.GetTerm(), state.HardState.GetVote()
	switch m.GetKind() {
	case encoder.MessageKind_MESSAGE_KIND_APPEND_ANSWER:
		if !m.GetReject() && m.GetLogIndex() > last || m.GetTerm() > term {
			t.Errorf("replica %s acknowledges index %d in term %d; durable are index %d and term %d", nd.name, m.GetLogIndex(), m.GetTerm(), last, term)
		}
	case encoder.MessageKind_MESSAGE_KIND_VOTE_ANSWER:
		if !m.GetReject() && term <= m.GetTerm() && (term != m.GetTerm() || vote != m.GetTo()) {
			t.Errorf("replica %s votes for %d in term %d; durable are the vote %d and term %d", nd.name, m.GetTo(), m.GetTerm(), vote, term)
		}
	case encoder.MessageKind_MESSAGE_KIND_VOTE:
		if term <= m.GetTerm() && (term != m.GetTerm() || vote != m.GetFrom()) {
			t.Errorf("replica %s stands for election in term %d; durable are the vote %d and term %d", nd.name, m.GetTerm(), vote, term)
		}
	case encoder.MessageKind_MESSAGE_KIND_APPEND, encoder.MessageKind_MESSAGE_KIND_SNAPSHOT, encoder.MessageKind_MESSAGE_KIND_HAND_OVER:
		if term < m.GetTerm() {
			t.Errorf("replica %s leads in term %d; durable is term %d", nd.name, m.GetTerm(), term)
		}
	}
}

// voteRecorder fails the test if a replica votes for two candidates in a term.
type voteRecorder struct {
	votes map[[2]uint64]uint64 // by voter and term
}

func (v *voteRecorder) record(nd *node, m *encoder.Message) {
	candidate := m.GetTo()
	switch {
	case m.GetKind() == encoder.MessageKind_MESSAGE_KIND_VOTE:
		candidate = m.GetFrom()
	case m.GetKind() != encoder.MessageKind_MESSAGE_KIND_VOTE_ANSWER || m.GetReject():
		return
	}
	nd.cluster.mu.Lock()
	defer nd.cluster.mu.Unlock()
	key := [2]uint64{m.GetFrom(), m.GetTerm()}
	if earlier, ok := v.votes[key]; ok && earlier != candidate {
		nd.cluster.t.Errorf("replica %s votes for %d and %d in term %d", nd.name, earlier, candidate, m.GetTerm())
	}
	v.votes[key] = candidate
}

// injectFullDisks leaves little space on the disks of one replica after the other,
// sometimes of two at a time, until stop is closed.
func injectFullDisks(c *cluster, rnd *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.Int64N(int64(2 * time.Second)))):
		}
		full := []*node{chooseNode(c, rnd)}
		if rnd.IntN(4) == 0 {
			full = append(full, c.nodes[rnd.IntN(len(c.nodes))])
		}
		for _, nd := range full {
			nd.directory.setFree(rnd.IntN(600), rnd.IntN(2) == 0)
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(4 * time.Second))))
		for _, nd := range full {
			nd.directory.setFree(-1, false)
		}
	}
}

// Guards against histories that are not linearizable, messages that depend on state
// that is not durable, and double votes, while disks become full beside the faults of
// TestHistoryIsLinearizable.
func TestHistoryIsLinearizableWithFullDisks(t *testing.T) {
	for seed := uint64(1); seed <= 16; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3+2*int(seed%2))
				recorder := &voteRecorder{votes: map[[2]uint64]uint64{}}
				c.setOnSend(func(nd *node, m *encoder.Message) {
					checkDurability(nd, m)
					recorder.record(nd, m)
				})
				checkHistory(t, seed, c, injectFaults, injectFullDisks)
				failures := 0
				for _, nd := range c.nodes {
					failures += nd.directory.countFullFailures()
				}
				if failures < 2 {
					t.Errorf("only %d operations failed for lack of space", failures)
				}
			})
		})
	}
}

// Guards against entries that are lost at a power loss although a replica has read
// them at its start: the kernel took their pages for clean after a sync that failed
// in the process before.
func TestEntriesOfAFailedSyncAreWrittenAgainAtTheNextStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := newMemoryDirectory()
		open := func() *journaler.Journal {
			return &journaler.Journal{Directory: directory, Name: "a", NewIncarnation: func() uint64 { return 7 }}
		}
		j := open()
		if _, err := j.Open(); err != nil {
			t.Fatal(err)
		}
		hardState := &encoder.HardState{Term: 1, Vote: 5}
		if err := j.Append(hardState, []*encoder.Entry{{Term: 1, Index: 1}}); err != nil {
			t.Fatal(err)
		}
		directory.setFree(0, true)
		if err := j.Append(hardState, []*encoder.Entry{{Term: 1, Index: 2}}); !errors.Is(err, journaler.ErrFull) {
			t.Fatalf("append to a full disk: %v, want ErrFull", err)
		}
		directory.setFree(-1, false)
		before, err := open().Open()
		if err != nil {
			t.Fatal(err)
		}
		directory.losePower(nil)
		after, err := open().Open()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(before, after, protocmp.Transform()); diff != "" {
			t.Errorf("state that was read before the power loss differs after it (-before +after):\n%s", diff)
		}
	})
}

// Guards against entries that are lost at a power loss because they were appended to a
// log file whose name had not become durable for lack of space.
func TestFailedRenameOfTheLogIsMadeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := newMemoryDirectory()
		open := func() *journaler.Journal {
			return &journaler.Journal{Directory: directory, Name: "a", NewIncarnation: func() uint64 { return 7 }}
		}
		j := open()
		if _, err := j.Open(); err != nil {
			t.Fatal(err)
		}
		hardState := &encoder.HardState{Term: 1, Vote: 5}
		if err := j.Append(hardState, []*encoder.Entry{{Term: 1, Index: 1}}); err != nil {
			t.Fatal(err)
		}
		directory.failedRename = "log"
		if err := j.SaveSnapshot(&encoder.Snapshot{Index: 1, Term: 1}, hardState, nil); !errors.Is(err, journaler.ErrFull) {
			t.Fatalf("snapshot: %v, want ErrFull", err)
		}
		if _, err := j.Reopen(); err != nil {
			t.Fatal(err)
		}
		if err := j.Probe(); err != nil {
			t.Fatal(err)
		}
		if err := j.Append(hardState, []*encoder.Entry{{Term: 1, Index: 2}}); err != nil {
			t.Fatal(err)
		}
		directory.losePower(nil)
		state, err := open().Open()
		if err != nil {
			t.Fatal(err)
		}
		if len(state.Entries) != 1 || state.Entries[0].GetIndex() != 2 {
			t.Errorf("entries after the power loss: %v, want the entry with index 2", state.Entries)
		}
	})
}

// Guards against a leader that sends entries of a term that is not durable at it: if
// its disk is full, it would lead in the same term once more with other entries. Only
// a leader that is the only voter is elected before its term is durable.
func TestOnlyVoterSendsNothingBeforeItsTermIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7, 1)
		defer c.stop()
		c.setOnSend(checkDurability)
		leader := c.waitForLeader()
		learner := &node{cluster: c, name: "b", address: "b0", directory: newMemoryDirectory()}
		c.mu.Lock()
		c.nodes = append(c.nodes, learner)
		c.mu.Unlock()
		learner.start()
		c.setSendLoss(learner, true) // it remains a learner
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = leader.replica.AdmitVoter(ctx, &encoder.Member{Id: learner.replica.Status().ID, Name: "b", Address: "b0"}, 0) // ends with ctx
		if members := leader.replica.Status().Members; len(members) != 2 || members[1].Voter {
			t.Fatalf("members: %+v", members)
		}
		leader.kill()
		leader.start()
		c.waitForLeader(leader)
	})
}
