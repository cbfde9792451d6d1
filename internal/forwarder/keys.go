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

// KeyStore claims, completes and releases idempotency keys in the replicated
// state of the control group.
type KeyStore interface {
	// ChangeKey applies one change to a key. After an error it is unknown whether
	// the change was applied.
	ChangeKey(ctx context.Context, ch carobrock.KeyChange) (carobrock.KeyResult, error)
}

// Settings of idempotency keys.
const (
	maxKeyBytes = 200
	// maxRecordedBytes limits the response bodies that are recorded for replay.
	maxRecordedBytes = 4 << 10
	// finishClaimTimeout bounds completing or releasing a claim after the request.
	finishClaimTimeout = 3 * time.Second
)

// responseRecorder records the response to a request with an idempotency key.
type responseRecorder struct {
	response carobrock.RecordedResponse
}

// recordHeader records the status and the content type.
func (rec *responseRecorder) recordHeader(res *http.Response) {
	rec.response.Status = res.StatusCode
	rec.response.ContentType = res.Header.Get("Content-Type")
}

// appendBody records a part of the body. A body longer than maxRecordedBytes is
// dropped and marked as truncated.
func (rec *responseRecorder) appendBody(p []byte) {
	if rec.response.Truncated || len(rec.response.Body)+len(p) > maxRecordedBytes {
		rec.response.Body, rec.response.Truncated = nil, true
		return
	}
	rec.response.Body = append(rec.response.Body, p...)
}

// claimAndSend claims the idempotency key before it sends the request, so that a
// resend through another gateway does not run the request a second time.
func (x *exchange) claimAndSend(key string) *refusal {
	if len(key) > maxKeyBytes {
		return notRun(http.StatusBadRequest, "the idempotency key is too long")
	}
	ch := carobrock.KeyChange{
		Key: x.route.Name + "\x00" + key, Owner: x.requestID, Fingerprint: x.fingerprint(),
		Action: carobrock.KeyActionClaim, AtUnixSec: time.Now().Unix(),
	}
	res, err := x.f.Keys.ChangeKey(x.ctx, ch)
	if err != nil {
		// This request was not sent to an upstream, but an earlier one with the
		// same key may have run.
		x.finishClaim(ch, carobrock.KeyActionRelease, nil)
		return unknown(http.StatusServiceUnavailable, "the idempotency key could not be claimed")
	}
	if !res.Granted {
		return x.replayResponse(res)
	}
	return x.sendClaimed(ch)
}

// sendClaimed sends the request and completes or releases its claim. A claim
// stays open if the outcome is unknown.
func (x *exchange) sendClaimed(ch carobrock.KeyChange) *refusal {
	x.recorder = &responseRecorder{}
	returned := false
	defer func() {
		// abortResponse may panic after the upstream has run the request. The status and
		// the content type are then recorded without the body.
		if !returned && x.recorder.response.Status != 0 {
			x.recorder.response.Body, x.recorder.response.Truncated = nil, true
			x.finishClaim(ch, carobrock.KeyActionComplete, &x.recorder.response)
		}
	}()
	rf := x.sendWithRetries()
	returned = true
	switch {
	case rf == nil:
		x.finishClaim(ch, carobrock.KeyActionComplete, &x.recorder.response)
	case rf.outcome == carobrock.OutcomeNotRun:
		x.finishClaim(ch, carobrock.KeyActionRelease, nil)
	}
	return rf
}

// finishClaim completes or releases a claim, even if the caller has disconnected.
// If that fails, the key stays claimed and a resend gets the outcome "unknown".
func (x *exchange) finishClaim(ch carobrock.KeyChange, action carobrock.KeyAction, response *carobrock.RecordedResponse) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), finishClaimTimeout)
	defer cancel()
	ch.Action, ch.Response = action, response
	if _, err := x.f.Keys.ChangeKey(ctx, ch); err != nil {
		x.f.Logger.Warn().Err(err).Str("requestId", x.requestID).Msg("forwarder: idempotency key not completed or released")
	}
}

// replayResponse answers a request whose key was claimed before: with the recorded
// response, or with a refusal if there is none or the requests differ.
func (x *exchange) replayResponse(res carobrock.KeyResult) *refusal {
	switch {
	case res.Mismatch:
		return notRun(http.StatusUnprocessableEntity, "the idempotency key was used for another request")
	case res.State == carobrock.KeyClaimed || res.Response == nil:
		return unknown(http.StatusConflict, "a request with this idempotency key is not decided")
	}
	h := x.w.Header()
	h.Set(carobrock.HeaderRequestID, x.requestID)
	h.Set("Carobrock-Replayed", "true")
	if res.Response.ContentType != "" {
		h.Set("Content-Type", res.Response.ContentType)
	}
	if res.Response.Truncated {
		h.Set("Carobrock-Body", "notRecorded")
	}
	x.w.WriteHeader(res.Response.Status)
	_, _ = x.w.Write(res.Response.Body)
	return nil
}

// fingerprint returns a hash that distinguishes requests with the same key. It
// covers the method, the URI, the length of the body and its buffered part.
func (x *exchange) fingerprint() string {
	d := xxhash.New()
	_, _ = d.WriteString(x.r.Method + " " + x.r.URL.RequestURI() + "\n" + strconv.FormatInt(x.r.ContentLength, 10) + "\n")
	_, _ = d.Write(x.body.head)
	return hex.EncodeToString(d.Sum(nil))
}

// ReplicatedKeys is a KeyStore that commits each change as a command of the control
// group.
type ReplicatedKeys struct {
	// Control commits the commands.
	Control carobrock.Control
}

var _ KeyStore = (*ReplicatedKeys)(nil)

// ChangeKey implements KeyStore.
func (k *ReplicatedKeys) ChangeKey(ctx context.Context, ch carobrock.KeyChange) (carobrock.KeyResult, error) {
	res, err := k.Control.Propose(ctx, &carobrock.Command{ClaimKeys: &carobrock.ClaimKeys{Changes: []carobrock.KeyChange{ch}}})
	if err != nil {
		return carobrock.KeyResult{}, err
	}
	if len(res.Keys) != 1 {
		return carobrock.KeyResult{}, eris.Wrap(carobrock.ErrOutcomeUnknown, "the result of the command does not have exactly one entry for the key")
	}
	return res.Keys[0], nil
}
