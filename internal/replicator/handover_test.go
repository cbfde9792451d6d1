package replicator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
)

// leases counts the replicas that are certain to lead.
func (c *cluster) leases() (n int) {
	for _, nd := range c.running() {
		if r, _ := nd.parts(); r.LeaseLeft() > 0 {
			n++
		}
	}
	return n
}

// A leader that hands over under load leaves the group without a leader for some
// round trips only, never beside a second one, and loses nothing acknowledged.
func TestHandOver(t *testing.T) {
	const (
		rounds = 10
		// gap is what the group may be without a leader: some round trips and syncs,
		// far below the shortest election timeout.
		gap = 60 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		c.leader()
		stop := make(chan struct{})
		writers := conc.NewWaitGroup()
		acknowledged := 0
		writers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				r, k := c.leader().parts()
				res, err := put(ctx, r, fmt.Sprint("change", i), k.Routes().Version, fmt.Sprint("row", i))
				cancel()
				if err == nil && res.Code == "" {
					acknowledged++
				}
				time.Sleep(time.Millisecond)
			}
		})
		for round := range rounds {
			time.Sleep(500 * time.Millisecond)
			r, _ := c.leader().parts()
			ok, err := r.HandOver(context.Background())
			if err != nil || !ok {
				t.Fatalf("round %d: handed over: %t, %v", round, ok, err)
			}
			began := time.Now()
			for c.leases() == 0 && time.Since(began) < time.Minute {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(began); took > gap {
				t.Errorf("round %d: %v without a leader, want at most %v", round, took, gap)
			}
			if n := c.leases(); n != 1 {
				t.Errorf("round %d: %d replicas are certain to lead", round, n)
			}
		}
		close(stop)
		writers.Wait()
		time.Sleep(time.Second)
		_, k := c.leader().parts()
		if got := int(k.Routes().Version); acknowledged < rounds || got < acknowledged {
			t.Errorf("version %d after %d acknowledged changes", got, acknowledged)
		}
	})
}

// A leader without a follower that holds its log goes on leading.
func TestHandOverWithoutSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		defer c.stop()
		nd := c.leader()
		r, _ := nd.parts()
		for _, other := range c.others(nd) {
			c.setLink(nd, other, true)
		}
		time.Sleep(400 * time.Millisecond)
		if ok, err := r.HandOver(context.Background()); ok || err != nil {
			t.Errorf("handed over: %t, %v", ok, err)
		}
		for _, other := range c.others(nd) {
			c.setLink(nd, other, false)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for ctx.Err() == nil {
			r, k := c.leader().parts()
			if _, err := put(ctx, r, "change", k.Routes().Version, "row"); err == nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Error("no change is taken after the links are mended")
	})
}
