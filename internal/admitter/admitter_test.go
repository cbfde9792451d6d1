package admitter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/watcher"
)

// newCatalog returns a catalog with one pool of upstreams u0, u1 and so on,
// with the given numbers of slots.
func newCatalog(version uint64, slots ...int) *watcher.Catalog {
	c := &watcher.Catalog{GrantsVersion: version, Upstreams: map[string]*watcher.Upstream{}}
	p := &watcher.PoolView{Pool: carobrock.Pool{Name: "p"}}
	for i, n := range slots {
		u := &watcher.Upstream{Address: fmt.Sprint("u", i), Slots: n, Usable: true}
		c.Upstreams[u.Address] = u
		p.Upstreams = append(p.Upstreams, u)
	}
	c.Pools = map[string]*watcher.PoolView{"p": p}
	return c
}

func newAdmitter(slots ...int) *Admitter {
	a := &Admitter{Rand: rand.New(rand.NewPCG(1, 1))}
	a.ApplyCatalog(newCatalog(1, slots...))
	return a
}

func mustAcquire(t *testing.T, a *Admitter) *Slot {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s, err := a.AcquireSlot(ctx, "p", "")
	if err != nil {
		t.Error(err)
		return &Slot{admitter: a, upstream: &upstream{}, pool: &pool{}}
	}
	return s
}

func TestAcquireErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		a.MaxQueue = 1
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := a.AcquireSlot(ctx, "nosuch", ""); !errors.Is(err, ErrNoUpstream) {
			t.Errorf("unknown pool: %v", err)
		}
		held := mustAcquire(t, a)
		group := conc.NewWaitGroup()
		start := time.Now()
		group.Go(func() {
			if _, err := a.AcquireSlot(ctx, "p", ""); !errors.Is(err, ErrTooLate) {
				t.Errorf("wait longer than MaxQueueWait: %v", err)
			}
			if took := time.Since(start); took != defaultMaxQueueWait {
				t.Errorf("rejected after %v, want %v", took, defaultMaxQueueWait)
			}
		})
		synctest.Wait()
		if _, err := a.AcquireSlot(ctx, "p", ""); !errors.Is(err, ErrQueueFull) {
			t.Errorf("queue full: %v", err)
		}
		group.Wait()
		held.Release(ResultOK)
		mustAcquire(t, a).Release(ResultOK)
		if n := a.InFlight(); n != 0 {
			t.Errorf("%d slots are still held", n)
		}
	})
}

// TestQueueOrder checks that queued requests get slots in arrival order.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(1)
		a.MaxQueueWait = -1
		held := mustAcquire(t, a)
		var order []int
		group := conc.NewWaitGroup()
		for i := range 10 {
			group.Go(func() {
				s, err := a.AcquireSlot(context.Background(), "p", "")
				if err != nil {
					t.Error(err)
					return
				}
				order = append(order, i) // there is one slot, so no two goroutines run here at once
				time.Sleep(time.Millisecond)
				s.Release(ResultOK)
			})
			synctest.Wait()
		}
		held.Release(ResultOK)
		group.Wait()
		for i, n := range order {
			if i != n {
				t.Errorf("order %v", order)
				break
			}
		}
	})
}

// TestQueueAfterPause checks that an idle period does not raise the expected
// wait: requests that will wait 20 ms are not rejected after it.
func TestQueueAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(4)
		group := conc.NewWaitGroup()
		for range 3 {
			for range 12 {
				group.Go(func() {
					s := mustAcquire(t, a)
					time.Sleep(20 * time.Millisecond)
					s.Release(ResultOK)
				})
				time.Sleep(5 * time.Millisecond)
			}
			group.Wait()
			group = conc.NewWaitGroup()
			time.Sleep(10 * time.Second)
			for range 8 {
				group.Go(func() {
					s := mustAcquire(t, a)
					time.Sleep(20 * time.Millisecond)
					s.Release(ResultOK)
				})
			}
			synctest.Wait()
			time.Sleep(21 * time.Millisecond)
			group.Go(func() { mustAcquire(t, a).Release(ResultOK) })
			group.Wait()
		}
	})
}

