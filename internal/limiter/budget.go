package limiter

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrExhausted reports that a budget has no room. What was asked for has not begun.
var ErrExhausted = eris.New("limiter: the budget is exhausted")

const (
	// minSlowTime is how long a client must have been waited for before it may be
	// evicted. A request of ordinary size arrives within it.
	minSlowTime = 100 * time.Millisecond
	// evictionWait bounds the wait for memory that evicted clients held. It is much
	// shorter than the time for which clients wait for a response.
	evictionWait = 300 * time.Millisecond
	// evictionPollInterval is the interval at which a waiting holder looks for clients
	// that have become slow.
	evictionPollInterval = 20 * time.Millisecond
)

// Budget is a number of bytes that holders share.
type Budget struct {
	max int64

	mu       sync.Mutex
	used     int64
	evicting int64 // bytes of evicted holders that are not released yet
	holders  map[*Holder]struct{}
	freed    chan struct{} // closed at the next release, nil if nobody waits
	evicted  int64         // number of evicted holders
	refused  int64         // number of reservations that failed
}

// NewBudget returns a budget of max bytes.
func NewBudget(max int64) *Budget { return &Budget{max: max, holders: map[*Holder]struct{}{}} }

// BudgetCounts is a snapshot of the counters of a Budget.
type BudgetCounts struct {
	MaxBytes  int64 `json:"maxBytes"`
	HeldBytes int64 `json:"heldBytes"`
	// Evicted counts the clients that were disconnected to make room, Refused the
	// reservations that failed.
	Evicted int64 `json:"evicted"`
	Refused int64 `json:"refused"`
}

// Counts returns the current values of the counters.
func (b *Budget) Counts() BudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetCounts{MaxBytes: b.max, HeldBytes: b.used, Evicted: b.evicted, Refused: b.refused}
}

// Holder holds bytes of a budget for one client.
type Holder struct {
	budget *Budget
	evict  func()

	// The budget's mutex guards the following fields.
	bytes        int64
	waitingSince time.Time // start of the wait for the client, zero if it is not waited for
	isEvicted    bool
	isClosed     bool
}

// NewHolder returns a holder of no bytes. evict disconnects its client; it may be called
// once, from any goroutine.
func (b *Budget) NewHolder(evict func()) *Holder {
	h := &Holder{budget: b, evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders[h] = struct{}{}
	return h
}

// StartWaiting records that the process now waits for the client: for bytes from it, or
// until it has taken some. Only then may the client be evicted. It returns false if the
// wait had already started.
func (h *Holder) StartWaiting() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.waitingSince.IsZero() {
		return false
	}
	h.waitingSince = time.Now()
	return true
}

// StopWaiting records that the process does not wait for the client.
func (h *Holder) StopWaiting() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.waitingSince = time.Time{}
}

// Reserve adds n bytes to those held. If the budget is exhausted it evicts the clients
// that have been waited for longest. It fails with ErrExhausted if this does not make
// room, or if its own client is the one that has been waited for longest.
func (h *Holder) Reserve(n int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for start := time.Now(); !h.isEvicted && !h.isClosed; {
		if b.used+n <= b.max {
			b.used += n
			h.bytes += n
			return nil
		}
		if n > b.max || time.Since(start) > evictionWait {
			break
		}
		if b.used-b.evicting+n > b.max {
			if v := b.slowest(time.Now()); v == h {
				break
			} else if v != nil {
				b.evictLocked(v)
				continue
			}
		}
		b.waitForRelease()
	}
	b.refused++
	return ErrExhausted
}

// slowest returns the holder that has been waited for longest, nil if none is slow.
func (b *Budget) slowest(now time.Time) *Holder {
	var found *Holder
	for h := range b.holders {
		if h.isEvicted || h.bytes == 0 || h.waitingSince.IsZero() || now.Sub(h.waitingSince) < minSlowTime {
			continue
		}
		if found == nil || h.waitingSince.Before(found.waitingSince) {
			found = h
		}
	}
	return found
}

// evictLocked evicts h. The caller holds b.mu, which is released meanwhile.
func (b *Budget) evictLocked(h *Holder) {
	h.isEvicted = true
	b.evicting += h.bytes
	b.evicted++
	b.mu.Unlock()
	defer b.mu.Lock()
	h.evict()
}

// waitForRelease waits for a release, at most for evictionPollInterval. The caller holds
// b.mu, which is released meanwhile.
func (b *Budget) waitForRelease() {
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	freed := b.freed
	b.mu.Unlock()
	defer b.mu.Lock()
	timer := time.NewTimer(evictionPollInterval)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
}

// Bytes returns the number of bytes held.
func (h *Holder) Bytes() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// Release returns n of the bytes held.
func (h *Holder) Release(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.release(n)
}

// Close returns all bytes held. No more can be reserved.
func (h *Holder) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.release(h.bytes)
	h.isClosed = true
	delete(h.budget.holders, h)
}

func (h *Holder) release(n int64) {
	b := h.budget
	n = min(n, h.bytes) // a closed holder has none
	b.used -= n
	h.bytes -= n
	if h.isEvicted {
		b.evicting -= n
	}
	if n > 0 && b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}
