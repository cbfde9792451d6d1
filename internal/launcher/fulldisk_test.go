package launcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
)

// fullJournal is a journal whose disk is full while isFull is set.
type fullJournal struct {
	carobrock.Journal
	isFull *atomic.Bool
}

func (j *fullJournal) Append(hs *encoder.HardState, entries []*encoder.Entry) error {
	if j.isFull.Load() {
		return journaler.ErrFull
	}
	return j.Journal.Append(hs, entries)
}

func (j *fullJournal) Probe() error {
	if j.isFull.Load() {
		return journaler.ErrFull
	}
	return j.Journal.Probe()
}

// Guards against a node that ends or serves no callers, operators and workers while
// the disk of its replica is full.
func TestNodeWithFullDiskForwardsToTheLeader(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var seeds []string
	for i := range 3 {
		// Replicas are named by the hosts of the seeds, which must differ.
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, l.Addr().String())
		_ = l.Close()
	}
	replicas, full := make([]*JobReplica, 3), make([]atomic.Bool, 3)
	ended := make(chan error, 3)
	running := conc.NewWaitGroup()
	defer running.Wait()
	defer cancel()
	for i, seed := range seeds {
		host, _, _ := net.SplitHostPort(seed)
		r, err := NewJobReplica(&NodeSettings{
			Name: host, Node: host, AvailabilityZone: host, PeerAddress: seed, Seeds: seeds, DataDir: t.TempDir(), FirstStart: true, DiskMB: 64,
		}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		r.replica.Journal = &fullJournal{Journal: r.replica.Journal, isFull: &full[i]}
		replicas[i] = r
		running.Go(func() { ended <- r.Run(ctx) })
	}
	configure := func(r *JobReplica, version int64) {
		t.Helper()
		for {
			err := r.Control.Configure(ctx, &carobrock.Configuration{Version: version})
			if err == nil {
				return
			}
			if ctx.Err() != nil || !errors.Is(err, carobrock.ErrNotApplied) && !errors.Is(err, carobrock.ErrOutcomeUnknown) {
				t.Fatalf("version %d is not accepted: %v", version, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	configure(replicas[0], 1)
	leader := 0
	for replicas[leader].replica.RemainingLease() == 0 {
		leader = (leader + 1) % 3
		time.Sleep(time.Millisecond)
	}
	full[leader].Store(true)
	configure(replicas[leader], 2)
	if s := replicas[leader].replica.Status(); !s.DiskFull || s.Leader == s.ID {
		t.Errorf("status with a full disk: %+v", s)
	}
	c, err := replicas[leader].Control.Configuration(ctx)
	if err != nil || c == nil || c.Version != 2 {
		t.Errorf("read through the node with the full disk: %+v, %v", c, err)
	}
	full[leader].Store(false)
	for replicas[leader].replica.Status().DiskFull || replicas[leader].replica.Status().LeaderAddress == "" {
		if ctx.Err() != nil {
			t.Fatalf("the replica does not take part again: %+v", replicas[leader].replica.Status())
		}
		time.Sleep(20 * time.Millisecond)
	}
	select {
	case err := <-ended:
		t.Errorf("a node has ended: %v", err)
	default:
	}
}
