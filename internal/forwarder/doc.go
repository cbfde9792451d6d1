// Package forwarder takes callers' requests, sends each to an upstream and
// brings the whole answer back, or refuses truthfully.
//
// A refusal says "notRun" only if no byte of the request can have reached an
// upstream: connections count the bytes written to them, so that this is known
// and not guessed. A connection is used again only after a complete answer; one
// that saw a timeout, a cancel or a protocol error is closed, so that a late
// answer cannot reach another caller.
package forwarder
