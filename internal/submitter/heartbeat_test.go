package submitter_test

import (
	"context"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
)

// beatLeader responds to heartbeats with starts of a number of bytes.
type beatLeader struct {
	carobrock.JobControl
	bytes int
}

func (l *beatLeader) Heartbeat(context.Context, *carobrock.WorkerReport) (*carobrock.HeartbeatResponse, error) {
	r := &carobrock.HeartbeatResponse{}
	for i := range l.bytes / 4000 {
		r.Start = append(r.Start, carobrock.StartRun{Run: carobrock.Run{Task: carobrock.TaskRef{Job: "5c0e7a21d94b36f8", Index: i}}, Payload: strings.Repeat("x", 4000)})
	}
	return r, nil
}

// Guards against a worker that gets no response through a relay on a slow link, although
// the response is within the limit of the dispatcher.
func TestHeartbeatResponsePassesASlowLink(t *testing.T) {
	for _, bytes := range []int{100_000, 128 << 10} {
		t.Run(strconv.Itoa(bytes), func(t *testing.T) { testHeartbeat(t, bytes) })
	}
}

func testHeartbeat(t *testing.T, bytes int) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		group := conc.NewWaitGroup()
		network := &slowNetwork{group: group, accept: make(chan net.Conn), closed: make(chan struct{})}
		server := &messenger.Messenger{Listener: network, Handlers: locator.Handlers(&beatLeader{bytes: bytes}), Logger: zerolog.Nop()}
		client := &messenger.Messenger{Dial: network.dial, Logger: zerolog.Nop()}
		loc := &locator.Locator{RPCClient: client, Logger: zerolog.Nop()}
		loc.SetSeeds([]string{"leader"})
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Minute)
		defer group.Wait()
		defer cancel()
		for _, ms := range []*messenger.Messenger{server, client} {
			ms.Prepare()
			group.Go(func() { _ = ms.Run(ctx) })
		}
		answered := 0
		for range 10 {
			callCtx, cancelCall := context.WithTimeout(ctx, 900*time.Millisecond)
			if _, err := loc.Heartbeat(callCtx, &carobrock.WorkerReport{}); err == nil {
				answered++
			} else {
				t.Logf("%v", err)
			}
			cancelCall()
		}
		if answered == 0 {
			t.Errorf("none of 10 heartbeats with a response of %d bytes was answered", bytes)
		}
	})
}
