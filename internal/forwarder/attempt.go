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

// attempt is the result of sending a request once.
type attempt struct {
	// refusal is nil if the caller got the answer.
	refusal *refusal
	// bodyUsed is set if a part of the body may have been read.
	bodyUsed bool
}

// tracker notes over which connections an attempt went and how much was
// written to each before.
type tracker struct {
	mu     sync.Mutex
	conn   *countedConn
	start  int64
	reused bool
	// onReuse is called when the request goes over a connection that was used
	// before.
	onReuse func()
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wroteLocked() {
		return
	}
	if c, ok := info.Conn.(*countedConn); ok {
		t.conn, t.start, t.reused = c, c.written.Load(), info.Reused
	}
	if info.Reused {
		t.onReuse()
	}
}

// isReused reports whether the request went over a connection that was used
// before.
func (t *tracker) isReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// wrote reports whether a byte of the request may have left.
func (t *tracker) wrote() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wroteLocked()
}

func (t *tracker) wroteLocked() bool {
	return t.conn != nil && t.conn.written.Load() > t.start
}

// send sends the request over the slot and passes the answer on. The slot is
// released when the answer is complete.
func (x *exchange) send(slot *admitter.Slot) attempt {
	result := admitter.ResultFailed
	defer func() { slot.Release(result) }()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	l := x.f.line(slot.Address)
	if !x.idempotent {
		l.distrust()
	}
	impatience := x.impatience(cancel)
	defer impatience.Stop()
	t := &tracker{onReuse: func() { impatience.Reset(x.patience(slot)) }}
	body := x.body.reader()
	req := x.outgoing(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), slot.Address, body)
	res, err := l.transport.RoundTrip(req)
	impatience.Stop()
	if err != nil {
		if t.wrote() && t.isReused() {
			// The other idle connections may be as silent as this one.
			l.transport.CloseIdleConnections()
		}
		if x.r.Context().Err() != nil || errors.Is(err, errNoConnection) {
			result = admitter.ResultUnused
		}
		return attempt{refusal: x.failure(err, t.wrote()), bodyUsed: t.wrote()}
	}
	defer func() { _ = res.Body.Close() }()
	a := x.answer(res)
	a.bodyUsed = true
	if a.refusal == nil {
		result = admitter.ResultOK
		l.noteAnswer()
	}
	return a
}

// Bounds of the time to the first byte of an answer over a connection that was
// used before.
const (
	leastPatience    = 100 * time.Millisecond
	patienceLatency  = 10  // times the upstream's usual latency
	patienceDeadline = 0.5 // share of the time that the request has left
)

// impatience returns a stopped timer that cancels an attempt. Only an attempt of
// an idempotent request is ever given up early: it can be sent again over a new
// connection.
func (x *exchange) impatience(cancel context.CancelFunc) *time.Timer {
	timer := time.AfterFunc(time.Hour, func() {
		if x.idempotent {
			cancel()
		}
	})
	timer.Stop()
	return timer
}

// patience returns how long an attempt over a connection that was used before
// may go without the first byte of an answer.
func (x *exchange) patience(slot *admitter.Slot) time.Duration {
	patience := max(leastPatience, patienceLatency*slot.Latency)
	if deadline, ok := x.ctx.Deadline(); ok {
		left := time.Duration(patienceDeadline * float64(time.Until(deadline)))
		patience = min(patience, left)
	}
	return patience
}

// outgoing builds the request to the upstream.
func (x *exchange) outgoing(ctx context.Context, address string, body io.ReadCloser) *http.Request {
	req := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        outgoingHeader(x.r, x.requestID),
		Host:          x.r.Host,
		Body:          body,
		ContentLength: x.r.ContentLength,
	}
	if x.body.isWhole() {
		req.ContentLength = int64(len(x.body.head))
	}
	if req.ContentLength == 0 && x.idempotent {
		req.Body = http.NoBody
	}
	return req.WithContext(ctx)
}

// failure turns an error of the exchange with the upstream into a refusal.
func (x *exchange) failure(err error, wrote bool) *refusal {
	if !wrote {
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

// answer passes the upstream's answer on. Until the first bytes are sent to the
// caller a fault is a refusal; after that the caller's connection is aborted,
// so that a truncated answer never looks whole.
func (x *exchange) answer(res *http.Response) attempt {
	if id := res.Header.Get(carobrock.HeaderRequestID); id != "" && id != x.requestID {
		return attempt{refusal: unknown(http.StatusBadGateway, "the upstream answered another request")}
	}
	if res.StatusCode == http.StatusSwitchingProtocols {
		return attempt{refusal: unknown(http.StatusBadGateway, "the upstream switched protocols")}
	}
	buf, _ := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	n, err := fill(res.Body, *buf)
	whole := errors.Is(err, io.EOF)
	if err != nil && !whole {
		return attempt{refusal: x.failure(err, true)}
	}
	x.writeHeader(res)
	x.passOn((*buf)[:n])
	if whole {
		return attempt{}
	}
	x.stream(res, *buf)
	return attempt{}
}

// fill reads until buf is full or the reader fails. Unlike io.ReadFull it returns
// the reader's own error, which tells the end of a body from a broken connection.
func fill(r io.Reader, buf []byte) (int, error) {
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

// bufferBytes is the size of the buffers for answers.
const bufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

func (x *exchange) writeHeader(res *http.Response) {
	removeHopByHop(res.Header)
	h := x.w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	h.Set(carobrock.HeaderRequestID, x.requestID)
	if x.recorder != nil {
		x.recorder.begin(res)
	}
	x.w.WriteHeader(res.StatusCode)
}

// writeTimeout bounds how long a caller may take to read a part of an answer.
const writeTimeout = 30 * time.Second

// passOn sends a part of the body to the caller.
func (x *exchange) passOn(p []byte) {
	if len(p) == 0 {
		return
	}
	if x.recorder != nil {
		x.recorder.add(p)
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.w.Write(p); err != nil {
		x.abort("the caller does not read")
	}
}

// stream passes the rest of the body on in constant memory.
func (x *exchange) stream(res *http.Response, buf []byte) {
	for {
		n, err := res.Body.Read(buf)
		x.passOn(buf[:n])
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			x.abort("the upstream's answer broke off")
		}
	}
}

// abort ends the caller's connection.
func (x *exchange) abort(reason string) {
	x.f.Counts.Aborted.Add(1)
	x.f.Logger.Debug().Str("requestId", x.requestID).Str("reason", reason).Msg("forwarder: answer aborted")
	panic(http.ErrAbortHandler)
}
