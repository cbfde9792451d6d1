package locator

import (
	"crypto/sha256"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
)

// difference describes a configuration by its difference to another one, the base.
type difference struct {
	// Rest is the configuration without its Document and with an empty list of Queues, which
	// is nil if that of the configuration is.
	Rest carobrock.Configuration `cbor:"1,keyasint"`
	// Spans yield the queues, one after the other.
	Spans []span `cbor:"2,keyasint"`
	// Digest is that of the configuration's encoding without its Document. It detects a
	// base that is not the leader's, and a build that does not know all fields.
	Digest []byte `cbor:"3,keyasint"`
}

// span is a run of queues: Count queues of the base that start at From, then Queues.
type span struct {
	From   int               `cbor:"1,keyasint"`
	Count  int               `cbor:"2,keyasint"`
	Queues []carobrock.Queue `cbor:"3,keyasint,omitempty"`
}

// encode returns the encoding of c without its Document.
func encode(c *carobrock.Configuration) ([]byte, error) {
	withoutDocument := *c
	withoutDocument.Document = nil
	return cbor.Marshal(&withoutDocument)
}

// newDifference returns the difference between base and c.
func newDifference(base, c *carobrock.Configuration) (*difference, error) {
	encoded, err := encode(c)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(encoded)
	d := &difference{Rest: *c, Digest: digest[:]}
	d.Rest.Queues, d.Rest.Document = c.Queues[:0], nil
	positions := make(map[string]int, len(base.Queues))
	for i := range base.Queues {
		positions[base.Queues[i].Key()] = i
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		from, isInBase := positions[q.Key()]
		isInBase = isInBase && isSameQueue(&base.Queues[from], q)
		last := len(d.Spans) - 1
		switch {
		case isInBase && last >= 0 && len(d.Spans[last].Queues) == 0 && d.Spans[last].From+d.Spans[last].Count == from:
			d.Spans[last].Count++
		case isInBase:
			d.Spans = append(d.Spans, span{From: from, Count: 1})
		case last >= 0:
			d.Spans[last].Queues = append(d.Spans[last].Queues, *q)
		default:
			d.Spans = append(d.Spans, span{Queues: []carobrock.Queue{*q}})
		}
	}
	return d, nil
}

// isSameQueue reports whether two queues do not differ.
func isSameQueue(a, b *carobrock.Queue) bool {
	x, y := *a, *b
	x.Policy, y.Policy = nil, nil
	if x != y || a.Policy == nil || b.Policy == nil {
		return x == y && a.Policy == b.Policy
	}
	return *a.Policy == *b.Policy
}

// apply returns the configuration that d describes with the given base.
func (d *difference) apply(base *carobrock.Configuration) (*carobrock.Configuration, error) {
	size := 0
	for _, s := range d.Spans {
		if s.From < 0 || s.Count < 0 || s.Count > len(base.Queues) || s.From > len(base.Queues)-s.Count {
			return nil, eris.Errorf("locator: span of %d queues at %d, the base has %d", s.Count, s.From, len(base.Queues))
		}
		// Keys are unique, so that a valid difference copies each queue once at most.
		if size += s.Count; size > len(base.Queues) {
			return nil, eris.New("locator: a difference copies more queues than the base has")
		}
	}
	c := d.Rest
	c.Queues = slices.Grow(c.Queues, size)
	for _, s := range d.Spans {
		c.Queues = append(append(c.Queues, base.Queues[s.From:s.From+s.Count]...), s.Queues...)
	}
	encoded, err := encode(&c)
	if err != nil {
		return nil, err
	}
	if digest := sha256.Sum256(encoded); string(digest[:]) != string(d.Digest) {
		return nil, eris.New("locator: the result of a difference does not match its digest")
	}
	return &c, nil
}
