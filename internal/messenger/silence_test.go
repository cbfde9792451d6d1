package messenger

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// delayedConn delivers what is written to it after a delay.
type delayedConn struct {
	net.Conn
	queue  chan delayedBytes
	closed chan struct{}
	once   sync.Once
}

type delayedBytes struct {
	at   time.Time
	data []byte
}

func newDelayedConn(conn net.Conn, delay time.Duration, group *conc.WaitGroup) net.Conn {
	c := &delayedConn{Conn: conn, queue: make(chan delayedBytes, 4096), closed: make(chan struct{})}
	group.Go(func() {
		for {
			select {
			case <-c.closed:
				return
			case d := <-c.queue:
				time.Sleep(time.Until(d.at.Add(delay)))
				if _, err := conn.Write(d.data); err != nil {
					return
				}
			}
		}
	})
	return c
}

func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *delayedConn) Write(p []byte) (int, error) {
	select {
	case c.queue <- delayedBytes{time.Now(), append([]byte(nil), p...)}:
		return len(p), nil
	default:
		return 0, io.ErrShortWrite
	}
}

// Guards against a leader that is taken for silent because the interval of pings grows
// with the round trip: the next ping is sent when the previous one was answered.
func TestSilenceDoesNotGrowWithTheRoundTrip(t *testing.T) {
	for _, roundTrip := range []time.Duration{20 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(roundTrip.String(), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			group := conc.NewWaitGroup()
			defer group.Wait()
			hang := func(ctx context.Context, _ []byte) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() }
			server := &Messenger{Listener: listener, Handlers: map[string]Handler{"hang": hang}, Logger: zerolog.Nop()}
			client := &Messenger{Logger: zerolog.Nop(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				if err != nil {
					return nil, err
				}
				return newDelayedConn(conn, roundTrip, group), nil // all of the delay on the way there
			}}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for _, ms := range []*Messenger{server, client} {
				ms.Prepare()
				group.Go(func() { _ = ms.Run(ctx) })
			}
			longest := time.Duration(0)
			for i := range 4 {
				callCtx, cancelCall := context.WithTimeout(ctx, time.Duration(1000+170*i)*time.Millisecond)
				_, err := client.Call(callCtx, listener.Addr().String(), "hang", nil)
				cancelCall()
				var none *NoResponseError
				if errors.As(err, &none) {
					longest = max(longest, none.Silence)
				}
			}
			if longest >= 350*time.Millisecond {
				t.Errorf("silence of %v, want less than locator.suspectTime", longest)
			}
		})
	}
}
