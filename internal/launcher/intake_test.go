package launcher

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/limiter"
)

// startLimitedEndpoint runs an endpoint until stop is called.
func startLimitedEndpoint(t *testing.T, limits limiter.Limits, h http.HandlerFunc) (e *Endpoint, l *pipeListener, stop func()) {
	t.Helper()
	l = newPipeListener()
	e = &Endpoint{Handler: h, Limits: limits, Logger: zerolog.Nop()}
	e.prepare(l)
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	group.Go(func() {
		if err := e.Run(ctx); err != nil {
			t.Errorf("endpoint ended with %v", err)
		}
	})
	return e, l, func() { cancel(); group.Wait() }
}

// response is what a client sees of a request: the status, 0 if there was no response,
// and when the connection ended after it was sent, at most 10 minutes.
type response struct {
	status     int
	retryAfter string
	closed     time.Duration
}

// exchange sends data and reads one response and the end of the connection.
func exchange(c net.Conn, data string) (r response) {
	start := time.Now()
	group := conc.NewWaitGroup()
	group.Go(func() { _, _ = io.WriteString(c, data) }) // the endpoint may close the connection
	_ = c.SetReadDeadline(start.Add(10 * time.Minute))
	reader := bufio.NewReader(c)
	if resp, err := http.ReadResponse(reader, nil); err == nil {
		r.status, r.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	_, _ = io.Copy(io.Discard, reader)
	r.closed = time.Since(start)
	_ = c.Close()
	group.Wait()
	return r
}

// Guards against requests that exceed a limit and are taken, and against a status that
// says that a request was refused although the handler has seen it.
func TestRequestsAboveTheLimits(t *testing.T) {
	const second = time.Second
	fields := func(n int) string { return strings.Repeat("X: y\r\n", n) }
	for _, test := range []struct {
		name     string
		inForce  carobrock.RequestLimits
		data     string
		status   int
		isServed bool
		maxTime  time.Duration // until the connection is closed
	}{
		{"header within the limits", carobrock.RequestLimits{}, "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 15_000) + "\r\n\r\n", 200, true, 16 * second},
		{"many fields within the limits", carobrock.RequestLimits{}, "GET / HTTP/1.1\r\nHost: h\r\n" + fields(200) + "\r\n", 200, true, 16 * second},
		{"large header", carobrock.RequestLimits{}, "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 40_000) + "\r\n\r\n", 431, false, second},
		{"many fields", carobrock.RequestLimits{}, "GET / HTTP/1.1\r\nHost: h\r\n" + fields(300) + "\r\n", 431, false, second},
		{"header above that in force", carobrock.RequestLimits{MaxHeaderBytes: 1000}, "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2000) + "\r\n\r\n", 431, false, second},
		{"header within that in force", carobrock.RequestLimits{MaxHeaderBytes: 50_000}, "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 40_000) + "\r\n\r\n", 200, true, 16 * second},
		{"header without an end", carobrock.RequestLimits{}, "GET / HTTP/1.1\r\nHost: h\r\n", 0, false, 4 * second},
		{"header time in force", carobrock.RequestLimits{HeaderTimeoutMillis: 1000}, "GET / HTTP/1.1\r\nHost: h\r\n", 0, false, 2 * second},
		{"nothing", carobrock.RequestLimits{}, "", 0, false, 6 * second},
		{"idle time in force", carobrock.RequestLimits{IdleTimeoutMillis: 2000}, testRequest, 200, true, 3 * second},
		{"announced body", carobrock.RequestLimits{}, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262145\r\n\r\n", 413, false, second},
		{"announced body above that in force", carobrock.RequestLimits{MaxBodyBytes: 3}, testRequest, 413, false, second},
		{"chunked body", carobrock.RequestLimits{MaxBodyBytes: 3}, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 413, true, second},
		{"body that stops short", carobrock.RequestLimits{}, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbody", 408, true, 7 * second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				isServed := false
				e, l, stop := startLimitedEndpoint(t, limiter.Derive(184, 4100).Callers, func(w http.ResponseWriter, r *http.Request) {
					isServed = true
					var tooLarge *http.MaxBytesError
					switch _, err := io.ReadAll(r.Body); {
					case errors.As(err, &tooLarge):
						w.WriteHeader(http.StatusRequestEntityTooLarge)
					case errors.Is(err, os.ErrDeadlineExceeded):
						w.WriteHeader(http.StatusRequestTimeout)
					case err != nil:
						t.Errorf("body: %v", err)
					}
				})
				defer stop()
				e.RequestLimits = func() carobrock.RequestLimits { return test.inForce }
				r := exchange(l.dial(), test.data)
				if r.status != test.status || isServed != test.isServed || r.closed > test.maxTime {
					t.Errorf("status %d, served %t, closed after %v; want %d, %t, at most %v", r.status, isServed, r.closed, test.status, test.isServed, test.maxTime)
				}
			})
		})
	}
}

// Guards against a slow body of legal size that is cut although it keeps the minimum
// rate, and against one below it that holds its connection.
func TestMinimumRateOfABody(t *testing.T) {
	for _, test := range []struct {
		bytesPerSecond int
		status         int
	}{{8192, 200}, {1024, 408}} {
		synctest.Test(t, func(t *testing.T) {
			_, l, stop := startLimitedEndpoint(t, limiter.Derive(184, 4100).Callers, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusRequestTimeout)
				}
			})
			defer stop()
			c := l.dial()
			group := conc.NewWaitGroup()
			defer group.Wait()
			group.Go(func() {
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\nConnection: close\r\n\r\n")
				for sent := 0; sent < 262144; sent += test.bytesPerSecond {
					if _, err := c.Write(make([]byte, test.bytesPerSecond)); err != nil {
						return
					}
					time.Sleep(time.Second)
				}
			})
			if r := exchange(c, ""); r.status != test.status {
				t.Errorf("%d bytes per second: status %d after %v, want %d", test.bytesPerSecond, r.status, r.closed, test.status)
			}
		})
	}
}

