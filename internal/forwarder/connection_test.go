package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestLateAnswer checks that a response that arrives after the timeout of its
// request is not delivered to the next caller.
func TestLateAnswer(t *testing.T) {
	u := newRawUpstream(t, func(c net.Conn, n int, r *http.Request) {
		if n == 1 {
			time.Sleep(2 * testTimeout)
			writeResponse(c, r, "for the first")
			return
		}
		writeResponse(c, r, "for "+r.URL.Path)
	})
	_, s := newForwarder(t, nil, 4, u.address())
	if got, _ := call(t, s.URL+"/first", http.MethodPost, "", ""); got != "unknown" {
		t.Errorf("first caller got %q, want unknown", got)
	}
	for i := range 20 {
		path := fmt.Sprintf("/caller%d", i)
		got, content := call(t, s.URL+path, http.MethodPost, "", "")
		if got != "whole" || content != "for "+path {
			t.Errorf("caller of %s got %q, %q", path, got, content)
		}
		time.Sleep(testTimeout / 10)
	}
}

// TestIdleConnectionCloses checks that a non-idempotent request runs at most once
// while the upstream closes idle connections at the moment the next request is
// written.
func TestIdleConnectionCloses(t *testing.T) {
	u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) {
		writeResponse(c, r, r.URL.Path)
		time.Sleep(time.Millisecond)
		_ = c.Close()
	})
	_, s := newForwarder(t, nil, 4, u.address())
	answered, notRun := 0, 0
	const n = 300
	for i := range n {
		got, content := call(t, s.URL+fmt.Sprint("/", i), http.MethodPost, "k", "")
		switch got {
		case "whole":
			answered++
			if content != fmt.Sprint("/", i) {
				t.Errorf("request %d got the response to %s", i, content)
			}
		case "notRun":
			notRun++
		}
		time.Sleep(time.Duration(i%3) * time.Millisecond / 2)
	}
	if ran := u.runCount(); ran < answered || ran > n-notRun {
		t.Errorf("%d runs, %d requests answered, %d refused as \"notRun\", of %d requests", ran, answered, notRun, n)
	}
}

// TestSilentConnections checks requests after all open connections to the
// upstream stop responding while new connections work. Idempotent requests are
// answered at once, non-idempotent requests after a pause of idleReuseWindow, and none
// of the latter runs twice.
func TestSilentConnections(t *testing.T) {
	for _, method := range []string{http.MethodPut, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var mu sync.Mutex
			silent := map[net.Conn]bool{}
			var conns []net.Conn
			u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) {
				mu.Lock()
				conns = append(conns, c)
				isSilent := silent[c]
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				if !isSilent {
					writeResponse(c, r, r.URL.Path)
				}
			})
			_, s := newForwarder(t, nil, 8, u.address())
			group := conc.NewWaitGroup()
			for i := range 8 {
				group.Go(func() { call(t, s.URL+fmt.Sprint("/", i), method, "", "") })
			}
			group.Wait()
			mu.Lock()
			for _, c := range conns {
				silent[c] = true
			}
			mu.Unlock()
			if method == http.MethodPost {
				time.Sleep(idleReuseWindow + 100*time.Millisecond)
			}
			before := u.runCount()
			for i := range 5 {
				path := fmt.Sprint("/after", i)
				if got, content := call(t, s.URL+path, method, "", ""); got != "whole" || content != path {
					t.Errorf("request %d got %q, %q", i, got, content)
				}
			}
			if ran := u.runCount() - before; method == http.MethodPost && ran != 5 {
				t.Errorf("%d runs of 5 non-idempotent requests", ran)
			}
		})
	}
}
