package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/charter"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
)

// Errors of the package.
var (
	// ErrNotLeader reports that this replica does not lead. The operation had no
	// effect.
	ErrNotLeader = eris.New("replicator: this replica is not the leader")
	// ErrOutcomeUnknown reports that the replica lost leadership or stopped, or
	// the context ended, before the command was known to be committed. The
	// command may still be committed.
	ErrOutcomeUnknown = eris.New("replicator: unknown whether the command was committed")
	// ErrStopped reports that the replica has stopped.
	ErrStopped = eris.New("replicator: replica has stopped")
	// ErrMembershipNotReady reports that an earlier membership change is not
	// committed yet, or that the leader has not yet committed an entry of its own
	// term.
	ErrMembershipNotReady = eris.New("replicator: the membership cannot be changed yet")
	// ErrNoMember reports that the membership has no member of that name.
	ErrNoMember = eris.New("replicator: no such member")
	// ErrNotFresh reports that the replica to be added has held state before.
	ErrNotFresh = eris.New("replicator: the new member has held state before")
)

// Capacities of the channels read by the run loop, in elements.
const (
	inboxCapacity        = 1024
	requestQueueCapacity = 4096
	// maxBatchSize is the maximum number of elements that one iteration of the
	// run loop takes from a channel.
	maxBatchSize = 1024
)

// Replica is this process's member of the replicated log. The exported fields
// must be set before Prepare and not changed afterwards.
type Replica struct {
	// Name is the replica's name.
	Name string
	// Address is where other processes reach the replica.
	Address string
	// InitialMembers lists the members by name and address, including this
	// replica, if the group is not formed yet.
	InitialMembers []*encoder.Member
	// Journal holds the durable state.
	Journal carobrock.Journal
	// StateMachine is the replicated state machine.
	StateMachine carobrock.StateMachine
	// Transport carries messages to the other replicas.
	Transport carobrock.Transport
	// ElectionTimeout is the minimum time without a leader before an election.
	// Each timeout is drawn at random between it and twice its value. Zero: 1 s.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats. Zero: a tenth of
	// ElectionTimeout.
	HeartbeatInterval time.Duration
	// MaxDrift is subtracted from the leader's lease to allow for clocks that run
	// at different speeds. Zero: a tenth of ElectionTimeout.
	MaxDrift time.Duration
	// SnapshotEvery is the number of entries between snapshots. Zero: 5000.
	SnapshotEvery uint64
	// SnapshotBytes is the size of the applied entries after which a snapshot is
	// taken even if they are fewer than SnapshotEvery. It limits the amount of
	// data that a returning or new member has to process. Zero: 4 MiB.
	SnapshotBytes int
	// TrailingEntries is the number of entries before a snapshot that stay in
	// memory for members that lag behind. Zero: 2000.
	TrailingEntries uint64
	// Uptime returns the time since the machine started, including time in which
	// it was suspended, which time.Now does not count. Nil: suspension is not
	// detected.
	Uptime func() time.Duration
	// Rand draws the election timeouts. Nil: seeded at random.
	Rand *rand.Rand
	// Logger receives the log lines.
	Logger zerolog.Logger

	inbox             chan *encoder.Message
	proposals         chan *proposal
	readIndexRequests chan *readIndexRequest
	requests          chan *loopRequest
	stopped           chan struct{}
	status            atomic.Pointer[carobrock.ReplicaStatus]
	leaseExpiry       atomic.Pointer[time.Time]

	startTime   time.Time // when Uptime returned startUptime
	startUptime time.Duration

	core         *core
	appliedIndex uint64
	appliedTerm  uint64
	// appliedBytes is the size of the entries applied since the last snapshot.
	appliedBytes       int
	pendingProposals   map[uint64]*proposal
	pendingReadIndexes []*readIndexRequest
	snapshot           *encoder.Snapshot
	// snapshotRetryAt is the time of the next attempt at a snapshot for which there
	// was no space, zero if the last attempt succeeded.
	snapshotRetryAt time.Time
	// fullError is the journal's error while it cannot write for lack of space, nil
	// otherwise. loaded is set if core holds the state of the journal.
	fullError  error
	loaded     bool
	loggedRole role
	// appliedAtRoleChange is the applied index when loggedRole was logged.
	appliedAtRoleChange uint64
	// loggedLeaseTerm is the last term in which the start of the lease was logged.
	loggedLeaseTerm uint64
	// transferTerm is the term in which an attempt to transfer leadership began,
	// zero if there was none or it was given up. In that term the replica rejects
	// proposals.
	transferTerm    uint64
	appliedNotifier appliedNotifier
}

