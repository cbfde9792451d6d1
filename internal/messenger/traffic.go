package messenger

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes transferred, excluding TCP and IP headers.
type Traffic struct {
	// Received and Sent are the numbers of bytes since the start of the
	// process.
	Received atomic.Int64
	Sent     atomic.Int64
}

// TrafficCounts is a snapshot of the counters of a Traffic.
type TrafficCounts struct {
	ReceivedBytes int64 `json:"receivedBytes"`
	SentBytes     int64 `json:"sentBytes"`
}

// Counts returns the current values of the counters.
func (t *Traffic) Counts() TrafficCounts {
	return TrafficCounts{ReceivedBytes: t.Received.Load(), SentBytes: t.Sent.Load()}
}

// countConn returns a connection that counts the bytes of conn in t.
func (t *Traffic) countConn(conn net.Conn) net.Conn { return &countedConn{Conn: conn, traffic: t} }

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
