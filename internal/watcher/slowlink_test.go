package watcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/watcher"
)

// slowReplica responds over a link of 2 Mbit/s.
type slowReplica struct {
	response []byte
	calls    int
}

func (r *slowReplica) Call(ctx context.Context, _, _ string, _ []byte) ([]byte, error) {
	r.calls++
	select {
	case <-time.After(time.Duration(len(r.response)) * time.Second / 250_000):
		return r.response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against a view that never arrives over a slow link, because each attempt to
// transfer it starts from the beginning.
func TestLargeViewReachesAGatewayOnASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &carobrock.View{Routes: &carobrock.RouteTable{Version: 1}}
		for i := range 1500 {
			v.Routes.Rows = append(v.Routes.Rows, carobrock.Route{Name: fmt.Sprintf("route-%05d", i), Host: "nony24.example", PathPrefix: fmt.Sprintf("/p%05d/", i), Pool: "pool", TimeoutMillis: 2000})
		}
		delta, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		response, err := proto.Marshal(&encoder.SyncAnswer{Index: 7, Delta: delta, Full: true, Confirmed: true})
		if err != nil {
			t.Fatal(err)
		}
		replica := &slowReplica{response: response}
		w := &watcher.Watcher{Gateway: "g", Replicas: []string{"a", "b", "c"}, RPCClient: replica, Logger: zerolog.Nop()}
		w.Prepare()
		ctx, cancel := context.WithCancel(t.Context())
		group := conc.NewWaitGroup()
		defer group.Wait()
		defer cancel()
		group.Go(func() { _ = w.Run(ctx) })
		time.Sleep(time.Minute)
		if w.Current() == nil {
			t.Errorf("no view of %d bytes after a minute and %d calls", len(response), replica.calls)
		}
	})
}
