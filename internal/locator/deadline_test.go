package locator_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
)

// deadlineRecorder is a JobControl that records the time until the deadline of a watch
// call.
type deadlineRecorder struct {
	carobrock.JobControl
	remaining atomic.Int64 // in nanoseconds
}

func (r *deadlineRecorder) WatchConfiguration(ctx context.Context, _ int64) (*carobrock.Configuration, error) {
	if deadline, ok := ctx.Deadline(); ok {
		r.remaining.Store(int64(time.Until(deadline)))
	}
	return nil, nil
}

// Guards against a leader that does not learn how soon the caller of a watch needs the
// response.
func TestDeadlineOfAWatchReachesTheLeader(t *testing.T) {
	for _, test := range []struct{ timeout, atMost time.Duration }{
		{500 * time.Millisecond, 500 * time.Millisecond},
		{10 * time.Second, time.Second},
	} {
		t.Run(test.timeout.String(), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			recorder := &deadlineRecorder{}
			server := &messenger.Messenger{Listener: listener, Handlers: locator.Handlers(recorder), Logger: zerolog.Nop()}
			client := &messenger.Messenger{Logger: zerolog.Nop()}
			ctx, cancel := context.WithCancel(context.Background())
			group := conc.NewWaitGroup()
			defer group.Wait()
			defer cancel()
			for _, ms := range []*messenger.Messenger{server, client} {
				ms.Prepare()
				group.Go(func() { _ = ms.Run(ctx) })
			}
			l := &locator.Locator{RPCClient: client, Logger: zerolog.Nop()}
			l.SetSeeds([]string{listener.Addr().String()})
			// A call that fails on a busy machine is repeated.
			for start := time.Now(); recorder.remaining.Load() == 0 && time.Since(start) < 20*time.Second; {
				callCtx, cancelCall := context.WithTimeout(ctx, test.timeout)
				_, _ = l.WatchConfiguration(callCtx, 1)
				cancelCall()
			}
			if remaining := time.Duration(recorder.remaining.Load()); remaining <= 0 || remaining > test.atMost {
				t.Errorf("%v are left until the deadline at the leader, want at most %v", remaining, test.atMost)
			}
		})
	}
}