// Guards against rejecting requests as overload after a short pause of the upstream.
func TestPauseOfUpstreamWasTakenForOverload(t *testing.T) {
	const (
		slots       = 10
		callers     = 16
		serviceTime = 20 * time.Millisecond
	)
	for _, test := range []struct {
		name  string
		start time.Duration // of the pause
		pause time.Duration
	}{
		{"no pause", time.Second, 0},
		{"100 ms", time.Second, 100 * time.Millisecond},
		{"300 ms", time.Second, 300 * time.Millisecond},
		{"900 ms", time.Second, 900 * time.Millisecond},
		{"300 ms soon after the start", 100 * time.Millisecond, 300 * time.Millisecond},
		{"900 ms soon after the start", 200 * time.Millisecond, 900 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAdmitter(slots)
				pauseStart := time.Now().Add(test.start)
				pauseEnd := pauseStart.Add(test.pause)
				end := pauseEnd.Add(time.Second)
				group := conc.NewWaitGroup()
				for i := range callers {
					group.Go(func() {
						time.Sleep(time.Duration(i) * time.Millisecond)
						for time.Now().Before(end) {
							s := mustAcquire(t, a)
							done := time.Now().Add(serviceTime)
							if done.After(pauseStart) && done.Before(pauseEnd) {
								done = pauseEnd
							}
							time.Sleep(time.Until(done))
							s.Release(ResultOK)
						}
					})
				}
				group.Wait()
			})
		})
	}
}

// Guards against an average that follows a lasting change too slowly at high concurrency.
func TestLatencyIgnoredALastingChange(t *testing.T) {
	for _, slots := range []int{1, 10, 64} {
		synctest.Test(t, func(t *testing.T) {
			a := newAdmitter(slots)
			a.MaxQueueWait = -1
			for _, latency := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
				start := time.Now()
				group := conc.NewWaitGroup()
				for range slots {
					group.Go(func() {
						for time.Since(start) < 30*latency {
							s := mustAcquire(t, a)
							time.Sleep(latency)
							s.Release(ResultOK)
						}
					})
				}
				group.Wait()
				if got := a.upstreams["u0"].health.latency; got < latency*9/10 || got > latency*11/10 {
					t.Errorf("%d slots: average latency %v after 30 times %v", slots, got, latency)
				}
			}
		})
	}
}

// TestEjection checks that an upstream that fails three times in a row gets no
// requests for a second, and then a single probe.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(100, 100)
		for a.upstreams["u0"].health.consecutiveFailures < ejectAfterFailures {
			s := mustAcquire(t, a)
			if s.Address == "u0" {
				s.Release(ResultFailed)
			} else {
				s.Release(ResultOK)
			}
		}
		for range 50 {
			s := mustAcquire(t, a)
			if s.Address == "u0" {
				t.Fatal("an ejected upstream got a request")
			}
			s.Release(ResultOK)
		}
		time.Sleep(minEjection)
		probe := mustAcquire(t, a)
		if probe.Address != "u0" {
			t.Fatal("no probe after the ejection")
		}
		for range 50 {
			s := mustAcquire(t, a)
			if s.Address == "u0" {
				t.Fatal("a second probe was sent while the first was in flight")
			}
			s.Release(ResultOK)
		}
		probe.Release(ResultOK)
		seen := false
		for range 50 {
			s := mustAcquire(t, a)
			seen = seen || s.Address == "u0"
			s.Release(ResultOK)
		}
		if !seen {
			t.Error("the upstream got no requests after a successful probe")
		}
	})
}

// TestSettledVersion checks that a gateway complies with a reduced grant only
// when no more slots are in use than were granted.
func TestSettledVersion(t *testing.T) {
	a := newAdmitter(2)
	first, second := mustAcquire(t, a), mustAcquire(t, a)
	a.ApplyCatalog(newCatalog(2, 1))
	if got := a.SettledVersion(2); got != 0 {
		t.Errorf("SettledVersion(2) = %d with 2 of 1 slots used, want 0", got)
	}
	first.Release(ResultOK)
	if got := a.SettledVersion(2); got != 2 {
		t.Errorf("SettledVersion(2) = %d with 1 of 1 slots used, want 2", got)
	}
	if got := a.SettledVersion(3); got != 0 {
		t.Errorf("SettledVersion(3) = %d while version 2 is applied, want 0", got)
	}
	second.Release(ResultOK)
}

func BenchmarkAcquire(b *testing.B) {
	for _, upstreams := range []int{2, 50, 440} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			slots := make([]int, upstreams)
			for i := range slots {
				slots[i] = 8
			}
			a := newAdmitter(slots...)
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				s, err := a.AcquireSlot(ctx, "p", "")
				if err != nil {
					b.Fatal(err)
				}
				s.Release(ResultOK)
			}
		})
	}
}
