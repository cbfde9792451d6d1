// Package recruiter keeps the control group at its size without an operator.
//
// A replica that is no member asks the leader for a seat, again and again. The
// leader gives it the seat of a member of the same name whose data folder is
// lost, that of a member that has been silent for a while, or a new one while
// the group is smaller than it should be. A replica without a seat waits as a
// spare and counts for nothing. Members are changed one at a time and only
// after the newcomer has caught up, so that the loss of another replica right
// after loses nothing (Ongaro 2014, chapter 4).
package recruiter
