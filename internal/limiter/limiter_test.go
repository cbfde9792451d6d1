package limiter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
)

// Guards against limits that refuse the load for which the platform is documented, on
// each size of VM.
func TestLegitimateLoadIsWithinTheLimits(t *testing.T) {
	const (
		descriptors    = 4100
		workers        = descriptors * 4 / 10 // share of the descriptors that connect workers to one node
		callers        = 780                  // 300 connections and bursts of 2.6 times
		nodes          = 44
		callBytes      = 3 * 4096  // a payload of 4,000 bytes, held in parts of 4 and 8 KiB
		heartbeatBytes = 400_000   // the largest
		configBytes    = 350_000   // 1,400 routes
		snapshotBytes  = 20 << 20  // between replicas, which have 408 MB
		linkBytes      = 250_000   // per second, the slowest link
		ownDescriptors = 4100 / 10 // files and outgoing connections
	)
	for _, memoryMB := range []int64{184, 284, 408} {
		t.Run(fmt.Sprint(memoryMB), func(t *testing.T) {
			p := Derive(memoryMB, descriptors)
			for _, test := range []struct {
				name        string
				limit, need int64
			}{
				{"connections of callers", int64(p.Callers.MaxConns), callers},
				{"connections of callers from one address", int64(p.Callers.MaxConnsPerSource), callers},
				{"requests of callers", int64(p.Callers.MaxRequests), callers},
				{"connections of workers", int64(p.Control.MaxConns), workers + nodes},
				{"connections of workers behind one address", int64(p.Control.MaxConnsPerSource), 1500},
				{"heartbeats in flight", int64(p.Control.MaxRequests), workers},
				{"sessions", int64(p.Peers.MaxSessions), 2 * nodes},
				{"calls of one node", int64(p.Peers.MaxSessionStreams), workers},
				{"probes", int64(p.Readiness.MaxConnsPerSource), 40},
				{"bodies of callers", p.Callers.HeldBytes, callers * callBytes},
				{"jobs being decoded", p.Callers.DecodeBytes, 64 * (3*4100 + 40*512)},
				{"one configuration", p.Control.HeldBytes, 2 * configBytes},
				{"what arrives at workers' link within its timeout", p.Control.HeldBytes, 8 * linkBytes},
				{"large heartbeats at once", p.Control.HeldBytes, 40 * (heartbeatBytes + 64<<10)},
				{"header", int64(p.Callers.MaxHeaderBytes), 16_384},
				{"body", p.Callers.MaxBodyBytes, 262_144},
				{"heartbeat", p.Control.MaxBodyBytes, 4 << 20},
				{"slowest body of a heartbeat, ms", p.Control.TransferGrace.Milliseconds(), 1000 * heartbeatBytes / linkBytes},
				{"header, ms", p.Callers.HeaderTimeout.Milliseconds(), 3000},
				{"idle, ms", p.Callers.IdleTimeout.Milliseconds(), 15_000},
			} {
				if test.limit < test.need {
					t.Errorf("%s: limit %d, needed %d", test.name, test.limit, test.need)
				}
			}
			if memoryMB == 408 && p.Peers.HeldBytes < snapshotBytes {
				t.Errorf("frames: limit %d, a snapshot has %d", p.Peers.HeldBytes, snapshotBytes)
			}
			conns := p.Callers.MaxConns + p.Control.MaxConns + p.Readiness.MaxConns + p.Peers.MaxSessions
			if conns > descriptors-ownDescriptors {
				t.Errorf("%d connections of %d descriptors", conns, descriptors)
			}
			held := p.Callers.HeldBytes + p.Callers.DecodeBytes + p.Control.HeldBytes + p.Control.DecodeBytes +
				p.Readiness.HeldBytes + p.Peers.HeldBytes + p.Peers.DecodeBytes
			if limit := memoryMB << 20 / 2; held > limit {
				t.Errorf("the budgets are %d bytes together, want at most half of the memory, %d", held, limit)
			}
		})
	}
}

// Guards against a budget that is exceeded, that keeps what was returned, or that evicts
// clients that are not slow.
func TestBudgetStaysWithinItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxBytes, clients = 1000, 40
		b := NewBudget(maxBytes)
		group := conc.NewWaitGroup()
		for i := range clients {
			rnd := rand.New(rand.NewPCG(36, uint64(i)))
			group.Go(func() {
				for range 50 {
					h := b.NewHolder(func() { t.Error("a client that is not waited for was evicted") })
					held := int64(0)
					for range 5 {
						n := int64(rnd.IntN(100))
						if h.Reserve(n) == nil {
							held += n
						}
						if c := b.Counts(); c.HeldBytes > maxBytes || h.Bytes() != held {
							t.Errorf("%d bytes held in all, %d by the holder, want %d", c.HeldBytes, h.Bytes(), held)
						}
						time.Sleep(time.Duration(rnd.IntN(5)) * time.Millisecond)
					}
					h.Close()
				}
			})
		}
		group.Wait()
		if n := b.Counts().HeldBytes; n != 0 {
			t.Errorf("%d bytes are held after all have closed", n)
		}
	})
}

// Guards against evicting another client than the one that has been waited for longest.
func TestSlowestIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(100)
		var evicted []int
		holders := make([]*Holder, 4)
		for i := range holders {
			holders[i] = b.NewHolder(func() {
				evicted = append(evicted, i)
				holders[i].Close()
			})
			if err := holders[i].Reserve(25); err != nil {
				t.Fatal(err)
			}
		}
		for _, i := range []int{2, 0, 3} { // 1 is being served
			holders[i].StartWaiting()
			time.Sleep(minSlowTime)
		}
		fresh := b.NewHolder(func() { t.Error("the fresh client was evicted") })
		if err := fresh.Reserve(40); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(evicted) != "[2 0]" {
			t.Errorf("evicted %v, want 2 and 0", evicted)
		}
		if err := holders[0].Reserve(1); !errors.Is(err, ErrExhausted) {
			t.Errorf("an evicted client gets %v, want ErrExhausted", err)
		}
		holders[3].StopWaiting()
		if err := fresh.Reserve(40); !errors.Is(err, ErrExhausted) || len(evicted) != 2 {
			t.Errorf("error %v, evicted %v; want ErrExhausted while nobody is slow", err, evicted)
		}
		holders[3].StartWaiting()
		fresh.StartWaiting()
		time.Sleep(minSlowTime)
		holders[3].Close()
		if err := fresh.Reserve(35); err != nil {
			t.Errorf("error %v after a release", err)
		}
		if err := fresh.Reserve(40); !errors.Is(err, ErrExhausted) {
			t.Errorf("the slowest client gets %v, want ErrExhausted", err)
		}
	})
}

// Guards against documents that are decoded together and exceed the memory, and against
// one that can never be decoded although it is within the limits.
func TestDecoder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDecoder(100, 200)
		if _, err := d.Start(context.Background(), 201); !errors.Is(err, ErrExhausted) {
			t.Errorf("too large a document: %v, want ErrExhausted", err)
		}
		done, err := d.Start(context.Background(), 150)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := d.Start(ctx, 1); !errors.Is(err, ErrExhausted) {
			t.Errorf("beside a large document: %v, want ErrExhausted", err)
		}
		done()
		if done, err = d.Start(context.Background(), 1); err != nil {
			t.Errorf("after it: %v", err)
		} else {
			done()
		}
	})
}
