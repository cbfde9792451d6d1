// Package scheduler implements the control loop that the leader runs for tasks:
// it processes workers' announcements, ends attempts whose lease has expired,
// evicts work from availability zones that are taken out of service, places
// queued tasks and sends requests to workers.
//
// Every decision is committed to the replicated state before it has an external
// effect, and every step is idempotent: a new leader derives the remaining work
// from the replicated state alone. Only leases and reports are kept in memory;
// a new leader treats every lease as renewed at the time of its own election.
package scheduler
