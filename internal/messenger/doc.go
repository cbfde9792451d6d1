// Package messenger carries calls and one-way messages between carobrock's own
// processes.
//
// Between two processes there is one yamux session over TCP in each direction
// of dialling. A call has a stream of its own; its answer is matched by the
// call's ID. One-way messages share a stream and may be lost. A session that
// does not answer a ping within the deadline is closed, and the next use dials
// a new connection: a connection can go silent for good while new ones work.
package messenger
