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

var errLost = errors.New("answer lost")

// lossyKeys loses the answers to the first changes after making them.
type lossyKeys struct {
	*memoryKeys
	lose int
}

func (l *lossyKeys) ChangeKey(ctx context.Context, ch carobrock.KeyChange) (carobrock.KeyResult, error) {
	res, err := l.memoryKeys.ChangeKey(ctx, ch)
	if l.lose > 0 {
		l.lose--
		return carobrock.KeyResult{}, errLost
	}
	return res, err
}

// TestKeyAnswerLost: whether a claim was made is not known, so nothing is sent.
func TestKeyAnswerLost(t *testing.T) {
	u := newRawUpstream(t, func(c net.Conn, _ int, r *http.Request) { whole(c, r, "x") })
	keys := &lossyKeys{memoryKeys: newMemoryKeys(), lose: 1}
	_, s := newForwarder(t, keys, 4, u.address())
	if got, _ := call(t, s.URL+"/x", http.MethodPost, "k", ""); got != "unknown" || u.ran() != 0 {
		t.Errorf("got %q after %d runs, want unknown after none", got, u.ran())
	}
	if got, _ := call(t, s.URL+"/x", http.MethodPost, "k", ""); got != "whole" || u.ran() != 1 {
		t.Errorf("resend got %q after %d runs, want whole after one", got, u.ran())
	}
}

// TestKeyReplay: a resend gets the recorded answer, and a key for another
// request is refused.
func TestKeyReplay(t *testing.T) {
	u := newRawUpstream(t, func(c net.Conn, n int, r *http.Request) { whole(c, r, fmt.Sprint("payout ", n)) })
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
	if u.ran() != 1 {
		t.Errorf("%d runs, want 1", u.ran())
	}
}
