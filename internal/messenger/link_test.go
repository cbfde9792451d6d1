package messenger

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock/internal/encoder"
)

const (
	slowLinkBytesPerSecond = 250_000 // 2 Mbit/s
	slowLinkPieceBytes     = 1 << 10
	slowLinkBufferBytes    = 32 << 10
)

// slowConn is a connection that sends a number of bytes per second, with a buffer of
// slowLinkBufferBytes.
type slowConn struct {
	net.Conn
	buffer    chan []byte
	closed    chan struct{}
	closeOnce sync.Once
}

func newSlowConn(group *conc.WaitGroup, conn net.Conn) *slowConn {
	s := &slowConn{Conn: conn, buffer: make(chan []byte, slowLinkBufferBytes/slowLinkPieceBytes), closed: make(chan struct{})}
	group.Go(func() {
		for {
			select {
			case piece := <-s.buffer:
				time.Sleep(time.Duration(len(piece)) * time.Second / slowLinkBytesPerSecond)
				_, _ = s.Conn.Write(piece) // fails after Close
			case <-s.closed:
				return
			}
		}
	})
	return s
}

func (s *slowConn) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0; {
		n := min(len(rest), slowLinkPieceBytes)
		select {
		case s.buffer <- append([]byte(nil), rest[:n]...):
		case <-s.closed:
			return 0, net.ErrClosed
		}
		rest = rest[n:]
	}
	return len(p), nil
}

func (s *slowConn) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.Conn.Close()
}

