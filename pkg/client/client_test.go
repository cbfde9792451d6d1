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

// servers answers requests by host without a network.
type servers map[string]http.HandlerFunc

// RoundTrip implements http.RoundTripper.
func (s servers) RoundTrip(r *http.Request) (*http.Response, error) {
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

// freezes takes a request and never answers, as a stopped process does.
func freezes(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// answersAfter returns a handler that takes its time.
func answersAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write([]byte("{}"))
		case <-r.Context().Done():
		}
	}
}

func TestMovesOnFromAFrozenServer(t *testing.T) {
	for _, test := range []struct {
		name      string
		addresses []string
		at        servers
		max       time.Duration
		fails     bool
	}{
		{name: "first is frozen", addresses: []string{"a", "b"}, at: servers{"a": freezes, "b": answersAfter(10 * time.Millisecond)}, max: 1100 * time.Millisecond},
		{name: "first is down", addresses: []string{"a", "b"}, at: servers{"b": answersAfter(10 * time.Millisecond)}, max: 50 * time.Millisecond},
		{name: "two are frozen", addresses: []string{"a", "b", "c"}, at: servers{"a": freezes, "b": freezes, "c": answersAfter(0)}, max: 2100 * time.Millisecond},
		{name: "all are slow", addresses: []string{"a"}, at: servers{"a": answersAfter(2500 * time.Millisecond)}, max: 6 * time.Second},
		{name: "all are frozen", addresses: []string{"a", "b"}, at: servers{"a": freezes, "b": freezes}, max: 10100 * time.Millisecond, fails: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &client.Client{Addresses: test.addresses, HTTP: &http.Client{Transport: test.at}}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				start := time.Now()
				err := c.SubmitTask(ctx, &carobrock.TaskSpec{ID: "import-1"})
				if took := time.Since(start); took > test.max || (err != nil) != test.fails {
					t.Errorf("%v after %v, want an answer within %v: %t", err, took, test.max, !test.fails)
				}
			})
		})
	}
}

// A resend carries the same change ID, so that the change is made once.
func TestResendKeepsTheChangeID(t *testing.T) {
	var ids []string
	note := func(_ http.ResponseWriter, r *http.Request) {
		body := struct {
			ChangeID string `json:"changeId"`
		}{}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Error(err)
		}
		ids = append(ids, body.ChangeID)
	}
	synctest.Test(t, func(t *testing.T) {
		c := &client.Client{Addresses: []string{"a", "b"}, HTTP: &http.Client{Transport: servers{
			"a": func(w http.ResponseWriter, r *http.Request) { note(w, r); freezes(w, r) },
			"b": func(w http.ResponseWriter, r *http.Request) { note(w, r); answersAfter(0)(w, r) },
		}}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if _, err := c.SetZone(ctx, "change-1", "az1", true); err != nil {
			t.Fatal(err)
		}
	})
	if len(ids) != 2 || ids[0] != "change-1" || ids[1] != "change-1" {
		t.Errorf("change IDs sent: %q", ids)
	}
}
