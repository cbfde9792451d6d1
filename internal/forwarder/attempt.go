package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/admitter"
)

// attemptResult is the result of sending a request to an upstream once.
type attemptResult struct {
	// refusal is nil if the caller received the upstream's response.
	refusal *refusal
	// bodyConsumed is set if part of the request body may have been consumed.
	bodyConsumed bool
}

// connTracker records the connection that carries an attempt and how many bytes had
// been written to it before the attempt.
type connTracker struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
	reused        bool
	// onReuse is called when the request is sent on a reused connection.
	onReuse func()
}

// gotConn is the GotConn hook of httptrace.ClientTrace. A connection obtained
// after bytes of the request were written is ignored.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mayHaveSentLocked() {
		return
	}
	if c, ok := info.Conn.(*countingConn); ok {
		t.conn, t.writtenBefore, t.reused = c, c.written.Load(), info.Reused
	}
	if info.Reused {
		t.onReuse()
	}
}

// isConnReused reports whether the request was sent on a reused connection.
func (t *connTracker) isConnReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// mayHaveSent reports whether any byte of the request may have been sent.
func (t *connTracker) mayHaveSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayHaveSentLocked()
}

// mayHaveSentLocked is mayHaveSent for callers that hold t.mu.
func (t *connTracker) mayHaveSentLocked() bool {
	return t.conn != nil && t.conn.written.Load() > t.writtenBefore
}

// sendAttempt sends the request to the slot's upstream and forwards the response to the
// caller. The slot is released when the response is complete.
func (x *exchange) sendAttempt(slot *admitter.Slot) attemptResult {
	result := admitter.ResultFailed
	defer func() { slot.Release(result) }()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	conns := x.f.connsTo(slot.Address)
	if !x.idempotent {
		conns.closeStaleIdleConns()
	}
	firstByteTimer := x.newFirstByteTimer(cancel)
	defer firstByteTimer.Stop()
	t := &connTracker{onReuse: func() { firstByteTimer.Reset(x.firstByteTimeout(slot)) }}
	body := x.body.newReader()
	req := x.upstreamRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), slot.Address, body)
	res, err := conns.transport.RoundTrip(req)
	firstByteTimer.Stop()
	if err != nil {
		if t.mayHaveSent() && t.isConnReused() {
			// The other idle connections may be dead as well.
			conns.transport.CloseIdleConnections()
		}
		if x.r.Context().Err() != nil || errors.Is(err, errConnectionLimit) {
			result = admitter.ResultNone
		}
		return attemptResult{refusal: x.refusalFor(err, t.mayHaveSent()), bodyConsumed: t.mayHaveSent()}
	}
	defer func() { _ = res.Body.Close() }()
	a := x.forwardResponse(res)
	a.bodyConsumed = true
	if a.refusal == nil {
		result = admitter.ResultOK
		conns.recordResponse()
	}
	return a
}

// Limits of the time to the first byte of a response on a reused connection.
const (
	minFirstByteTimeout    = 100 * time.Millisecond
	firstByteLatencyFactor = 10  // multiple of the upstream's usual latency
	firstByteDeadlineShare = 0.5 // fraction of the time left until the request's deadline
)

// newFirstByteTimer returns a stopped timer that cancels an attempt when it fires. It
// cancels only attempts of idempotent requests, as these can be sent again on a
// new connection.
func (x *exchange) newFirstByteTimer(cancel context.CancelFunc) *time.Timer {
	timer := time.AfterFunc(time.Hour, func() {
		if x.idempotent {
			cancel()
		}
	})
	timer.Stop()
	return timer
}

// firstByteTimeout returns how long an attempt on a reused connection may wait for the
// first byte of a response.
func (x *exchange) firstByteTimeout(slot *admitter.Slot) time.Duration {
	timeout := max(minFirstByteTimeout, firstByteLatencyFactor*slot.Latency)
	if deadline, ok := x.ctx.Deadline(); ok {
		left := time.Duration(firstByteDeadlineShare * float64(time.Until(deadline)))
		timeout = min(timeout, left)
	}
	return timeout
}

