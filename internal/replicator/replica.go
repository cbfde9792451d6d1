package replicator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/charter"
	"github.com/carobrock/carobrock/internal/encoder"
)

// Errors of the package.
var (
	// ErrNotLeader reports that this replica does not lead; nothing was done.
	ErrNotLeader = eris.New("replicator: this replica does not lead")
	// ErrUnknown reports that leadership was lost before the command was committed, which
	// may still happen.
	ErrUnknown = eris.New("replicator: it is not known whether the command was committed")
	// ErrStopped reports that the replica has stopped.
	ErrStopped = eris.New("replicator: the replica has stopped")
	// ErrBusy reports that an earlier change of the membership is not committed yet.
	ErrBusy = eris.New("replicator: another change of the membership is going on")
	// ErrNoMember reports that the membership has no such member.
	ErrNoMember = eris.New("replicator: no such member")
	// ErrNotFresh reports that the newcomer has held state before.
	ErrNotFresh = eris.New("replicator: the newcomer's data folder is not new")
)

// Sizes of the queues in front of the loop, in elements.
const (
	inboxSize    = 1024
	proposalSize = 4096
	// maxBatch bounds what one turn of the loop takes on.
	maxBatch = 1024
)

// Replica runs the replicated log of one process. Its fields are set before
// Run and not changed after.
type Replica struct {
	// Name is the replica's name.
	Name string
	// Address is where other processes reach the replica.
	Address string
	// Initial lists the members by name and address, this replica among them,
	// if the group is not formed yet.
	Initial []*encoder.Member
	// Journal holds the durable state.
	Journal carobrock.Journal
	// Machine is the replicated state machine.
	Machine carobrock.Machine
	// Link carries messages to the other replicas.
	Link carobrock.Link
	// ElectionTimeout is the shortest time without a leader before an
	// election. Each timeout is drawn between it and twice it. Zero: 1 s.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats. Zero: a tenth of
	// ElectionTimeout.
	HeartbeatInterval time.Duration
	// MaxDrift is taken off the leader's lease for clocks that run at unequal
	// speed. Zero: a tenth of ElectionTimeout.
	MaxDrift time.Duration
	// SnapshotEvery is the number of entries between snapshots. Zero: 5000.
	SnapshotEvery uint64
	// SnapshotBytes is the size of the entries after which a snapshot is taken
	// though they are fewer than SnapshotEvery: it bounds what a member that comes
	// back, or a new one, has to take in. Zero: 4 MiB.
	SnapshotBytes int
	// TrailingEntries stay in memory behind a snapshot for members that lag.
	// Zero: 2000.
	TrailingEntries uint64
	// Uptime returns the time since the machine started, counting the time that
	// it was suspended, which time.Now does not. Nil: suspension is not seen.
	Uptime func() time.Duration
	// Rand spreads the election timeouts. Nil: seeded at random.
	Rand *rand.Rand
	// Logger takes the log.
	Logger zerolog.Logger

	inbox     chan *encoder.Message
	proposals chan *proposal
	confirms  chan *confirmation
	admin     chan *loopRequest
	stopped   chan struct{}
	status    atomic.Pointer[carobrock.ReplicaStatus]
	leaseEnd  atomic.Pointer[time.Time]

	began       time.Time // when Uptime was beganUptime
	beganUptime time.Duration

	core        *core
	applied     uint64
	appliedTerm uint64
	// appliedBytes is the size of the entries applied since the last snapshot.
	appliedBytes int
	waiters      map[uint64]*proposal
	pending      []*confirmation
	snapshot     *encoder.Snapshot
	lastRole     role
	// handingOver is set while a successor is looked for: nothing more is taken in.
	handingOver bool
	watch       appliedWatch
}

var _ carobrock.Replica = (*Replica)(nil)

// proposal is a command on its way through the log.
type proposal struct {
	data []byte
	term uint64
	done chan proposalResult // has room for one
}

type proposalResult struct {
	value any
	err   error
}

// confirmation waits for a majority to answer a round that began after it.
type confirmation struct {
	round uint64
	done  chan confirmResult // has room for one
}

type confirmResult struct {
	index uint64
	err   error
}

