// Package forwarder sends callers' requests to upstreams and returns the
// responses. Each request gets the upstream's complete response or a refusal that
// states whether the request may have run.
//
// A refusal has the outcome "notRun" only if no byte of the request can have
// reached an upstream. This is known because connections count the bytes written
// to them. A connection is reused only after a complete response; after a
// timeout, a cancellation or a protocol error it is closed, so that a late
// response cannot reach another caller.
package forwarder
