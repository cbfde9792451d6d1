// Package emulator is a stand-in for a worker: it offers a service, runs tasks
// under leases, reports usage with a lag, and can be told to misbehave.
//
// It is as strict as a real worker should be: it refuses orders of an older
// attempt, orders for another incarnation and orders that are begun too late by
// its own clock, and it stops its attempts when its lease runs out.
package emulator
