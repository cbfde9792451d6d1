package carobrock

// Outcome states whether a refused request may have been executed.
type Outcome string

// Values of Outcome.
const (
	// OutcomeNotRun means that no byte of the request can have reached an
	// upstream.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that an upstream may have executed the request.
	OutcomeUnknown Outcome = "unknown"
)

// HTTP headers that carobrock reads or sets.
const (
	HeaderOutcome        = "Carobrock-Outcome"
	HeaderIdempotent     = "Carobrock-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Carobrock-Request-Id"
)

// Refusal is the JSON body of the response to a refused request.
type Refusal struct {
	// Outcome states whether the request may have been executed.
	Outcome Outcome `json:"outcome"`
	// Reason is a one-sentence explanation.
	Reason string `json:"reason"`
	// RequestID identifies the request in the logs.
	RequestID string `json:"requestId"`
}
