package admitter

import (
	"container/list"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock/internal/watcher"
)

// Errors of AcquireSlot. All of them mean that nothing has been sent to an
// upstream.
var (
	// ErrNoUpstream reports that the pool does not exist or has no upstream.
	ErrNoUpstream = eris.New("admitter: the pool does not exist or has no upstream")
	// ErrQueueFull reports that MaxQueue requests already wait for the pool.
	ErrQueueFull = eris.New("admitter: the queue of the pool is full")
	// ErrOverloaded reports that the expected wait is above MaxExpectedWait or
	// ends after the request's deadline.
	ErrOverloaded = eris.New("admitter: the pool is overloaded")
	// ErrTooLate reports that the request got no slot within its deadline or
	// MaxQueueWait, or that the upstream with the next free slot is not
	// expected to respond before the deadline.
	ErrTooLate = eris.New("admitter: no slot is free within the deadline")
)

// Admitter assigns slots to requests. Its fields are set before use and are not
// changed afterwards. It is safe for concurrent use.
type Admitter struct {
	// MaxQueue bounds the requests that wait for one pool. Zero means 1024.
	MaxQueue int
	// MaxExpectedWait bounds the expected wait of a request on arrival; a
	// request with a longer expected wait is rejected at once. Zero means
	// 100 ms; a negative value means no bound.
	MaxExpectedWait time.Duration
	// MaxQueueWait bounds the actual wait of a request, which can exceed the
	// expected wait while slots are reassigned to other gateways. Pauses of this
	// process hardly count. Zero means 1 s; a negative value means that only the
	// request's deadline applies.
	MaxQueueWait time.Duration
	// Rand is used to choose among upstreams. Nil means a randomly seeded
	// generator. It is only used while the Admitter's lock is held.
	Rand *rand.Rand

	mu            sync.Mutex
	upstreams     map[string]*upstream
	pools         map[string]*pool
	grantsVersion uint64 // version of the grant table that is applied
}

// upstream is this gateway's use of one endpoint.
type upstream struct {
	address  string
	slots    int
	inFlight int
	usable   bool // may get requests
	health   health
	pools    []*pool
}

// pool holds the upstreams of one pool and the queue of requests for them.
type pool struct {
	name      string
	upstreams []*upstream
	queue     list.List // of *waiter
	inFlight  int
}

// waiter is a queued request.
type waiter struct {
	exclude  string
	deadline time.Time  // zero if there is none
	slot     chan *Slot // capacity 1; receives nil if the request would miss its deadline
}

// Slot is the right to send one request to one upstream. Release must be called
// exactly once.
type Slot struct {
	// Address is the upstream's address.
	Address string
	// Latency is the exponential moving average of the time for which requests
	// to the upstream hold a slot, zero if unknown.
	Latency time.Duration

	admitter   *Admitter
	upstream   *upstream
	pool       *pool
	acquiredAt time.Time
	probe      bool
}

const (
	defaultMaxQueue        = 1024
	defaultMaxExpectedWait = 100 * time.Millisecond
	defaultMaxQueueWait    = time.Second
	// queueWaitSteps is the number of steps in which MaxQueueWait is counted. A
	// pause of this process delays one step, however long it is.
	queueWaitSteps = 10
)

// ApplyCatalog applies a new catalog and assigns free slots to queued requests.
func (a *Admitter) ApplyCatalog(c *watcher.Catalog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstreams == nil {
		a.upstreams = map[string]*upstream{}
		a.pools = map[string]*pool{}
	}
	a.grantsVersion = c.GrantsVersion
	a.updateUpstreams(c)
	a.updatePools(c)
	for _, p := range a.pools {
		a.dispatchQueue(p)
	}
}

// updateUpstreams applies the slots of the catalog. An upstream that left the
// catalog is kept without slots until its requests have ended. The caller holds
// a.mu.
func (a *Admitter) updateUpstreams(c *watcher.Catalog) {
	for address, u := range a.upstreams {
		u.usable, u.pools = false, nil
		if c.Upstreams[address] == nil {
			u.slots = 0
			if u.inFlight == 0 {
				delete(a.upstreams, address)
			}
		}
	}
	for address, view := range c.Upstreams {
		u := a.upstreams[address]
		if u == nil {
			u = &upstream{address: address}
			a.upstreams[address] = u
		}
		u.slots, u.usable = view.Slots, view.Usable
	}
}

// updatePools applies the pools of the catalog. A pool that left the catalog is
// kept until no request waits for it or holds one of its slots. The caller
// holds a.mu.
func (a *Admitter) updatePools(c *watcher.Catalog) {
	for name, p := range a.pools {
		p.upstreams = nil
		if c.Pools[name] == nil && p.queue.Len() == 0 && p.inFlight == 0 {
			delete(a.pools, name)
		}
	}
	for name, view := range c.Pools {
		p := a.pools[name]
		if p == nil {
			p = &pool{name: name}
			a.pools[name] = p
		}
		for _, member := range view.Upstreams {
			u := a.upstreams[member.Address]
			p.upstreams = append(p.upstreams, u)
			u.pools = append(u.pools, p)
		}
	}
}

