package recruiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/replicator"
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// MethodJoin asks the leader for a seat.
	MethodJoin = "group/join"
	// MethodMembers asks any replica for the members that it knows.
	MethodMembers = "group/members"

	// DefaultSilentAfter is how long a member is silent before its seat may be
	// given away: longer than an election, shorter than the time that a
	// replacement has to catch up.
	DefaultSilentAfter = 2 * time.Second
	// askInterval is the time between two requests of a spare.
	askInterval = 500 * time.Millisecond
	// askTimeout bounds one request.
	askTimeout = 2 * time.Second
	// admitTimeout bounds one change of the group.
	admitTimeout = 15 * time.Second
)

// Group is the replicated log as the recruiter sees it.
type Group interface {
	// Status describes the replica.
	Status() carobrock.ReplicaStatus
	// AdmitVoter makes newcomer a voter in the place of leaving.
	AdmitVoter(ctx context.Context, newcomer *encoder.Member, leaving uint64) error
}

// candidate is the body of a request for a seat.
type candidate struct {
	ID      uint64 `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}

// membersAnswer is what a replica knows of the group.
type membersAnswer struct {
	Leader  string   `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint"`
}

// Recruiter fills the seats of the group. Its fields are set before Run and not
// changed after.
type Recruiter struct {
	// Group is this process's replica.
	Group Group
	// Locator reaches the leader.
	Locator *locator.Locator
	// Address is where this replica takes calls.
	Address string
	// Voters is how many voters the group should have. Zero: 3.
	Voters int
	// SilentAfter is how long a member must be silent before its seat is given
	// away. Zero: DefaultSilentAfter.
	SilentAfter time.Duration
	// Logger takes the log.
	Logger zerolog.Logger

	mu   sync.Mutex
	busy bool
}

const defaultVoters = 3

// Handlers returns the recruiter's handlers of calls.
func (r *Recruiter) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{MethodJoin: r.join, MethodMembers: r.members}
}

func (r *Recruiter) members(context.Context, []byte) ([]byte, error) {
	s := r.Group.Status()
	a := membersAnswer{Leader: s.LeaderAddress}
	for _, m := range s.Members {
		a.Members = append(a.Members, m.Address)
	}
	return cbor.Marshal(&a)
}

// Run asks for a seat while this replica has none, until ctx ends.
func (r *Recruiter) Run(ctx context.Context) error {
	for sleeper.Sleep(ctx, askInterval) == nil {
		s := r.Group.Status()
		for i := range s.Members {
			r.Locator.Learn([]string{s.Members[i].Address})
		}
		if seated(&s) || s.Role == "forming" {
			continue
		}
		body, err := cbor.Marshal(&candidate{ID: s.ID, Name: s.Name, Address: r.Address})
		if err != nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, askTimeout)
		_, err = r.Locator.Call(call, MethodJoin, body)
		cancel()
		if err != nil {
			r.Logger.Debug().Err(err).Msg("recruiter: no seat yet")
		}
	}
	return nil
}

func seated(s *carobrock.ReplicaStatus) bool {
	for i := range s.Members {
		if s.Members[i].ID == s.ID {
			return s.Members[i].Voter
		}
	}
	return false
}

// join handles a request for a seat.
func (r *Recruiter) join(_ context.Context, body []byte) ([]byte, error) {
	s := r.Group.Status()
	if s.Leader != s.ID || s.LeaseMillis == 0 {
		return nil, &messenger.RemoteError{Code: locator.CodeNotLeader, Text: s.LeaderAddress}
	}
	c := &candidate{}
	if err := cbor.Unmarshal(body, c); err != nil {
		return nil, &messenger.RemoteError{Code: "refused", Text: err.Error()}
	}
	leaving, ok := r.seatFor(&s, c)
	if !ok || !r.begin() {
		return cbor.Marshal(false)
	}
	defer r.end()
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	log := r.Logger.With().Str("name", c.Name).Str("address", c.Address).Uint64("leaving", leaving).Logger()
	log.Info().Int("voters", voters(&s)).Msg("recruiter: seat given to newcomer")
	err := r.Group.AdmitVoter(ctx, &encoder.Member{Id: c.ID, Name: c.Name, Address: c.Address}, leaving)
	if err != nil {
		log.Warn().Err(err).Msg("recruiter: newcomer not seated")
		if errors.Is(err, replicator.ErrNotLeader) {
			return nil, &messenger.RemoteError{Code: locator.CodeNotLeader, Text: r.Group.Status().LeaderAddress}
		}
		return cbor.Marshal(false)
	}
	log.Info().Msg("recruiter: newcomer seated")
	return cbor.Marshal(true)
}

// begin and end let one change of the group go on at a time.
func (r *Recruiter) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy {
		return false
	}
	r.busy = true
	return true
}

func (r *Recruiter) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
}

func voters(s *carobrock.ReplicaStatus) int {
	n := 0
	for i := range s.Members {
		if s.Members[i].Voter {
			n++
		}
	}
	return n
}

// seatFor returns the member whose seat the candidate may have, zero for a new
// seat, and whether there is one.
func (r *Recruiter) seatFor(s *carobrock.ReplicaStatus, c *candidate) (uint64, bool) {
	target := r.Voters
	if target == 0 {
		target = defaultVoters
	}
	after := r.SilentAfter
	if after == 0 {
		after = DefaultSilentAfter
	}
	var silent *carobrock.MemberStatus
	for i := range s.Members {
		m := &s.Members[i]
		if m.ID == s.ID || m.ID == c.ID {
			continue
		}
		if m.Name == c.Name || m.Address == c.Address {
			return m.ID, true // its data folder is lost: the address has a new identity
		}
		if m.SilentMillis >= after.Milliseconds() && (silent == nil || m.SilentMillis > silent.SilentMillis) {
			silent = m
		}
	}
	switch {
	case silent != nil:
		return silent.ID, true
	case voters(s) < target:
		return 0, true
	default:
		return 0, false
	}
}

// Watch keeps a locator's knowledge of the members up to date until ctx ends.
type Watch struct {
	// Caller reaches the replicas.
	Caller carobrock.Caller
	// Locator is kept up to date.
	Locator *locator.Locator
	// Interval is the time between two questions. Zero: 2 s.
	Interval time.Duration
}

// defaultWatchInterval is well below the time in which all members can be
// replaced one after the other.
const defaultWatchInterval = 2 * time.Second

// Run asks one known replica after the other until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	interval := w.Interval
	if interval == 0 {
		interval = defaultWatchInterval
	}
	for i := 0; ; i++ {
		if known := w.Locator.Known(); len(known) > 0 {
			w.ask(ctx, known[i%len(known)])
		}
		if sleeper.Sleep(ctx, interval) != nil {
			return nil
		}
	}
}

func (w *Watch) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	data, err := w.Caller.Call(ctx, address, MethodMembers, nil)
	if err != nil {
		return // another replica is asked next
	}
	a := &membersAnswer{}
	if cbor.Unmarshal(data, a) == nil {
		w.Locator.Learn(a.Members)
	}
}
