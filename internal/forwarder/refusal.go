package forwarder

import (
	"encoding/json"
	"net/http"

	"github.com/carobrock/carobrock"
)

// refusal is an answer that carobrock makes itself.
type refusal struct {
	status  int
	outcome carobrock.Outcome
	reason  string
}

// retryAfterSeconds is what a caller is asked to wait after a 503.
const retryAfterSeconds = "1"

func notRun(status int, reason string) *refusal {
	return &refusal{status, carobrock.OutcomeNotRun, reason}
}

func unknown(status int, reason string) *refusal {
	return &refusal{status, carobrock.OutcomeUnknown, reason}
}

// write sends the refusal to the caller.
func (rf *refusal) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set(carobrock.HeaderOutcome, string(rf.outcome))
	h.Set(carobrock.HeaderRequestID, requestID)
	h.Set("Content-Type", "application/json")
	if rf.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(rf.status)
	body := carobrock.Refusal{Outcome: rf.outcome, Reason: rf.reason, RequestID: requestID}
	_ = json.NewEncoder(w).Encode(body)
}
