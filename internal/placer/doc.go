// Package placer implements the placement policies, which decide on which
// workers queued tasks run.
//
// A policy is a pure function of its input view. The state machine checks the
// capacity of every assignment again, so that a faulty policy cannot overload a
// VM.
package placer
