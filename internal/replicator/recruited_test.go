package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/recruiter"
	"github.com/carobrock/carobrock/internal/replicator"
)

// catchUpTime is the time after the return of a replica within which it takes part
// again, and after which the next disks may be lost.
const catchUpTime = 4 * time.Second

// newRecruiter returns a recruiter for r, nil if the cluster has none.
func (nd *node) newRecruiter(r *replicator.Replica) *recruiter.Recruiter {
	if nd.cluster.voters == 0 {
		return nil
	}
	l := &locator.Locator{RPCClient: (*rpcClient)(nd), Logger: zerolog.Nop()}
	seeds := nd.seeds
	if seeds == nil {
		for _, seed := range nd.cluster.nodes[:3] {
			seeds = append(seeds, seed.address)
		}
	}
	l.SetSeeds(seeds)
	return &recruiter.Recruiter{
		Group: r, Locator: l, Address: nd.address, AvailabilityZone: nd.availabilityZone, Voters: nd.cluster.voters, Logger: zerolog.Nop(),
	}
}

// rpcClient sends a node's calls to the other nodes.
type rpcClient node

var errConnectionRefused = errors.New("connection refused")

type rpcResult struct {
	body []byte
	err  error
}

// Call implements carobrock.RPCClient. A call over a cut link gets no response.
func (l *rpcClient) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	nd := (*node)(l)
	if err := nd.passLink(ctx, nd.address, address); err != nil {
		return nil, err
	}
	handler := nd.cluster.handlersAt(address)[method]
	if handler == nil {
		return nil, errConnectionRefused
	}
	result := make(chan rpcResult, 1)
	nd.cluster.goroutines.Go(func() {
		response, err := handler(ctx, body)
		result <- rpcResult{response, err}
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-result:
		if err := nd.passLink(ctx, address, nd.address); err != nil {
			return nil, err
		}
		return r.body, r.err
	}
}

// passLink takes the time of a message between two addresses. Over a cut link it
// returns when ctx ends.
func (nd *node) passLink(ctx context.Context, from, to string) error {
	time.Sleep(linkDelay)
	nd.cluster.mu.Lock()
	cut := nd.cluster.cutLinks[[2]string{from, to}]
	nd.cluster.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return ctx.Err()
}

// handlersAt returns the handlers of the running process with the given address,
// nil if there is none.
func (c *cluster) handlersAt(address string) map[string]messenger.Handler {
	if relay := c.relays[address]; relay != nil {
		handlers := locator.NotLeaderHandlers(relay)
		handlers[recruiter.MethodAnnounce] = recruiter.AnnounceHandler(relay)
		return handlers
	}
	for _, nd := range c.runningNodes() {
		if nd.address == address {
			return nd.recruiter.Handlers()
		}
	}
	return nil
}

// newRecruitedCluster starts voters+1 replicas with recruiters and waits until the
// first ones are voters.
func newRecruitedCluster(t *testing.T, seed uint64, voters int) *cluster {
	c := &cluster{
		t: t, rand: rand.New(rand.NewPCG(seed, seed)), cutLinks: map[[2]string]bool{}, goroutines: conc.NewWaitGroup(), voters: voters,
		relays: map[string]*locator.Locator{"relay": {Logger: zerolog.Nop()}},
	}
	var initial []*encoder.Member
	for i := range voters + 1 {
		name := string(rune('a' + i))
		c.nodes = append(c.nodes, &node{cluster: c, name: name, address: name + "0", directory: newMemoryDirectory(), availabilityZone: "az" + name})
		initial = append(initial, &encoder.Member{Name: name, Address: name + "0"})
	}
	for i, nd := range c.nodes {
		if i < voters {
			nd.initial = initial[:voters]
		}
		nd.start()
	}
	commitRoute(t, c, 0)
	for _, nd := range c.nodes {
		nd.initial = nil
	}
	return c
}

// isVoter reports whether the leader has a node's current replica as a voter.
func (c *cluster) isVoter(nd *node) bool {
	for _, m := range c.waitForLeader().replica.Status().Members {
		if m.ID == nd.replica.Status().ID {
			return m.Voter
		}
	}
	return false
}

// Guards against wiped replicas and restarted processes that find no leader because
// the only seed that kept its data was replaced while it was unreachable.
func TestReplicaReplacedWhileUnreachableNamesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecruitedCluster(t, 1, 3)
		defer c.stop()
		replaced := c.nodes[0]
		c.setIsolated(replaced, true)
		if err := waitFor(func() bool { return c.isVoter(c.nodes[3]) }); err != nil {
			t.Fatal(err)
		}
		c.setIsolated(replaced, false)
		time.Sleep(catchUpTime)
		if got, want := replaced.recruiter.LeaderAddress(), c.waitForLeader().address; got != want {
			t.Errorf("the replaced replica names the leader %q, want %q", got, want)
		}
	})
}

