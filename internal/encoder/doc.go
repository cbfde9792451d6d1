// Package encoder holds the generated protobuf types that carobrock's own
// processes exchange and store.
//
// Only the envelope is protobuf. Tables, commands and views are the JSON
// documents that operators use, carried in fields of type bytes, so that a row
// has one schema everywhere.
//
// Regenerate with: protoc --go_out=. --go_opt=paths=source_relative carobrock.proto
package encoder
