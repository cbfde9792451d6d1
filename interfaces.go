package carobrock

import (
	"context"

	"github.com/carobrock/carobrock/internal/encoder"
)

// Journal is the durable state of one replica. Implementations are used from
// one goroutine at a time.
type Journal interface {
	// Open reads everything that is durable. It fails on damage.
	Open() (*JournalState, error)
	// Append makes hs and entries durable before it returns. An entry replaces
	// all earlier ones with the same or a higher index. A nil hs keeps the last.
	// After an error the journal must not be used again.
	Append(hs *encoder.HardState, entries []*encoder.Entry) error
	// SaveSnapshot makes s durable and drops the entries up to its index. keep
	// are the entries that stay; hs is the state that stays.
	SaveSnapshot(s *encoder.Snapshot, hs *encoder.HardState, keep []*encoder.Entry) error
	// Close frees the files.
	Close() error
}

// JournalState is what a journal held when it was opened.
type JournalState struct {
	// Incarnation is the random identity of the data folder, never zero.
	Incarnation uint64
	// HardState is the last term and vote, zero in a new folder.
	HardState *encoder.HardState
	// Snapshot is the newest snapshot, nil if there is none.
	Snapshot *encoder.Snapshot
	// Entries are the entries behind the snapshot, in order, without gaps.
	Entries []*encoder.Entry
}

// Machine is the replicated state machine. Apply is called with every
// committed command once, in order, from one goroutine; the other methods may
// be called at any time.
type Machine interface {
	// Apply changes the state and returns the command's result. It is
	// deterministic: it reads no clock and draws no random numbers.
	Apply(index uint64, command []byte) any
	// Snapshot returns the state as bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot returned.
	Restore(index uint64, data []byte) error
}

// Link carries messages between replicas. Send never blocks for long and may
// lose, delay, double or reorder messages.
type Link interface {
	// Send passes m to the replica that listens on address.
	Send(address string, m *encoder.Message)
}

// Caller calls other processes.
type Caller interface {
	// Call calls method at address and returns the answer's body.
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
}

// Replica is the replicated log as the other parts of a process see it.
type Replica interface {
	// Propose commits command and returns the state machine's result. It fails
	// if this replica does not lead, or if it cannot tell whether the command
	// will be committed.
	Propose(ctx context.Context, command []byte) (any, error)
	// Confirm returns an index that is at least as high as everything that was
	// committed anywhere before the call. The state machine has applied it. It
	// fails if this replica does not lead.
	Confirm(ctx context.Context) (uint64, error)
	// WaitApplied returns when the state machine has applied index.
	WaitApplied(ctx context.Context, index uint64) error
	// Status describes the replica.
	Status() ReplicaStatus
}

// ReplicaStatus describes one replica of the control group.
type ReplicaStatus struct {
	// ID is the incarnation of the data folder.
	ID uint64 `json:"id"`
	// Name is the configured name.
	Name string `json:"name"`
	// Role is a state of the chart charts/replica.yaml.
	Role string `json:"role"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// Leader is the member known to lead in Term, zero if none.
	Leader uint64 `json:"leader"`
	// LeaderAddress is where the leader takes calls, empty if none is known.
	LeaderAddress string `json:"leaderAddress,omitempty"`
	// Commit, Applied, First and Last are indices of the log.
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	First   uint64 `json:"first"`
	Last    uint64 `json:"last"`
	// LeaseMillis is what is left of the leader's lease, zero elsewhere.
	LeaseMillis int64 `json:"leaseMillis"`
	// Members is the newest membership in the log, committed or not.
	Members []MemberStatus `json:"members"`
}

// MemberStatus describes one member of the control group.
type MemberStatus struct {
	// ID is the incarnation of the member's data folder.
	ID uint64 `json:"id"`
	// Name is the member's configured name.
	Name string `json:"name"`
	// Address is where the member takes calls.
	Address string `json:"address"`
	// Voter is false for a learner.
	Voter bool `json:"voter"`
	// Match is the highest index that the member is known to hold. It is known
	// to the leader alone.
	Match uint64 `json:"match,omitempty"`
	// SilentMillis is how long ago the leader last heard from the member. It is
	// known to the leader alone.
	SilentMillis int64 `json:"silentMillis,omitempty"`
}

// Control is what operators, workers and monitoring may ask of the control
// group, from any process.
type Control interface {
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, c *Command) (*Result, error)
	// Read returns the JSON form of what q asks for, not older than the call.
	Read(ctx context.Context, q Query) ([]byte, error)
	// Announce takes a worker's announcement.
	Announce(ctx context.Context, a *Announcement) (*Renewal, error)
	// ReplaceReplica swaps the member called name for the replica that now runs
	// at address. It returns when the newcomer holds everything committed.
	ReplaceReplica(ctx context.Context, name, address string) error
}

// Query names what Read returns.
type Query struct {
	// What is the kind of thing: routes, pools, zones, upstreams, tasks, task,
	// gateways, replicas or status.
	What string `json:"what"`
	// ID names one thing of the kind.
	ID string `json:"id,omitempty"`
}

// Placer decides where queued tasks go. Its methods are pure functions.
type Placer interface {
	// Place returns the assignments for the queued tasks of v, and for those
	// that cannot be placed now, why.
	Place(v *PlacementView) Placement
}

// Learner takes measurements of usage, to place better later.
type Learner interface {
	// Observe takes one measurement: work of a kind used ratio times its
	// declared size while neighbours, counted by kind, ran on the same VM. The
	// counts are averages over the time of the measurement.
	Observe(kind string, neighbours map[string]float64, ratio float64)
}

// Reliever names work that should leave a worker for the sake of others.
type Reliever interface {
	// Relieve looks at the workers of v and not at its queued tasks.
	Relieve(v *PlacementView) []Relief
}

// Relief names a kind of which one task should leave a worker.
type Relief struct {
	// Worker is the worker's name.
	Worker string
	// Kind is the kind of which one task should leave.
	Kind string
	// Slowdown is the expected slowdown of the worker's services, as a share.
	Slowdown float64
}

// PlacementView is all that a Placer may look at.
type PlacementView struct {
	// Queued are the tasks to place, in queue order.
	Queued []*Task
	// Workers are the workers that may get tasks.
	Workers []PlacementWorker
	// Pools is the table of pools, by name.
	Pools map[string]Pool
}

// PlacementWorker is a worker as a Placer sees it.
type PlacementWorker struct {
	Worker
	// Free is the capacity that nothing is committed to.
	Free Capacity
	// Usable is false while the worker may get nothing new; Reason tells why.
	Usable bool
	// Reason tells why the worker is not usable.
	Reason string
	// Kinds counts the attempts by their kind.
	Kinds map[string]int
}

// Placement is the result of Place.
type Placement struct {
	// Assignments are in queue order.
	Assignments []Assignment
	// Waiting tells for each task left over why it waits.
	Waiting []Waiting
}

// Assignment puts one task on one worker.
type Assignment struct {
	// Task is the task's ID.
	Task string
	// Worker is the worker's name.
	Worker string
}

// Waiting tells why a task is not placed.
type Waiting struct {
	// Task is the task's ID.
	Task string
	// Never is set if no allowed worker could hold the task when empty.
	Never bool
	// Reason is one short sentence.
	Reason string
}