// Prepare opens the journal and makes the replica ready for messages. It fails
// with the journal's error, and then Run must not be called.
func (r *Replica) Prepare() error {
	r.setDefaults()
	if r.Uptime != nil {
		r.began, r.beganUptime = time.Now(), r.Uptime()
	}
	state, err := r.Journal.Open()
	if err != nil {
		return err
	}
	self := &encoder.Member{Id: state.Incarnation, Name: r.Name, Address: r.Address}
	c := &core{
		self: self, election: r.ElectionTimeout, beat: r.HeartbeatInterval, drift: r.MaxDrift, rand: r.Rand,
		term: state.HardState.GetTerm(), vote: state.HardState.GetVote(),
		chart:   charter.Machine{Chart: charter.MustLoad("replica.yaml"), State: string(roleFollower)},
		initial: r.Initial, seen: map[string]*encoder.Message{}, addresses: map[uint64]string{}, baseMembers: &encoder.Members{},
	}
	if s := state.Snapshot; s != nil {
		if err := r.Machine.Restore(s.GetIndex(), s.GetData()); err != nil {
			return err
		}
		c.log.reset(s.GetIndex(), s.GetTerm())
		c.baseMembers, c.commit = s.GetMembers(), s.GetIndex()
		r.applied, r.appliedTerm, r.snapshot = s.GetIndex(), s.GetTerm(), s
	}
	c.log.entries = state.Entries
	c.selfDurable = c.log.last()
	c.refreshMembers()
	if c.isFresh() && len(r.Initial) > 0 {
		c.chart.State = string(roleForming)
	}
	if !c.isFresh() {
		// This replica may have supported a leader's lease just before it
		// stopped, so it votes for nobody until such a lease has passed.
		c.heardLeader = r.now()
	}
	c.reset(r.now())
	r.core = c
	r.publish()
	return nil
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
	r.inbox = make(chan *encoder.Message, inboxSize)
	r.proposals = make(chan *proposal, proposalSize)
	r.confirms = make(chan *confirmation, proposalSize)
	r.admin = make(chan *loopRequest)
	r.stopped = make(chan struct{})
	r.waiters = map[uint64]*proposal{}
	r.watch.init()
}

// Receive takes a message from another replica. It drops the message if the
// replica is overloaded or stopped.
func (r *Replica) Receive(m *encoder.Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose implements carobrock.Replica. It fails with ErrNotLeader, ErrUnknown,
// ErrStopped or the context's error; after the latter the command may still be
// committed.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	p := &proposal{data: command, done: make(chan proposalResult, 1)}
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
		return nil, ErrUnknown
	case <-ctx.Done():
		return nil, ErrUnknown
	}
}

// Confirm implements carobrock.Replica with a read index, as Ongaro (2014),
// section 6.4, describes it. It fails with ErrNotLeader, ErrStopped or the
// context's error.
func (r *Replica) Confirm(ctx context.Context) (uint64, error) {
	q := &confirmation{done: make(chan confirmResult, 1)}
	select {
	case r.confirms <- q:
	case <-r.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case res := <-q.done:
		return res.index, res.err
	case <-r.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// now returns the time on a clock that counts the time in which the machine was
// suspended, if Uptime is set.
func (r *Replica) now() time.Time {
	if r.Uptime == nil {
		return time.Now()
	}
	return r.began.Add(r.Uptime() - r.beganUptime)
}

// LeaseLeft returns how long it is certain that no other replica leads, zero if
// it is not certain at all. It reads the clock, so a process that was frozen
// sees that its lease has passed.
func (r *Replica) LeaseLeft() time.Duration {
	end := r.leaseEnd.Load()
	if end == nil {
		return 0
	}
	return max(0, end.Sub(r.now()))
}

// Status implements carobrock.Replica.
func (r *Replica) Status() carobrock.ReplicaStatus {
	s := *r.status.Load()
	s.LeaseMillis = r.LeaseLeft().Milliseconds()
	return s
}

// WaitApplied implements carobrock.Replica.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	return r.watch.wait(ctx, index)
}

// Changed returns a channel that is closed when the next entry is applied.
func (r *Replica) Changed() <-chan struct{} { return r.watch.next() }
