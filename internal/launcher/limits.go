package launcher

import (
	"net"
	"time"

	"github.com/carobrock/carobrock/internal/limiter"
)

const (
	// maxHeaderBytes, maxBodyBytes, maxHeaderTimeout and maxIdleTimeout are the largest
	// limits that a configuration can set.
	maxHeaderBytes   = 64 << 10
	maxBodyBytes     = 4 << 20
	maxHeaderTimeout = 30 * time.Second
	maxIdleTimeout   = 120 * time.Second
	// newConnTimeout is how long a new connection may send nothing.
	newConnTimeout = 5 * time.Second
	// slowConnTime is how long a connection must have been slow before it is closed to
	// make room for a new one, idleConnTime how long it must have been idle. A client
	// that uses a connection again does so within a few heartbeats, 0.9 s each.
	slowConnTime = time.Second
	idleConnTime = 5 * time.Second
	// refusedBodyTime is how long the body of a refused request is read and discarded,
	// so that the response is not destroyed.
	refusedBodyTime = 500 * time.Millisecond
)

// requestLimits are the limits in force for a request.
type requestLimits struct {
	headerBytes, bodyBytes     int64
	headerTimeout, idleTimeout time.Duration
}

// requestLimits returns the limits of the configuration in force, or those of the
// endpoint where it sets none.
func (e *Endpoint) requestLimits() requestLimits {
	l := requestLimits{
		headerBytes: int64(e.Limits.MaxHeaderBytes), bodyBytes: e.Limits.MaxBodyBytes, headerTimeout: e.Limits.HeaderTimeout, idleTimeout: e.Limits.IdleTimeout,
	}
	if e.RequestLimits == nil {
		return l
	}
	c := e.RequestLimits()
	if c.MaxHeaderBytes > 0 {
		l.headerBytes = min(c.MaxHeaderBytes, maxHeaderBytes)
	}
	if c.MaxBodyBytes > 0 {
		l.bodyBytes = min(c.MaxBodyBytes, maxBodyBytes)
	}
	if c.HeaderTimeoutMillis > 0 {
		l.headerTimeout = time.Duration(min(c.HeaderTimeoutMillis, maxHeaderTimeout.Milliseconds())) * time.Millisecond
	}
	if c.IdleTimeoutMillis > 0 {
		l.idleTimeout = time.Duration(min(c.IdleTimeoutMillis, maxIdleTimeout.Milliseconds())) * time.Millisecond
	}
	return l
}

// addConn adds an open connection. If the limits are reached it closes the connection
// that has been slow longest, or else idle longest; if there is none, it returns nil.
func (e *Endpoint) addConn(conn net.Conn) *trackedConn {
	now := time.Now()
	c := &trackedConn{Conn: conn, endpoint: e, source: sourceOf(conn), quietSince: now}
	e.mu.Lock()
	defer e.mu.Unlock()
	ofSource := e.sources[c.source] >= e.Limits.MaxConnsPerSource
	if ofSource || len(e.conns) >= e.Limits.MaxConns {
		victim := e.slowestConn(now, c.source, ofSource)
		if victim == nil {
			e.refusals.add(causeConnections)
			return nil
		}
		e.refusals.add(causeEvicted)
		e.removeConnLocked(victim)
		_ = victim.Conn.Close() // the server's read or write then fails
	}
	c.holder = e.budget.NewHolder(func() {
		e.refusals.add(causeEvicted)
		_ = conn.Close() // the server's read or write then fails
	})
	e.conns[c] = struct{}{}
	e.sources[c.source]++
	return c
}

// sourceOf returns the IP address of the client of conn.
func sourceOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return "" // not a TCP connection
	}
	return host
}

// slowestConn returns the connection that has been slow longest. If there is none, it
// returns the one that has been idle longest, nil if there is none either. The caller
// holds e.mu.
func (e *Endpoint) slowestConn(now time.Time, source string, ofSource bool) *trackedConn {
	var found *trackedConn
	var longest time.Duration
	isSlow := false
	for c := range e.conns {
		if ofSource && c.source != source {
			continue
		}
		slow, idle := c.slowTimes(now)
		switch {
		case slow >= slowConnTime && (!isSlow || slow > longest):
			found, longest, isSlow = c, slow, true
		case !isSlow && idle >= idleConnTime && idle > longest:
			found, longest = c, idle
		}
	}
	return found
}