// Guards against a client that does not take its response and holds the connection.
func TestSlowReaderIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wrote error
		e, l, stop := startLimitedEndpoint(t, limiter.Derive(184, 4100).Callers, func(w http.ResponseWriter, _ *http.Request) {
			_, wrote = w.Write(make([]byte, 100_000))
		})
		defer stop()
		c := l.dial()
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, testRequest); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if n := e.IntakeCounts(); n.Connections != 0 || n.Refused["slowReader"] == 0 || wrote == nil {
			t.Errorf("%+v, write error %v; want no connection", n, wrote)
		}
	})
}

// Guards against unlimited pipelining, and against closing the connection of a client
// that waits for each response.
func TestPipelinedRequests(t *testing.T) {
	for _, test := range []struct {
		name        string
		isPipelined bool
		want        int
	}{{"pipelined", true, maxPipelinedForTest + 2}, {"one after the other", false, 100}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, l, stop := startLimitedEndpoint(t, limiter.Derive(184, 4100).Callers, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
				defer stop()
				c := l.dial()
				defer func() { _ = c.Close() }()
				group := conc.NewWaitGroup()
				defer group.Wait()
				const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
				if test.isPipelined {
					group.Go(func() { _, _ = io.WriteString(c, strings.Repeat(request, 100)) }) // the endpoint closes the connection
				}
				answered := 0
				for r := bufio.NewReader(c); answered < 100; answered++ {
					if !test.isPipelined {
						if _, err := io.WriteString(c, request); err != nil {
							break
						}
					}
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						break
					}
					_ = resp.Body.Close()
				}
				_ = c.Close()
				if answered != test.want {
					t.Errorf("%d requests answered, want %d", answered, test.want)
				}
			})
		})
	}
}

const maxPipelinedForTest = 16

// Guards against a refusal that is not true, and against requests in flight without a
// limit.
func TestRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := limiter.Derive(184, 4100).Callers
		limits.MaxRequests = 3
		served := 0
		release := make(chan struct{})
		_, l, stop := startLimitedEndpoint(t, limits, func(w http.ResponseWriter, _ *http.Request) {
			served++
			<-release
			w.WriteHeader(http.StatusOK)
		})
		defer stop()
		group := conc.NewWaitGroup()
		for range limits.MaxRequests {
			c := l.dial()
			group.Go(func() {
				if r := exchange(c, testRequest); r.status != http.StatusOK {
					t.Errorf("status %d, want 200", r.status)
				}
			})
			synctest.Wait()
		}
		if r := exchange(l.dial(), testRequest); r.status != http.StatusServiceUnavailable || r.retryAfter == "" || served != limits.MaxRequests {
			t.Errorf("status %d, Retry-After %q, %d served; want 503 and %d", r.status, r.retryAfter, served, limits.MaxRequests)
		}
		close(release)
		group.Wait()
	})
}

