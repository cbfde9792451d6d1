package recruiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/replicator"
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// MethodJoin is the method by which a replica asks the leader to become a
	// voter.
	MethodJoin = "group/join"
	// MethodMembers is the method that returns the members known to a replica.
	MethodMembers = "group/members"
	// MethodAnnounce is the method by which the leader tells its address to
	// processes that may not know any member.
	MethodAnnounce = "group/announce"

	// DefaultSilentAfter is the time without a response from a member after
	// which the member may be replaced. It is longer than an election and
	// shorter than admitTimeout, within which a replacement must catch up.
	DefaultSilentAfter = 2 * time.Second
	// joinInterval is the time between join requests of a spare.
	joinInterval = 500 * time.Millisecond
	// announceEvery is the number of join intervals between announcements.
	announceEvery = 3
	// requestTimeout is the timeout of one request to a replica.
	requestTimeout = 2 * time.Second
	// admitTimeout is the timeout of one admission.
	admitTimeout = 15 * time.Second
)

// Group is the part of the replicated log that a Recruiter uses.
type Group interface {
	// Status returns the status of the replica.
	Status() carobrock.ReplicaStatus
	// AdmitVoter makes newMember a voter in place of the member replacedID, or an
	// additional voter if replacedID is zero.
	AdmitVoter(ctx context.Context, newMember *encoder.Member, replacedID uint64) error
	// RemoveMember removes the member with the given ID.
	RemoveMember(ctx context.Context, id uint64) error
}

