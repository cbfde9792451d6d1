package replicator_test

import (
	"context"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
	"github.com/carobrock/carobrock/internal/keeper"
	"github.com/carobrock/carobrock/internal/replicator"
)

// memoryFolder is a data folder of which only what was synced outlives a crash.
type memoryFolder struct {
	mu      sync.Mutex
	durable map[string][]byte
	log     *memoryFile
	failing error // what every sync fails with
}

type memoryFile struct {
	folder *memoryFolder
	name   string
	buf    []byte
	closed bool
}

func newMemoryFolder() *memoryFolder { return &memoryFolder{durable: map[string][]byte{}} }

func (m *memoryFolder) Lock() error  { return nil }
func (m *memoryFolder) Close() error { return nil }

func (m *memoryFolder) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.durable[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(data), nil
}

func (m *memoryFolder) WriteFile(name string, data []byte) error {
	time.Sleep(syncTime)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durable[name] = slices.Clone(data)
	return m.failing
}

func (m *memoryFolder) OpenAppend(name string, size int64) (journaler.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durable[name] = m.durable[name][:size]
	m.log = &memoryFile{folder: m, name: name, buf: slices.Clone(m.durable[name])}
	return m.log, nil
}

// syncTime is how long a sync takes, in virtual time.
const syncTime = time.Millisecond

func (f *memoryFile) Write(p []byte) (int, error) {
	f.buf = append(f.buf, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	time.Sleep(syncTime)
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.closed || f.folder.failing != nil {
		return fs.ErrClosed
	}
	f.folder.durable[f.name] = slices.Clone(f.buf)
	return nil
}

func (f *memoryFile) Close() error { return nil }

// crash loses what was not synced and keeps a sync under way from landing.
func (m *memoryFolder) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.log != nil {
		m.log.closed = true
	}
}

// cluster is a control group in one synctest bubble, over links that can be cut.
type cluster struct {
	t     *testing.T
	rand  *rand.Rand
	mu    sync.Mutex
	nodes []*node
	cut   map[[2]string]bool // links by the addresses of their ends
	loss  float64            // share of messages lost
	group *conc.WaitGroup
}

// node is one replica with its disk.
type node struct {
	c       *cluster
	name    string
	address string
	folder  *memoryFolder
	initial []*encoder.Member
	// incarnation is what a new folder draws; zero: random.
	incarnation uint64
	// uptime is the replica's clock that counts suspension; nil: none.
	uptime func() time.Duration

	replica *replicator.Replica
	keeper  *keeper.Keeper
	cancel  context.CancelFunc
	done    chan struct{}
	frozen  chan struct{} // closed when the node is thawed; nil if it is not frozen
}

const (
	electionTimeout = 600 * time.Millisecond
	linkDelay       = 1500 * time.Microsecond
)

// newCluster starts n replicas. The caller stops them with stop.
func newCluster(t *testing.T, seed uint64, n int) *cluster {
	c := &cluster{t: t, rand: rand.New(rand.NewPCG(seed, seed)), cut: map[[2]string]bool{}, group: conc.NewWaitGroup()}
	var initial []*encoder.Member
	for i := range n {
		name := string(rune('a' + i))
		initial = append(initial, &encoder.Member{Name: name, Address: name + "0"})
	}
	for _, m := range initial {
		nd := &node{c: c, name: m.GetName(), address: m.GetAddress(), folder: newMemoryFolder(), initial: initial}
		c.nodes = append(c.nodes, nd)
	}
	for _, nd := range c.nodes {
		nd.start()
	}
	return c
}

// stop ends all replicas and waits for them.
func (c *cluster) stop() {
	for _, nd := range c.nodes {
		nd.thaw()
		nd.kill()
	}
	c.group.Wait()
	time.Sleep(time.Second) // messages on their way
}

