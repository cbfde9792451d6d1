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

// TestLateAnswer: an upstream answers after the timeout on the connection that
// the request came on. The next caller must not get that answer.
func TestLateAnswer(t *testing.T) {
	u := newRawUpstream(t, func(c net.Conn, n int, r *http.Request) {
		if n == 1 {
			time.Sleep(2 * testTimeout)
			whole(c, r, "for the first")
			return
		}
		whole(c, r, "for "+r.URL.Path)
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

// TestIdleConnectionCloses: the upstream closes idle connections just as the
// next request is written. A request that is not idempotent runs at most once.
func TestIdleConnectionCloses(t *testing.T) {
	u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) {
		whole(c, r, r.URL.Path)
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
				t.Errorf("request %d got the answer of %s", i, content)
			}
		case "notRun":
			notRun++
		}
		time.Sleep(time.Duration(i%3) * time.Millisecond / 2)
	}
	if ran := u.ran(); ran < answered || ran > n-notRun {
		t.Errorf("%d runs, %d answered, %d told \"not run\" of %d", ran, answered, notRun, n)
	}
}

// TestSilentConnections: all open connections to the upstream go silent for
// good, while new ones work. An idempotent request is answered all the same; of
// the others, those that come after a pause are, too, and never does one run
// twice.
func TestSilentConnections(t *testing.T) {
	for _, method := range []string{http.MethodPut, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var mu sync.Mutex
			silent := map[net.Conn]bool{}
			var seen []net.Conn
			u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) {
				mu.Lock()
				seen = append(seen, c)
				quiet := silent[c]
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				if !quiet {
					whole(c, r, r.URL.Path)
				}
			})
			_, s := newForwarder(t, nil, 8, u.address())
			group := conc.NewWaitGroup()
			for i := range 8 {
				group.Go(func() { call(t, s.URL+fmt.Sprint("/", i), method, "", "") })
			}
			group.Wait()
			mu.Lock()
			for _, c := range seen {
				silent[c] = true
			}
			mu.Unlock()
			if method == http.MethodPost {
				time.Sleep(freshAfter + 100*time.Millisecond)
			}
			before := u.ran()
			for i := range 5 {
				path := fmt.Sprint("/after", i)
				if got, content := call(t, s.URL+path, method, "", ""); got != "whole" || content != path {
					t.Errorf("request %d got %q, %q", i, got, content)
				}
			}
			if ran := u.ran() - before; method == http.MethodPost && ran != 5 {
				t.Errorf("%d runs of 5 requests that cannot be repeated", ran)
			}
		})
	}
}
