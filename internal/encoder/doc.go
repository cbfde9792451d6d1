// Package encoder contains the generated protobuf types that carobrock
// processes exchange and store.
//
// Only the envelopes are protobuf messages. Tables, commands and views are the
// JSON documents that operators use, embedded in fields of type bytes, so that
// each row has a single schema.
//
// Regenerate with: protoc --go_out=. --go_opt=paths=source_relative carobrock.proto
package encoder
