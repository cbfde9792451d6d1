// Package carobrock defines the data types and interfaces of carobrock, a
// scheduler for latency-critical services and batch tasks on the same VMs.
//
// The package validates its own data and has no other behavior. The packages
// below internal/ implement the interfaces. All durations that leave the
// process are whole milliseconds and carry the unit in their name. CPU is
// measured in thousandths of a core and memory in megabytes.
package carobrock
