package submitter

import (
	"cmp"
	"slices"
	"strings"
	"unicode"

	"github.com/carobrock/carobrock"
)

// queueIndex finds the queues of requests in a time that does not grow with the number
// of queues. Its keys are the hosts as returned by foldHost.
type queueIndex map[string]*hostQueues

// hostQueues holds the queues of one host.
type hostQueues struct {
	byPrefix map[string]*carobrock.Queue
	// lengths holds the lengths of the path prefixes, each once, the longest first.
	lengths []int
}

func newQueueIndex(c *carobrock.Configuration) queueIndex {
	x := queueIndex{}
	for i := range c.Queues {
		q := &c.Queues[i]
		host := foldHost(q.Host)
		h := x[host]
		if h == nil {
			h = &hostQueues{byPrefix: map[string]*carobrock.Queue{}}
			x[host] = h
		}
		if h.byPrefix[q.PathPrefix] == nil { // of equal queues the first one counts
			h.byPrefix[q.PathPrefix] = q
			h.lengths = append(h.lengths, len(q.PathPrefix))
		}
	}
	for _, h := range x {
		slices.SortFunc(h.lengths, func(a, b int) int { return cmp.Compare(b, a) })
		h.lengths = slices.Compact(h.lengths)
	}
	return x
}

// match returns the queue of a host, which has no port, with the longest prefix of
// path, nil if there is none.
func (x queueIndex) match(host, path string) *carobrock.Queue {
	h := x[foldHost(host)]
	if h == nil {
		return nil
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if q := h.byPrefix[path[:n]]; q != nil {
			return q
		}
	}
	return nil
}

// foldHost returns the same string for hosts that are equal under Unicode case folding,
// as strings.EqualFold compares them. Lower-case letters of ASCII are kept.
func foldHost(host string) string {
	return strings.Map(func(r rune) rune {
		if r <= unicode.MaxASCII {
			return unicode.ToLower(r)
		}
		least := r
		for f := unicode.SimpleFold(r); f != r; f = unicode.SimpleFold(f) {
			least = min(least, f)
		}
		if least <= unicode.MaxASCII {
			return unicode.ToLower(least)
		}
		return least
	}, host)
}