// joinRequest is the body of a MethodJoin call: the ID, name, address and
// availability zone of the replica that asks to become a voter.
type joinRequest struct {
	ID               uint64 `cbor:"1,keyasint"`
	Name             string `cbor:"2,keyasint"`
	Address          string `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
}

// membersResponse is the result of a MethodMembers call: the addresses of the
// leader and of all members, as far as the replica knows them, and the replica's
// own ID and availability zone.
type membersResponse struct {
	Leader           string   `cbor:"1,keyasint"`
	Members          []string `cbor:"2,keyasint"`
	ID               uint64   `cbor:"3,keyasint"`
	AvailabilityZone string   `cbor:"4,keyasint"`
}

// Recruiter admits voters to the control group while this process's replica is
// the leader, and asks the leader to admit the replica while it is not a voter.
// The exported fields must be set before Run and not changed afterwards.
type Recruiter struct {
	// Group is this process's replica.
	Group Group
	// Locator forwards calls to the leader.
	Locator *locator.Locator
	// Address is the address at which this replica receives calls.
	Address string
	// AvailabilityZone is where this replica runs.
	AvailabilityZone string
	// Voters is the target number of voters. If zero, it is 3.
	Voters int
	// SilentAfter is the time without a response from a member after which the
	// member may be replaced. If zero, it is DefaultSilentAfter.
	SilentAfter time.Duration
	Logger      zerolog.Logger

	mu sync.Mutex
	// current is the change of the membership that is running, nil if there is none.
	current *admission
	// confirmedLeader is the address of the leader that answered the last join
	// request, empty if none did or if none was sent.
	confirmedLeader string
	// zones holds the availability zones of members by ID, as far as they are known.
	zones map[uint64]string
}

// admission is a running change of the membership.
type admission struct {
	// request is the request of the replica that is being admitted.
	request *joinRequest
	cancel  context.CancelFunc
}

const defaultVoters = 3

// Handlers returns the handlers for the recruiter's methods.
func (r *Recruiter) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{MethodJoin: r.handleJoin, MethodMembers: r.handleMembers, MethodAnnounce: AnnounceHandler(r.Locator)}
}

// AnnounceHandler returns the handler for MethodAnnounce of a process that finds
// the leader with l.
func AnnounceHandler(l *locator.Locator) messenger.Handler {
	return func(_ context.Context, body []byte) ([]byte, error) {
		address := ""
		if err := cbor.Unmarshal(body, &address); err != nil {
			return nil, &messenger.RemoteError{Code: "refused", Text: err.Error()}
		}
		l.AddLeader(address)
		return nil, nil
	}
}

func (r *Recruiter) handleMembers(context.Context, []byte) ([]byte, error) {
	s := r.Group.Status()
	response := membersResponse{Leader: r.leaderAddress(&s), ID: s.ID, AvailabilityZone: r.AvailabilityZone}
	if response.Leader != "" {
		response.Members = append(response.Members, response.Leader)
	}
	for _, m := range s.Members {
		if m.Address != response.Leader {
			response.Members = append(response.Members, m.Address)
		}
	}
	return cbor.Marshal(&response)
}

// LeaderAddress returns the address of the leader, empty if it is unknown.
func (r *Recruiter) LeaderAddress() string {
	s := r.Group.Status()
	return r.leaderAddress(&s)
}

// leaderAddress returns the address of the leader that the replica follows. A
// replica that follows none may have been replaced; then it returns that of the
// leader that answered the last join request.
func (r *Recruiter) leaderAddress(s *carobrock.ReplicaStatus) string {
	if s.LeaderAddress != "" {
		return s.LeaderAddress
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedLeader
}

// Run periodically asks the leader to admit this replica while it is not a voter
// or follows no leader, until ctx ends. It does not ask while the replica cannot write
// for lack of space. A replica that was replaced while it was
// unreachable still has the membership in which it is a voter.
func (r *Recruiter) Run(ctx context.Context) error {
	for tick := 0; sleeper.Sleep(ctx, joinInterval) == nil; tick++ {
		s := r.Group.Status()
		for i := range s.Members {
			r.Locator.AddMembers([]string{s.Members[i].Address})
		}
		if s.Leader == s.ID {
			r.learnZones(ctx, &s)
			r.removeSurplusVoter(ctx, &s)
			if tick%announceEvery == 0 {
				r.announceLeader(ctx, &s)
			}
		}
		if s.DiskFull {
			// It could not vote, and its ID may not be known yet.
			r.setConfirmedLeader("")
			continue
		}
		if s.Role == "forming" || isVoter(&s) && s.Leader != 0 {
			r.setConfirmedLeader("")
			continue
		}
		if err := r.requestAdmission(ctx, &s); err != nil {
			r.setConfirmedLeader("")
			r.Logger.Debug().Err(err).Msg("recruiter: join request failed")
			continue
		}
		r.setConfirmedLeader(r.Locator.Leader())
	}
	return nil
}

// requestAdmission sends one join request to the leader.
func (r *Recruiter) requestAdmission(ctx context.Context, s *carobrock.ReplicaStatus) error {
	body, err := cbor.Marshal(&joinRequest{ID: s.ID, Name: s.Name, Address: r.Address, AvailabilityZone: r.AvailabilityZone})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err = r.Locator.Call(ctx, MethodJoin, body)
	return err
}

func (r *Recruiter) setConfirmedLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedLeader = address
}

// announceLeader tells this replica's address to the known processes that do not
// follow it as members. After the loss of their memory or disk they may know
// only seeds none of which is a member.
func (r *Recruiter) announceLeader(ctx context.Context, s *carobrock.ReplicaStatus) {
	if s.LeaseMillis == 0 {
		return
	}
	body, err := cbor.Marshal(r.Address)
	if err != nil {
		r.Logger.Warn().Err(err).Msg("recruiter: cannot encode an announcement")
		return
	}
	follows := map[string]bool{r.Address: true}
	for _, m := range r.describeMembers(s) {
		follows[m.Address] = follows[m.Address] || !m.isSilent && m.Match > 0
	}
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	calls := conc.NewWaitGroup()
	defer calls.Wait()
	for _, address := range r.Locator.KnownAddresses() {
		if follows[address] {
			continue
		}
		calls.Go(func() {
			if _, err := r.Locator.RPCClient.Call(ctx, address, MethodAnnounce, body); err != nil {
				r.Logger.Debug().Err(err).Str("address", address).Msg("recruiter: announcement failed")
			}
		})
	}
}

func isVoter(s *carobrock.ReplicaStatus) bool { return isVoterID(s, s.ID) }

func isVoterID(s *carobrock.ReplicaStatus, id uint64) bool {
	for i := range s.Members {
		if s.Members[i].ID == id {
			return s.Members[i].Voter
		}
	}
	return false
}

// handleJoin handles a MethodJoin call. It returns whether the replica was
// admitted.
func (r *Recruiter) handleJoin(_ context.Context, body []byte) ([]byte, error) {
	s := r.Group.Status()
	if s.Leader != s.ID || s.LeaseMillis == 0 {
		return nil, &messenger.RemoteError{Code: locator.CodeNotLeader, Text: r.leaderAddress(&s)}
	}
	request := &joinRequest{}
	if err := cbor.Unmarshal(body, request); err != nil {
		return nil, &messenger.RemoteError{Code: "refused", Text: err.Error()}
	}
	if isVoterID(&s, request.ID) {
		return cbor.Marshal(true)
	}
	replacedID, ok := memberToReplace(r.describeMembers(&s), r.wantVoters(), request)
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	if !ok || !r.tryBeginAdmission(&admission{request: request, cancel: cancel}) {
		return cbor.Marshal(false)
	}
	defer r.endAdmission()
	watch := conc.NewWaitGroup()
	defer watch.Wait()
	defer cancel()
	watch.Go(func() { r.cancelWhenSilent(ctx, cancel, request.ID) })
	log := r.Logger.With().Str("name", request.Name).Str("address", request.Address).Uint64("leaving", replacedID).Logger()
	log.Info().Int("voters", countVoters(&s)).Msg("recruiter: admitting replica as voter")
	err := r.Group.AdmitVoter(ctx, &encoder.Member{Id: request.ID, Name: request.Name, Address: request.Address}, replacedID)
	if err != nil {
		log.Warn().Err(err).Msg("recruiter: cannot admit the replica as a voter")
		if errors.Is(err, replicator.ErrNotLeader) {
			return nil, &messenger.RemoteError{Code: locator.CodeNotLeader, Text: r.Group.Status().LeaderAddress}
		}
		return cbor.Marshal(false)
	}
	log.Info().Msg("recruiter: replica admitted as voter")
	return cbor.Marshal(true)
}

// removeSurplusVoter removes a voter if there are more than the target number,
// which is so after an admission that was interrupted.
func (r *Recruiter) removeSurplusVoter(ctx context.Context, s *carobrock.ReplicaStatus) {
	surplusID, ok := surplusVoter(r.describeMembers(s), r.wantVoters())
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if !ok || s.LeaseMillis == 0 || !r.tryBeginAdmission(&admission{request: &joinRequest{}, cancel: cancel}) {
		return
	}
	defer r.endAdmission()
	log := r.Logger.With().Uint64("leaving", surplusID).Logger()
	if err := r.Group.RemoveMember(ctx, surplusID); err != nil {
		log.Warn().Err(err).Msg("recruiter: cannot remove a surplus voter")
		return
	}
	log.Info().Msg("recruiter: surplus voter removed")
}

// cancelWhenSilent cancels an admission when the replica that is being admitted
// has been silent for some time, so that others can be admitted. It returns when
// ctx ends.
func (r *Recruiter) cancelWhenSilent(ctx context.Context, cancel context.CancelFunc, id uint64) {
	for sleeper.Sleep(ctx, joinInterval) == nil {
		s := r.Group.Status()
		for _, m := range r.describeMembers(&s) {
			if m.ID == id && !m.isSelf && m.isSilent {
				cancel()
			}
		}
	}
}

// tryBeginAdmission records a as running, unless an admission is running already,
// and reports whether it did. If so, endAdmission must be called after the
// admission. It cancels a running admission of the same replica under an earlier
// ID, because that incarnation has lost its disk.
func (r *Recruiter) tryBeginAdmission(a *admission) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		r.current = a
		return true
	}
	running := r.current.request
	if running.ID != a.request.ID && (running.Name == a.request.Name || running.Address == a.request.Address) {
		r.current.cancel()
	}
	return false
}

func (r *Recruiter) endAdmission() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = nil
}

func countVoters(s *carobrock.ReplicaStatus) int {
	n := 0
	for i := range s.Members {
		if s.Members[i].Voter {
			n++
		}
	}
	return n
}

// wantVoters returns the target number of voters.
func (r *Recruiter) wantVoters() int {
	if r.Voters == 0 {
		return defaultVoters
	}
	return r.Voters
}

// describeMembers returns the members of the group with their availability zones.
func (r *Recruiter) describeMembers(s *carobrock.ReplicaStatus) []member {
	silentAfter := r.SilentAfter
	if silentAfter == 0 {
		silentAfter = DefaultSilentAfter
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	members := make([]member, 0, len(s.Members))
	for i := range s.Members {
		m := member{MemberStatus: s.Members[i], zone: r.zones[s.Members[i].ID], isSelf: s.Members[i].ID == s.ID}
		m.isSilent = m.SilentMillis >= silentAfter.Milliseconds()
		if m.isSelf {
			m.zone = r.AvailabilityZone
		}
		members = append(members, m)
	}
	return members
}

// learnZones asks one member whose availability zone is not known for it.
func (r *Recruiter) learnZones(ctx context.Context, s *carobrock.ReplicaStatus) {
	for _, m := range r.describeMembers(s) {
		if m.isSelf || m.zone != "" || m.isSilent {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		data, err := r.Locator.RPCClient.Call(ctx, m.Address, MethodMembers, nil)
		response := &membersResponse{}
		if err != nil || cbor.Unmarshal(data, response) != nil {
			r.Logger.Debug().Err(err).Str("address", m.Address).Msg("recruiter: the availability zone of a member is not known yet")
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.zones == nil {
			r.zones = map[uint64]string{}
		}
		r.zones[response.ID] = response.AvailabilityZone
		return
	}
}
