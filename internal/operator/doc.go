// Package operator implements carobrock's HTTP API for operators, workers and the
// monitoring group. Every process serves it on its operations listener.
//
// The response to a failed request is a JSON body {code, error}. The request changed
// nothing, except for the code "undecided": it is then unknown whether the change
// was made, and a retry with the same changeId is safe.
package operator
