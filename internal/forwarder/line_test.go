package forwarder

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// pipeDial opens a connection in memory.
func pipeDial(context.Context, string, string) (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

// A slot is free a moment before the connection of its request is: the next
// request waits for the connection and is not refused.
func TestDialWaitsForAConnection(t *testing.T) {
	for _, test := range []struct {
		name string
		free func(l *line, held net.Conn)
		want error
	}{
		{name: "the connection closes", free: func(_ *line, held net.Conn) { _ = held.Close() }},
		{name: "the limit rises", free: func(l *line, _ net.Conn) { l.setLimit(2) }},
		{name: "nothing is free in time", free: func(*line, net.Conn) {}, want: errNoConnection},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLine("upstream", pipeDial)
				l.setLimit(1)
				held, err := l.dial(context.Background(), "upstream", pipeDial)
				if err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(10*time.Millisecond, func() { test.free(l, held) })
				start := time.Now()
				_, err = l.dial(context.Background(), "upstream", pipeDial)
				if !errors.Is(err, test.want) || time.Since(start) > dialTimeout {
					t.Errorf("%v after %v, want %v", err, time.Since(start), test.want)
				}
				if open := l.openConnections(); open > l.limit {
					t.Errorf("%d connections are open, the limit is %d", open, l.limit)
				}
			})
		})
	}
}
