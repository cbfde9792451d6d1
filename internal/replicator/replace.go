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

// loopRequest asks the loop for one step of a membership change, or for the
// entries that are not applied yet.
type loopRequest struct {
	// tail asks for the entries that are not applied yet.
	tail bool
	// probe is an address to ask who listens there, if set; forget drops what
	// was heard from there before.
	probe  string
	forget bool
	// next computes the new membership from the current one, if set.
	next func(*encoder.Members) (*encoder.Members, error)
	// handOver asks to give up the lead, resume to go on with it.
	handOver bool
	resume   bool
	// done takes the result; it has room for one.
	done chan proposalResult
}

// Replace swaps the member called name for the replica that now runs at
// address, in single-server steps: the newcomer joins as a learner and catches
// up, the lost member is removed, the newcomer is promoted. It returns when the
// newcomer holds everything that was committed before the return, so that the
// loss of another replica straight after loses nothing.
//
// Each step is idempotent: after an error the call may be repeated, also at
// another leader. It fails with ErrNotLeader, ErrNoMember, ErrNotFresh, ErrBusy
// or the context's error.
func (r *Replica) Replace(ctx context.Context, name, address string) error {
	newcomer, fresh, err := r.askWho(ctx, address)
	if err != nil {
		return err
	}
	if newcomer.GetName() != name {
		return eris.Wrapf(ErrNoMember, "the replica at %s is %q, not %q", address, newcomer.GetName(), name)
	}
	learner := &encoder.Member{Id: newcomer.GetId(), Name: name, Address: address}
	return r.swap(ctx, learner,
		func(ms *encoder.Members) (*encoder.Members, error) { return addLearner(ms, learner, fresh) },
		func(ms *encoder.Members) (*encoder.Members, error) { return removeNamesakes(ms, learner), nil })
}

// Admit makes newcomer a voter in the place of the member leaving, or beside
// the others if leaving is zero, in the same steps and with the same guarantees
// as Replace. The newcomer may have been a member before, under the same
// identity.
func (r *Replica) Admit(ctx context.Context, newcomer *encoder.Member, leaving uint64) error {
	learner := &encoder.Member{Id: newcomer.GetId(), Name: newcomer.GetName(), Address: newcomer.GetAddress()}
	return r.swap(ctx, learner,
		func(ms *encoder.Members) (*encoder.Members, error) {
			if findMember(ms, learner.GetId()) != nil {
				return ms, nil
			}
			return withMember(ms, learner), nil
		},
		func(ms *encoder.Members) (*encoder.Members, error) {
			if findMember(ms, leaving) == nil {
				return ms, nil
			}
			return withoutMember(ms, leaving), nil
		})
}

// swap adds a learner with add, waits until it has caught up, removes others
// with remove and promotes the learner.
func (r *Replica) swap(ctx context.Context, learner *encoder.Member, add, remove func(*encoder.Members) (*encoder.Members, error)) error {
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

// addLearner returns ms with the learner, or ms itself if it is a member.
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

// removeNamesakes returns ms without the other members of the learner's name.
func removeNamesakes(ms *encoder.Members, learner *encoder.Member) *encoder.Members {
	out := ms
	for _, m := range ms.GetMembers() {
		if m.GetName() == learner.GetName() && m.GetId() != learner.GetId() {
			out = withoutMember(out, m.GetId())
		}
	}
	return out
}

// pollInterval is how often the steps of a replacement look at their progress.
const pollInterval = 20 * time.Millisecond

// askWho returns the replica that listens on address and whether it is fresh.
func (r *Replica) askWho(ctx context.Context, address string) (*encoder.Member, bool, error) {
	for first := true; ; first = false {
		change := &loopRequest{probe: address, forget: first, done: make(chan proposalResult, 1)}
		res, err := r.ask(ctx, change)
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

// changeMembers commits the membership that next computes. It waits while
// another change goes on.
func (r *Replica) changeMembers(ctx context.Context, next func(*encoder.Members) (*encoder.Members, error)) error {
	for {
		_, err := r.ask(ctx, &loopRequest{next: next, done: make(chan proposalResult, 1)})
		if !errors.Is(err, ErrBusy) {
			return err
		}
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// waitCaughtUp returns when the member holds all that is committed now.
func (r *Replica) waitCaughtUp(ctx context.Context, id uint64) error {
	target, err := r.Confirm(ctx)
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

// ask passes change to the loop and waits for its result.
func (r *Replica) ask(ctx context.Context, change *loopRequest) (any, error) {
	select {
	case r.admin <- change:
	case <-r.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case res := <-change.done:
		return res.value, res.err
	case <-r.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// takeRequest does one step of a membership change in the loop.
func (r *Replica) takeRequest(change *loopRequest) {
	c := r.core
	if change.tail {
		tail := c.log.slice(r.applied+1, c.log.last(), math.MaxInt)
		change.done <- proposalResult{value: tail}
		return
	}
	if change.handOver || change.resume {
		r.handingOver = false
		change.done <- proposalResult{value: change.handOver && r.takeHandOver()}
		return
	}
	if c.role() != roleLeader {
		change.done <- proposalResult{err: ErrNotLeader}
		return
	}
	if change.probe != "" {
		if change.forget {
			delete(c.seen, change.probe)
		}
		c.probe(change.probe)
		change.done <- proposalResult{value: c.seen[change.probe]}
		return
	}
	if !c.canChangeMembers() {
		change.done <- proposalResult{err: ErrBusy}
		return
	}
	next, err := change.next(c.members)
	if err != nil || next == c.members {
		change.done <- proposalResult{err: err}
		return
	}
	data, err := proto.Marshal(next)
	if err != nil {
		change.done <- proposalResult{err: err}
		return
	}
	index := c.propose(encoder.EntryKind_ENTRY_KIND_MEMBERS, [][]byte{data})
	c.syncPeers(r.now())
	r.waiters[index] = &proposal{term: c.term, done: change.done}
}

// Unapplied returns the entries of the log that are not applied yet, committed
// or not. It fails with ErrStopped or the context's error.
func (r *Replica) Unapplied(ctx context.Context) ([]*encoder.Entry, error) {
	change := &loopRequest{tail: true, done: make(chan proposalResult, 1)}
	value, err := r.ask(ctx, change)
	entries, _ := value.([]*encoder.Entry)
	return entries, err
}
