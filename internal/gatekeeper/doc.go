// Package gatekeeper is a gateway as a process sees it: the listeners for
// callers and operations, the view of the configuration, and the drain.
package gatekeeper
