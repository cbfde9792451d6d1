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

	"github.com/carobrock/carobrock/internal/limiter"
)

// trackingListener accepts connections as trackedConns.
type trackingListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener. It closes connections above the limits.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.endpoint.addConn(conn); c != nil {
			return c, nil
		}
		_ = conn.Close() // nothing was sent on it
	}
}

// trackedConn is a server's connection that knows whether it has received bytes of a
// request without a response.
type trackedConn struct {
	net.Conn
	endpoint *Endpoint
	source   string // IP address of the client
	holder   *limiter.Holder

	mu         sync.Mutex
	active     bool      // the server is serving a request
	received   bool      // bytes have been read since the last response
	expired    bool      // the read deadline has been set so that the server closes the connection
	quietSince time.Time // start of the connection or its last response
	header     headerMeter
	transfer   transferMeter
	idle       bool // the server waits for a further request
}

// trackState is the ConnState hook of a server of trackedConns.
func trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.idle = state == http.StateActive, state == http.StateIdle
	switch state {
	case http.StateActive:
		c.holder.StopWaiting()
	case http.StateIdle:
		c.header.reset(c.holder)
	}
}

// hasRequest reports whether a request is being served or has been read in part.
func (c *trackedConn) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active || c.received
}

// isQuiet reports whether the connection is being closed because nothing has arrived on
// it: it is expired or idle.
func (c *trackedConn) isQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired || c.idle && !c.received
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
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isQuiet() {
		n, err = c.readAvailable(p)
	}
	if n > 0 {
		c.markReceived()
		if !c.meterHeader(p[:n], len(p) > 1) {
			return 0, io.EOF // the server closes the connection
		}
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
// Those of headers and idle connections are limited.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	limits := c.endpoint.requestLimits()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return nil
	}
	if !c.active && !t.IsZero() {
		limit := limits.headerTimeout
		switch {
		case c.idle && !c.received:
			limit = limits.idleTimeout
		case !c.received:
			limit = max(limit, newConnTimeout)
		}
		if last := time.Now().Add(limit); t.After(last) {
			t = last
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. Bytes that were read before belong to the request that is
// being answered.
func (c *trackedConn) Write(p []byte) (int, error) {
	now := time.Now()
	c.mu.Lock()
	c.received, c.quietSince = false, now
	deadline := c.transfer.startWrite(now, len(p), &c.endpoint.Limits)
	c.mu.Unlock()
	if err := c.Conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	if c.holder.StartWaiting() {
		defer c.holder.StopWaiting()
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.transfer.endWrite(time.Now())
	c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.endpoint.refusals.add(causeSlowReader)
	}
	return n, err
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
	c.holder.Close()
	return c.Conn.Close()
}
