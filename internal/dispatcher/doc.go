// Package dispatcher implements the leader's side of job scheduling: it accepts
// job submissions and worker heartbeats, assigns tasks to workers and responds
// to heartbeats with orders.
//
// Two loops propose commands to the replicated log. The batcher commits
// external input: jobs, cancellations, ends of runs and operators' changes. It puts everything that arrived while the previous
// command was being committed into one command. The placement loop commits
// assignments, withdrawals of runs, losses and ends of worker incarnations and the
// interference model.
// The orders to a worker are always derived from the replicated state and the
// worker's newest heartbeat, so a lost response or a new leader needs no
// recovery: a recorded run that the heartbeat does not list is started, and a
// listed run that is not recorded is stopped.
//
// Runs hold leases that heartbeats renew, as in Gray and Cheriton, "Leases"
// (1989). A silent worker is given up only when every lease that it may hold has
// expired on its own clock.
//
// A filler is a task that reserves no CPU and uses what the other tasks on its
// worker leave idle. Its pace is the percentage of its full speed at which it
// may run; the leader lowers the pace to protect the tail latency of services
// on the same worker. A worker incarnation is one lifetime of a worker process,
// identified by a carobrock.WorkerIncarnation.
package dispatcher
