// Package loader makes open-loop load and measures it.
//
// Requests are sent at times that are fixed beforehand, and latency counts from
// the time at which a request should have been sent, so that a slow system does
// not slow the measurement down with it (Tene, "How NOT to Measure Latency",
// 2013: coordinated omission).
package loader