// startSlowPair starts a server and a client that is connected to it by slow links.
func startSlowPair(t *testing.T, handlers map[string]Handler, onMessage func(*encoder.Message)) (client *Messenger, dials *atomic.Int64) {
	t.Helper()
	network := newPipeNetwork()
	group := conc.NewWaitGroup()
	dials = &atomic.Int64{}
	server := &Messenger{Listener: network, Handlers: handlers, OnMessage: onMessage, Logger: zerolog.Nop()}
	client = &Messenger{Logger: zerolog.Nop(), Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		dials.Add(1)
		near, far := net.Pipe()
		select {
		case network.accept <- newSlowConn(group, far):
			return newSlowConn(group, near), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	for _, ms := range []*Messenger{server, client} {
		ms.Prepare()
		group.Go(func() { _ = ms.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
		time.Sleep(time.Minute) // lets the timers of yamux expire, which ends its goroutines
	})
	return client, dials
}

// checkLargeMessageOnSlowLink guards against a snapshot that never arrives because its
// transfer takes longer than a fixed time.
func checkLargeMessageOnSlowLink(t *testing.T) {
	t.Helper()
	const snapshotBytes = 4 << 20
	const maxTime = 3 * snapshotBytes / 2 * time.Second / slowLinkBytesPerSecond
	received := make(chan int, 1)
	client, dials := startSlowPair(t, nil, func(m *encoder.Message) { received <- len(m.GetSnapshot().GetData()) })
	client.Send("server", &encoder.Message{Snapshot: &encoder.Snapshot{Data: make([]byte, snapshotBytes)}})
	select {
	case n := <-received:
		if n != snapshotBytes || dials.Load() != 1 {
			t.Errorf("%d bytes arrived on %d connections, want %d on one", n, dials.Load(), snapshotBytes)
		}
	case <-time.After(maxTime):
		t.Errorf("no snapshot of %d bytes arrived within %v", snapshotBytes, maxTime)
	}
}

// checkSmallCallsBesideLargeResponses guards against small calls that wait behind large
// responses on a slow link for longer than they have time, and against the end of the
// session because its pings wait.
func checkSmallCallsBesideLargeResponses(t *testing.T) {
	t.Helper()
	const (
		responses, responseBytes = 4, 500_000
		rounds, callsAtOnce      = 20, 5
		callTime                 = 900 * time.Millisecond // of a caller's call
	)
	client, dials := startSlowPair(t, map[string]Handler{
		"large": func(context.Context, []byte) ([]byte, error) { return make([]byte, responseBytes), nil },
		"echo":  func(_ context.Context, body []byte) ([]byte, error) { return body, nil },
	}, nil)
	group := conc.NewWaitGroup()
	call := func(method string, timeout time.Duration) time.Duration {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if _, err := client.Call(ctx, "server", method, []byte("x")); err != nil {
			t.Errorf("call of %s: %v", method, err)
		}
		return time.Since(began)
	}
	for range responses {
		group.Go(func() { call("large", 20*time.Second) })
	}
	var longest atomic.Int64
	for range rounds {
		time.Sleep(200 * time.Millisecond)
		for range callsAtOnce {
			group.Go(func() {
				took := int64(call("echo", callTime))
				for old := longest.Load(); took > old && !longest.CompareAndSwap(old, took); old = longest.Load() {
				}
			})
		}
	}
	group.Wait()
	t.Logf("small calls beside %d responses of %d bytes took up to %v", responses, responseBytes, time.Duration(longest.Load()))
	if dials.Load() != 1 {
		t.Errorf("%d connections dialled, want one", dials.Load())
	}
}

// checkAbandonedResponse guards against a link that is kept busy with a response whose
// caller has no time left.
func checkAbandonedResponse(t *testing.T) {
	t.Helper()
	const (
		callTime = 300 * time.Millisecond
		// What is queued when the time is over: the buffer, and one part with its headers.
		maxBytes = int64(callTime)*slowLinkBytesPerSecond/int64(time.Second) + slowLinkBufferBytes + maxPartBytes + 1000
	)
	client, _ := startSlowPair(t, map[string]Handler{
		"large": func(context.Context, []byte) ([]byte, error) { return make([]byte, 1_000_000), nil },
	}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	_, _ = client.Call(ctx, "server", "large", nil)
	time.Sleep(5 * time.Second)
	if n := client.Traffic.Received.Load(); n > maxBytes {
		t.Errorf("%d bytes arrived for a call of %v, want at most %d", n, callTime, maxBytes)
	}
}

// checkHeartbeatsBesideSnapshot guards against heartbeats that wait behind a large message
// on a slow link for longer than the timeout of an election, and against copies of a
// message that was repeated during its transfer and that take the link afterwards.
func checkHeartbeatsBesideSnapshot(t *testing.T) {
	t.Helper()
	const (
		snapshotBytes, copies = 4 << 20, 6
		interval              = 100 * time.Millisecond
		electionTimeout       = 700 * time.Millisecond
		transferTime          = snapshotBytes * time.Second / slowLinkBytesPerSecond
	)
	var mu sync.Mutex
	var longest time.Duration
	snapshots, last := 0, time.Now()
	client, _ := startSlowPair(t, nil, func(m *encoder.Message) {
		mu.Lock()
		defer mu.Unlock()
		if m.GetSnapshot() != nil {
			snapshots++
			return
		}
		longest, last = max(longest, time.Since(last)), time.Now()
	})
	snapshot := &encoder.Message{Snapshot: &encoder.Snapshot{Data: make([]byte, snapshotBytes)}}
	for began := time.Now(); time.Since(began) < 4*transferTime; time.Sleep(interval) {
		if elapsed := time.Since(began); elapsed < transferTime && elapsed%(transferTime/copies) < interval {
			client.Send("server", snapshot)
		}
		client.Send("server", &encoder.Message{Term: 1})
	}
	mu.Lock()
	defer mu.Unlock()
	if longest > electionTimeout || snapshots < 1 || snapshots > 2 {
		t.Errorf("no heartbeat for %v, want at most %v; %d snapshots, want one or two", longest, electionTimeout, snapshots)
	}
}

// Guards against small frames that wait behind what the kernel has taken of large ones
// and the link has not carried.
func TestKernelTakesLittle(t *testing.T) {
	const maxBytes = 512 << 10 // two windows of a stream
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	client := &Messenger{Logger: zerolog.Nop(), PingTimeout: 200 * time.Millisecond}
	client.Prepare()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	session, err := client.dial(ctx, silent.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	group := conc.NewWaitGroup()
	for range 64 { // streams with a window of 256 KB each
		group.Go(func() {
			if stream, err := session.OpenStream(); err == nil {
				_, _ = stream.Write(make([]byte, 256<<10)) // the session is closed
			}
		})
	}
	group.Wait()
	_ = session.Close()
	if n := client.Traffic.Sent.Load(); n > maxBytes {
		t.Errorf("the kernel took %d bytes that the other process did not read, want at most %d", n, maxBytes)
	}
}
