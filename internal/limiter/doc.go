// Package limiter bounds what clients may make a process hold: connections, requests,
// bytes that have been received and memory for decoding them.
//
// The limits of each listener are derived from the memory and the descriptors of the VM.
// Each listener has budgets of its own, so that callers cannot take what workers and
// other processes need. A budget counts bytes as they arrive, never as they are
// announced. When one is exhausted, the clients that have been slow longest are
// disconnected first; a request for which there is still no room is refused.
package limiter
