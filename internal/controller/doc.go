// Package controller assembles a control replica. It connects the replicated
// log, the state machine and the scheduler, and serves the control API to
// gateways, operators, workers and other replicas.
package controller
