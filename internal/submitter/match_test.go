package submitter

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
)

// manyQueues returns a configuration of n queues for 300 hosts.
func manyQueues(n int) *carobrock.Configuration {
	c := &carobrock.Configuration{Version: 1}
	for i := range n {
		c.Queues = append(c.Queues, carobrock.Queue{Host: fmt.Sprintf("service%d.example.org", i%300), PathPrefix: fmt.Sprintf("/v1/jobs/%05d/", i)})
	}
	return c
}

// naiveMatch returns the queue of a request by a comparison with all queues.
func naiveMatch(c *carobrock.Configuration, host, path string) (found *carobrock.Queue) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.HasPrefix(path, q.PathPrefix) && strings.EqualFold(q.Host, host) &&
			(found == nil || len(q.PathPrefix) > len(found.PathPrefix)) {
			found = q
		}
	}
	return found
}

// Guards against an index that finds another queue than a comparison with all queues:
// nested and equal prefixes, prefixes that end within a segment, and hosts that differ
// in case, also outside ASCII, or are invalid UTF-8.
func TestMatchQueueFindsTheQueueOfAScan(t *testing.T) {
	hosts := []string{"ask.example", "ASK.example", "a\u017fK.Example", "as\u212a.EXAMPLE", "\u00e9.example", "\u00c9.example", "\u03c3", "\u03c2", "\u03a3", "x\xff", "x\xfe", "x\ufffd", "i", "\u0130", ""}
	prefixes := []string{"", "/", "/a", "/a/", "/ab", "/a/b", "/a/b/", "/a/b/c/", "/b/", "/b/a"}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 7))
		c := &carobrock.Configuration{Version: 1}
		for range 1 + r.IntN(30) {
			c.Queues = append(c.Queues, carobrock.Queue{Name: fmt.Sprint(len(c.Queues)), Host: hosts[r.IntN(len(hosts))], PathPrefix: prefixes[r.IntN(len(prefixes))]})
		}
		s := &Submitter{Logger: zerolog.Nop()}
		s.applyConfiguration(c, s.now())
		for _, host := range hosts {
			for _, path := range append(prefixes, "/a/b/c/d", "/abc", "/b/ab", "/c") {
				want := naiveMatch(c, host, path)
				got, rest, err := s.MatchQueue(host, path)
				if got != want || want == nil && !errors.Is(err, ErrNoQueue) || want != nil && want.PathPrefix+rest != path {
					t.Fatalf("seed %d, host %q, path %q: queue %+v, rest %q, %v, want queue %+v", seed, host, path, got, rest, err, want)
				}
			}
		}
	}
}

// Guards against a match whose work grows with the number of queues: it looks up one
// prefix for each length.
func TestMatchQueueLooksUpOnePrefixForEachLength(t *testing.T) {
	c := manyQueues(20000)
	c.Queues = append(c.Queues, carobrock.Queue{Host: "SERVICE0.example.org", PathPrefix: "/"})
	x := newQueueIndex(c)
	for host, h := range x {
		if len(h.lengths) > 2 {
			t.Errorf("%d lengths of prefixes for host %s", len(h.lengths), host)
		}
	}
	if len(x) != 300 { // the added host differs in case only
		t.Errorf("%d hosts, want 300", len(x))
	}
}
