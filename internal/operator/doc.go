// Package operator implements carobrock's HTTP API for operators, workers and the
// monitoring system. Every process serves it on its operations listener.
//
// The response to a failed request has a JSON body {code, error}. The request changed
// nothing unless the code is "undecided". In that case it is unknown whether the
// change was made, and a retry with the same changeId is safe.
package operator