// upstreamRequest builds the request to the upstream at address.
func (x *exchange) upstreamRequest(ctx context.Context, address string, body io.ReadCloser) *http.Request {
	req := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        upstreamHeader(x.r, x.requestID),
		Host:          x.r.Host,
		Body:          body,
		ContentLength: x.r.ContentLength,
	}
	if x.body.isComplete() {
		req.ContentLength = int64(len(x.body.head))
	}
	if req.ContentLength == 0 && x.idempotent {
		// With http.NoBody net/http may retry the request by itself, which is safe for
		// an idempotent request.
		req.Body = http.NoBody
	}
	return req.WithContext(ctx)
}

// refusalFor translates an error of the exchange with the upstream into a refusal.
// The outcome is "notRun" only if sent is false: no byte of the request was written.
func (x *exchange) refusalFor(err error, sent bool) *refusal {
	if !sent {
		if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
			return notRun(http.StatusServiceUnavailable, "no upstream could be reached in time")
		}
		return notRun(http.StatusServiceUnavailable, "the upstream could not be reached")
	}
	var netErr net.Error
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout() {
		return unknown(http.StatusGatewayTimeout, "the upstream did not answer in time")
	}
	return unknown(http.StatusBadGateway, "the connection to the upstream failed")
}

// forwardResponse forwards the upstream's response to the caller. A failure before the
// first byte is sent to the caller becomes a refusal; a later one aborts the
// caller's connection, so that a truncated response never looks complete.
func (x *exchange) forwardResponse(res *http.Response) attemptResult {
	if id := res.Header.Get(carobrock.HeaderRequestID); id != "" && id != x.requestID {
		return attemptResult{refusal: unknown(http.StatusBadGateway, "the upstream answered another request")}
	}
	if res.StatusCode == http.StatusSwitchingProtocols {
		return attemptResult{refusal: unknown(http.StatusBadGateway, "the upstream switched protocols")}
	}
	buf, _ := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buf)
	n, err := readFull(res.Body, *buf)
	complete := errors.Is(err, io.EOF)
	if err != nil && !complete {
		return attemptResult{refusal: x.refusalFor(err, true)}
	}
	x.writeHeader(res)
	x.writeBody((*buf)[:n])
	if complete {
		return attemptResult{}
	}
	x.streamBody(res, *buf)
	return attemptResult{}
}

// readFull reads from r until buf is full or a read fails. Unlike io.ReadFull it
// returns the reader's own error, which distinguishes the end of a body from a
// broken connection.
func readFull(r io.Reader, buf []byte) (int, error) {
	n := 0
	for n < len(buf) {
		m, err := r.Read(buf[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// copyBufferBytes is the size of the buffers for response bodies.
const copyBufferBytes = 32 << 10

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// writeHeader sends the status and the end-to-end headers of the upstream's
// response to the caller.
func (x *exchange) writeHeader(res *http.Response) {
	removeHopByHop(res.Header)
	h := x.w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	h.Set(carobrock.HeaderRequestID, x.requestID)
	if x.recorder != nil {
		x.recorder.recordHeader(res)
	}
	x.w.WriteHeader(res.StatusCode)
}

// writeTimeout bounds each write of response data to the caller.
const writeTimeout = 30 * time.Second

// writeBody writes a part of the response body to the caller and aborts the
// connection if the write fails.
func (x *exchange) writeBody(p []byte) {
	if len(p) == 0 {
		return
	}
	if x.recorder != nil {
		x.recorder.appendBody(p)
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.w.Write(p); err != nil {
		x.abortResponse("write to the caller failed")
	}
}

// streamBody copies the rest of the response body to the caller through buf, so that
// the memory used doesn't depend on the size of the body.
func (x *exchange) streamBody(res *http.Response, buf []byte) {
	for {
		n, err := res.Body.Read(buf)
		x.writeBody(buf[:n])
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			x.abortResponse("reading the upstream's response failed")
		}
	}
}

// abortResponse closes the caller's connection by a panic with http.ErrAbortHandler.
func (x *exchange) abortResponse(reason string) {
	x.f.Counts.Aborted.Add(1)
	x.f.Logger.Debug().Str("requestId", x.requestID).Str("reason", reason).Msg("forwarder: response aborted")
	panic(http.ErrAbortHandler)
}
