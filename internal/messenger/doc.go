// Package messenger implements remote procedure calls and one-way messages
// between carobrock processes.
//
// Each process dials one yamux session over TCP to each of its peers. A call
// uses a stream of its own, and its response carries the ID of the call.
// One-way messages to a peer share two streams, one for small and one for large
// ones, and may be lost. Large frames are sent in parts, so that they do not delay
// others. A session that does not answer a ping before its timeout is closed, and
// the next use dials a new connection. This detects connections on which no more
// data arrives although new connections work.
package messenger
