package replicator

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/sleeper"
)

// loopRequest asks the run loop for one operation. Exactly one of wantUnapplied,
// probeAddress, nextMembers, transferLeadership and cancelTransfer is set.
type loopRequest struct {
	// wantUnapplied requests the log entries that are not applied yet.
	wantUnapplied bool
	// probeAddress is the address of a process to probe. discardEarlierResponse
	// discards an earlier response from that address.
	probeAddress           string
	discardEarlierResponse bool
	// nextMembers computes the new membership from the current one.
	nextMembers func(*encoder.Members) (*encoder.Members, error)
	// transferLeadership requests a transfer of leadership; cancelTransfer makes the
	// replica accept proposals again.
	transferLeadership bool
	cancelTransfer     bool
	// done receives the result. It is buffered with capacity 1.
	done chan requestResult
}

// ReplaceMember replaces the member called name with the replica that now runs at
// address, in single-server changes: it adds the new replica as a learner, waits
// until the learner has caught up, removes the old member and promotes the
// learner to voter. It returns when the new member holds everything that was
// committed when its promotion was committed, so that the loss of another replica
// immediately afterwards loses no committed entry.
//
// Each step is idempotent: after an error the call may be repeated, also on
// another leader. ReplaceMember fails with ErrNotLeader, ErrNoMember,
// ErrNotFresh, ErrOutcomeUnknown, ErrStopped or the context's error.
func (r *Replica) ReplaceMember(ctx context.Context, name, address string) error {
	newMember, fresh, err := r.probeReplica(ctx, address)
	if err != nil {
		return err
	}
	if newMember.GetName() != name {
		return eris.Wrapf(ErrNoMember, "the replica at %s is %q, not %q", address, newMember.GetName(), name)
	}
	learner := &encoder.Member{Id: newMember.GetId(), Name: name, Address: address}
	return r.addAndPromote(ctx, learner,
		func(ms *encoder.Members) (*encoder.Members, error) { return addLearner(ms, learner, fresh) },
		func(ms *encoder.Members) (*encoder.Members, error) { return removeSameName(ms, learner), nil })
}

// AdmitVoter makes newMember a voter in place of the member replacedID, or an
// additional voter if replacedID is zero, with the guarantees and errors of
// ReplaceMember. The new member may have been a member before under the same ID.
//
// A member that has lost its disk is removed before the promotion, as it counts in
// the majority but can never vote again. Any other member is removed after it:
// without it the group would have an even number of voters, of which it could not
// lose half, and a replica that is merely unreachable could not help, because it
// would be no member.
func (r *Replica) AdmitVoter(ctx context.Context, newMember *encoder.Member, replacedID uint64) error {
	learner := &encoder.Member{Id: newMember.GetId(), Name: newMember.GetName(), Address: newMember.GetAddress()}
	add := func(ms *encoder.Members) (*encoder.Members, error) {
		if findMember(ms, learner.GetId()) != nil {
			return ms, nil
		}
		return withMember(ms, learner), nil
	}
	if r.hasLostDisk(replacedID, learner) {
		return r.addAndPromote(ctx, learner, add, func(ms *encoder.Members) (*encoder.Members, error) {
			return withoutMemberIfPresent(ms, replacedID), nil
		})
	}
	keep := func(ms *encoder.Members) (*encoder.Members, error) { return ms, nil }
	if err := r.addAndPromote(ctx, learner, add, keep); err != nil {
		return err
	}
	return r.RemoveMember(ctx, replacedID)
}

// hasLostDisk reports whether the member with the given ID has the name or the
// address of another replica, which can only be because it has lost its disk.
func (r *Replica) hasLostDisk(id uint64, other *encoder.Member) bool {
	for _, m := range r.Status().Members {
		if m.ID == id {
			return m.Name == other.GetName() || m.Address == other.GetAddress()
		}
	}
	return false
}

// RemoveMember removes the member with the given ID, if there is one. It fails with
// ErrNotLeader, ErrOutcomeUnknown, ErrStopped or the context's error.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	return r.changeMembers(ctx, func(ms *encoder.Members) (*encoder.Members, error) {
		return withoutMemberIfPresent(ms, id), nil
	})
}

// withoutMemberIfPresent returns ms without the member with the given ID, or ms
// itself if there is no such member.
func withoutMemberIfPresent(ms *encoder.Members, id uint64) *encoder.Members {
	if findMember(ms, id) == nil {
		return ms
	}
	return withoutMember(ms, id)
}

// addAndPromote applies add, waits until the learner has caught up, applies
// remove, and promotes the learner to voter.
func (r *Replica) addAndPromote(ctx context.Context, learner *encoder.Member, add, remove func(*encoder.Members) (*encoder.Members, error)) error {
	if err := r.changeMembers(ctx, add); err != nil {
		return err
	}
	if err := r.waitCaughtUp(ctx, learner.GetId()); err != nil {
		return err
	}
	if err := r.changeMembers(ctx, remove); err != nil {
		return err
	}
	voter := &encoder.Member{Id: learner.GetId(), Name: learner.GetName(), Address: learner.GetAddress(), Voter: true}
	if err := r.changeMembers(ctx, func(ms *encoder.Members) (*encoder.Members, error) {
		return withMember(ms, voter), nil
	}); err != nil {
		return err
	}
	return r.waitCaughtUp(ctx, learner.GetId())
}

