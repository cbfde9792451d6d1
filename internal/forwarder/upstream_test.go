package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/admitter"
	"github.com/carobrock/carobrock/internal/router"
	"github.com/carobrock/carobrock/internal/watcher"
)

// rawUpstream is an upstream that speaks byte by byte, so that it can misbehave
// in any way. It counts the requests that it has read whole: each counts as run.
type rawUpstream struct {
	listener net.Listener
	group    *conc.WaitGroup
	// answer is called for each request, with its number, from 1.
	answer func(conn net.Conn, n int, r *http.Request)

	mu    sync.Mutex
	runs  int
	conns []net.Conn
	most  int // connections open at a time
	open  int
}

func newRawUpstream(t *testing.T, answer func(conn net.Conn, n int, r *http.Request)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{listener: l, group: conc.NewWaitGroup(), answer: answer}
	u.group.Go(u.accept)
	t.Cleanup(u.close)
	return u
}

func (u *rawUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.open++
		u.most = max(u.most, u.open)
		u.mu.Unlock()
		u.group.Go(func() { u.serve(conn) })
	}
}

func (u *rawUpstream) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
	}()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		u.mu.Lock()
		u.runs++
		n := u.runs
		u.mu.Unlock()
		u.answer(conn, n, r)
	}
}

func (u *rawUpstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for _, c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	u.group.Wait()
}

func (u *rawUpstream) ran() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs
}

func (u *rawUpstream) address() string { return u.listener.Addr().String() }

// whole is a complete answer.
func whole(conn net.Conn, r *http.Request, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		carobrock.HeaderRequestID, r.Header.Get(carobrock.HeaderRequestID), len(body), body)
}

// fixedView is a configuration that does not change.
type fixedView struct {
	catalog *watcher.Catalog
	fresh   bool
	grants  bool
}

func (v *fixedView) Current() *watcher.Catalog { return v.catalog }
func (v *fixedView) IsFresh() bool             { return v.fresh }
func (v *fixedView) HoldsGrants() bool         { return v.grants }

// testTimeout is the route's timeout in these tests.
const testTimeout = 300 * time.Millisecond

func newCatalog(slots int, addresses ...string) *watcher.Catalog {
	c := &watcher.Catalog{
		Index: 1, GrantsVersion: 1, Upstreams: map[string]*watcher.Upstream{},
		Routes: router.New([]carobrock.Route{{Name: "r", PathPrefix: "/", Pool: "p", TimeoutMillis: testTimeout.Milliseconds()}}),
	}
	p := &watcher.PoolView{Pool: carobrock.Pool{Name: "p"}}
	for _, a := range addresses {
		u := &watcher.Upstream{Address: a, Slots: slots, Connections: slots, Usable: true}
		c.Upstreams[a] = u
		p.Upstreams = append(p.Upstreams, u)
	}
	c.Pools = map[string]*watcher.PoolView{"p": p}
	return c
}

// newForwarder serves callers of a pool with the given upstreams.
func newForwarder(t *testing.T, keys KeyKeeper, slots int, addresses ...string) (*Forwarder, *httptest.Server) {
	t.Helper()
	var mu sync.Mutex
	n := 0
	f := &Forwarder{
		View:     &fixedView{catalog: newCatalog(slots, addresses...), fresh: true, grants: true},
		Admitter: &admitter.Admitter{}, Keys: keys, Logger: zerolog.Nop(),
		NewRequestID: func() string {
			mu.Lock()
			defer mu.Unlock()
			n++
			return fmt.Sprintf("id-%d", n)
		},
	}
	f.Update(f.View.Current())
	s := httptest.NewServer(f)
	t.Cleanup(func() {
		f.Close()
		s.Close()
	})
	return f, s
}

// memoryKeys is a KeyKeeper without a control group, with the same rules.
type memoryKeys struct {
	mu   sync.Mutex
	rows map[string]*carobrock.KeyChange
	done map[string]bool
}

func (m *memoryKeys) ChangeKey(_ context.Context, ch carobrock.KeyChange) (carobrock.KeyResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.rows[ch.Key]
	switch {
	case ch.Action == carobrock.KeyActionClaim && row == nil:
		m.rows[ch.Key] = &ch
	case ch.Action == carobrock.KeyActionClaim && m.done[ch.Key]:
		return carobrock.KeyResult{State: carobrock.KeyDone, Answer: row.Answer, Mismatch: row.Fingerprint != ch.Fingerprint}, nil
	case ch.Action == carobrock.KeyActionClaim:
		return carobrock.KeyResult{State: carobrock.KeyClaimed}, nil
	case ch.Action == carobrock.KeyActionComplete:
		row.Answer, m.done[ch.Key] = ch.Answer, true
	default:
		delete(m.rows, ch.Key)
	}
	return carobrock.KeyResult{Granted: true}, nil
}

func newMemoryKeys() *memoryKeys {
	return &memoryKeys{rows: map[string]*carobrock.KeyChange{}, done: map[string]bool{}}
}

// caller sends a request and describes what it got: "whole" for a complete
// answer, "notRun" or "unknown" for a refusal, "broken" for an answer that
// visibly broke off.
func call(t *testing.T, url, method, key, body string) (got, content string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set(carobrock.HeaderIdempotencyKey, key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "broken", ""
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return "broken", string(data)
	}
	if outcome := res.Header.Get(carobrock.HeaderOutcome); outcome != "" {
		return outcome, string(data)
	}
	return "whole", string(data)
}
