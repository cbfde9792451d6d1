// Package keeper is the replicated state machine of the control group: tables,
// availability zones, verdicts, workers, tasks, grants, idempotency keys and the
// window of change IDs.
//
// The rules that must never break are checked here and not only in the code
// that proposes changes: a table changes only from its newest version, a change
// ID has one result, no VM is committed beyond its capacity, nothing is assigned
// in a zone that is out of service, no upstream's slots are granted twice.
package keeper