// AcquireSlot returns a slot of the pool and waits for one until ctx is done. An
// upstream whose address is exclude is used only if every other upstream is
// ejected or has no free slot. It fails with ErrNoUpstream, ErrQueueFull,
// ErrOverloaded, ErrTooLate or the context's error.
func (a *Admitter) AcquireSlot(ctx context.Context, poolName, exclude string) (*Slot, error) {
	slot, w, p, err := a.acquireOrEnqueue(ctx, poolName, exclude)
	if slot != nil || err != nil {
		return slot, err
	}
	var steps <-chan time.Time // nil if only ctx limits the wait
	if wait := a.maxQueueWait(); wait > 0 {
		ticker := time.NewTicker(max(1, wait/queueWaitSteps))
		defer ticker.Stop()
		steps = ticker.C
	}
	for step := 0; step < queueWaitSteps; {
		select {
		case slot := <-w.slot:
			if slot == nil {
				return nil, ErrTooLate
			}
			return slot, nil
		case <-ctx.Done():
			a.cancelWait(p, w)
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil, ErrTooLate
			}
			return nil, ctx.Err()
		case <-steps:
			step++
		}
	}
	a.cancelWait(p, w)
	return nil, ErrTooLate
}

// acquireOrEnqueue takes a free slot, or adds the request to the queue and
// returns its waiter and pool.
func (a *Admitter) acquireOrEnqueue(ctx context.Context, poolName, exclude string) (*Slot, *waiter, *pool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[poolName]
	if p == nil || len(p.upstreams) == 0 {
		return nil, nil, nil, ErrNoUpstream
	}
	now := time.Now()
	if p.queue.Len() == 0 {
		if u, probe := a.chooseUpstream(p, exclude, now); u != nil {
			return a.takeSlot(p, u, probe, now), nil, nil, nil
		}
	}
	if p.queue.Len() >= a.maxQueue() {
		return nil, nil, nil, ErrQueueFull
	}
	w := &waiter{exclude: exclude, slot: make(chan *Slot, 1)}
	w.deadline, _ = ctx.Deadline() // zero without a deadline
	if a.isWaitTooLong(p.expectedWait(), now, w.deadline) {
		return nil, nil, nil, ErrOverloaded
	}
	p.queue.PushBack(w)
	return nil, w, p, nil
}

func (a *Admitter) maxQueue() int {
	if a.MaxQueue == 0 {
		return defaultMaxQueue
	}
	return a.MaxQueue
}

func (a *Admitter) maxQueueWait() time.Duration {
	if a.MaxQueueWait == 0 {
		return defaultMaxQueueWait
	}
	return a.MaxQueueWait
}

func (a *Admitter) maxExpectedWait() time.Duration {
	if a.MaxExpectedWait == 0 {
		return defaultMaxExpectedWait
	}
	return a.MaxExpectedWait
}

// cancelWait removes w from the queue. A slot that was assigned in the meantime
// is released unused.
func (a *Admitter) cancelWait(p *pool, w *waiter) {
	a.mu.Lock()
	for e := p.queue.Front(); e != nil; e = e.Next() {
		if e.Value == w {
			p.queue.Remove(e)
			break
		}
	}
	a.mu.Unlock()
	select {
	case slot := <-w.slot:
		if slot != nil {
			slot.Release(ResultNone)
		}
	default:
	}
}

// takeSlot marks a slot of u as used. The caller holds a.mu.
func (a *Admitter) takeSlot(p *pool, u *upstream, probe bool, now time.Time) *Slot {
	u.inFlight++
	p.inFlight++
	if probe {
		u.health.probing = true
	}
	return &Slot{Address: u.address, Latency: u.health.latency, admitter: a, upstream: u, pool: p, acquiredAt: now, probe: probe}
}

// dispatchQueue assigns free slots to the queued requests of p in arrival
// order. The caller holds a.mu.
func (a *Admitter) dispatchQueue(p *pool) {
	now := time.Now()
	for p.queue.Len() > 0 {
		front := p.queue.Front()
		w, _ := front.Value.(*waiter)
		u, probe := a.chooseUpstream(p, w.exclude, now)
		if u == nil {
			return
		}
		p.queue.Remove(front)
		if w.missesDeadline(u, now) {
			w.slot <- nil
			continue
		}
		w.slot <- a.takeSlot(p, u, probe, now)
	}
}

// Release returns the slot and records the result of the request.
func (s *Slot) Release(result Result) {
	a := s.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	s.upstream.health.recordResult(result, now, now.Sub(s.acquiredAt), s.upstream.inFlight, s.probe)
	s.upstream.inFlight--
	s.pool.inFlight--
	if s.upstream.inFlight >= s.upstream.slots {
		return
	}
	for _, p := range s.upstream.pools {
		a.dispatchQueue(p)
	}
}