var _ carobrock.Replica = (*Replica)(nil)

// proposal is an entry that was proposed and is not applied yet, with the term in
// which it was appended.
type proposal struct {
	data []byte
	// onlyInTerm is the only term in which the entry may be appended, zero if any
	// term will do.
	onlyInTerm uint64
	term       uint64
	done       chan requestResult // buffered, capacity 1
}

// requestResult is the result of a proposal or of a loopRequest.
type requestResult struct {
	value any
	err   error
}

// readIndexRequest is a read that waits until a majority has acknowledged a
// round that began after the request (Ongaro 2014, section 6.4).
type readIndexRequest struct {
	round uint64
	done  chan readIndexResult // buffered, capacity 1
}

type readIndexResult struct {
	index uint64
	err   error
}

// Prepare opens the journal, restores the state machine and makes the replica
// ready for messages. It returns the error of the journal or of the state machine;
// Run must then not be called. If the journal cannot be opened for lack of space,
// Prepare succeeds, and Run opens the journal when there is space.
func (r *Replica) Prepare() error {
	r.setDefaults()
	if r.Uptime != nil {
		r.startTime, r.startUptime = time.Now(), r.Uptime()
	}
	state, err := r.Journal.Open()
	if errors.Is(err, journaler.ErrFull) {
		r.fullError = err
		r.unloadState()
		r.publishStatus()
		return nil
	}
	if err != nil {
		return err
	}
	if err := r.loadState(state); err != nil {
		return err
	}
	r.publishStatus()
	return nil
}

// errEntriesLost reports that the journal lacks entries that it had made durable.
var errEntriesLost = eris.New("replicator: the journal lacks entries that are applied")

// loadState sets the core to the state of the journal. The state machine is restored
// only if it is behind the snapshot.
func (r *Replica) loadState(state *carobrock.JournalState) error {
	c := r.newCore(state.Incarnation)
	c.term, c.votedFor = state.HardState.GetTerm(), state.HardState.GetVote()
	if s := state.Snapshot; s != nil {
		if s.GetIndex() > r.appliedIndex {
			if err := r.StateMachine.Restore(s.GetIndex(), s.GetData()); err != nil {
				return err
			}
			r.appliedIndex, r.appliedTerm, r.appliedBytes = s.GetIndex(), s.GetTerm(), 0
			r.appliedNotifier.setApplied(r.appliedIndex)
		}
		c.log.resetTo(s.GetIndex(), s.GetTerm())
		c.baseMembers, r.snapshot = s.GetMembers(), s
	}
	c.log.entries = state.Entries
	if c.log.lastIndex() < r.appliedIndex {
		return errEntriesLost
	}
	c.commitIndex = r.appliedIndex
	c.durableIndex = c.log.lastIndex()
	c.reloadMembers()
	if c.isFresh() && len(r.InitialMembers) > 0 {
		c.roleMachine.State = string(roleForming)
	}
	if !c.isFresh() {
		// This replica may have supported a leader's lease just before it
		// stopped, so it must not vote for another candidate until such a lease
		// has expired.
		c.lastLeaderContact = r.now()
	}
	c.resetElectionDeadline(r.now())
	r.core, r.loaded = c, true
	return nil
}

