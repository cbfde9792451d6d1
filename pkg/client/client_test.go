package client_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/pkg/client"
)

// fakeTransport is an http.RoundTripper that calls a handler by host, without a
// network. A host without a handler refuses connections.
type fakeTransport map[string]http.HandlerFunc

// RoundTrip implements http.RoundTripper.
func (s fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	handler := s[r.URL.Host]
	if handler == nil {
		return nil, net.ErrClosed
	}
	w := httptest.NewRecorder()
	handler(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// neverRespond accepts a request and never responds, like a process stopped by
// SIGSTOP.
func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// respondAfter returns a handler that responds successfully after d.
func respondAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write([]byte("{}"))
		case <-r.Context().Done():
		}
	}
}

// TestFailoverFromUnresponsiveServer checks that a client moves on to the next
// address when a server accepts a request and never responds, and that it still
// waits long enough for a server that is only slow.
func TestFailoverFromUnresponsiveServer(t *testing.T) {
	for _, test := range []struct {
		name        string
		addresses   []string
		handlers    fakeTransport
		maxDuration time.Duration
		fails       bool
	}{
		{name: "first server unresponsive", addresses: []string{"a", "b"}, handlers: fakeTransport{"a": neverRespond, "b": respondAfter(10 * time.Millisecond)}, maxDuration: 1100 * time.Millisecond},
		{name: "first server down", addresses: []string{"a", "b"}, handlers: fakeTransport{"b": respondAfter(10 * time.Millisecond)}, maxDuration: 50 * time.Millisecond},
		{name: "two servers unresponsive", addresses: []string{"a", "b", "c"}, handlers: fakeTransport{"a": neverRespond, "b": neverRespond, "c": respondAfter(0)}, maxDuration: 2100 * time.Millisecond},
		{name: "only server slow", addresses: []string{"a"}, handlers: fakeTransport{"a": respondAfter(2500 * time.Millisecond)}, maxDuration: 6 * time.Second},
		{name: "all servers unresponsive", addresses: []string{"a", "b"}, handlers: fakeTransport{"a": neverRespond, "b": neverRespond}, maxDuration: 10100 * time.Millisecond, fails: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &client.Client{Addresses: test.addresses, HTTP: &http.Client{Transport: test.handlers}}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				start := time.Now()
				err := c.SubmitTask(ctx, &carobrock.TaskSpec{ID: "import-1"})
				if elapsed := time.Since(start); elapsed > test.maxDuration || (err != nil) != test.fails {
					t.Errorf("error %v after %v; want completion within %v, success %t", err, elapsed, test.maxDuration, !test.fails)
				}
			})
		})
	}
}

// TestRetryKeepsChangeID checks that a retry carries the change ID of the first
// try; with another ID, the change could be applied twice.
func TestRetryKeepsChangeID(t *testing.T) {
	var ids []string
	recordChangeID := func(_ http.ResponseWriter, r *http.Request) {
		body := struct {
			ChangeID string `json:"changeId"`
		}{}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Error(err)
		}
		ids = append(ids, body.ChangeID)
	}
	synctest.Test(t, func(t *testing.T) {
		c := &client.Client{Addresses: []string{"a", "b"}, HTTP: &http.Client{Transport: fakeTransport{
			"a": func(w http.ResponseWriter, r *http.Request) { recordChangeID(w, r); neverRespond(w, r) },
			"b": func(w http.ResponseWriter, r *http.Request) { recordChangeID(w, r); respondAfter(0)(w, r) },
		}}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if _, err := c.SetZone(ctx, "change-1", "az1", true); err != nil {
			t.Fatal(err)
		}
	})
	if len(ids) != 2 || ids[0] != "change-1" || ids[1] != "change-1" {
		t.Errorf("sent change IDs %q, want change-1 twice", ids)
	}
}
