// Package keeper implements the replicated state machine of the control group.
// Its state consists of the route and pool tables, availability zones, health
// verdicts, workers, tasks, grants, idempotency keys and a bounded window of
// change IDs.
//
// The state machine enforces the safety invariants itself and does not rely on
// the code that proposes changes: a change of a table must be based on the
// table's current version, a command with a repeated change ID has no further
// effect, the capacity of a VM is never exceeded, nothing is assigned in an
// availability zone that is out of service, and no slot of an upstream is
// granted twice.
package keeper
