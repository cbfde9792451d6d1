package submitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// partsLeader is a fakeLeader that serves configurations in parts.
type partsLeader struct {
	*fakeLeader
	parts     int // of a configuration
	transfers int // that were started
	losesBase bool
}

func (l *partsLeader) WatchTransfer(ctx context.Context, afterVersion int64, base *carobrock.Configuration) (*carobrock.Configuration, carobrock.ConfigurationTransfer, error) {
	c, err := l.WatchConfiguration(ctx, afterVersion)
	if c == nil || err != nil {
		return nil, nil, err
	}
	l.transfers++
	if l.losesBase && base != nil {
		return nil, nil, carobrock.ErrTransferLost
	}
	return nil, &fakeTransfer{leader: l, configuration: c, remaining: l.parts}, nil
}

type fakeTransfer struct {
	leader        *partsLeader
	configuration *carobrock.Configuration
	remaining     int
}

func (t *fakeTransfer) Next(ctx context.Context) (*carobrock.Configuration, error) {
	if err := t.leader.travel(ctx, 500*time.Millisecond); err != nil {
		return nil, err
	}
	if t.remaining--; t.remaining > 0 {
		return nil, nil
	}
	return t.configuration, nil
}

// Guards against a gateway that confirms its copy, and accepts a revoked key, while it
// receives a newer configuration, and against a transfer that starts again after a failed
// part or never ends.
func TestOlderCopyIsNotConfirmedDuringATransfer(t *testing.T) {
	for _, test := range []struct {
		name      string
		losesBase bool
		cutOff    time.Duration // begins with the third part
		transfers int           // of the second configuration
		received  time.Duration // after which the gateway has it
	}{
		{"connected", false, 0, 1, 5 * time.Second},
		{"failed parts", false, transferStallTimeout - 2*time.Second, 1, 10 * time.Second},
		{"difference to another base", true, 0, 2, 6 * time.Second},
		{"no progress", false, 2 * transferStallTimeout, 2, 24 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader := &partsLeader{fakeLeader: newFakeLeader(), parts: 1}
				leader.store(withAccounts(1, []string{"a", "ka"}))
				g := &gateway{t: t, leader: leader.fakeLeader, Submitter: &Submitter{Control: leader, KeyFreshness: testFreshness, Uptime: leader.uptime}}
				ctx, cancel := context.WithCancel(context.Background())
				group := conc.NewWaitGroup()
				defer group.Wait()
				defer cancel()
				group.Go(func() { _ = g.Run(ctx) })
				time.Sleep(time.Second)
				g.wantSubmitError("ka", nil)
				leader.parts, leader.transfers, leader.losesBase = 10, 0, test.losesBase
				leader.store(withAccounts(2, []string{"a", "kb"}))
				time.Sleep(1100 * time.Millisecond)
				leader.setCutOff(test.cutOff > 0)
				time.Sleep(testFreshness - 1100*time.Millisecond)
				g.wantSubmitError("ka", ErrStaleKeys)
				time.Sleep(test.cutOff - testFreshness + 1100*time.Millisecond)
				leader.setCutOff(false)
				time.Sleep(test.received - max(test.cutOff+1100*time.Millisecond, testFreshness))
				time.Sleep(time.Second) // the next poll
				g.wantSubmitError("kb", nil)
				g.wantSubmitError("ka", ErrUnknownKey)
				if status := g.Status(); leader.transfers != test.transfers || status.Restarts != int64(test.transfers-1) {
					t.Errorf("%d transfers of the second version, %+v; want %d", leader.transfers, status, test.transfers)
				}
			})
		})
	}
}
