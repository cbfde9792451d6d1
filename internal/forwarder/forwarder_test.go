package forwarder

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// TestUpstreamFaults checks that the outcome reported to the caller agrees with
// the number of runs at an upstream that fails as each case describes. It sends
// idempotent requests, non-idempotent ones, and non-idempotent ones with an
// idempotency key.
func TestUpstreamFaults(t *testing.T) {
	const good = "the whole answer"
	tests := []struct {
		name    string
		respond func(conn net.Conn, n int, r *http.Request)
		// want is the outcome of idempotent requests, wantNonIdempotent that of
		// the others.
		want, wantNonIdempotent string
		// maxRuns is the maximum number of runs of an idempotent request.
		maxRuns int
	}{
		{"responds correctly", func(c net.Conn, _ int, r *http.Request) { writeResponse(c, r, good) }, "whole", "whole", 1},
		{"never responds", func(net.Conn, int, *http.Request) { time.Sleep(2 * testTimeout) }, "unknown", "unknown", 1},
		{"closes after the request", func(c net.Conn, n int, r *http.Request) {
			if n == 1 {
				_ = c.Close()
				return
			}
			writeResponse(c, r, good)
		}, "whole", "unknown", 2},
		{"closes after every request", func(c net.Conn, _ int, _ *http.Request) { _ = c.Close() }, "unknown", "unknown", maxAttempts},
		{"responds with another request's ID", func(c net.Conn, n int, r *http.Request) {
			if n == 1 {
				r.Header.Set(carobrock.HeaderRequestID, "another")
			}
			writeResponse(c, r, good)
		}, "whole", "unknown", 2},
		{"truncates by length", func(c net.Conn, n int, r *http.Request) {
			if n == 1 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
				_ = c.Close()
				return
			}
			writeResponse(c, r, good)
		}, "whole", "unknown", 2},
		{"truncates a chunked response", func(c net.Conn, n int, r *http.Request) {
			if n == 1 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
				_ = c.Close()
				return
			}
			writeResponse(c, r, good)
		}, "whole", "unknown", 2},
		{"resets the connection within the response", func(c net.Conn, n int, r *http.Request) {
			if n == 1 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				return
			}
			writeResponse(c, r, good)
		}, "whole", "unknown", 2},
		{"truncates a large response", func(c net.Conn, _ int, _ *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 4*copyBufferBytes, strings.Repeat("x", 2*copyBufferBytes))
			_ = c.Close()
		}, "broken", "broken", 1},
		{"sends garbage", func(c net.Conn, n int, r *http.Request) {
			if n == 1 {
				fmt.Fprint(c, "no HTTP at all\r\n\r\n")
				_ = c.Close()
				return
			}
			writeResponse(c, r, good)
		}, "whole", "unknown", 2},
		{"sends oversize headers", func(c net.Conn, n int, r *http.Request) {
			if n == 1 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX: %s\r\n\r\n", strings.Repeat("x", 2*maxHeaderBytes))
				return
			}
			writeResponse(c, r, good)
		}, "whole", "unknown", 2},
		{"sends 1xx first", func(c net.Conn, _ int, r *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
			writeResponse(c, r, good)
		}, "whole", "whole", 1},
		{"switches protocols", func(c net.Conn, n int, r *http.Request) {
			if n == 1 {
				fmt.Fprint(c, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")
				return
			}
			writeResponse(c, r, good)
		}, "whole", "unknown", 2},
		{"answers 503", func(c net.Conn, _ int, _ *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}, "whole", "whole", 1},
		{"is slow within the timeout", func(c net.Conn, _ int, r *http.Request) {
			time.Sleep(testTimeout / 3)
			writeResponse(c, r, good)
		}, "whole", "whole", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, kind := range []string{"idempotent", "non-idempotent", "with key"} {
				t.Run(kind, func(t *testing.T) {
					u := newRawUpstream(t, tt.respond)
					_, s := newForwarder(t, newMemoryKeys(), 4, u.address())
					method, key, want, maxRuns := http.MethodPost, "", tt.wantNonIdempotent, 1
					switch kind {
					case "idempotent":
						method, want, maxRuns = http.MethodPut, tt.want, tt.maxRuns
					case "with key":
						key = "k1"
					}
					got, _ := call(t, s.URL+"/x", method, key, "body")
					if got != want {
						t.Errorf("the caller got %q, want %q", got, want)
					}
					checkRuns(t, got, u.runCount(), maxRuns)
					if key == "" {
						return
					}
					resend, _ := call(t, s.URL+"/x", method, key, "body")
					if u.runCount() > 1 {
						t.Errorf("%d runs after the request was resent with the same key, want at most 1", u.runCount())
					}
					if resend == "notRun" {
						t.Error("the resend was told that the request has not run")
					}
				})
			}
		})
	}
}

