package launcher

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// trackingListener accepts connections as trackedConns.
type trackingListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, endpoint: l.endpoint, quietSince: time.Now()}
	l.endpoint.addConn(c)
	return c, nil
}

// trackedConn is a server's connection that knows whether it has received bytes of a
// request without a response.
type trackedConn struct {
	net.Conn
	endpoint *Endpoint

	mu         sync.Mutex
	active     bool      // the server is serving a request
	received   bool      // bytes have been read since the last response
	expired    bool      // the read deadline has been set so that the server closes the connection
	quietSince time.Time // start of the connection or its last response
}

// trackState is the ConnState hook of a server of trackedConns.
func trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
}

// hasRequest reports whether a request is being served or has been read in part.
func (c *trackedConn) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active || c.received
}

// isExpired reports whether the connection was expired and has received nothing since.
func (c *trackedConn) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// expireIfQuiet expires the connection if nothing has been received for quietTime. The
// server closes an expired connection when its read fails, so that bytes that arrive
// before are served.
func (c *trackedConn) expireIfQuiet(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.received || c.expired || now.Sub(c.quietSince) < quietTime {
		return
	}
	c.expired = true
	_ = c.Conn.SetReadDeadline(now) // fails only if the connection is closed
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isExpired() {
		n, err = c.readAvailable(p)
	}
	if n > 0 {
		c.markReceived()
	}
	return n, err
}

// readAvailable reads bytes that have arrived, without waiting. An expired deadline
// takes precedence over bytes that the runtime has not been notified of yet.
func (c *trackedConn) readAvailable(p []byte) (int, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n := 0
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = unix.Read(int(fd), p)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, unix.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// markReceived records that bytes of a request were read.
func (c *trackedConn) markReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = true
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// SetReadDeadline implements net.Conn. The deadline of an expired connection stays.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. Bytes that were read before belong to the request that is
// being answered.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.received, c.quietSince = false, time.Now()
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite closes the sending direction if the connection supports that, which the
// server makes use of to avoid a reset.
func (c *trackedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.endpoint.removeConn(c)
	return c.Conn.Close()
}
