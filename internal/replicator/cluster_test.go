package replicator_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
	"github.com/carobrock/carobrock/internal/keeper"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/recruiter"
	"github.com/carobrock/carobrock/internal/replicator"
)

// cluster is a control group in one synctest bubble whose links can be cut.
type cluster struct {
	t          *testing.T
	rand       *rand.Rand
	mu         sync.Mutex
	nodes      []*node
	cutLinks   map[[2]string]bool // by the addresses of sender and receiver
	lossRate   float64            // fraction of messages lost
	goroutines *conc.WaitGroup
	// voters is the target number of voters of the recruiters. Zero: the nodes run
	// no recruiter.
	voters int
	// relays holds the locators of the processes without a replica, by address.
	relays map[string]*locator.Locator
	// onSend is called for each message before it is sent. Nil: none.
	onSend func(nd *node, m *encoder.Message)
}

// node is one replica with its disk.
type node struct {
	cluster   *cluster
	name      string
	address   string
	directory *memoryDirectory
	initial   []*encoder.Member
	// incarnation is the incarnation for a new data directory. Zero: random.
	incarnation uint64
	// uptime is the replica's Uptime function. Nil: none.
	uptime func() time.Duration
	// availabilityZone is where the node runs, known to its recruiter.
	availabilityZone string
	// seeds are the seeds of the recruiter. Nil: the first three nodes.
	seeds []string
	// logger receives the log lines of the replica. The zero value drops them.
	logger zerolog.Logger
	// diskBytes is the space that the journal knows of. Zero: unknown.
	diskBytes int64
	// onApply is called before each command is applied. Nil: none.
	onApply func()

	replica   *replicator.Replica
	keeper    *keeper.Keeper
	recruiter *recruiter.Recruiter
	cancel    context.CancelFunc
	done      chan struct{}
	paused    chan struct{} // closed when the node is resumed; nil if it is not paused
}

const (
	electionTimeout = 600 * time.Millisecond
	linkDelay       = 1500 * time.Microsecond
)

// newCluster starts n replicas. The caller must stop them with stop.
func newCluster(t *testing.T, seed uint64, n int) *cluster {
	c := &cluster{t: t, rand: rand.New(rand.NewPCG(seed, seed)), cutLinks: map[[2]string]bool{}, goroutines: conc.NewWaitGroup()}
	var initial []*encoder.Member
	for i := range n {
		name := string(rune('a' + i))
		initial = append(initial, &encoder.Member{Name: name, Address: name + "0"})
	}
	for _, m := range initial {
		nd := &node{cluster: c, name: m.GetName(), address: m.GetAddress(), directory: newMemoryDirectory(), initial: initial}
		c.nodes = append(c.nodes, nd)
	}
	for _, nd := range c.nodes {
		nd.start()
	}
	return c
}

// stop ends all replicas and waits for their goroutines.
func (c *cluster) stop() {
	for _, nd := range c.nodes {
		nd.resume()
		nd.kill()
	}
	c.goroutines.Wait()
	time.Sleep(time.Second) // lets messages in flight arrive
}

