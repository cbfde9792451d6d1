package submitter_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/submitter"
)

// Guards against a gateway in contact with the leader that does not report a queue as
// missing because the interval of confirmations exceeds the age up to which it does.
func TestConnectedGatewayReportsMissingQueues(t *testing.T) {
	for _, test := range []struct{ configApply, oneWay time.Duration }{
		{2000 * time.Millisecond, 0},
		{2500 * time.Millisecond, 0},
		{2500 * time.Millisecond, 40 * time.Millisecond}, // a part of 16 KiB on a link of 2 Mbit/s takes 65 ms
		{2500 * time.Millisecond, 65 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) { testMissingQueues(t, test.configApply, test.oneWay) })
	}
}

func testMissingQueues(t *testing.T, configApply, oneWay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		l := &configuredLeader{nextChange: make(chan struct{})}
		l.store(&carobrock.Configuration{Version: 1, Queues: []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", TimeoutMillis: 1000}}})
		s := &submitter.Submitter{Control: &attemptLimit{l, oneWay}, AbsenceFreshness: configApply * 9 / 10}
		ctx, cancel := context.WithCancel(t.Context())
		group := conc.NewWaitGroup()
		defer group.Wait()
		defer cancel()
		group.Go(func() { _ = s.Run(ctx) })
		time.Sleep(3 * time.Second)
		stale, total := 0, 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			total++
			if _, _, err := s.MatchQueue("h", "/missing/"); !errors.Is(err, submitter.ErrNoQueue) {
				stale++
			}
		}
		if stale > 0 {
			t.Errorf("%d of %d requests for a missing queue were not answered as such", stale, total)
		}
	})
}

// attemptLimit gives a watch call the time of one attempt of the locator.
type attemptLimit struct {
	*configuredLeader
	oneWay time.Duration
}

func (l *attemptLimit) WatchConfiguration(ctx context.Context, afterVersion int64) (*carobrock.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	time.Sleep(l.oneWay)
	defer time.Sleep(l.oneWay)
	return l.configuredLeader.WatchConfiguration(ctx, afterVersion)
}
