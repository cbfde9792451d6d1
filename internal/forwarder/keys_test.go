package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/carobrock/carobrock"
)

var errResponseLost = errors.New("response lost")

// lossyKeys applies every change but returns an error for the first ones.
type lossyKeys struct {
	*memoryKeys
	failures int
}

func (l *lossyKeys) ChangeKey(ctx context.Context, ch carobrock.KeyChange) (carobrock.KeyResult, error) {
	res, err := l.memoryKeys.ChangeKey(ctx, ch)
	if l.failures > 0 {
		l.failures--
		return carobrock.KeyResult{}, errResponseLost
	}
	return res, err
}

// TestKeyAnswerLost checks that a request is not sent if it is unknown whether its
// key was claimed, and that a resend with the same key runs.
func TestKeyAnswerLost(t *testing.T) {
	u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) { writeResponse(c, r, "x") })
	keys := &lossyKeys{memoryKeys: newMemoryKeys(), failures: 1}
	_, s := newForwarder(t, keys, 4, u.address())
	if got, _ := call(t, s.URL+"/x", http.MethodPost, "k", ""); got != "unknown" || u.runCount() != 0 {
		t.Errorf("got %q after %d runs, want unknown after none", got, u.runCount())
	}
	if got, _ := call(t, s.URL+"/x", http.MethodPost, "k", ""); got != "whole" || u.runCount() != 1 {
		t.Errorf("resend got %q after %d runs, want whole after one", got, u.runCount())
	}
}

// TestKeyReplay checks that a resend gets the recorded response, and that the use
// of its key for a different request is refused.
func TestKeyReplay(t *testing.T) {
	u := newRawUpstream(t, func(c net.Conn, n int, r *http.Request) { writeResponse(c, r, fmt.Sprint("payout ", n)) })
	keys := newMemoryKeys()
	_, first := newForwarder(t, keys, 4, u.address())
	_, second := newForwarder(t, keys, 4, u.address())
	if _, content := call(t, first.URL+"/x", http.MethodPost, "k", "10"); content != "payout 1" {
		t.Errorf("first got %q", content)
	}
	if got, content := call(t, second.URL+"/x", http.MethodPost, "k", "10"); got != "whole" || content != "payout 1" {
		t.Errorf("resend through another gateway got %q, %q", got, content)
	}
	if got, _ := call(t, second.URL+"/x", http.MethodPost, "k", "20"); got != "notRun" {
		t.Errorf("the key for another request got %q, want notRun", got)
	}
	if u.runCount() != 1 {
		t.Errorf("%d runs, want 1", u.runCount())
	}
}
