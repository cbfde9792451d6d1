package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// bufferedBody is a request body whose beginning is buffered in memory.
type bufferedBody struct {
	// head is the buffered beginning of the body.
	head []byte
	// rest is the unread remainder, nil if head is the whole body.
	rest io.Reader
}

// bufferBody buffers the beginning of the body. A body of at most maxBufferedBytes is
// buffered completely before a slot is acquired, so that a slow caller occupies no
// slot.
func bufferBody(r *http.Request) (*bufferedBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &bufferedBody{}, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	b := &bufferedBody{head: head}
	if len(head) > maxBufferedBytes {
		b.rest = r.Body
	}
	return b, nil
}

// isComplete reports whether the whole body is buffered and can be sent again.
func (b *bufferedBody) isComplete() bool { return b.rest == nil }

// newReader returns the body for one attempt. It is not http.NoBody and cannot be
// rewound, because net/http would otherwise retry a request that has an
// Idempotency-Key header by itself. Only for an idempotent request does
// upstreamRequest replace an empty body by http.NoBody.
func (b *bufferedBody) newReader() io.ReadCloser {
	if b.rest == nil {
		return &attemptBody{Reader: bytes.NewReader(b.head)}
	}
	return &attemptBody{Reader: io.MultiReader(bytes.NewReader(b.head), b.rest)}
}

// attemptBody is the body of one attempt. It keeps the error of reading the caller's
// body.
type attemptBody struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *attemptBody) Close() error { return nil }

// isBodyTooLarge reports whether err is caused by a body above the size limit.
func isBodyTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
