// Package submitter forwards a gateway's requests on jobs to the leader. It keeps the
// current configuration, finds the queue of each request, checks the key of its caller
// and bounds the call to the leader so that the caller gets a definite response before
// its deadline.
package submitter