// checkRuns checks that the number of runs is at most the limit and agrees with
// the outcome that the caller got.
func checkRuns(t *testing.T, got string, runs, maxRuns int) {
	t.Helper()
	if runs > maxRuns {
		t.Errorf("%d runs, at most %d are allowed", runs, maxRuns)
	}
	if got == "notRun" && runs > 0 {
		t.Errorf("the caller was told \"not run\" after %d runs", runs)
	}
	if got == "whole" && runs == 0 {
		t.Error("a complete response without a run")
	}
}

// TestUnreachableUpstream checks that a request to an upstream that refuses
// connections is sent to another upstream or refused as "notRun".
func TestUnreachableUpstream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) { writeResponse(c, r, "x") })
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		_, s := newForwarder(t, nil, 4, closed)
		if got, _ := call(t, s.URL+"/x", method, "", ""); got != "notRun" {
			t.Errorf("%s without another upstream: %q, want notRun", method, got)
		}
		before := u.runCount()
		_, s = newForwarder(t, nil, 4, closed, u.address())
		for i := range 10 {
			if got, _ := call(t, s.URL+"/x", method, "", ""); got != "whole" {
				t.Errorf("%s %d with another upstream: %q, want whole", method, i, got)
			}
		}
		if got := u.runCount() - before; got != 10 {
			t.Errorf("%s: %d runs of 10 requests", method, got)
		}
	}
}

// TestLimits checks the requests that are refused before anything is sent.
func TestLimits(t *testing.T) {
	u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) { writeResponse(c, r, "x") })
	f, s := newForwarder(t, newMemoryKeys(), 4, u.address())
	f.MaxBodyBytes = 1000
	big := strings.Repeat("x", 2000)
	if got, _ := call(t, s.URL+"/x", http.MethodPost, "", big); got != "notRun" {
		t.Errorf("body above the limit: %q, want notRun", got)
	}
	if got, _ := call(t, s.URL+"/x", http.MethodPost, strings.Repeat("k", maxKeyBytes+1), ""); got != "notRun" {
		t.Errorf("key above the limit: %q, want notRun", got)
	}
	view := f.View.(*fixedView)
	view.fresh = false
	if got, _ := call(t, s.URL+"/x", http.MethodPost, "", ""); got != "notRun" {
		t.Errorf("stale configuration: %q, want notRun", got)
	}
	view.fresh, view.hasGrantLease = true, false
	if got, _ := call(t, s.URL+"/x", http.MethodPost, "", ""); got != "notRun" {
		t.Errorf("no grants: %q, want notRun", got)
	}
	req, _ := http.NewRequest(http.MethodGet, s.URL+"/x", nil)
	req.Header.Set("Upgrade", "websocket")
	req.Header.Set("Connection", "upgrade")
	res, err := http.DefaultClient.Do(req)
	if err != nil || res.StatusCode != http.StatusNotImplemented {
		t.Errorf("Upgrade: %v, %v", res, err)
	}
	if ran := u.runCount(); ran != 0 {
		t.Errorf("%d runs, want none", ran)
	}
}

// TestSlots checks that many concurrent callers never use more slots or
// connections than are granted, and that requests refused as "notRun" did not run.
func TestSlots(t *testing.T) {
	const slots = 3
	var mu sync.Mutex
	inFlight, maxInFlight := 0, 0
	u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) {
		mu.Lock()
		inFlight++
		maxInFlight = max(maxInFlight, inFlight)
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		inFlight--
		mu.Unlock()
		writeResponse(c, r, r.URL.Path)
	})
	_, s := newForwarder(t, nil, slots, u.address())
	var answered, refused, outcomeUnknown int
	group := conc.NewWaitGroup()
	const callers = 200
	for i := range callers {
		group.Go(func() {
			path := fmt.Sprint("/", i)
			got, content := call(t, s.URL+path, http.MethodPost, "", "")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got == "whole" && content == path:
				answered++
			case got == "notRun":
				refused++
			case got == "unknown":
				outcomeUnknown++
			default:
				t.Errorf("caller %d got %q, %q", i, got, content)
			}
		})
	}
	group.Wait()
	if maxInFlight > slots || u.maxOpen > slots {
		t.Errorf("%d requests and %d connections at a time, %d are granted", maxInFlight, u.maxOpen, slots)
	}
	if ran := u.runCount(); ran < answered || ran > answered+outcomeUnknown || answered+refused+outcomeUnknown != callers {
		t.Errorf("%d runs, %d answered, %d unknown, %d refused of %d", ran, answered, outcomeUnknown, refused, callers)
	}
}

// TestLargeAnswer checks that a response of 2 MiB is forwarded completely.
func TestLargeAnswer(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<17)
	u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) { writeResponse(c, r, string(body)) })
	_, s := newForwarder(t, nil, 4, u.address())
	got, content := call(t, s.URL+"/x", http.MethodGet, "", "")
	if got != "whole" || content != string(body) {
		t.Errorf("got %q with %d bytes, want %d", got, len(content), len(body))
	}
}
