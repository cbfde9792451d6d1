// Package client implements a client of carobrock's HTTP API for operators, workers
// and the monitoring system.
//
// A Client tries its addresses in turn. Each change carries a change ID, so that
// retrying it after a lost response does not apply it twice.
package client
