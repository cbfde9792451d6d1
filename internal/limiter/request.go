package limiter

import (
	"context"
	"errors"

	"golang.org/x/sync/semaphore"
)

// Decoder bounds the memory of the documents that are being decoded.
type Decoder struct {
	max, maxDocument int64
	semaphore        *semaphore.Weighted
}

// NewDecoder returns a Decoder for max bytes in total. A document that takes more is
// decoded while no other is; one that takes more than maxDocument is not.
func NewDecoder(max, maxDocument int64) *Decoder {
	return &Decoder{max: max, maxDocument: maxDocument, semaphore: semaphore.NewWeighted(max)}
}

// Start waits until there is memory for a document that takes n bytes. The caller calls
// done when the document is not needed any more. It fails with ErrExhausted.
func (d *Decoder) Start(ctx context.Context, n int64) (done func(), err error) {
	if n > d.maxDocument {
		return nil, ErrExhausted
	}
	n = min(n, d.max)
	if err := d.semaphore.Acquire(ctx, n); err != nil {
		return nil, ErrExhausted
	}
	return func() { d.semaphore.Release(n) }, nil
}

// Request is what a request holds of the budgets of its listener. It is used by the
// goroutine of the request. Reserve, BodyLimit, StartDecoding and CountRefusal may be
// called on nil, which has no limits.
type Request struct {
	Holder  *Holder
	Decoder *Decoder
	// MaxBodyBytes limits the body.
	MaxBodyBytes int64
	// OnRefused counts a refusal: for lack of memory, or else because the document cannot
	// be valid. It may be nil.
	OnRefused func(forMemory bool)

	reserved int64
}

type requestKey struct{}

// NewContext returns a context that carries r.
func NewContext(ctx context.Context, r *Request) context.Context {
	return context.WithValue(ctx, requestKey{}, r)
}

// FromContext returns the Request that ctx carries, nil if there is none.
func FromContext(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	return r
}

// Reserve adds n bytes to those that the request holds. It fails with ErrExhausted.
func (r *Request) Reserve(n int64) error {
	if r == nil {
		return nil
	}
	if err := r.Holder.Reserve(n); err != nil {
		return err
	}
	r.reserved += n
	return nil
}

// CountRefusal counts that the request is refused with err, if that is ErrExhausted or
// the document cannot be valid.
func (r *Request) CountRefusal(err error, isInvalid bool) {
	forMemory := errors.Is(err, ErrExhausted)
	if r != nil && r.OnRefused != nil && (forMemory || isInvalid) {
		r.OnRefused(forMemory)
	}
}

// Close returns the bytes that the request holds.
func (r *Request) Close() {
	r.Holder.Release(r.reserved)
	r.reserved = 0
}

// BodyLimit returns the smaller of limit and that of the listener.
func (r *Request) BodyLimit(limit int64) int64 {
	if r == nil || r.MaxBodyBytes == 0 {
		return limit
	}
	return min(limit, r.MaxBodyBytes)
}

// StartDecoding waits until there is memory for a document that takes n bytes. The
// caller calls done when it is decoded. It fails with ErrExhausted.
func (r *Request) StartDecoding(ctx context.Context, n int64) (done func(), err error) {
	if r == nil || r.Decoder == nil {
		return func() {}, nil
	}
	return r.Decoder.Start(ctx, n)
}
