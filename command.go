package carobrock

import "encoding/json"

// Command is one change of the replicated state. Exactly one of the pointers
// is set.
type Command struct {
	// ChangeID identifies the change: a command that repeats a ChangeID gets
	// the first one's result and changes nothing. Empty: not deduplicated.
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

// PutTable replaces one table if its version is still BaseVersion.
type PutTable struct {
	// Table names the table.
	Table Table `json:"table"`
	// BaseVersion is the version that the change was made from.
	BaseVersion uint64 `json:"baseVersion"`
	// Routes is the new content if Table is TableRoutes.
	Routes []Route `json:"routes,omitempty"`
	// Pools is the new content if Table is TablePools.
	Pools []Pool `json:"pools,omitempty"`
}

// PutZone takes an availability zone out of service or back.
type PutZone struct {
	// Name is the availability zone. It must be known from an announcement or
	// a pool.
	Name string `json:"name"`
	// OutOfService is the new value of the bit.
	OutOfService bool `json:"outOfService"`
}

// PutVerdicts takes the monitoring group's verdicts.
type PutVerdicts struct {
	Verdicts []Verdict `json:"verdicts"`
}

// PutWorkers adds workers or replaces what is known of them.
type PutWorkers struct {
	Workers []Worker `json:"workers"`
}

// DropWorkers removes workers that hold no attempt.
type DropWorkers struct {
	Names []string `json:"names"`
}

// SubmitTask adds a task.
type SubmitTask struct {
	Spec TaskSpec `json:"spec"`
}

// TaskChanges takes a batch of events, each on its own: one that does not
// apply changes nothing and does not hold up the others.
type TaskChanges struct {
	Changes []TaskChange `json:"changes"`
}

// TaskChange is one event of one task.
type TaskChange struct {
	// ID names the task.
	ID string `json:"id"`
	// Event is the event.
	Event TaskEvent `json:"event"`
	// Attempt must be the task's attempt, or the next one for EventAssign.
	// EventCancel takes any.
	Attempt uint64 `json:"attempt"`
	// Worker is the worker to assign to, or the one that failed the task.
	Worker string `json:"worker,omitempty"`
	// Checkpoint is the checkpoint that EventCheckpointed commits.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Reason is stored with the task.
	Reason string `json:"reason,omitempty"`
}

// PutGrants replaces the grants of slots.
type PutGrants struct {
	// Base is the version of the grants that the change was computed from.
	Base uint64 `json:"base"`
	// Grants is the whole new set.
	Grants []Grant `json:"grants"`
}

// Grant lets one gateway use some slots and connections of one upstream.
type Grant struct {
	// Gateway and Incarnation name the holder.
	Gateway     string `json:"gateway"`
	Incarnation string `json:"incarnation"`
	// Upstream is the address of the service endpoint.
	Upstream string `json:"upstream"`
	// Slots is how many requests the gateway may have in flight there.
	Slots int `json:"slots"`
	// Connections is how many connections the gateway may hold there.
	Connections int `json:"connections"`
	// Wanted is how many slots the gateway is to get as others give them up.
	Wanted int `json:"wanted,omitempty"`
	// Held is the most slots that the gateway may still use, because it has not
	// yet said that it keeps to a smaller grant. It is at least Slots.
	Held int `json:"held"`
	// HeldConnections is the same for connections.
	HeldConnections int `json:"heldConnections"`
}

// KeyState is the state of an idempotency key.
type KeyState string

// The states of a key.
const (
	// KeyClaimed: a gateway may have forwarded the request; not decided.
	KeyClaimed KeyState = "claimed"
	// KeyDone: the answer is recorded.
	KeyDone KeyState = "done"
)

// ClaimKeys takes a batch of changes of idempotency keys.
type ClaimKeys struct {
	Changes []KeyChange `json:"changes"`
}

// KeyChange claims, completes or releases one key.
type KeyChange struct {
	// Key is the caller's key within its route.
	Key string `json:"key"`
	// Fingerprint is a hash of the request, so that a key reused for another
	// request is refused.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Owner identifies the claim. Only the owner completes or releases.
	Owner string `json:"owner"`
	// Action is claim, complete or release.
	Action KeyAction `json:"action"`
	// AtUnixSec is the leader's wall-clock time, from which retention counts.
	AtUnixSec int64 `json:"atUnixSec"`
	// Answer is recorded by complete.
	Answer *RecordedAnswer `json:"answer,omitempty"`
}

// KeyAction is what a KeyChange does.
type KeyAction string

// The actions.
const (
	KeyActionClaim    KeyAction = "claim"
	KeyActionComplete KeyAction = "complete"
	KeyActionRelease  KeyAction = "release"
)

// RecordedAnswer is the answer kept for a key.
type RecordedAnswer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the answer's content type.
	ContentType string `json:"contentType,omitempty"`
	// Body is the answer's body, if it was small enough.
	Body []byte `json:"body,omitempty"`
	// Truncated is set if the body was too large to be recorded.
	Truncated bool `json:"truncated,omitempty"`
}

// ExpireWindow drops idempotency keys that were decided or claimed before a
// time.
type ExpireWindow struct {
	// BeforeUnixSec is the wall-clock time.
	BeforeUnixSec int64 `json:"beforeUnixSec"`
}

// Result is what the state machine answers to a command.
type Result struct {
	// Code is empty if the command was accepted.
	Code ResultCode `json:"code,omitempty"`
	// Text says why it was not.
	Text string `json:"text,omitempty"`
	// Index is where the change was applied first.
	Index uint64 `json:"index"`
	// Version is the version of the changed thing, or the current one on a
	// conflict.
	Version uint64 `json:"version,omitempty"`
	// Keys has an element for each change of a ClaimKeys.
	Keys []KeyResult `json:"keys,omitempty"`
	// Rejected lists the changes of a TaskChanges that did not apply.
	Rejected []TaskRejection `json:"rejected,omitempty"`
}

// TaskRejection tells why a TaskChange did not apply.
type TaskRejection struct {
	// ID and Event name the change.
	ID    string    `json:"id"`
	Event TaskEvent `json:"event"`
	// Text is one short sentence.
	Text string `json:"text"`
}

// KeyResult is the result of one KeyChange.
type KeyResult struct {
	// Granted is set if the change was made.
	Granted bool `json:"granted"`
	// State is the key's state if the change was not made.
	State KeyState `json:"state,omitempty"`
	// Mismatch is set if the key belongs to another request.
	Mismatch bool `json:"mismatch,omitempty"`
	// Answer is the recorded answer, if there is one.
	Answer *RecordedAnswer `json:"answer,omitempty"`
}

// ResultCode classifies a refused command.
type ResultCode string

// The codes.
const (
	CodeConflict ResultCode = "conflict"
	CodeInvalid  ResultCode = "invalid"
	CodeNotFound ResultCode = "notFound"
)

// Encode returns the bytes of c for the log.
func (c *Command) Encode() ([]byte, error) { return json.Marshal(c) }

// IsRepeatable reports whether applying c twice is the same as applying it once.
func (c *Command) IsRepeatable() bool {
	return c.ChangeID != "" || c.ClaimKeys != nil || c.SubmitTask != nil || c.PutVerdicts != nil
}
