// Package journaler keeps the durable state of a replica in one data folder:
// its identity, a log file and a snapshot.
//
// Everything written by one Append is one record with one checksum, so a crash
// can damage only the last record, and damage before a valid record is never a
// crash's work. The log is not cut in place: an entry replaces the earlier ones
// from its index on when the file is read.
package journaler
