// Package submitter is a gateway's part in jobs: it knows the configuration in
// force, finds the queue of a request and passes the request to the leader
// within a time that leaves room for a truthful answer.
package submitter
