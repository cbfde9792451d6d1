// Package journaler stores the durable state of a replica in a data directory: an
// identity file, a log file and a snapshot.
//
// Each Append writes one record with one checksum. A crash can therefore corrupt
// only the last record, and corruption before a valid record is reported as
// ErrCorrupt. The log file is not truncated when entries are replaced: on
// reading, an entry replaces all earlier ones with the same or a higher index.
package journaler