// start starts the replica from its folder. It reports whether the folder could
// be opened.
func (nd *node) start() bool {
	nd.c.t.Helper()
	k := &keeper.Keeper{}
	k.Prepare()
	nd.c.mu.Lock()
	seed := nd.c.rand.Uint64()
	incarnation := nd.incarnation
	if incarnation == 0 {
		incarnation = nd.c.rand.Uint64() | 1
	}
	nd.c.mu.Unlock()
	r := &replicator.Replica{
		Name: nd.name, Address: nd.address, Initial: nd.initial, Machine: k, Link: (*link)(nd),
		Journal:         &journaler.Journal{Folder: nd.folder, Name: nd.name, NewIncarnation: func() uint64 { return incarnation }},
		ElectionTimeout: electionTimeout, SnapshotEvery: 50, TrailingEntries: 20, Rand: rand.New(rand.NewPCG(seed, 1)), Uptime: nd.uptime, Logger: zerolog.Nop(),
	}
	if err := r.Prepare(); err != nil {
		nd.c.t.Errorf("replica %s does not start: %v", nd.name, err)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	nd.c.mu.Lock()
	nd.replica, nd.keeper, nd.cancel, nd.done = r, k, cancel, done
	nd.c.mu.Unlock()
	nd.c.group.Go(func() {
		defer close(done)
		_ = r.Run(ctx)
	})
	return true
}

// kill ends the replica at once; what it had not synced is lost.
func (nd *node) kill() {
	if nd.cancel == nil {
		return
	}
	nd.folder.crash()
	nd.cancel()
	<-nd.done
	nd.c.mu.Lock()
	defer nd.c.mu.Unlock()
	nd.cancel = nil
}

// wipe kills the replica and loses its disk.
func (nd *node) wipe() {
	nd.kill()
	nd.folder = newMemoryFolder()
}

// freeze stops the replica at its next message, until thaw.
func (nd *node) freeze() {
	nd.c.mu.Lock()
	defer nd.c.mu.Unlock()
	if nd.frozen == nil {
		nd.frozen = make(chan struct{})
	}
}

func (nd *node) thaw() {
	nd.c.mu.Lock()
	defer nd.c.mu.Unlock()
	if nd.frozen != nil {
		close(nd.frozen)
		nd.frozen = nil
	}
}

// isolate cuts or mends all links of a node.
func (c *cluster) isolate(nd *node, cut bool) {
	for _, other := range c.nodes {
		if other != nd {
			c.setLink(nd, other, cut)
		}
	}
}

func (c *cluster) setLink(a, b *node, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]string{a.address, b.address}] = cut
	c.cut[[2]string{b.address, a.address}] = cut
}

// mute loses or passes what a node sends; it still receives.
func (c *cluster) mute(nd *node, lose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.nodes {
		c.cut[[2]string{nd.address, other.address}] = lose
	}
}

// setLoss sets the share of messages that are lost.
func (c *cluster) setLoss(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = share
}

// link is a node's way to the others.
type link node

// Send implements carobrock.Link.
func (l *link) Send(address string, m *encoder.Message) {
	nd := (*node)(l)
	c := nd.c
	c.mu.Lock()
	frozen := nd.frozen
	c.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	c.mu.Lock()
	lost := c.cut[[2]string{nd.address, address}] || c.rand.Float64() < c.loss
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
		to.Receive(m)
	}
}

// others returns the nodes but one.
func (c *cluster) others(but *node) []*node {
	var out []*node
	for _, nd := range c.nodes {
		if nd != but {
			out = append(out, nd)
		}
	}
	return out
}

// parts returns the replica and its state machine, which belong together.
func (nd *node) parts() (*replicator.Replica, *keeper.Keeper) {
	nd.c.mu.Lock()
	defer nd.c.mu.Unlock()
	return nd.replica, nd.keeper
}

// running returns the nodes whose replica runs.
func (c *cluster) running() []*node {
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

// leader waits for a replica that holds the lease, at most a virtual minute.
func (c *cluster) leader(among ...*node) *node {
	c.t.Helper()
	for range 6000 {
		for _, nd := range c.running() {
			if r, _ := nd.parts(); r.LeaseLeft() > 0 && (len(among) == 0 || slices.Contains(among, nd)) {
				return nd
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no leader within a minute")
	return nil
}
