// Package placer decides where queued tasks go.
//
// Its policies are pure functions over a plain view. Whatever a policy decides,
// the state machine checks the capacity again, so that no fault of a policy can
// overload a VM.
package placer