// start starts the replica from its data directory and reports whether the
// directory could be opened.
func (nd *node) start() bool {
	nd.cluster.t.Helper()
	k := &keeper.Keeper{}
	k.Prepare()
	nd.cluster.mu.Lock()
	seed := nd.cluster.rand.Uint64()
	incarnation := nd.incarnation
	if incarnation == 0 {
		incarnation = nd.cluster.rand.Uint64() | 1
	}
	nd.cluster.mu.Unlock()
	r := &replicator.Replica{
		Name: nd.name, Address: nd.address, InitialMembers: nd.initial, StateMachine: &observedStateMachine{k, nd}, Transport: (*transport)(nd),
		Journal:         &journaler.Journal{Directory: nd.directory, Name: nd.name, NewIncarnation: func() uint64 { return incarnation }, DiskBytes: nd.diskBytes},
		ElectionTimeout: electionTimeout, SnapshotEvery: 50, TrailingEntries: 20, Rand: rand.New(rand.NewPCG(seed, 1)), Uptime: nd.uptime, Logger: nd.logger,
	}
	if err := r.Prepare(); err != nil {
		nd.cluster.t.Errorf("starting replica %s: %v", nd.name, err)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	nd.cluster.mu.Lock()
	nd.replica, nd.keeper, nd.cancel, nd.done, nd.recruiter = r, k, cancel, done, nd.newRecruiter(r)
	rec := nd.recruiter
	nd.cluster.mu.Unlock()
	nd.cluster.goroutines.Go(func() {
		defer close(done)
		_ = r.Run(ctx)
	})
	if rec != nil {
		nd.cluster.goroutines.Go(func() { _ = rec.Run(ctx) })
	}
	return true
}

// observedStateMachine is the state machine of a node, which calls its onApply.
type observedStateMachine struct {
	carobrock.StateMachine
	node *node
}

// Apply implements carobrock.StateMachine.
func (m *observedStateMachine) Apply(index uint64, command []byte) any {
	if m.node.onApply != nil {
		m.node.onApply()
	}
	return m.StateMachine.Apply(index, command)
}

// kill ends the replica immediately. Unsynced data is lost.
func (nd *node) kill() {
	if nd.cancel == nil {
		return
	}
	nd.killProcess()
	nd.directory.losePower(nil)
}

// killProcess ends the replica immediately. Its files remain as they are.
func (nd *node) killProcess() {
	if nd.cancel == nil {
		return
	}
	nd.directory.crash()
	nd.cancel()
	<-nd.done
	nd.cluster.mu.Lock()
	defer nd.cluster.mu.Unlock()
	nd.cancel = nil
}

// wipeDisk kills the replica and replaces its disk with an empty one.
func (nd *node) wipeDisk() {
	nd.kill()
	nd.directory = newMemoryDirectory()
}

// pause blocks the replica when it next sends a message, until resume.
func (nd *node) pause() {
	nd.cluster.mu.Lock()
	defer nd.cluster.mu.Unlock()
	if nd.paused == nil {
		nd.paused = make(chan struct{})
	}
}

func (nd *node) resume() {
	nd.cluster.mu.Lock()
	defer nd.cluster.mu.Unlock()
	if nd.paused != nil {
		close(nd.paused)
		nd.paused = nil
	}
}

// setIsolated cuts or restores all links of a node.
func (c *cluster) setIsolated(nd *node, cut bool) {
	for _, other := range c.nodes {
		if other != nd {
			c.setLinkCut(nd, other, cut)
		}
	}
}

func (c *cluster) setLinkCut(a, b *node, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutLinks[[2]string{a.address, b.address}] = cut
	c.cutLinks[[2]string{b.address, a.address}] = cut
}

// setSendLoss drops or passes all messages that a node sends. The node still
// receives messages.
func (c *cluster) setSendLoss(nd *node, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.nodes {
		c.cutLinks[[2]string{nd.address, other.address}] = lost
	}
}

// setLossRate sets the fraction of messages that are lost.
func (c *cluster) setLossRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lossRate = rate
}

// setOnSend sets the function that is called for each message before it is sent.
func (c *cluster) setOnSend(f func(nd *node, m *encoder.Message)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onSend = f
}

// transport sends a node's messages to the other nodes.
type transport node

// Send implements carobrock.Transport.
func (l *transport) Send(address string, m *encoder.Message) {
	nd := (*node)(l)
	c := nd.cluster
	c.mu.Lock()
	paused, onSend := nd.paused, c.onSend
	c.mu.Unlock()
	if onSend != nil {
		onSend(nd, m)
	}
	if paused != nil {
		<-paused
	}
	c.mu.Lock()
	lost := c.cutLinks[[2]string{nd.address, address}] || c.rand.Float64() < c.lossRate
	delay := linkDelay + time.Duration(c.rand.Int64N(int64(linkDelay)))
	c.mu.Unlock()
	if lost {
		return
	}
	time.AfterFunc(delay, func() { c.deliver(address, m) })
}

func (c *cluster) deliver(address string, m *encoder.Message) {
	c.mu.Lock()
	var to *replicator.Replica
	for _, nd := range c.nodes {
		if nd.address == address && nd.cancel != nil {
			to = nd.replica
		}
	}
	c.mu.Unlock()
	if to != nil {
		to.ReceiveMessage(m)
	}
}

// nodesExcept returns all nodes except excluded.
func (c *cluster) nodesExcept(excluded *node) []*node {
	var out []*node
	for _, nd := range c.nodes {
		if nd != excluded {
			out = append(out, nd)
		}
	}
	return out
}

// replicaAndKeeper returns the node's current replica and the state machine of
// that replica.
func (nd *node) replicaAndKeeper() (*replicator.Replica, *keeper.Keeper) {
	nd.cluster.mu.Lock()
	defer nd.cluster.mu.Unlock()
	return nd.replica, nd.keeper
}

// runningNodes returns the nodes whose replica is running.
func (c *cluster) runningNodes() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*node
	for _, nd := range c.nodes {
		if nd.cancel != nil {
			out = append(out, nd)
		}
	}
	return out
}

// waitForLeader waits at most one minute of virtual time for one of the given
// nodes, or any node if none is given, to hold the lease.
func (c *cluster) waitForLeader(allowed ...*node) *node {
	c.t.Helper()
	for range 6000 {
		for _, nd := range c.runningNodes() {
			if r, _ := nd.replicaAndKeeper(); r.RemainingLease() > 0 && (len(allowed) == 0 || slices.Contains(allowed, nd)) {
				return nd
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no leader within a minute")
	return nil
}