// Guards against closing connections that are in use to make room, and against silent
// ones that keep others out.
func TestConnectionsAboveTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := limiter.Derive(184, 4100).Callers
		limits.MaxConns, limits.MaxConnsPerSource = 4, 4
		release := make(chan struct{})
		e, l, stop := startLimitedEndpoint(t, limits, func(w http.ResponseWriter, _ *http.Request) {
			<-release
			w.WriteHeader(http.StatusOK)
		})
		defer stop()
		inUse := conc.NewWaitGroup()
		for range 2 {
			c := l.dial()
			inUse.Go(func() {
				if r := exchange(c, testRequest); r.status != http.StatusOK {
					t.Errorf("connection in use: status %d, want 200", r.status)
				}
			})
		}
		silent := []net.Conn{l.dial(), l.dial()}
		synctest.Wait()
		if r := exchange(l.dial(), testRequest); r.status != 0 || r.closed > time.Second {
			t.Errorf("while none is slow: status %d after %v, want none", r.status, r.closed)
		}
		time.Sleep(2 * slowConnTime)
		inUse.Go(func() {
			if r := exchange(l.dial(), testRequest); r.status != http.StatusOK {
				t.Errorf("in place of a silent connection: status %d, want 200", r.status)
			}
		})
		synctest.Wait()
		n := e.IntakeCounts()
		if n.Connections != 4 || n.Requests != 3 || n.Refused["connections"] != 1 || n.Refused["evicted"] != 1 {
			t.Errorf("%+v, want 4 connections, 3 requests, one refused and one evicted", n)
		}
		close(release)
		inUse.Wait()
		for _, c := range silent {
			_ = c.Close()
		}
		synctest.Wait()
		if n := e.IntakeCounts(); n.Connections != 0 || n.Requests != 0 || n.Budget.HeldBytes != 0 {
			t.Errorf("%+v after all have left, want nothing", n)
		}
	})
}

// Guards against a response that is cut because the request took long, after 100 Continue
// was written.
func TestResponseAfterALongRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, l, stop := startLimitedEndpoint(t, limiter.Derive(184, 4100).Callers, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				t.Errorf("body: %v", err)
			}
			time.Sleep(20 * time.Second)
			w.WriteHeader(http.StatusOK)
		})
		defer stop()
		c := l.dial()
		defer func() { _ = c.Close() }()
		if _, status := sendAndReceive(c, 0, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"); status != http.StatusContinue {
			t.Fatalf("status %d, want 100", status)
		}
		time.Sleep(4 * time.Second)
		if _, status := sendAndReceive(c, 0, "body"); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	})
}

// Guards against closing a connection to make room, because it was idle before the
// request that it has begun to send.
func TestRequestAfterIdleTimeIsNotSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := limiter.Derive(184, 4100).Callers
		limits.MaxConns, limits.MaxConnsPerSource = 1, 1
		_, l, stop := startLimitedEndpoint(t, limits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		defer stop()
		c := l.dial()
		defer func() { _ = c.Close() }()
		if _, status := sendAndReceive(c, 0, testRequest); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
		time.Sleep(2 * idleConnTime)
		if _, err := io.WriteString(c, testRequest[:20]); err != nil {
			t.Fatal(err)
		}
		if r := exchange(l.dial(), testRequest); r.status != 0 {
			t.Errorf("another connection: status %d, want none", r.status)
		}
		if _, status := sendAndReceive(c, 0, testRequest[20:]); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	})
}

// Guards against refusing callers of a usual burst: 780 connections, payloads of 4,000
// bytes in two parts, all waiting for the leader at the same time.
func TestUsualBurstIsServed(t *testing.T) {
	for _, memoryMB := range []int64{184, 284, 408} {
		synctest.Test(t, func(t *testing.T) {
			const callers, payload = 780, 4000
			e, l, stop := startLimitedEndpoint(t, limiter.Derive(memoryMB, 4100).Callers, func(w http.ResponseWriter, r *http.Request) {
				held := limiter.FromContext(r.Context())
				if err := held.Reserve(12 << 10); err != nil {
					t.Errorf("no memory: %v", err)
				}
				if n, err := io.Copy(io.Discard, r.Body); n != payload || err != nil {
					t.Errorf("%d bytes, %v", n, err)
				}
				done, err := held.StartDecoding(r.Context(), 3*payload+40*512)
				if err != nil {
					t.Errorf("no memory to decode: %v", err)
					return
				}
				time.Sleep(5 * time.Millisecond)
				done()
				time.Sleep(time.Second)
				w.WriteHeader(http.StatusOK)
			})
			defer stop()
			group := conc.NewWaitGroup()
			for range callers {
				c := l.dial()
				group.Go(func() {
					defer func() { _ = c.Close() }()
					for range 3 {
						head := fmt.Sprintf("POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", payload)
						if _, status := sendAndReceive(c, 300*time.Millisecond, head+strings.Repeat("x", payload/2), strings.Repeat("x", payload/2)); status != http.StatusOK {
							t.Errorf("status %d, want 200", status)
						}
						time.Sleep(time.Second)
					}
				})
			}
			group.Wait()
			for cause, n := range e.IntakeCounts().Refused {
				if n > 0 {
					t.Errorf("%d refusals: %s", n, cause)
				}
			}
		})
	}
}
