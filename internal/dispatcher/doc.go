// Package dispatcher is the leader's part in jobs: it takes submissions and
// heartbeats, gives tasks to workers and answers heartbeats with orders.
//
// Two loops propose commands. The intake commits what comes from outside
// (jobs, cancellations, ends of runs, operators' changes), all that has
// gathered while the last command was on its way at once. The placement loop
// commits assignments and the loss of workers. What a worker is told is always
// derived from the recorded state and its newest heartbeat, so that a lost
// answer or a new leader changes nothing: a recorded run that the heartbeat does
// not list is started, a listed run that is not recorded is stopped.
//
// Rests on Gray and Cheriton, "Leases" (1989): runs hold leases that heartbeats
// renew, and a worker that falls silent is given up only when every lease that
// it may hold has expired on its own clock.
package dispatcher
