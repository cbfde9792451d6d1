// Package bookkeeper keeps the replicated state of jobs: the configuration, the
// availability zones, jobs with their tasks and runs, and waves of maintenance.
//
// It is a deterministic state machine: it reads no clock, draws no random
// numbers and knows of workers only what commands say. A run is recorded here
// before its start order leaves, and its end before it is acknowledged, so that
// every later leader knows each run that may still be under way.
package bookkeeper
