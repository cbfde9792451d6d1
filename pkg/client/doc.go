// Package client talks to carobrock's operations interface, for operators,
// workers and the monitoring group.
//
// A Client tries its addresses in turn. A change is sent with a change ID, so
// that it can be sent again after a lost answer without being made twice.
package client
