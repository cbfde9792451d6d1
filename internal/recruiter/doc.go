// Package recruiter maintains the number of voters in the control group without
// an operator.
//
// A replica that is not a voter periodically asks the leader to admit it to the
// group as a voter. The leader admits it in place of a member with the same
// name or address whose data directory is lost, in place of a member that has
// been silent for some time, or as an additional voter while the group has
// fewer voters than its target number. A replica that is not admitted is a
// spare and does not count towards any majority. Members are changed one at a
// time and only after the new member has caught up, so that the loss of another
// replica immediately afterwards loses no committed entry (Ongaro 2014,
// chapter 4). A silent member is removed after the promotion of its successor;
// the leader removes the voter that is left over if this was interrupted.
//
// The leader also announces itself to the known processes that do not follow it,
// and a replica that follows no leader asks for one, even if it takes itself for
// a voter, and names it to others. So processes find the leader although none of
// their seeds is a member any more.
package recruiter
