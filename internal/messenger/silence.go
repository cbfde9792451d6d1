package messenger

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// NoResponseError reports a call that was sent and to which no response arrived. It
// wraps ErrNoResponse.
type NoResponseError struct {
	// IsConnected reports whether the session of the call was still open when the call
	// ended.
	IsConnected bool
	// Silence is the time for which nothing had arrived on the session when the call
	// ended. A process that is alive and reachable sends something at least once in
	// PingInterval, even if its response is late.
	Silence time.Duration

	text string
}

// Error implements error.
func (e *NoResponseError) Error() string { return e.text + ": " + ErrNoResponse.Error() }

// Unwrap returns ErrNoResponse.
func (e *NoResponseError) Unwrap() error { return ErrNoResponse }

// dialledSession is a session that this process has dialled. It records when something
// arrived.
type dialledSession struct {
	*yamux.Session
	partBytes atomic.Int64 // size of the next part of a frame
	start     time.Time
	arrived   atomic.Int64 // nanoseconds from start to the last arrival
}

// newDialledSession opens a session on a connection that has just been established.
func newDialledSession(conn net.Conn, config *yamux.Config) (*dialledSession, error) {
	s := &dialledSession{start: time.Now()}
	var err error
	s.Session, err = yamux.Client(&recordedConn{Conn: conn, session: s}, config)
	return s, err
}

// silence returns the time since something arrived on the session, or since it was
// dialled.
func (s *dialledSession) silence() time.Duration {
	return time.Since(s.start) - time.Duration(s.arrived.Load())
}

// recordedConn is the connection of a dialledSession.
type recordedConn struct {
	net.Conn
	session *dialledSession
}

// Read implements net.Conn.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.session.arrived.Store(int64(time.Since(c.session.start)))
	}
	return n, err
}
