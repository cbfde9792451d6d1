package launcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock/internal/limiter"
)

// cause is why a request or a connection was refused.
type cause int

const (
	causeNone cause = iota
	causeConnections
	causeEvicted
	causeRequests
	causeHeader
	causeBody
	causeSlowBody
	causeSlowReader
	causeMemory
	causeDocument
	causePipelined
	causeCount
)

// causeNames are the names of the causes in counters and in the log.
var causeNames = [causeCount]string{
	causeConnections: "connections", causeEvicted: "evicted", causeRequests: "requests", causeHeader: "header", causeBody: "body",
	causeSlowBody: "slowBody", causeSlowReader: "slowReader", causeMemory: "memory", causeDocument: "document", causePipelined: "pipelined",
}

// refusals counts what was refused, by cause.
type refusals [causeCount]atomic.Int64

func (r *refusals) add(c cause) { r[c].Add(1) }

// counts returns the current values by the name of the cause.
func (r *refusals) counts() map[string]int64 {
	out := map[string]int64{}
	for c := causeNone + 1; c < causeCount; c++ {
		out[causeNames[c]] = r[c].Load()
	}
	return out
}

// IntakeCounts is a snapshot of the counters of an Endpoint.
type IntakeCounts struct {
	Connections int                  `json:"connections"`
	Requests    int64                `json:"requests"` // in flight
	Budget      limiter.BudgetCounts `json:"budget"`
	// Refused counts refused requests and closed connections by cause.
	Refused map[string]int64 `json:"refused"`
}

// IntakeCounts returns the current values of the counters.
func (e *Endpoint) IntakeCounts() IntakeCounts {
	e.mu.Lock()
	conns := len(e.conns)
	e.mu.Unlock()
	return IntakeCounts{Connections: conns, Requests: e.requests.Load(), Budget: e.budget.Counts(), Refused: e.refusals.counts()}
}

// refusalLogInterval is the interval at which refusals are logged, in one line with their
// numbers.
const refusalLogInterval = 5 * time.Second

// logRefusals logs the numbers of refusals until ctx ends, when there are new ones.
func (e *Endpoint) logRefusals(ctx context.Context) {
	ticker := time.NewTicker(refusalLogInterval)
	defer ticker.Stop()
	last := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current := e.refusals.counts()
		causes, sum := zerolog.Dict(), int64(0)
		for name, n := range current {
			if n > last[name] {
				causes.Int64(name, n-last[name])
				sum += n - last[name]
			}
		}
		last = current
		if sum > 0 {
			e.Logger.Warn().Str("endpoint", e.Name).Dict("causes", causes).Int64("heldBytes", e.budget.Counts().HeldBytes).
				Msg("endpoint: clients refused")
		}
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// startRequest prepares r for a handler: its body is limited. The cause of the returned
// body is why the request must be refused, causeNone if it need not. end must be called
// after the handler.
func (e *Endpoint) startRequest(w http.ResponseWriter, r *http.Request) (body *meteredBody, end func()) {
	c, _ := r.Context().Value(connKey{}).(*trackedConn)
	body = &meteredBody{ReadCloser: r.Body, conn: c, limit: e.requestLimits().bodyBytes, header: w.Header()}
	body.held = &limiter.Request{Holder: c.holder, Decoder: e.decoder, MaxBodyBytes: body.limit}
	body.held.OnRefused = func(forMemory bool) {
		if forMemory {
			e.refusals.add(causeMemory)
			return
		}
		e.refusals.add(causeDocument)
	}
	r.Body = body
	inFlight := e.requests.Add(1)
	switch {
	case r.ContentLength > body.limit:
		body.cause = causeBody
	case inFlight > int64(e.Limits.MaxRequests):
		body.cause = causeRequests
	}
	if c.startRequest() > e.Limits.MaxPipelined {
		e.refusals.add(causePipelined)
		w.Header().Set("Connection", "close")
	}
	return body, func() {
		if body.err == nil && r.ContentLength != 0 {
			body.stop()
		}
		body.held.Close()
		e.requests.Add(-1)
	}
}

// startRequest returns the number of requests in a row that were pipelined.
func (c *trackedConn) startRequest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.header.isFresh {
		c.header.pipelined = 0
	} else {
		c.header.pipelined++
	}
	c.transfer = transferMeter{}
	return c.header.pipelined
}

// refuse responds to a request that was not executed.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refuseRequest responds to a request that exceeds a limit, before its body is read.
func (e *Endpoint) refuseRequest(w http.ResponseWriter, body *meteredBody) {
	e.refusals.add(body.cause)
	w.Header().Set("Connection", "close")
	if body.cause == causeBody {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	refuse(w)
}

// meteredBody limits the size of a body and the time in which it must arrive.
type meteredBody struct {
	io.ReadCloser
	conn  *trackedConn
	held  *limiter.Request
	limit int64
	// cause is why the request is refused.
	cause  cause
	header http.Header // of the response

	received     int64
	start        time.Time // of the wait for the body
	deadline     time.Time
	discardUntil time.Time // zero unless the request was refused
	err          error     // permanent
}

// newContext returns a context that carries what the request holds.
func (b *meteredBody) newContext(ctx context.Context) context.Context {
	return limiter.NewContext(ctx, b.held)
}

// isOver reports whether the rest of the body must not be read.
func (b *meteredBody) isOver() bool { return b.err != nil || b.cause == causeBody }

// startDiscarding bounds the time for which the rest of the body is read.
func (b *meteredBody) startDiscarding() {
	b.discardUntil = time.Now().Add(refusedBodyTime)
	b.deadline = time.Time{}
}

// Read implements io.Reader. It fails with *http.MaxBytesError if the body exceeds the
// limit and with os.ErrDeadlineExceeded if it arrives too slowly.
func (b *meteredBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.extendDeadline()
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	endpoint := b.conn.endpoint
	switch {
	case b.received > b.limit:
		endpoint.refusals.add(causeBody)
		err = &http.MaxBytesError{Limit: b.limit}
	case errors.Is(err, os.ErrDeadlineExceeded):
		endpoint.refusals.add(causeSlowBody)
	}
	if err != nil {
		b.err = err
		b.stop()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.header.Set("Connection", "close")
	}
	return n, err
}

// extendDeadline sets the deadline of the next read according to what has arrived.
func (b *meteredBody) extendDeadline() {
	if b.start.IsZero() {
		b.start = time.Now()
		b.held.Holder.StartWaiting()
		b.conn.setReading(b.start)
	}
	deadline := b.start.Add(transferTime(b.received, &b.conn.endpoint.Limits))
	if !b.discardUntil.IsZero() {
		deadline = b.discardUntil
	}
	if deadline.Sub(b.deadline) > time.Second/4 {
		b.deadline = deadline
		_ = b.conn.SetReadDeadline(deadline) // fails only if the connection is closed
	}
}

// stop ends the wait for the body. The server reads the rest of a body that is not at
// its end, which must not last long either.
func (b *meteredBody) stop() {
	deadline := time.Time{}
	if !errors.Is(b.err, io.EOF) {
		deadline = time.Now().Add(refusedBodyTime)
	}
	_ = b.conn.SetReadDeadline(deadline) // fails only if the connection is closed
	if b.start.IsZero() {
		return
	}
	b.start = time.Time{}
	b.held.Holder.StopWaiting()
	b.conn.setReading(time.Time{})
}

// setReading records the start of the wait for a body, zero at its end.
func (c *trackedConn) setReading(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transfer.reading = t
}