// addLearner returns ms with the learner, or ms itself if the learner is already
// a member. It fails with ErrNotFresh or ErrNoMember.
func addLearner(ms *encoder.Members, learner *encoder.Member, fresh bool) (*encoder.Members, error) {
	if findMember(ms, learner.GetId()) != nil {
		return ms, nil
	}
	if !fresh {
		return nil, ErrNotFresh
	}
	for _, m := range ms.GetMembers() {
		if m.GetName() == learner.GetName() {
			return withMember(ms, learner), nil
		}
	}
	return nil, ErrNoMember
}

// removeSameName returns ms without the other members that have the learner's
// name.
func removeSameName(ms *encoder.Members, learner *encoder.Member) *encoder.Members {
	out := ms
	for _, m := range ms.GetMembers() {
		if m.GetName() == learner.GetName() && m.GetId() != learner.GetId() {
			out = withoutMember(out, m.GetId())
		}
	}
	return out
}

// pollInterval is the interval at which a replacement or a leadership transfer
// polls for progress.
const pollInterval = 20 * time.Millisecond

// probeReplica returns the member record of the replica that listens on address
// and whether the replica is fresh.
func (r *Replica) probeReplica(ctx context.Context, address string) (*encoder.Member, bool, error) {
	for first := true; ; first = false {
		request := &loopRequest{probeAddress: address, discardEarlierResponse: first, done: make(chan requestResult, 1)}
		res, err := r.submitRequest(ctx, request)
		if err != nil {
			return nil, false, err
		}
		if m, ok := res.(*encoder.Message); ok && m != nil {
			return m.GetSender(), m.GetFresh(), nil
		}
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return nil, false, err
		}
	}
}

// changeMembers commits the membership that nextMembers computes. It retries
// while another change is in progress.
func (r *Replica) changeMembers(ctx context.Context, nextMembers func(*encoder.Members) (*encoder.Members, error)) error {
	for {
		_, err := r.submitRequest(ctx, &loopRequest{nextMembers: nextMembers, done: make(chan requestResult, 1)})
		if !errors.Is(err, ErrMembershipNotReady) {
			return err
		}
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// waitCaughtUp returns when the member holds everything that was committed at the
// time of the call.
func (r *Replica) waitCaughtUp(ctx context.Context, id uint64) error {
	target, err := r.ReadIndex(ctx)
	if err != nil {
		return err
	}
	for {
		s := r.Status()
		if s.Leader != s.ID {
			return ErrNotLeader
		}
		for _, m := range s.Members {
			if m.ID == id && m.Match >= target {
				return nil
			}
		}
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// submitRequest passes request to the run loop and waits for its result.
func (r *Replica) submitRequest(ctx context.Context, request *loopRequest) (any, error) {
	select {
	case r.requests <- request:
	case <-r.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case res := <-request.done:
		return res.value, res.err
	case <-r.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handleRequest executes request in the run loop.
func (r *Replica) handleRequest(request *loopRequest) {
	c := r.core
	if request.wantUnapplied {
		unapplied := c.log.slice(r.appliedIndex+1, c.log.lastIndex(), math.MaxInt)
		request.done <- requestResult{value: unapplied}
		return
	}
	if request.transferLeadership || request.cancelTransfer {
		r.transferTerm = 0
		request.done <- requestResult{value: request.transferLeadership && r.tryTransferLeadership()}
		return
	}
	if c.role() != roleLeader {
		request.done <- requestResult{err: ErrNotLeader}
		return
	}
	if request.probeAddress != "" {
		if request.discardEarlierResponse {
			delete(c.probeResponses, request.probeAddress)
		}
		c.sendProbe(request.probeAddress)
		request.done <- requestResult{value: c.probeResponses[request.probeAddress]}
		return
	}
	if !c.canChangeMembers() {
		request.done <- requestResult{err: ErrMembershipNotReady}
		return
	}
	newMembers, err := request.nextMembers(c.members)
	if err != nil || newMembers == c.members {
		request.done <- requestResult{err: err}
		return
	}
	data, err := proto.Marshal(newMembers)
	if err != nil {
		request.done <- requestResult{err: err}
		return
	}
	index := c.appendProposals(encoder.EntryKind_ENTRY_KIND_MEMBERS, [][]byte{data})
	c.updatePeers(r.now())
	r.pendingProposals[index] = &proposal{term: c.term, done: request.done}
}

// UnappliedEntries returns the log entries that are not applied yet, committed
// or not. It fails with ErrStopped or the context's error.
func (r *Replica) UnappliedEntries(ctx context.Context) ([]*encoder.Entry, error) {
	request := &loopRequest{wantUnapplied: true, done: make(chan requestResult, 1)}
	value, err := r.submitRequest(ctx, request)
	entries, _ := value.([]*encoder.Entry)
	return entries, err
}
