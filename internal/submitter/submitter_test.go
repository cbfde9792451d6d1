package submitter

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
)

func newConfiguration(version int64, prefixes ...string) *carobrock.Configuration {
	c := &carobrock.Configuration{Version: version}
	for _, p := range prefixes {
		c.Queues = append(c.Queues, carobrock.Queue{Name: p, Host: "h", PathPrefix: p})
	}
	return c
}

// After a restart a gateway knows no configuration. It must not say that a queue
// does not exist before it has one, and must not go back to an older one, in which
// a queue that was removed still exists.
func TestRemovedQueueStaysRemoved(t *testing.T) {
	s := &Submitter{Logger: zerolog.Nop()}
	if _, _, err := s.MatchQueue("h", "/a/1"); !errors.Is(err, ErrStale) {
		t.Errorf("without a configuration: %v, want ErrStale", err)
	}
	s.applyConfiguration(newConfiguration(7, "/a/"), s.now())
	s.applyConfiguration(newConfiguration(6, "/a/", "/removed/"), s.now())
	if _, _, err := s.MatchQueue("h", "/removed/1"); !errors.Is(err, ErrNoQueue) {
		t.Errorf("after an older configuration arrived late: %v, want ErrNoQueue", err)
	}
	s.applyConfiguration(nil, s.now()-2*DefaultStaleAfter)
	if _, _, err := s.MatchQueue("h", "/removed/1"); !errors.Is(err, ErrStale) {
		t.Errorf("with a stale configuration: %v, want ErrStale", err)
	}
	if _, rest, err := s.MatchQueue("h:80", "/a/1"); err != nil || rest != "1" {
		t.Errorf("queue of a stale configuration: rest %q, %v", rest, err)
	}
}

// Guards against a queue that is reported as missing by a copy of the configuration that
// is older than the time after which a change must be in force.
func TestMissingQueueIsReportedByAFreshCopyOnly(t *testing.T) {
	s := &Submitter{AbsenceFreshness: 1500 * time.Millisecond, Logger: zerolog.Nop()}
	for _, test := range []struct {
		age     time.Duration
		wantErr error
	}{
		{time.Second, ErrNoQueue},
		{2 * time.Second, ErrStale}, // less than DefaultStaleAfter
	} {
		s.applyConfiguration(newConfiguration(1, "/a/"), s.now()-test.age)
		if _, _, err := s.MatchQueue("h", "/added/1"); !errors.Is(err, test.wantErr) {
			t.Errorf("copy of age %v: %v, want %v", test.age, err, test.wantErr)
		}
		if _, _, err := s.MatchQueue("h", "/a/1"); err != nil {
			t.Errorf("copy of age %v, known queue: %v", test.age, err)
		}
	}
}
