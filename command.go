package carobrock

import "encoding/json"

// Command is one change to the replicated state. Exactly one of its pointer
// fields is set.
type Command struct {
	// ChangeID is the deduplication key. A command that repeats a ChangeID has
	// no effect and returns the result of the first command. If empty, the
	// command is not deduplicated.
	ChangeID string `json:"changeId,omitempty"`

	PutTable     *PutTable     `json:"putTable,omitempty"`
	PutZone      *PutZone      `json:"putZone,omitempty"`
	PutVerdicts  *PutVerdicts  `json:"putVerdicts,omitempty"`
	PutWorkers   *PutWorkers   `json:"putWorkers,omitempty"`
	DropWorkers  *DropWorkers  `json:"dropWorkers,omitempty"`
	SubmitTask   *SubmitTask   `json:"submitTask,omitempty"`
	TaskChanges  *TaskChanges  `json:"taskChanges,omitempty"`
	PutGrants    *PutGrants    `json:"putGrants,omitempty"`
	ClaimKeys    *ClaimKeys    `json:"claimKeys,omitempty"`
	ExpireWindow *ExpireWindow `json:"expireWindow,omitempty"`
}

// PutTable replaces one table if its version still equals BaseVersion
// (optimistic concurrency control).
type PutTable struct {
	Table Table `json:"table"`
	// BaseVersion is the table version on which the change is based.
	BaseVersion uint64 `json:"baseVersion"`
	// Routes is the new content if Table is TableRoutes.
	Routes []Route `json:"routes,omitempty"`
	// Pools is the new content if Table is TablePools.
	Pools []Pool `json:"pools,omitempty"`
}

// PutZone takes an availability zone out of service or returns it to service.
type PutZone struct {
	// Name is the availability zone. It must be known from a worker
	// announcement, a pool or a verdict.
	Name string `json:"name"`
	// OutOfService is the new value of the operators' out-of-service flag.
	OutOfService bool `json:"outOfService"`
	// BaseVersion is the version of the zone on which the change is based. The
	// change is refused if the zone has another version. Nil applies to any version.
	BaseVersion *uint64 `json:"baseVersion,omitempty"`
}

// PutVerdicts records health verdicts of the monitoring group.
type PutVerdicts struct {
	Verdicts []Verdict `json:"verdicts"`
}

// PutWorkers adds workers or replaces their records.
type PutWorkers struct {
	Workers []Worker `json:"workers"`
}

// DropWorkers removes the named workers, except those on whose VM a task
// attempt may still be running.
type DropWorkers struct {
	Names []string `json:"names"`
}

// SubmitTask adds a task.
type SubmitTask struct {
	Spec TaskSpec `json:"spec"`
}

// TaskChanges is a batch of task events that are applied independently: an
// event that does not apply is rejected without affecting the others.
type TaskChanges struct {
	Changes []TaskChange `json:"changes"`
}

// TaskChange is one event of one task.
type TaskChange struct {
	// ID identifies the task.
	ID    string    `json:"id"`
	Event TaskEvent `json:"event"`
	// Attempt must equal the task's current attempt, or the next one for
	// EventAssign. EventCancel accepts any attempt.
	Attempt uint64 `json:"attempt"`
	// Worker is the worker to which the task is assigned, or on which it
	// failed.
	Worker string `json:"worker,omitempty"`
	// Checkpoint is the checkpoint that EventCheckpointed commits.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Reason is stored with the task.
	Reason string `json:"reason,omitempty"`
}

// PutGrants replaces the grants of upstream slots if their version still equals
// Base.
type PutGrants struct {
	// Base is the version of the grants from which the change was computed.
	Base uint64 `json:"base"`
	// Grants is the complete new set.
	Grants []Grant `json:"grants"`
}

// Grant allows one gateway to use a number of request slots and connections of
// one upstream.
type Grant struct {
	// Gateway and Incarnation identify the holder of the grant.
	Gateway     string `json:"gateway"`
	Incarnation string `json:"incarnation"`
	// Upstream is the address of the service endpoint.
	Upstream string `json:"upstream"`
	// Slots is the maximum number of requests that the gateway may have in
	// flight at the upstream.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the gateway may
	// hold to the upstream.
	Connections int `json:"connections"`
	// TargetSlots is the target number of slots. The gateway reaches it as other
	// gateways release slots.
	TargetSlots int `json:"wanted,omitempty"`
	// HeldSlots is the largest number of slots that the gateway may still use,
	// because it has not yet confirmed a reduced grant. It is at least Slots.
	HeldSlots int `json:"held"`
	// HeldConnections is the corresponding number of connections.
	HeldConnections int `json:"heldConnections"`
}

