// Package carobrock holds the plain data and the interfaces of carobrock, a
// scheduler for latency-critical services and batch tasks on the same VMs.
//
// The package has no behaviour beyond checking its own data. Implementations
// of the interfaces are in the packages below internal/. All durations that
// leave the process are whole milliseconds and carry the unit in their name;
// processors are counted in thousandths of a core, memory in megabytes.
package carobrock
