// Package operator offers carobrock's HTTP interface to operators, workers and
// the monitoring group, on the operations listener of every process.
//
// A refused request changes nothing and is answered with a JSON body {code,
// error}; the code "undecided" means that it is not known whether the change was
// made, and that repeating it with the same changeId is safe.
package operator
