package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// heldBody is a request body of which the beginning is held in memory.
type heldBody struct {
	// head is what was read so far.
	head []byte
	// rest is the remainder, nil if head is the whole body.
	rest io.Reader
}

// readBody reads up to maxHeldBytes of the body before a slot is taken, so that
// a slow caller holds no slot.
func readBody(r *http.Request) (*heldBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &heldBody{}, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, maxHeldBytes+1))
	if err != nil {
		return nil, err
	}
	b := &heldBody{head: head}
	if len(head) > maxHeldBytes {
		b.rest = r.Body
	}
	return b, nil
}

// isWhole reports whether the whole body is held, so that it can be sent again.
func (b *heldBody) isWhole() bool { return b.rest == nil }

// reader returns the body for one attempt. It is never http.NoBody and offers
// no way to rewind: net/http would otherwise repeat a request with an
// Idempotency-Key on its own.
func (b *heldBody) reader() io.ReadCloser {
	if b.rest == nil {
		return &onceBody{Reader: bytes.NewReader(b.head)}
	}
	return &onceBody{Reader: io.MultiReader(bytes.NewReader(b.head), b.rest)}
}

// onceBody remembers an error of reading the caller's body.
type onceBody struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }

// isTooLarge reports whether err is from a body above the limit.
func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
