// Package locator finds the leader of the control group and forwards the calls of
// carobrock.JobControl to it.
//
// A Locator starts with configured seed addresses, which may be out of date, and
// is updated with the current members of the group. A call goes to the replica
// last known to lead. A replica that does not lead answers with the address of
// the leader, if it knows it.
package locator
