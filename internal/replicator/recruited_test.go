package replicator_test

import (
	"context"
	"errors"
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