// slowTimes returns for how long the server has waited for the client to send or to take
// bytes, and for how long the connection has been idle.
func (c *trackedConn) slowTimes(now time.Time) (slow, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.transfer.writing.IsZero():
		return now.Sub(c.transfer.writing), 0
	case !c.transfer.reading.IsZero():
		return now.Sub(c.transfer.reading), 0
	case c.active:
		return 0, 0
	case !c.header.started.IsZero():
		return now.Sub(c.header.started), 0
	case c.idle:
		return 0, now.Sub(c.quietSince)
	}
	return now.Sub(c.quietSince), 0 // it has sent nothing yet
}

// transferMeter limits the time for the body of a request and for its response.
type transferMeter struct {
	reading time.Time     // start of the wait for the body, zero if there is none
	writing time.Time     // start of the write in progress, zero if there is none
	blocked time.Duration // time of all writes of the response
	written int64
}

// transferTime returns the time that n bytes may take.
func transferTime(n int64, l *limiter.Limits) time.Duration {
	return l.TransferGrace + time.Duration(n)*time.Second/time.Duration(l.MinBytesPerSecond)
}

// startWrite returns the deadline of a write of n bytes.
func (m *transferMeter) startWrite(now time.Time, n int, l *limiter.Limits) time.Time {
	m.writing = now
	m.written += int64(n)
	return now.Add(transferTime(m.written, l) - m.blocked)
}

// endWrite records the end of a write.
func (m *transferMeter) endWrite(now time.Time) {
	m.blocked += now.Sub(m.writing)
	m.writing = time.Time{}
}

// headerMeter counts the header of a request as it arrives.
type headerMeter struct {
	started      time.Time // first byte
	bytes, lines int
	lineBytes    int // of the current line
	isComplete   bool
	reserved     int64
	// pipelined counts the requests in a row that were received before the previous
	// response. isFresh is set if bytes have arrived since that response.
	pipelined int
	isFresh   bool
}

// Memory for a header. Up to freeHeaderBytes it is part of that of the connection.
const (
	freeHeaderBytes      = 2048
	memoryPerHeaderByte  = 2
	memoryPerHeaderField = 160
)

// reset starts a new header and returns the memory of the previous one.
func (m *headerMeter) reset(h *limiter.Holder) {
	h.Release(m.reserved)
	*m = headerMeter{pipelined: m.pipelined, isFresh: false}
}

// count adds bytes that were read to the header, until its empty line.
func (m *headerMeter) count(p []byte) {
	for _, b := range p {
		if m.isComplete {
			return
		}
		m.bytes++
		switch b {
		case '\n':
			m.isComplete = m.lines > 0 && m.lineBytes == 0
			if m.lineBytes > 0 {
				m.lines++
			}
			m.lineBytes = 0
		case '\r':
		default:
			m.lineBytes++
		}
	}
}

// cost returns the memory that the header takes beyond that of the connection.
func (m *headerMeter) cost() int64 {
	if m.bytes <= freeHeaderBytes {
		return 0
	}
	return int64(m.bytes)*memoryPerHeaderByte + int64(m.lines)*memoryPerHeaderField
}

// responseTooLarge is sent when a header exceeds its limits, before it is complete.
const responseTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// meterHeader counts bytes that were read as part of a header, unless a request is being
// served. It returns false if the header exceeds its limits or there is no memory for it.
// A read of a single byte is the server's check that the client is still there.
func (c *trackedConn) meterHeader(p []byte, isRequest bool) bool {
	limits := c.endpoint.requestLimits()
	c.mu.Lock()
	c.header.isFresh = c.header.isFresh || isRequest
	if c.active || c.header.isComplete {
		c.mu.Unlock()
		return true
	}
	isFirst := c.header.bytes == 0
	c.header.count(p)
	if isFirst {
		c.header.started = time.Now()
	}
	if isFirst && !c.expired {
		_ = c.Conn.SetReadDeadline(c.header.started.Add(limits.headerTimeout)) // fails only if the connection is closed
	}
	tooLarge := int64(c.header.bytes) > limits.headerBytes || c.header.lines > c.endpoint.Limits.MaxHeaderFields
	cost := c.header.cost() - c.header.reserved
	c.mu.Unlock()
	if tooLarge {
		c.endpoint.refusals.add(causeHeader)
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusedBodyTime))
		_, _ = c.Conn.Write([]byte(responseTooLarge)) // the connection is closed anyway
		return false
	}
	c.holder.StartWaiting()
	if cost <= 0 {
		return true
	}
	if c.holder.Reserve(cost) != nil {
		c.endpoint.refusals.add(causeMemory)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header.reserved += cost
	return true
}
