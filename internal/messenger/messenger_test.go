package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock/internal/encoder"
)

// pipeNet joins messengers in memory. Connections can be silenced for good:
// nothing arrives any more, and neither side is told.
type pipeNet struct {
	mu     sync.Mutex
	accept chan net.Conn
	conns  []*silentConn
	dials  int
	closed chan struct{}
}

type silentConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (s *silentConn) Write(p []byte) (int, error) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

func newPipeNet() *pipeNet {
	return &pipeNet{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeNet) dial(ctx context.Context, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	a, b := &silentConn{Conn: client}, &silentConn{Conn: server}
	p.mu.Lock()
	p.conns = append(p.conns, a, b)
	p.dials++
	p.mu.Unlock()
	select {
	case p.accept <- b:
		return a, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silence makes all present connections silent. New ones work.
func (p *pipeNet) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// Accept, Close and Addr implement net.Listener.
func (p *pipeNet) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNet) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
	default:
		close(p.closed)
	}
	return nil
}

func (p *pipeNet) Addr() net.Addr { return &net.TCPAddr{} }

// pair starts a server with handlers and a client.
func pair(t *testing.T, handlers map[string]Handler, onMessage func(*encoder.Message)) (*Messenger, *pipeNet) {
	t.Helper()
	network := newPipeNet()
	server := &Messenger{Listener: network, Handlers: handlers, OnMessage: onMessage, Logger: zerolog.Nop()}
	client := &Messenger{Dial: network.dial, Logger: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	for _, ms := range []*Messenger{server, client} {
		ms.Prepare()
		group.Go(func() { _ = ms.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
		time.Sleep(time.Minute) // yamux ends its goroutines behind its timers
	})
	return client, network
}

// TestMessenger runs all cases in one bubble: yamux keeps timers for the whole
// process, and a timer must not be used in two bubbles.
func TestMessenger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checkSilentConnection(t)
		checkCallErrors(t)
		checkAnswersCross(t)
	})
}

// checkSilentConnection: a connection that goes silent for good, while new ones
// work, is replaced within 5 s, for calls and for one-way messages.
func checkSilentConnection(t *testing.T) {
	t.Helper()
	var mu sync.Mutex
	var got []uint64
	client, network := pair(t, map[string]Handler{
		"echo": func(_ context.Context, body []byte) ([]byte, error) { return body, nil },
	}, func(m *encoder.Message) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, m.GetTerm())
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := client.Call(ctx, "server", "echo", []byte("x")); err != nil {
		t.Fatal(err)
	}
	client.Send("server", &encoder.Message{Term: 1})
	time.Sleep(time.Second)
	network.silence()
	start := time.Now()
	for {
		try, stop := context.WithTimeout(ctx, 500*time.Millisecond)
		_, err := client.Call(try, "server", "echo", []byte("y"))
		stop()
		client.Send("server", &encoder.Message{Term: 2})
		mu.Lock()
		back := len(got) > 1
		mu.Unlock()
		if err == nil && back {
			break
		}
		time.Sleep(50 * time.Millisecond)
		if time.Since(start) > 5*time.Second {
			t.Fatalf("not replaced after %v: %v", time.Since(start), err)
		}
	}
	t.Logf("replaced after %v, %d connections dialled", time.Since(start), network.dials)
}

func checkCallErrors(t *testing.T) {
	t.Helper()
	client, network := pair(t, map[string]Handler{
		"fail":  func(context.Context, []byte) ([]byte, error) { return nil, &RemoteError{Code: "full", Text: "no room"} },
		"never": func(ctx context.Context, _ []byte) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() },
	}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var remote *RemoteError
	if _, err := client.Call(ctx, "server", "fail", nil); !errors.As(err, &remote) || remote.Code != "full" {
		t.Errorf("error of the handler: %v", err)
	}
	if _, err := client.Call(ctx, "server", "nosuch", nil); !errors.As(err, &remote) || remote.Code != "unknownMethod" {
		t.Errorf("unknown method: %v", err)
	}
	if _, err := client.Call(ctx, "server", "never", nil); !errors.Is(err, ErrNoAnswer) && !errors.As(err, &remote) {
		t.Errorf("no answer: %v", err)
	}
	_ = network.Close()
	if _, err := client.Call(context.Background(), "other", "fail", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("unreachable process: %v, want ErrNotSent", err)
	}
}

// Answers that come in another order than their calls reach their own callers.
func checkAnswersCross(t *testing.T) {
	t.Helper()
	client, _ := pair(t, map[string]Handler{
		"slow": func(_ context.Context, body []byte) ([]byte, error) {
			time.Sleep(time.Duration(255-body[0]) * time.Millisecond)
			return body, nil
		},
	}, nil)
	group := conc.NewWaitGroup()
	for i := range 100 {
		group.Go(func() {
			body, err := client.Call(context.Background(), "server", "slow", []byte{byte(i)})
			if err != nil || len(body) != 1 || body[0] != byte(i) {
				t.Errorf("call %d got %v, %v", i, body, err)
			}
		})
	}
	group.Wait()
}
