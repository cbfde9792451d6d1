package carobrock

// Outcome is what a refusal by carobrock says about the request.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun: no byte of the request can have reached an upstream.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown: an upstream may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Headers that carobrock reads or sets.
const (
	HeaderOutcome        = "Carobrock-Outcome"
	HeaderIdempotent     = "Carobrock-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Carobrock-Request-Id"
)

// Refusal is the JSON body of a refusal.
type Refusal struct {
	// Outcome says whether the request can have run.
	Outcome Outcome `json:"outcome"`
	// Reason is one short sentence.
	Reason string `json:"reason"`
	// RequestID identifies the request in the logs.
	RequestID string `json:"requestId"`
}
