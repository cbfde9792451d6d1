// Package locator finds the leader of the control group and carries the calls
// of carobrock.JobControl there.
//
// A Locator begins with a few addresses from the settings, which may be out of
// date, and learns the members of the group from every replica that answers. A
// call goes to the replica last known to lead; a replica that does not lead
// names the one that does.
package locator
