// Package loader generates open-loop load and measures the latency of the
// requests.
//
// Requests are sent on a fixed schedule. Latency is measured from the scheduled
// time of a request, not from the time it was sent, so that a slow system does
// not hide its own delay. This avoids coordinated omission (Tene, "How NOT to
// Measure Latency", 2013).
package loader
