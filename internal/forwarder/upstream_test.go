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

// rawUpstream is an upstream that writes raw bytes, so that it can violate the
// protocol in any way. It counts each completely received request as a run.
type rawUpstream struct {
	listener net.Listener
	group    *conc.WaitGroup
	// respond is called for each request with its number, starting at 1.
	respond func(conn net.Conn, n int, r *http.Request)

	mu      sync.Mutex
	runs    int
	conns   []net.Conn
	maxOpen int // maximum of open
	open    int // connections now open
}

func newRawUpstream(t *testing.T, respond func(conn net.Conn, n int, r *http.Request)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{listener: l, group: conc.NewWaitGroup(), respond: respond}
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
		u.maxOpen = max(u.maxOpen, u.open)
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
		u.respond(conn, n, r)
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

func (u *rawUpstream) runCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs
}

func (u *rawUpstream) address() string { return u.listener.Addr().String() }

// writeResponse writes a complete response.
func writeResponse(conn net.Conn, r *http.Request, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		carobrock.HeaderRequestID, r.Header.Get(carobrock.HeaderRequestID), len(body), body)
}

// fixedView is a View with a constant catalog.
type fixedView struct {
	catalog       *watcher.Catalog
	fresh         bool
	hasGrantLease bool
}

func (v *fixedView) Current() *watcher.Catalog { return v.catalog }
func (v *fixedView) IsFresh() bool             { return v.fresh }
func (v *fixedView) HasGrantLease() bool       { return v.hasGrantLease }

// testTimeout is the route's timeout in these tests.
const testTimeout = 300 * time.Millisecond

// newCatalog returns a catalog with a route for all paths to one pool with the given
// upstreams, each with as many connections as slots.
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

// newForwarder starts a server with a Forwarder for one pool with the given
// upstreams.
func newForwarder(t *testing.T, keys KeyStore, slots int, addresses ...string) (*Forwarder, *httptest.Server) {
	t.Helper()
	var mu sync.Mutex
	n := 0
	f := &Forwarder{
		View:     &fixedView{catalog: newCatalog(slots, addresses...), fresh: true, hasGrantLease: true},
		Admitter: &admitter.Admitter{}, Keys: keys, Logger: zerolog.Nop(),
		NewRequestID: func() string {
			mu.Lock()
			defer mu.Unlock()
			n++
			return fmt.Sprintf("id-%d", n)
		},
	}
	f.ApplyCatalog(f.View.Current())
	s := httptest.NewServer(f)
	t.Cleanup(func() {
		f.Close()
		s.Close()
	})
	return f, s
}

// memoryKeys is an in-memory KeyStore that grants a claim once, as the control
// group does.
type memoryKeys struct {
	mu        sync.Mutex
	claims    map[string]*carobrock.KeyChange
	completed map[string]bool
}

func (m *memoryKeys) ChangeKey(_ context.Context, ch carobrock.KeyChange) (carobrock.KeyResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	claim := m.claims[ch.Key]
	switch {
	case ch.Action == carobrock.KeyActionClaim && claim == nil:
		m.claims[ch.Key] = &ch
	case ch.Action == carobrock.KeyActionClaim && m.completed[ch.Key]:
		return carobrock.KeyResult{State: carobrock.KeyDone, Response: claim.Response, Mismatch: claim.Fingerprint != ch.Fingerprint}, nil
	case ch.Action == carobrock.KeyActionClaim:
		return carobrock.KeyResult{State: carobrock.KeyClaimed}, nil
	case ch.Action == carobrock.KeyActionComplete:
		claim.Response, m.completed[ch.Key] = ch.Response, true
	default:
		delete(m.claims, ch.Key)
	}
	return carobrock.KeyResult{Granted: true}, nil
}

func newMemoryKeys() *memoryKeys {
	return &memoryKeys{claims: map[string]*carobrock.KeyChange{}, completed: map[string]bool{}}
}

// call sends a request and returns the kind of response and its body: "whole" for
// a complete response, "notRun" or "unknown" for a refusal, "broken" for a response
// that ended early or did not arrive.
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
