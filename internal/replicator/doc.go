// Package replicator keeps one log the same on all replicas of the control
// group, and hands its committed entries to a state machine.
//
// The algorithm is Raft as Ongaro describes it in "Consensus: Bridging Theory
// and Practice" (2014): terms, a log matched by index and term, pre-vote
// (section 9.6), check-quorum (6.2), read index and leader lease (6.4),
// learners and single-server membership changes (chapter 4). A member is
// identified by the incarnation of its data folder and not by its name, so
// that a replica which lost its disk cannot vote under its old identity.
//
// core is the algorithm without input, output or a clock. Replica runs it: one
// goroutine takes messages, proposals and ticks, makes the results durable and
// only then sends what depends on them.
package replicator
