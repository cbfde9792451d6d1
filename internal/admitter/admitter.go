package admitter

import (
	"container/list"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock/internal/watcher"
)

// Errors of the package. After each of them nothing was sent to an upstream.
var (
	// ErrNoUpstream reports that the pool has no upstream that may get requests.
	ErrNoUpstream = eris.New("admitter: the pool has no usable upstream")
	// ErrQueueFull reports that too many requests wait for the pool.
	ErrQueueFull = eris.New("admitter: the queue of the pool is full")
	// ErrOverloaded reports that the wait to expect is too long.
	ErrOverloaded = eris.New("admitter: the pool is overloaded")
	// ErrTooLate reports that the request cannot get a slot within its deadline.
	ErrTooLate = eris.New("admitter: no slot is free within the deadline")
)

// Admitter hands out slots. Its fields are set before use and not changed
// after. It is safe for concurrent use.
type Admitter struct {
	// MaxQueue is the most requests that may wait for one pool. Zero: 1024.
	MaxQueue int
	// MaxExpectedWait bounds the wait that a request may expect when it comes;
	// if it is longer, the request is refused at once. Zero: 100 ms. Negative:
	// no bound.
	MaxExpectedWait time.Duration
	// MaxQueueWait bounds the time that a request does wait, which can be longer
	// than expected while slots move between gateways. Zero: 1 s. Negative: the
	// request's deadline alone.
	MaxQueueWait time.Duration
	// Rand chooses among upstreams. Nil: seeded at random.
	Rand *rand.Rand

	mu        sync.Mutex
	upstreams map[string]*upstream
	pools     map[string]*pool
	version   uint64 // of the grants in force
}

// upstream is the use of one endpoint by this gateway.
type upstream struct {
	address  string
	slots    int
	inFlight int
	usable   bool
	health   health
	pools    []*pool
}

// pool is the queue and the members of one pool.
type pool struct {
	name     string
	members  []*upstream
	waiting  list.List // of *waiter
	inFlight int
}

type waiter struct {
	exclude  string
	deadline time.Time  // zero: none
	slot     chan *Slot // has room for one; nil means that it is too late
}

// Slot is the right to send one request to one upstream. Release must be called
// once.
type Slot struct {
	// Address is the upstream's address.
	Address string
	// Latency is the upstream's smoothed time to an answer, zero if unknown.
	Latency time.Duration

	a       *Admitter
	u       *upstream
	p       *pool
	started time.Time
	probe   bool
}

const (
	defaultMaxQueue        = 1024
	defaultMaxExpectedWait = 100 * time.Millisecond
	defaultMaxQueueWait    = time.Second
)

// Update puts a new catalog in force.
func (a *Admitter) Update(c *watcher.Catalog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstreams == nil {
		a.upstreams = map[string]*upstream{}
		a.pools = map[string]*pool{}
	}
	a.version = c.GrantsVersion
	a.updateUpstreams(c)
	a.updatePools(c)
	for _, p := range a.pools {
		a.serveQueue(p)
	}
}

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
	for address, v := range c.Upstreams {
		u := a.upstreams[address]
		if u == nil {
			u = &upstream{address: address}
			a.upstreams[address] = u
		}
		u.slots, u.usable = v.Slots, v.Usable
	}
}

func (a *Admitter) updatePools(c *watcher.Catalog) {
	for name, p := range a.pools {
		p.members = nil
		if c.Pools[name] == nil && p.waiting.Len() == 0 && p.inFlight == 0 {
			delete(a.pools, name)
		}
	}
	for name, v := range c.Pools {
		p := a.pools[name]
		if p == nil {
			p = &pool{name: name}
			a.pools[name] = p
		}
		for _, m := range v.Upstreams {
			u := a.upstreams[m.Address]
			p.members = append(p.members, u)
			u.pools = append(u.pools, p)
		}
	}
}

// Acquire returns a slot of the pool, waiting for one until ctx ends. An
// upstream whose address is exclude is used only if there is no other. It fails
// with ErrNoUpstream, ErrQueueFull, ErrOverloaded, ErrTooLate or the context's
// error.
func (a *Admitter) Acquire(ctx context.Context, poolName, exclude string) (*Slot, error) {
	slot, w, p, err := a.enter(ctx, poolName, exclude)
	if slot != nil || err != nil {
		return slot, err
	}
	if wait := a.maxQueueWait(); wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	select {
	case slot := <-w.slot:
		if slot == nil {
			return nil, ErrTooLate
		}
		return slot, nil
	case <-ctx.Done():
		return nil, a.leave(ctx, p, w)
	}
}

// enter takes a slot at once or joins the queue.
func (a *Admitter) enter(ctx context.Context, poolName, exclude string) (*Slot, *waiter, *pool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[poolName]
	if p == nil || len(p.members) == 0 {
		return nil, nil, nil, ErrNoUpstream
	}
	now := time.Now()
	if p.waiting.Len() == 0 {
		if u, probe := a.choose(p, exclude, now); u != nil {
			return a.take(p, u, probe, now), nil, nil, nil
		}
	}
	if p.waiting.Len() >= a.maxQueue() {
		return nil, nil, nil, ErrQueueFull
	}
	w := &waiter{exclude: exclude, slot: make(chan *Slot, 1)}
	w.deadline, _ = ctx.Deadline()
	if a.isTooLong(p.expectedWait(), now, w.deadline) {
		return nil, nil, nil, ErrOverloaded
	}
	p.waiting.PushBack(w)
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

// leave takes w out of the queue. A slot that was handed over meanwhile goes
// back unused.
func (a *Admitter) leave(ctx context.Context, p *pool, w *waiter) error {
	a.mu.Lock()
	for e := p.waiting.Front(); e != nil; e = e.Next() {
		if e.Value == w {
			p.waiting.Remove(e)
			break
		}
	}
	a.mu.Unlock()
	select {
	case slot := <-w.slot:
		if slot != nil {
			slot.Release(ResultUnused)
		}
	default:
	}
	if ctx.Err() == context.DeadlineExceeded {
		return ErrTooLate
	}
	return ctx.Err()
}

// take books a slot. The caller holds a.mu.
func (a *Admitter) take(p *pool, u *upstream, probe bool, now time.Time) *Slot {
	u.inFlight++
	p.inFlight++
	if probe {
		u.health.probing = true
	}
	return &Slot{Address: u.address, Latency: u.health.latency, a: a, u: u, p: p, started: now, probe: probe}
}

// serveQueue hands free slots to the waiting requests of p, in their order. The
// caller holds a.mu.
func (a *Admitter) serveQueue(p *pool) {
	now := time.Now()
	for p.waiting.Len() > 0 {
		front := p.waiting.Front()
		w, _ := front.Value.(*waiter)
		u, probe := a.choose(p, w.exclude, now)
		if u == nil {
			return
		}
		p.waiting.Remove(front)
		if w.isTooLate(u, now) {
			w.slot <- nil
			continue
		}
		w.slot <- a.take(p, u, probe, now)
	}
}

// Release gives the slot back and tells how the request went.
func (s *Slot) Release(result Result) {
	a := s.a
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	s.u.inFlight--
	s.p.inFlight--
	s.u.health.record(result, now, now.Sub(s.started), s.probe)
	if s.u.inFlight >= s.u.slots {
		return
	}
	for _, p := range s.u.pools {
		a.serveQueue(p)
	}
}

// smoothing is the weight of the newest value in a smoothed one.
const smoothing = 0.1

func smooth(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(smoothing*float64(value-old))
}
