// Package watcher maintains a gateway's view of the replicated state.
//
// The index of the view never decreases: a response with an older index is not
// applied, even if it comes from another replica. A view is in force once
// Current returns it. When a leader confirms the view, the confirmation dates
// from the time at which the watcher sent the request.
package watcher
