package carobrock

import (
	"context"

	"github.com/carobrock/carobrock/internal/encoder"
)

// Journal stores the durable state of one replica. It is not safe for
// concurrent use.
type Journal interface {
	// Open reads the state and makes it durable before it returns. It returns an
	// error if the stored data is corrupt.
	Open() (*JournalState, error)
	// Append makes hs and entries durable before it returns. An entry replaces
	// all earlier entries with the same or a higher index. A nil hs leaves the
	// stored hard state unchanged. After an error that reports a lack of space the
	// journal must be reopened, after another error it must not be used again.
	Append(hs *encoder.HardState, entries []*encoder.Entry) error
	// SaveSnapshot makes s durable and discards the entries up to its index. It
	// writes hs and the entries in keep as the state that follows the snapshot.
	// After an error that reports a lack of space the journal holds what it held
	// before, also if s is not the newest state of the replica any more; it either
	// can still be used or fails again at the next call. After another error it
	// must not be used again.
	SaveSnapshot(s *encoder.Snapshot, hs *encoder.HardState, keep []*encoder.Entry) error
	// IsSnapshotDue reports whether a snapshot has to be taken soon because of the
	// size of the files.
	IsSnapshotDue() bool
	// Reopen reads the state again after an error that reports a lack of space, also
	// one of Open or of an earlier Reopen. The state is that of the last successful
	// call; nothing of the write that failed is kept.
	Reopen() (*JournalState, error)
	// Probe reports whether the journal can write again. It is called after Reopen.
	// After a successful call the journal can be used as after Open.
	Probe() error
	// Close closes the files of the journal.
	Close() error
}

// JournalState is the content of a journal when it is opened.
type JournalState struct {
	// Incarnation is the random identity of the data directory. It is never
	// zero.
	Incarnation uint64
	// HardState is the last stored term and vote. It is zero in a new data
	// directory.
	HardState *encoder.HardState
	// Snapshot is the newest snapshot, or nil if there is none.
	Snapshot *encoder.Snapshot
	// Entries are the entries after the snapshot, in order and without gaps.
	Entries []*encoder.Entry
}

// StateMachine is the replicated state machine. Apply is called once for each
// committed command, in log order, from one goroutine. The other methods may be
// called concurrently.
type StateMachine interface {
	// Apply applies a command and returns its result. It is deterministic: it
	// reads no clock and uses no random numbers.
	Apply(index uint64, command []byte) any
	// Snapshot returns an encoding of the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one that Snapshot returned.
	Restore(index uint64, data []byte) error
}

// Transport carries messages between replicas. Delivery is best effort: Send does
// not block for long, and messages may be lost, delayed, duplicated or
// reordered.
type Transport interface {
	// Send sends m to the replica that listens on address.
	Send(address string, m *encoder.Message)
}

// RPCClient makes remote procedure calls to other processes.
type RPCClient interface {
	// Call invokes method at address and returns the body of the response.
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
}

// Replica is the interface of the replicated log to the other parts of a
// process.
type Replica interface {
	// Propose commits command and returns the state machine's result. It
	// returns an error if this replica is not the leader, or if it cannot
	// determine whether the command will be committed.
	Propose(ctx context.Context, command []byte) (any, error)
	// ReadIndex returns an index that is not below any index committed by any
	// replica before the call, after the state machine has applied it (a
	// linearizable read index). It returns an error if this replica is not the
	// leader.
	ReadIndex(ctx context.Context) (uint64, error)
	// WaitApplied blocks until the state machine has applied index or ctx ends.
	WaitApplied(ctx context.Context, index uint64) error
	// Status returns the current status of the replica.
	Status() ReplicaStatus
}

