// Package controller is a replica of the control group as a process sees it: it
// joins the replicated log, the state machine and the scheduler, and offers them
// to gateways, operators, workers and the other replicas.
package controller