// KeyState is the state of an idempotency key.
type KeyState string

// Values of KeyState.
const (
	// KeyClaimed means that a gateway may have forwarded the request and that
	// its response is not recorded.
	KeyClaimed KeyState = "claimed"
	// KeyDone means that the response is recorded.
	KeyDone KeyState = "done"
)

// ClaimKeys is a batch of changes to idempotency keys.
type ClaimKeys struct {
	Changes []KeyChange `json:"changes"`
}

// KeyChange claims, completes or releases one idempotency key.
type KeyChange struct {
	// Key is the caller's key, scoped to its route.
	Key string `json:"key"`
	// Fingerprint is a hash of the request. It is used to refuse a key that is
	// reused for a different request.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Owner identifies the claim. Only the owner can complete or release it.
	Owner string `json:"owner"`
	// Action is the operation on the key.
	Action KeyAction `json:"action"`
	// AtUnixSec is the gateway's wall-clock time at the claim, in Unix seconds.
	// The retention period of the key is counted from it.
	AtUnixSec int64 `json:"atUnixSec"`
	// Response is the response that KeyActionComplete records.
	Response *RecordedResponse `json:"answer,omitempty"`
}

// KeyAction is the operation of a KeyChange.
type KeyAction string

// Values of KeyAction.
const (
	KeyActionClaim    KeyAction = "claim"
	KeyActionComplete KeyAction = "complete"
	KeyActionRelease  KeyAction = "release"
)

// RecordedResponse is the HTTP response stored for an idempotency key.
type RecordedResponse struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// ContentType is the value of the Content-Type header.
	ContentType string `json:"contentType,omitempty"`
	// Body is the response body, if it is small enough to be stored.
	Body []byte `json:"body,omitempty"`
	// Truncated is set if the body is too large to be stored.
	Truncated bool `json:"truncated,omitempty"`
}

// ExpireWindow deletes the idempotency keys, completed or not, that were
// claimed before a given time.
type ExpireWindow struct {
	// BeforeUnixSec is the wall-clock time, in Unix seconds.
	BeforeUnixSec int64 `json:"beforeUnixSec"`
}

// Result is the state machine's result of a Command.
type Result struct {
	// Code is empty if the command was accepted.
	Code ResultCode `json:"code,omitempty"`
	// Text explains why the command was refused.
	Text string `json:"text,omitempty"`
	// Index is the log index at which the change was first applied.
	Index uint64 `json:"index"`
	// Version is the version of the changed object, or its current version
	// after a conflict.
	Version uint64 `json:"version,omitempty"`
	// Keys has one element for each change of a ClaimKeys.
	Keys []KeyResult `json:"keys,omitempty"`
	// Rejected lists the changes of a TaskChanges that did not apply.
	Rejected []TaskRejection `json:"rejected,omitempty"`
}

// TaskRejection explains why a TaskChange did not apply.
type TaskRejection struct {
	// ID and Event identify the change.
	ID    string    `json:"id"`
	Event TaskEvent `json:"event"`
	// Text is one short sentence.
	Text string `json:"text"`
}

// KeyResult is the result of one KeyChange.
type KeyResult struct {
	// Granted is set if the change was applied.
	Granted bool `json:"granted"`
	// State is the current state of the key if the change was not applied.
	State KeyState `json:"state,omitempty"`
	// Mismatch is set if the key was claimed by a request with a different
	// fingerprint.
	Mismatch bool `json:"mismatch,omitempty"`
	// Response is the recorded response, if any.
	Response *RecordedResponse `json:"answer,omitempty"`
}

// ResultCode classifies a refused command.
type ResultCode string

// Values of ResultCode.
const (
	CodeConflict ResultCode = "conflict"
	CodeInvalid  ResultCode = "invalid"
	CodeNotFound ResultCode = "notFound"
)

// Encode returns the JSON encoding of c for the replicated log.
func (c *Command) Encode() ([]byte, error) { return json.Marshal(c) }

// IsIdempotent reports whether applying c more than once has the same effect as
// applying it once.
func (c *Command) IsIdempotent() bool {
	return c.ChangeID != "" || c.ClaimKeys != nil || c.SubmitTask != nil || c.PutVerdicts != nil
}
