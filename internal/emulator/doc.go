// Package emulator emulates a worker for tests and load measurements. An emulated
// worker provides a service, runs tasks under a lease, reports usage with a lag
// and can inject faults.
//
// It enforces the rules that a real worker must follow: it rejects requests to start
// an attempt that is not the newest of its task, that are for another incarnation or
// that arrive too late by its own clock, and it stops its attempts when its lease
// expires.
package emulator
