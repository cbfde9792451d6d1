package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock"
)

// Guards against a watch call that outlasts its caller's deadline, after which the
// caller does not know whether its configuration is still in force.
func TestWatchRespondsBeforeTheDeadline(t *testing.T) {
	for _, test := range []struct {
		name    string
		timeout time.Duration // of the caller, zero for none
		want    time.Duration
	}{
		{"no deadline", 0, 700 * time.Millisecond},
		{"late deadline", 2 * time.Second, 700 * time.Millisecond},
		{"usual timeout of a call", time.Second, 700 * time.Millisecond},
		{"short poll", 500 * time.Millisecond, 200 * time.Millisecond},
		{"deadline that leaves no time to wait", 100 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				ctx := context.Background()
				if test.timeout > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, test.timeout)
					defer cancel()
				}
				current, err := h.d.Configuration(ctx)
				h.must(err)
				start := time.Now()
				c, err := h.d.WatchConfiguration(ctx, current.Version)
				if err != nil || c != nil {
					t.Errorf("got %v and error %v, want no newer version", c, err)
				}
				if took := time.Since(start); took != test.want {
					t.Errorf("the response took %v, want %v", took, test.want)
				}
			})
		})
	}
}

// Guards against a watch call with a short poll that misses a newer version.
func TestWatchReturnsANewerVersionAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		current, err := h.d.Configuration(ctx)
		h.must(err)
		next := *current
		next.Version++
		next.RequiresKeys = true
		next.Accounts = []carobrock.ClientAccount{{Name: "a", KeyDigests: []carobrock.KeyDigest{carobrock.DigestKey("k")}}}
		next.Document = []byte("with keys")
		h.must(h.d.Configure(ctx, &next))
		c, err := h.d.WatchConfiguration(ctx, current.Version)
		if err != nil || c == nil || c.Version != next.Version || !c.RequiresKeys || len(c.Accounts) != 1 {
			t.Fatalf("got %v, error %v, want version %d with its account", c != nil, err, next.Version)
		}
		if c.Document != nil {
			t.Error("the watch returns the operator's document, which contains keys")
		}
	})
}
