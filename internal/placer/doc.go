// Package placer implements the placement policies, which decide on which
// workers queued tasks run.
//
// The result of Place depends only on the input view and, for
// InterferenceAware, on its interference model. The state machine checks the
// capacity of every assignment again, so that a faulty policy cannot overload a
// VM.
package placer
