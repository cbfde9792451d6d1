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

// pipeNetwork is an in-memory network. Its connections can be made to discard all
// data permanently without an error on either side.
type pipeNetwork struct {
	mu     sync.Mutex
	accept chan net.Conn
	conns  []*silentConn
	dials  int
	closed chan struct{}
}

// silentConn is a connection that discards writes once silent is set.
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

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
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

// silenceConns makes all existing connections discard data. New connections work.
func (p *pipeNetwork) silenceConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// Accept, Close and Addr implement net.Listener.
func (p *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNetwork) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
	default:
		close(p.closed)
	}
	return nil
}

func (p *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// startPair starts a server with the given handlers and a client connected to it.
func startPair(t *testing.T, handlers map[string]Handler, onMessage func(*encoder.Message)) (*Messenger, *pipeNetwork) {
	t.Helper()
	network := newPipeNetwork()
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
		time.Sleep(time.Minute) // lets the timers of yamux expire, which ends its goroutines
	})
	return client, network
}

// checkSilentConnection checks that a connection that stops delivering data,
// while new connections work, is replaced within 5 s for calls and for one-way
// messages.
func checkSilentConnection(t *testing.T) {
	t.Helper()
	var mu sync.Mutex
	var got []uint64
	client, network := startPair(t, map[string]Handler{
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
	network.silenceConns()
	start := time.Now()
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, 500*time.Millisecond)
		_, err := client.Call(callCtx, "server", "echo", []byte("y"))
		cancelCall()
		client.Send("server", &encoder.Message{Term: 2})
		mu.Lock()
		messagesResumed := len(got) > 1
		mu.Unlock()
		if err == nil && messagesResumed {
			break
		}
		time.Sleep(50 * time.Millisecond)
		if time.Since(start) > 5*time.Second {
			t.Fatalf("connection not replaced after %v: %v", time.Since(start), err)
		}
	}
	t.Logf("connection replaced after %v, %d connections dialled", time.Since(start), network.dials)
}

// checkCallErrors checks the errors that Call returns.
func checkCallErrors(t *testing.T) {
	t.Helper()
	client, network := startPair(t, map[string]Handler{
		"fail":  func(context.Context, []byte) ([]byte, error) { return nil, &RemoteError{Code: "full", Text: "no room"} },
		"never": func(ctx context.Context, _ []byte) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() },
	}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var remote *RemoteError
	if _, err := client.Call(ctx, "server", "fail", nil); !errors.As(err, &remote) || remote.Code != "full" {
		t.Errorf("handler error: got %v, want RemoteError with code full", err)
	}
	if _, err := client.Call(ctx, "server", "nosuch", nil); !errors.As(err, &remote) || remote.Code != "unknownMethod" {
		t.Errorf("unknown method: got error %v, want RemoteError with code unknownMethod", err)
	}
	if _, err := client.Call(ctx, "server", "never", nil); !errors.Is(err, ErrNoResponse) && !errors.As(err, &remote) {
		t.Errorf("no response: got error %v, want ErrNoResponse or RemoteError", err)
	}
	_ = network.Close()
	if _, err := client.Call(context.Background(), "other", "fail", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("unreachable process: got error %v, want ErrNotSent", err)
	}
}

// checkResponseOrder checks that responses that arrive in a different order than
// their calls were sent reach the right calls.
func checkResponseOrder(t *testing.T) {
	t.Helper()
	client, _ := startPair(t, map[string]Handler{
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
				t.Errorf("call %d returned %v, %v", i, body, err)
			}
		})
	}
	group.Wait()
}

// checkPanic checks that a handler that panics ends one call with an error and
// neither the process nor other calls.
func checkPanic(t *testing.T) {
	t.Helper()
	client, _ := startPair(t, map[string]Handler{
		"panic": func(context.Context, []byte) ([]byte, error) { panic("malformed message") },
		"echo":  func(_ context.Context, body []byte) ([]byte, error) { return body, nil },
	}, nil)
	var remote *RemoteError
	if _, err := client.Call(context.Background(), "server", "panic", nil); !errors.As(err, &remote) {
		t.Errorf("error %v, want a remote error", err)
	}
	if body, err := client.Call(context.Background(), "server", "echo", []byte("x")); err != nil || string(body) != "x" {
		t.Errorf("a later call returned %q, %v", body, err)
	}
}

