package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// countedConn is a connection to an upstream that counts what was written.
type countedConn struct {
	net.Conn
	written atomic.Int64
	onClose func()
	once    sync.Once
}

// Write implements net.Conn. It counts before it writes, so that a byte which
// may have left is always counted.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// errNoConnection: the upstream's connections are used up.
var errNoConnection = eris.New("forwarder: no connection to the upstream is free")

// Settings of connections to upstreams.
const (
	dialTimeout = time.Second
	// idleTimeout is short: a firewall forgets idle connections first.
	idleTimeout     = 15 * time.Second
	keepAlivePeriod = 5 * time.Second
	keepAliveProbes = 2
	// userTimeoutMillis is how long sent bytes may go without acknowledgement.
	userTimeoutMillis  = 5000
	maxHeaderBytes     = 64 << 10
	maxIdlePerUpstream = 64
)

// line is the set of connections to one upstream.
type line struct {
	transport *http.Transport
	mu        sync.Mutex
	open      int
	limit     int
	// freed is closed when a connection may have become free.
	freed chan struct{}
	// answeredAt is when the last whole answer came.
	answeredAt time.Time
}

// freshAfter is how long a line may have been without an answer before its idle
// connections are not used for a request that cannot be repeated: something
// between the two ends may have lost track of them.
const freshAfter = time.Second

// noteAnswer notes that the connections work.
func (l *line) noteAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt = time.Now()
}

// distrust closes the idle connections if no answer came for a while.
func (l *line) distrust() {
	l.mu.Lock()
	old := time.Since(l.answeredAt) > freshAfter
	l.mu.Unlock()
	if old {
		l.transport.CloseIdleConnections()
	}
}

func newLine(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *line {
	l := &line{freed: make(chan struct{})}
	l.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return l.dial(ctx, address, dial)
		},
		MaxIdleConns:           maxIdlePerUpstream,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// The gateway has its own timeouts. Proxy settings of the environment
		// do not apply to upstreams.
		Proxy: nil,
	}
	return l
}

// dial opens a connection within the limit.
func (l *line) dial(ctx context.Context, address string, dial func(context.Context, string, string) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := l.await(ctx); err != nil {
		return nil, err
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		l.release()
		return nil, err
	}
	return &countedConn{Conn: conn, onClose: l.release}, nil
}

// await reserves a connection. Where none is free it waits for one: a slot is
// given back a moment before net/http takes the connection of the last answer
// back, and the transport uses that connection as soon as it has it.
func (l *line) await(ctx context.Context) error {
	for {
		freed, ok := l.reserve()
		if ok {
			return nil
		}
		l.transport.CloseIdleConnections()
		select {
		case <-freed:
		case <-ctx.Done():
			return errNoConnection
		}
	}
}

// reserve counts a connection, or returns a channel that is closed when one may
// have become free.
func (l *line) reserve() (freed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return l.freed, false
	}
	l.open++
	return nil, true
}

func (l *line) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.free()
}

// free wakes those who wait for a connection. The caller holds l.mu.
func (l *line) free() {
	close(l.freed)
	l.freed = make(chan struct{})
}

// setLimit sets how many connections may be open; idle ones above it close.
func (l *line) setLimit(n int) {
	l.mu.Lock()
	shrunk := l.open > n
	l.limit = n
	l.free()
	l.mu.Unlock()
	if shrunk {
		l.transport.CloseIdleConnections()
	}
}

func (l *line) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *line) isOverLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > l.limit
}

// dialUpstream is the default way to open a connection to an upstream. The
// kernel closes it if sent bytes or keepalive probes go unanswered.
func dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var setErr error
			err := c.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
	return d.DialContext(ctx, network, address)
}
