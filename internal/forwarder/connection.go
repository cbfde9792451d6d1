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

// countingConn is a connection to an upstream that counts the bytes written to it.
type countingConn struct {
	net.Conn
	written   atomic.Int64
	onClose   func()
	closeOnce sync.Once
}

// Write implements net.Conn. It counts the bytes before it writes them, so that
// every byte that may have been sent is counted.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// errConnectionLimit reports that the connection limit of the upstream was reached and
// no connection was closed in time.
var errConnectionLimit = eris.New("forwarder: connection limit of the upstream reached")

// Settings of connections to upstreams.
const (
	dialTimeout = time.Second
	// idleTimeout is short, so that idle connections are closed before a firewall
	// drops their state.
	idleTimeout     = 15 * time.Second
	keepAlivePeriod = 5 * time.Second
	keepAliveProbes = 2
	// userTimeoutMillis is how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT), in milliseconds.
	userTimeoutMillis  = 5000
	maxHeaderBytes     = 64 << 10
	maxIdlePerUpstream = 64
)

// upstreamConns holds the connections to one upstream and limits their number.
type upstreamConns struct {
	transport *http.Transport
	mu        sync.Mutex
	open      int // number of open connections
	limit     int // maximum of open
	// available is closed and replaced when a connection may have become
	// available.
	available chan struct{}
	// lastResponse is when the last complete response was received.
	lastResponse time.Time
}

// idleReuseWindow is the time since the last response after which idle connections
// are not reused for a non-idempotent request: a middlebox may have dropped their
// state, and the request could not be retried.
const idleReuseWindow = time.Second

// recordResponse records that a complete response was received.
func (u *upstreamConns) recordResponse() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastResponse = time.Now()
}

// closeStaleIdleConns closes the idle connections if no response was received within
// idleReuseWindow.
func (u *upstreamConns) closeStaleIdleConns() {
	u.mu.Lock()
	isStale := time.Since(u.lastResponse) > idleReuseWindow
	u.mu.Unlock()
	if isStale {
		u.transport.CloseIdleConnections()
	}
}

// newUpstreamConns returns the connections to the upstream at address, which are
// opened with dial. The limit is initially zero.
func newUpstreamConns(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *upstreamConns {
	u := &upstreamConns{available: make(chan struct{})}
	u.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return u.dial(ctx, address, dial)
		},
		MaxIdleConns:           maxIdlePerUpstream,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// ResponseHeaderTimeout is not set, as the context of each request has a
		// deadline. Proxy is nil, so that the proxy settings of the environment do not
		// apply.
		Proxy: nil,
	}
	return u
}

// dial opens a connection. At the limit it waits for one to close and fails with
// errConnectionLimit after dialTimeout.
func (u *upstreamConns) dial(ctx context.Context, address string, dial func(context.Context, string, string) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := u.reserveConn(ctx); err != nil {
		return nil, err
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		u.releaseConn()
		return nil, err
	}
	return &countingConn{Conn: conn, onClose: u.releaseConn}, nil
}

// reserveConn reserves a connection. At the limit it closes the idle connections and
// waits until the limit permits one more, or fails with errConnectionLimit when ctx
// ends. It waits because a slot is released shortly before net/http returns the
// connection of its request to the idle pool: the transport then uses that
// connection instead of the one being dialed.
func (u *upstreamConns) reserveConn(ctx context.Context) error {
	for {
		available, ok := u.tryReserveConn()
		if ok {
			return nil
		}
		u.transport.CloseIdleConnections()
		select {
		case <-available:
		case <-ctx.Done():
			return errConnectionLimit
		}
	}
}

// tryReserveConn counts one more open connection. At the limit it returns a channel
// that is closed when a connection may have become available.
func (u *upstreamConns) tryReserveConn() (available <-chan struct{}, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.limit {
		return u.available, false
	}
	u.open++
	return nil, true
}

// releaseConn subtracts a connection that was closed or could not be opened.
func (u *upstreamConns) releaseConn() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
	u.wakeWaiters()
}

// wakeWaiters wakes the goroutines that wait for a connection. The caller holds u.mu.
func (u *upstreamConns) wakeWaiters() {
	close(u.available)
	u.available = make(chan struct{})
}

// setLimit sets how many connections may be open. If more are open, it closes all
// idle connections.
func (u *upstreamConns) setLimit(n int) {
	u.mu.Lock()
	isOver := u.open > n
	u.limit = n
	u.wakeWaiters()
	u.mu.Unlock()
	if isOver {
		u.transport.CloseIdleConnections()
	}
}

// openConnections returns the number of open connections.
func (u *upstreamConns) openConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// isOverLimit reports whether more connections are open than the limit allows, as
// after the limit was lowered.
func (u *upstreamConns) isOverLimit() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open > u.limit
}

// dialUpstream opens a TCP connection to an upstream. The kernel closes the
// connection if sent bytes or keepalive probes stay unacknowledged. It is the
// default of Forwarder.Dial.
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
