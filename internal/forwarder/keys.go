package forwarder

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
)

// KeyKeeper claims idempotency keys in the control group.
type KeyKeeper interface {
	// ChangeKey makes one change of a key. An error means that it is not known
	// whether the change was made.
	ChangeKey(ctx context.Context, ch carobrock.KeyChange) (carobrock.KeyResult, error)
}

// Settings of idempotency keys.
const (
	maxKeyBytes      = 200
	maxRecordedBytes = 4 << 10
	// settleTimeout bounds recording or releasing a key after the request.
	settleTimeout = 3 * time.Second
)

// recorder keeps the answer for a key.
type recorder struct {
	answer carobrock.RecordedAnswer
}

func (rec *recorder) begin(res *http.Response) {
	rec.answer.Status = res.StatusCode
	rec.answer.ContentType = res.Header.Get("Content-Type")
}

func (rec *recorder) add(p []byte) {
	if rec.answer.Truncated || len(rec.answer.Body)+len(p) > maxRecordedBytes {
		rec.answer.Body, rec.answer.Truncated = nil, true
		return
	}
	rec.answer.Body = append(rec.answer.Body, p...)
}

// sendOnce claims the key before the request is sent, so that a resend through
// another gateway runs nothing a second time.
func (x *exchange) sendOnce(key string) *refusal {
	if len(key) > maxKeyBytes {
		return notRun(http.StatusBadRequest, "the idempotency key is too long")
	}
	ch := carobrock.KeyChange{
		Key: x.route.Name + "\x00" + key, Owner: x.requestID, Fingerprint: x.fingerprint(),
		Action: carobrock.KeyActionClaim, AtUnixSec: time.Now().Unix(),
	}
	res, err := x.f.Keys.ChangeKey(x.ctx, ch)
	if err != nil {
		// Nothing was sent to an upstream for this request, but an earlier one
		// with the same key may have run.
		x.settleKey(ch, carobrock.KeyActionRelease, nil)
		return unknown(http.StatusServiceUnavailable, "the idempotency key could not be claimed")
	}
	if !res.Granted {
		return x.replay(res)
	}
	return x.sendClaimed(ch)
}

// sendClaimed sends the request and settles its claim.
func (x *exchange) sendClaimed(ch carobrock.KeyChange) *refusal {
	x.recorder = &recorder{}
	settled := false
	defer func() {
		// The answer may be aborted by a panic after the upstream has run the
		// request. What is known of the answer is recorded without its body.
		if !settled && x.recorder.answer.Status != 0 {
			x.recorder.answer.Body, x.recorder.answer.Truncated = nil, true
			x.settleKey(ch, carobrock.KeyActionComplete, &x.recorder.answer)
		}
	}()
	rf := x.sendWithRetries()
	settled = true
	switch {
	case rf == nil:
		x.settleKey(ch, carobrock.KeyActionComplete, &x.recorder.answer)
	case rf.outcome == carobrock.OutcomeNotRun:
		x.settleKey(ch, carobrock.KeyActionRelease, nil)
	}
	return rf
}

// settleKey records or releases a claim, whether or not the caller is still
// there. If it fails the key stays claimed, and a resend is told "unknown".
func (x *exchange) settleKey(ch carobrock.KeyChange, action carobrock.KeyAction, answer *carobrock.RecordedAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), settleTimeout)
	defer cancel()
	ch.Action, ch.Answer = action, answer
	if _, err := x.f.Keys.ChangeKey(ctx, ch); err != nil {
		x.f.Logger.Warn().Err(err).Str("requestId", x.requestID).Msg("forwarder: idempotency key not settled")
	}
}

// replay answers a request whose key was claimed before.
func (x *exchange) replay(res carobrock.KeyResult) *refusal {
	switch {
	case res.Mismatch:
		return notRun(http.StatusUnprocessableEntity, "the idempotency key was used for another request")
	case res.State == carobrock.KeyClaimed || res.Answer == nil:
		return unknown(http.StatusConflict, "a request with this idempotency key is not decided")
	}
	h := x.w.Header()
	h.Set(carobrock.HeaderRequestID, x.requestID)
	h.Set("Carobrock-Replayed", "true")
	if res.Answer.ContentType != "" {
		h.Set("Content-Type", res.Answer.ContentType)
	}
	if res.Answer.Truncated {
		h.Set("Carobrock-Body", "notRecorded")
	}
	x.w.WriteHeader(res.Answer.Status)
	_, _ = x.w.Write(res.Answer.Body)
	return nil
}

// fingerprint tells requests apart that carry the same key. Of a body that is
// not held whole only the held part and the length count.
func (x *exchange) fingerprint() string {
	d := xxhash.New()
	_, _ = d.WriteString(x.r.Method + " " + x.r.URL.RequestURI() + "\n" + strconv.FormatInt(x.r.ContentLength, 10) + "\n")
	_, _ = d.Write(x.body.head)
	return hex.EncodeToString(d.Sum(nil))
}

// CommandKeys claims keys with commands.
type CommandKeys struct {
	// Control commits the commands.
	Control carobrock.Control
}

var _ KeyKeeper = (*CommandKeys)(nil)

// ChangeKey implements KeyKeeper.
func (k *CommandKeys) ChangeKey(ctx context.Context, ch carobrock.KeyChange) (carobrock.KeyResult, error) {
	res, err := k.Control.Propose(ctx, &carobrock.Command{ClaimKeys: &carobrock.ClaimKeys{Changes: []carobrock.KeyChange{ch}}})
	if err != nil {
		return carobrock.KeyResult{}, err
	}
	if len(res.Keys) != 1 {
		return carobrock.KeyResult{}, eris.Wrap(carobrock.ErrUndecided, "the answer has no result for the key")
	}
	return res.Keys[0], nil
}