// checkSilence guards against a call whose error does not tell a process that is slow, or
// whose caller has gone, from one that is cut off.
func checkSilence(t *testing.T) {
	t.Helper()
	const short, long, maxIdle = 100 * time.Millisecond, 900 * time.Millisecond, 300 * time.Millisecond
	client, network := startPair(t, map[string]Handler{
		"echo":  func(_ context.Context, body []byte) ([]byte, error) { return body, nil },
		"never": func(context.Context, []byte) ([]byte, error) { time.Sleep(10 * time.Second); return nil, nil },
	}, nil)
	call := func(timeout time.Duration) *NoResponseError {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := client.Call(ctx, "server", "never", nil)
		var noResponse *NoResponseError
		if !errors.As(err, &noResponse) || !errors.Is(err, ErrNoResponse) {
			t.Fatalf("error %v, want a NoResponseError", err)
		}
		return noResponse
	}
	if _, err := client.Call(context.Background(), "server", "echo", nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second) // the session is idle
	for _, timeout := range []time.Duration{short, long, short} {
		if e := call(timeout); !e.IsConnected || e.Silence > maxIdle {
			t.Errorf("call of %v to a slow process: connected %t, silent for %v, want at most %v", timeout, e.IsConnected, e.Silence, maxIdle)
		}
	}
	network.silenceConns()
	if e := call(short); e.Silence < short {
		t.Errorf("call of %v to a process that is cut off: silent for %v", short, e.Silence)
	}
	if e := call(long); e.Silence < long {
		t.Errorf("call of %v to a process that is cut off: silent for %v", long, e.Silence)
	}
	for start := time.Now(); call(short).IsConnected; {
		if time.Since(start) > 5*time.Second {
			t.Fatal("the session is still open after 5 s without a response to a ping")
		}
	}
}

// Guards against a call that outlives its context while another one connects.
func TestCallIsBoundedWhileAnotherConnects(t *testing.T) {
	const connectTime = 500 * time.Millisecond
	dialing := make(chan struct{}, 1)
	ms := &Messenger{Logger: zerolog.Nop(), Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		dialing <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	ms.Prepare()
	group := conc.NewWaitGroup()
	defer group.Wait()
	group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), connectTime)
		defer cancel()
		if _, err := ms.Call(ctx, "lost", "echo", nil); !errors.Is(err, ErrNotSent) {
			t.Errorf("call that connects: %v, want ErrNotSent", err)
		}
	})
	<-dialing
	ctx, cancel := context.WithTimeout(context.Background(), connectTime/10)
	defer cancel()
	start := time.Now()
	if _, err := ms.Call(ctx, "lost", "echo", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("call that waits: %v, want ErrNotSent", err)
	}
	if took := time.Since(start); took > connectTime/2 {
		t.Errorf("a call with a timeout of %v took %v", connectTime/10, took)
	}
	start = time.Now()
	ms.closeAll()
	if took := time.Since(start); took > connectTime/4 {
		t.Errorf("closing the messenger took %v", took)
	}
}

// checkCallAfterCutShortConnect guards against a caller that leaves while it connects,
// whose attempt failed the calls of others that waited for the connection.
func checkCallAfterCutShortConnect(t *testing.T) {
	t.Helper()
	client, network := startPair(t, map[string]Handler{
		"echo": func(_ context.Context, body []byte) ([]byte, error) { return body, nil },
	}, nil)
	isFirst := true
	client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if isFirst { // dials are not concurrent
			isFirst = false
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return network.dial(ctx, address)
	}
	leaving, leave := context.WithCancel(context.Background())
	calls := conc.NewWaitGroup()
	calls.Go(func() { _, _ = client.Call(leaving, "server", "echo", nil) })
	synctest.Wait()
	calls.Go(func() {
		if _, err := client.Call(context.Background(), "server", "echo", nil); err != nil {
			t.Errorf("call that waited for the connection: %v", err)
		}
	})
	synctest.Wait()
	leave()
	calls.Wait()
}