// ReplicaStatus is the status of one replica of the control group.
type ReplicaStatus struct {
	// ID is the incarnation of the replica's data directory.
	ID uint64 `json:"id"`
	// Name is the configured name.
	Name string `json:"name"`
	// Role is a state of the state chart charts/replica.yaml.
	Role string `json:"role"`
	// DiskFull is set while the replica takes no part in the group because it cannot
	// write for lack of space.
	DiskFull bool `json:"diskFull,omitempty"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// Leader is the ID of the leader of Term, or zero if it is unknown.
	Leader uint64 `json:"leader"`
	// LeaderAddress is the address at which the leader accepts calls. It is
	// empty if unknown.
	LeaderAddress string `json:"leaderAddress,omitempty"`
	// Commit and Applied are the highest committed and applied log indices.
	// First and Last are the indices of the first and last log entry.
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	First   uint64 `json:"first"`
	Last    uint64 `json:"last"`
	// LeaseMillis is the remaining time of the leader's lease, in milliseconds.
	// It is zero on other replicas.
	LeaseMillis int64 `json:"leaseMillis"`
	// Members is the newest membership in the log, whether committed or not.
	Members []MemberStatus `json:"members"`
}

// MemberStatus is the status of one member of the control group.
type MemberStatus struct {
	// ID is the incarnation of the member's data directory.
	ID uint64 `json:"id"`
	// Name is the member's configured name.
	Name string `json:"name"`
	// Address is the address at which the member accepts calls.
	Address string `json:"address"`
	// Voter is false for a learner, which does not vote.
	Voter bool `json:"voter"`
	// Match is the highest log index that the member is known to hold. Only the
	// leader sets it.
	Match uint64 `json:"match,omitempty"`
	// SilentMillis is the time since the leader last received a message from
	// the member, in milliseconds. Only the leader sets it.
	SilentMillis int64 `json:"silentMillis,omitempty"`
}

// Control is the interface of the control group to operators, workers and
// monitoring. It is available in every process.
type Control interface {
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, c *Command) (*Result, error)
	// Read returns the JSON encoding of the data that q selects. The data is at
	// least as recent as the call.
	Read(ctx context.Context, q Query) ([]byte, error)
	// Announce records a worker's announcement and renews its leases.
	Announce(ctx context.Context, a *Announcement) (*Renewal, error)
	// ReplaceReplica replaces the member called name with the replica that runs
	// at address. It returns when the new replica holds all committed entries.
	ReplaceReplica(ctx context.Context, name, address string) error
}

// Query selects the data that Control.Read returns.
type Query struct {
	// Kind is the kind of data: routes, pools, zones, upstreams, tasks, task,
	// gateways, grants, replicas or status.
	Kind string `json:"what"`
	// ID selects one object of the kind. Only task uses it.
	ID string `json:"id,omitempty"`
}

// Placer assigns queued tasks to workers. The result of Place depends only on
// the view and, if the implementation learns, on its learned model.
type Placer interface {
	// Place returns the assignments for the queued tasks of v and, for each
	// task that cannot be placed now, the reason.
	Place(v *PlacementView) Placement
}

// UsageObserver learns from measurements of resource usage in order to improve
// placement.
type UsageObserver interface {
	// ObserveUsage records one measurement: work of the given kind used ratio times
	// its declared size while neighbors, counted by kind, ran on the same VM.
	// The counts are averages over the measurement interval.
	ObserveUsage(kind string, neighbors map[string]float64, ratio float64)
}

// EvictionAdvisor selects work to remove from a worker in order to relieve the
// other work there.
type EvictionAdvisor interface {
	// SuggestEvictions returns the evictions that it suggests for the workers
	// of v. It ignores the queued tasks of v.
	SuggestEvictions(v *PlacementView) []EvictionSuggestion
}

// EvictionSuggestion requests that one task of a kind be removed from a worker.
type EvictionSuggestion struct {
	// Worker is the worker's name.
	Worker string
	// Kind is the kind of the task to remove.
	Kind string
	// Slowdown is the expected relative slowdown of the worker's services; 0.1
	// means 10 %.
	Slowdown float64
}

// PlacementView is the input of a Placer.
type PlacementView struct {
	// Queued lists the tasks to place, in queue order.
	Queued []*Task
	// Workers lists the candidate workers.
	Workers []PlacementWorker
	// Pools holds the pools by name.
	Pools map[string]Pool
}

// PlacementWorker is a worker in a PlacementView.
type PlacementWorker struct {
	Worker
	// Free is the uncommitted capacity.
	Free Capacity
	// Usable is false while the worker must not get new tasks.
	Usable bool
	// Reason explains why the worker is not usable.
	Reason string
	// Kinds counts the attempts on the worker by kind.
	Kinds map[string]int
}

// Placement is the result of Place.
type Placement struct {
	// Assignments lists the assignments in queue order.
	Assignments []Assignment
	// Unplaced has one element for each task that is not placed.
	Unplaced []UnplacedTask
}

// Assignment assigns one task to one worker.
type Assignment struct {
	// Task is the task's ID.
	Task string
	// Worker is the worker's name.
	Worker string
}

// UnplacedTask explains why a task is not placed.
type UnplacedTask struct {
	// Task is the task's ID.
	Task string
	// FitsNoWorker is set if the task does not fit any allowed worker, even when
	// that worker is empty.
	FitsNoWorker bool
	// Reason is one short sentence.
	Reason string
}
