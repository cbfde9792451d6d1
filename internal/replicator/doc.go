// Package replicator implements the replicated log of the control group with the
// Raft consensus algorithm and applies committed entries to a state machine.
//
// The implementation follows Ongaro, "Consensus: Bridging Theory and Practice"
// (2014): terms, a log matched by index and term, pre-vote (section 9.6), check
// quorum (6.2), read index and leader lease (6.4), learners and single-server
// membership changes (chapter 4), and leadership transfer (3.10). A member is
// identified by the incarnation of its data directory rather than by its name, so
// that a replica that lost its disk cannot vote under its old identity.
//
// Type core is the algorithm without I/O or a clock. Replica runs it: a single
// goroutine receives messages, proposals and ticks, makes the resulting state
// durable, and only then sends the messages that depend on it.
package replicator
