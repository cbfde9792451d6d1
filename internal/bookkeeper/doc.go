// Package bookkeeper keeps the replicated state of jobs: the configuration, the
// availability zones, the jobs with their tasks and runs, and the maintenance
// waves.
//
// It is a deterministic state machine: it reads no clock, uses no random numbers
// and knows of workers only what commands contain. A run is recorded here before
// its start order is sent, and the end of a run before it is acknowledged, so
// every later leader knows all runs that may be active. A worker incarnation is
// one lifetime of a worker process, identified by a carobrock.WorkerIncarnation.
package bookkeeper
