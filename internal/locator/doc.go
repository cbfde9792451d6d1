// Package locator finds the leader of the control group and forwards the calls of
// carobrock.JobControl to it.
//
// A Locator starts with configured seed addresses, which may be out of date.
// The addresses of the current members of the group are added to them. A call
// goes to the replica that was last known to be the leader. A replica that is
// not the leader responds with the address of the leader, if it knows it.
package locator