// Guards against processes that find no leader because none of their seeds is a
// member.
func TestProcessesWithoutMembersAmongTheirSeedsFindTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecruitedCluster(t, 2, 3)
		defer c.stop()
		var wiped *node
		for _, nd := range c.nodesExcept(c.waitForLeader())[:2] {
			nd.kill()
			nd.seeds = []string{"relay"}
			nd.start()
			wiped = nd
		}
		c.waitForLeader(c.nodesExcept(wiped)...)
		wiped.wipeDisk()
		wiped.start()
		time.Sleep(catchUpTime)
		if got, want := wiped.recruiter.LeaderAddress(), c.waitForLeader().address; got != want {
			t.Errorf("the wiped replica knows the leader %q, want %q", got, want)
		}
		for _, nd := range c.nodes {
			nd.kill()
			nd.seeds = []string{"relay"}
			nd.start()
		}
		c.waitForLeader()
		time.Sleep(catchUpTime)
		if got, want := c.relays["relay"].Leader(), c.waitForLeader().address; got != want {
			t.Errorf("the process without a replica knows the leader %q, want %q", got, want)
		}
	})
}

// Guards against an admission that waits for a replica which lost its disk or its
// power meanwhile, and blocks all others.
func TestAdmissionOfALostReplicaBlocksNoOther(t *testing.T) {
	for _, test := range []struct {
		name    string
		returns bool // the replica comes back with an empty disk
		within  time.Duration
	}{
		{name: "comes back", returns: true, within: catchUpTime},
		{name: "stays away", within: catchUpTime + recruiter.DefaultSilentAfter},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRecruitedCluster(t, 3, 3)
				defer c.stop()
				spare := c.nodes[3]
				spare.kill()
				leader := c.waitForLeader()
				lost := c.nodesExcept(leader)[0]
				lost.wipeDisk()
				lost.start()
				id := lost.replica.Status().ID
				for !slices.ContainsFunc(leader.replica.Status().Members, func(m carobrock.MemberStatus) bool { return m.ID == id }) {
					time.Sleep(100 * time.Microsecond)
				}
				lost.wipeDisk()
				next := spare
				if test.returns {
					next = lost
				}
				next.start()
				time.Sleep(test.within)
				if !c.isVoter(next) {
					t.Errorf("replica %s is no voter %v after its start", next.name, test.within)
				}
			})
		})
	}
}

// Guards against a voter with a full disk that stays a voter although a spare can take
// its place, against the removal of more voters than the group bears, and against a
// replica that does not take part again when it has space.
func TestVoterWithFullDiskIsReplaced(t *testing.T) {
	for _, leaderIsFull := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader=%v", leaderIsFull), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRecruitedCluster(t, 8, 3)
				defer c.stop()
				full, spare := c.waitForLeader(), c.nodes[3]
				if !leaderIsFull {
					full = c.nodesExcept(full)[0]
				}
				full.directory.setFree(10, false)
				commitRoute(t, c, 1)
				time.Sleep(recruiter.DefaultSilentAfter + catchUpTime)
				mustHaveVoters(t, c, c.nodesExcept(full))
				// The replica with the full disk is no voter, so another may fail.
				next := c.nodesExcept(full)[0]
				next.directory.setFree(10, false)
				route := commitRoute(t, c, 2)
				time.Sleep(recruiter.DefaultSilentAfter + catchUpTime)
				mustHaveVoters(t, c, c.nodesExcept(full)) // no spare has space
				full.directory.setFree(-1, false)
				time.Sleep(recruiter.DefaultSilentAfter + catchUpTime)
				mustHaveVoters(t, c, c.nodesExcept(next))
				mustTakePart(t, full, route)
				if isDiskFull(spare) {
					t.Error("the disk of the spare is not full")
				}
			})
		})
	}
}

// mustHaveVoters fails the test unless exactly the given nodes are voters and there are
// no other members.
func mustHaveVoters(t *testing.T, c *cluster, want []*node) {
	t.Helper()
	if n := len(c.waitForLeader().replica.Status().Members); n != len(want) {
		t.Errorf("%d members, want %d", n, len(want))
	}
	for _, nd := range c.nodes {
		if got := c.isVoter(nd); got != slices.Contains(want, nd) {
			t.Errorf("replica %s is a voter: %v, want %v", nd.name, got, !got)
		}
	}
}

// Guards against the removal of voters while a majority of them has no space, and
// against a replica that was full at its first start and joins under an ID of its own
// making.
func TestNoVoterIsRemovedWhileAMajorityIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRecruitedCluster(t, 9, 3)
		defer c.stop()
		spare := c.nodes[3]
		spare.wipeDisk()
		spare.directory.setFree(0, false)
		spare.start()
		for _, nd := range c.nodes[:2] {
			nd.directory.setFree(10, false)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		for ctx.Err() == nil { // fills the disks
			for _, nd := range c.nodes[:3] {
				attempt, cancelAttempt := context.WithTimeout(ctx, time.Second)
				_, _ = proposeTable(attempt, nd.replica, "row1", 1, "row1") // the outcome does not matter
				cancelAttempt()
				time.Sleep(20 * time.Millisecond)
			}
			for _, nd := range c.nodes[2:] {
				for _, m := range nd.replica.Status().Members {
					if m.ID == spare.replica.Status().ID {
						t.Fatalf("replica %s has a member that never had an identity", nd.name)
					}
				}
			}
			if s := c.nodes[2].replica.Status(); len(s.Members) != 3 {
				t.Fatalf("members: %+v", s.Members)
			}
		}
		for _, nd := range c.nodes {
			nd.directory.setFree(-1, false)
		}
		time.Sleep(catchUpTime)
		mustHaveVoters(t, c, c.nodes[:3])
		c.setIsolated(c.nodes[1], true)
		time.Sleep(recruiter.DefaultSilentAfter + catchUpTime)
		mustHaveVoters(t, c, c.nodesExcept(c.nodes[1]))
	})
}
