package forwarder

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// pipeDial returns one end of an in-memory connection.
func pipeDial(context.Context, string, string) (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

// TestDialWaitsForAConnection checks that dial waits at the connection limit. A
// slot is released shortly before the connection of its request, so the next
// request must wait for that connection and not be refused.
func TestDialWaitsForAConnection(t *testing.T) {
	for _, test := range []struct {
		name string
		free func(u *upstreamConns, held net.Conn)
		want error
	}{
		{name: "the connection closes", free: func(_ *upstreamConns, held net.Conn) { _ = held.Close() }},
		{name: "the limit rises", free: func(u *upstreamConns, _ net.Conn) { u.setLimit(2) }},
		{name: "no connection becomes available", free: func(*upstreamConns, net.Conn) {}, want: errConnectionLimit},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newUpstreamConns("upstream", pipeDial)
				u.setLimit(1)
				held, err := u.dial(context.Background(), "upstream", pipeDial)
				if err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(10*time.Millisecond, func() { test.free(u, held) })
				start := time.Now()
				_, err = u.dial(context.Background(), "upstream", pipeDial)
				if !errors.Is(err, test.want) || time.Since(start) > dialTimeout {
					t.Errorf("%v after %v, want %v", err, time.Since(start), test.want)
				}
				if open := u.openConnections(); open > u.limit {
					t.Errorf("%d connections are open, the limit is %d", open, u.limit)
				}
			})
		})
	}
}
