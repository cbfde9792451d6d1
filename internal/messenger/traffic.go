package messenger

import (
	"net"
	"sync/atomic"
)

// Traffic counts bytes on the wire, without the headers of TCP and IP.
type Traffic struct {
	// Received and Sent count the bytes since the start.
	Received atomic.Int64
	Sent     atomic.Int64
}

// TrafficCounts are the counts of a Traffic at one moment.
type TrafficCounts struct {
	ReceivedBytes int64 `json:"receivedBytes"`
	SentBytes     int64 `json:"sentBytes"`
}

// Counts returns the present counts.
func (t *Traffic) Counts() TrafficCounts {
	return TrafficCounts{ReceivedBytes: t.Received.Load(), SentBytes: t.Sent.Load()}
}

func (t *Traffic) count(conn net.Conn) net.Conn { return &countedConn{Conn: conn, traffic: t} }

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
