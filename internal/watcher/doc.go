// Package watcher keeps a gateway's view of the replicated state up to date.
//
// The view changes only forwards: a delta with an older index is not applied,
// also if it comes from another replica. The view is in force when Current
// returns it, and it is confirmed as of the moment when the request was sent
// that a leader proved it with.
package watcher