// newCore returns the core of a follower without state. It knows the addresses that
// the previous core knew.
func (r *Replica) newCore(id uint64) *core {
	c := &core{
		self:            &encoder.Member{Id: id, Name: r.Name, Address: r.Address},
		electionTimeout: r.ElectionTimeout, heartbeatInterval: r.HeartbeatInterval, maxDrift: r.MaxDrift, rand: r.Rand,
		roleMachine:    charter.Machine{Chart: charter.MustLoad("replica.yaml"), State: string(roleFollower)},
		initialMembers: r.InitialMembers, probeResponses: map[string]*encoder.Message{}, senderAddresses: map[uint64]string{}, baseMembers: &encoder.Members{},
	}
	if r.core != nil {
		c.senderAddresses = r.core.senderAddresses
	}
	return c
}

func (r *Replica) setDefaults() {
	if r.ElectionTimeout == 0 {
		r.ElectionTimeout = time.Second
	}
	if r.HeartbeatInterval == 0 {
		r.HeartbeatInterval = r.ElectionTimeout / 10
	}
	if r.MaxDrift == 0 {
		r.MaxDrift = r.ElectionTimeout / 10
	}
	if r.SnapshotEvery == 0 {
		r.SnapshotEvery = 5000
	}
	if r.SnapshotBytes == 0 {
		r.SnapshotBytes = 4 << 20
	}
	if r.TrailingEntries == 0 {
		r.TrailingEntries = 2000
	}
	if r.Rand == nil {
		r.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	r.inbox = make(chan *encoder.Message, inboxCapacity)
	r.proposals = make(chan *proposal, requestQueueCapacity)
	r.readIndexRequests = make(chan *readIndexRequest, requestQueueCapacity)
	r.requests = make(chan *loopRequest)
	r.stopped = make(chan struct{})
	r.pendingProposals = map[uint64]*proposal{}
	r.appliedNotifier.initialize()
}

// ReceiveMessage queues a message from another replica. It drops the message if
// the queue is full.
func (r *Replica) ReceiveMessage(m *encoder.Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose implements carobrock.Replica. It fails with ErrNotLeader,
// ErrOutcomeUnknown, ErrStopped, or, if the command was not queued, the context's
// error. After ErrOutcomeUnknown the command may still be committed.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	return r.ProposeInTerm(ctx, 0, command)
}

// ProposeInTerm is Propose for a command that is valid in one term only, because
// it was decided with knowledge that a later leader may have outdated. It fails
// with ErrNotLeader if this replica does not lead in that term.
func (r *Replica) ProposeInTerm(ctx context.Context, term uint64, command []byte) (any, error) {
	p := &proposal{data: command, onlyInTerm: term, done: make(chan requestResult, 1)}
	select {
	case r.proposals <- p:
	case <-r.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case res := <-p.done:
		return res.value, res.err
	case <-r.stopped:
		return nil, ErrOutcomeUnknown
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	}
}

// ReadIndex implements carobrock.Replica with a read index, as described by
// Ongaro (2014), section 6.4. It fails with ErrNotLeader, ErrStopped or the
// context's error.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	request := &readIndexRequest{done: make(chan readIndexResult, 1)}
	select {
	case r.readIndexRequests <- request:
	case <-r.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case res := <-request.done:
		return res.index, res.err
	case <-r.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// now returns the time on a clock that includes time in which the machine was
// suspended, if Uptime is set.
func (r *Replica) now() time.Time {
	if r.Uptime == nil {
		return time.Now()
	}
	return r.startTime.Add(r.Uptime() - r.startUptime)
}

// RemainingLease returns the remaining time for which no other replica can become
// leader, or zero if this replica has no lease. It reads the clock on each call,
// so a process that was paused detects that its lease has expired.
func (r *Replica) RemainingLease() time.Duration {
	end := r.leaseExpiry.Load()
	if end == nil {
		return 0
	}
	return max(0, end.Sub(r.now()))
}

// Status implements carobrock.Replica.
func (r *Replica) Status() carobrock.ReplicaStatus {
	s := *r.status.Load()
	s.LeaseMillis = r.RemainingLease().Milliseconds()
	return s
}

// WaitApplied implements carobrock.Replica.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	return r.appliedNotifier.waitApplied(ctx, index)
}

// NextApplied returns a channel that is closed when the next entry is applied.
func (r *Replica) NextApplied() <-chan struct{} { return r.appliedNotifier.nextChange() }
