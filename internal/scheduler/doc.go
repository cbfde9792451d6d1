// Package scheduler is the leader's loop over tasks: it takes workers'
// announcements, ends attempts whose lease has run out, evicts what must leave
// an availability zone, places what is queued and sends orders to workers.
//
// Everything that it decides is committed before it has an effect outside, and
// every step can be repeated: a new leader finds in the replicated state alone
// what is to be done next. What it keeps in memory are leases and reports; a new
// leader treats every lease as renewed at its own election.
package scheduler
