package replicator

import (
	"context"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
)

// Run runs the replica until ctx ends or the journal fails. Prepare must have
// succeeded. A journal failure is returned, and the process must end: what is
// durable is no longer known.
func (r *Replica) Run(ctx context.Context) error {
	defer r.stop()
	r.watch.advance(r.applied)
	ticker := time.NewTicker(r.HeartbeatInterval / 2)
	defer ticker.Stop()
	r.core.tick(r.now())
	for {
		if err := r.settle(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case m := <-r.inbox:
			r.core.step(r.now(), m)
		case p := <-r.proposals:
			r.takeProposals(p)
		case q := <-r.confirms:
			r.takeConfirms(q)
		case change := <-r.admin:
			r.takeRequest(change)
		}
		r.drainInbox()
		r.core.tick(r.now())
	}
}

func (r *Replica) stop() {
	close(r.stopped)
	r.leaseEnd.Store(nil)
	if err := r.Journal.Close(); err != nil {
		r.Logger.Warn().Err(err).Msg("replica: journal did not close cleanly")
	}
}

func (r *Replica) drainInbox() {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			r.core.step(r.now(), m)
		default:
			return
		}
	}
}

// takeProposals adds first and all that wait behind it to the log at once.
func (r *Replica) takeProposals(first *proposal) {
	batch := []*proposal{first}
	for len(batch) < maxBatch {
		select {
		case p := <-r.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	if r.core.role() != roleLeader || r.handingOver {
		for _, p := range batch {
			p.done <- proposalResult{err: ErrNotLeader}
		}
		return
	}
	datas := make([][]byte, len(batch))
	for i, p := range batch {
		datas[i] = p.data
		p.term = r.core.term
	}
	last := r.core.propose(encoder.EntryKind_ENTRY_KIND_COMMAND, datas)
	for i, p := range batch {
		r.waiters[last-uint64(len(batch)-1-i)] = p
	}
}

// takeConfirms starts one round for first and all that wait behind it.
func (r *Replica) takeConfirms(first *confirmation) {
	batch := []*confirmation{first}
	for len(batch) < maxBatch {
		select {
		case q := <-r.confirms:
			batch = append(batch, q)
			continue
		default:
		}
		break
	}
	if r.core.role() != roleLeader {
		failConfirms(batch)
		return
	}
	r.core.broadcast(r.now())
	for _, q := range batch {
		q.round = r.core.round
	}
	r.pending = append(r.pending, batch...)
}

func failConfirms(qs []*confirmation) {
	for _, q := range qs {
		q.done <- confirmResult{err: ErrNotLeader}
	}
}

// settle does what the core asks for, in the order that safety needs: what is
// durable first, then the messages that promise it, then the state machine.
func (r *Replica) settle() error {
	c := r.core
	c.flush(r.now())
	r.sendAll(c.early)
	c.early = nil
	if err := r.persist(); err != nil {
		return err
	}
	r.sendAll(c.late)
	c.late = nil
	r.apply()
	r.answerConfirms()
	if err := r.compact(); err != nil {
		return err
	}
	r.publish()
	return nil
}

func (r *Replica) hardState() *encoder.HardState {
	return &encoder.HardState{Term: r.core.term, Vote: r.core.vote}
}

func (r *Replica) persist() error {
	c := r.core
	if s := c.install; s != nil {
		c.install = nil
		if err := r.installSnapshot(s); err != nil {
			return err
		}
	}
	if len(c.unsaved) > 0 || c.hardChanged {
		if err := r.Journal.Append(r.hardState(), c.unsaved); err != nil {
			return err
		}
	}
	c.saved()
	return nil
}

func (r *Replica) installSnapshot(s *encoder.Snapshot) error {
	if err := r.Journal.SaveSnapshot(s, r.hardState(), nil); err != nil {
		return err
	}
	if err := r.Machine.Restore(s.GetIndex(), s.GetData()); err != nil {
		return err
	}
	r.snapshot, r.appliedBytes = s, 0
	r.applied, r.appliedTerm = s.GetIndex(), s.GetTerm()
	r.watch.advance(r.applied)
	r.Logger.Info().Uint64("index", s.GetIndex()).Msg("replica: snapshot installed")
	return nil
}

func (r *Replica) sendAll(ms []*encoder.Message) {
	for _, m := range ms {
		if m.GetKind() == encoder.MessageKind_MESSAGE_KIND_SNAPSHOT {
			m.Snapshot = r.snapshot
		}
		if address := r.addressOf(m); address != "" {
			r.Link.Send(address, m)
		}
	}
}

// addressOf returns where the receiver of m listens, empty if that is unknown.
func (r *Replica) addressOf(m *encoder.Message) string {
	if m.GetToAddress() != "" {
		return m.GetToAddress()
	}
	if member := findMember(r.core.members, m.GetTo()); member != nil {
		return member.GetAddress()
	}
	return r.core.addresses[m.GetTo()]
}

// apply hands the committed entries to the state machine and answers those who
// proposed them.
func (r *Replica) apply() {
	c := r.core
	for r.applied < c.commit {
		index := r.applied + 1
		e := c.log.entries[index-c.log.baseIndex-1]
		var value any
		if e.GetKind() == encoder.EntryKind_ENTRY_KIND_COMMAND {
			value = r.Machine.Apply(index, e.GetData())
		}
		r.applied, r.appliedTerm = index, e.GetTerm()
		r.appliedBytes += len(e.GetData())
		r.answerProposal(index, e.GetTerm(), value)
	}
	r.watch.advance(r.applied)
	if c.role() != roleLeader {
		r.failWaiters()
	}
}

func (r *Replica) answerProposal(index, term uint64, value any) {
	p, ok := r.waiters[index]
	if !ok {
		return
	}
	delete(r.waiters, index)
	if p.term != term {
		p.done <- proposalResult{err: ErrUnknown}
		return
	}
	p.done <- proposalResult{value: value}
}

func (r *Replica) failWaiters() {
	for index, p := range r.waiters {
		p.done <- proposalResult{err: ErrUnknown}
		delete(r.waiters, index)
	}
}

// answerConfirms answers the confirmations whose round a majority has answered.
func (r *Replica) answerConfirms() {
	c := r.core
	if c.role() != roleLeader {
		failConfirms(r.pending)
		r.pending = nil
		return
	}
	if c.commit < c.termStart {
		return
	}
	round := c.quorumRound()
	n := 0
	for n < len(r.pending) && r.pending[n].round <= round {
		r.pending[n].done <- confirmResult{index: r.applied}
		n++
	}
	r.pending = r.pending[n:]
}

// compact takes a snapshot if enough was applied since the last one.
func (r *Replica) compact() error {
	c := r.core
	if r.applied-r.snapshot.GetIndex() < r.SnapshotEvery && r.appliedBytes < r.SnapshotBytes {
		return nil
	}
	data, err := r.Machine.Snapshot()
	if err != nil {
		return err
	}
	s := &encoder.Snapshot{Index: r.applied, Term: r.appliedTerm, Members: c.membersAt(r.applied), Data: data}
	keep := c.log.entries[r.applied-c.log.baseIndex:]
	if err := r.Journal.SaveSnapshot(s, r.hardState(), keep); err != nil {
		return err
	}
	r.snapshot, r.appliedBytes = s, 0
	if s.GetIndex() > c.log.baseIndex+r.TrailingEntries {
		cut := s.GetIndex() - r.TrailingEntries
		c.baseMembers = c.membersAt(cut)
		c.log.cut(cut)
	}
	r.Logger.Info().Uint64("index", s.GetIndex()).Int("bytes", len(data)).Msg("replica: snapshot taken")
	return nil
}

// publish makes the status and the lease visible to other goroutines.
func (r *Replica) publish() {
	c := r.core
	if end := c.leaseEnd(); end.IsZero() {
		r.leaseEnd.Store(nil)
	} else {
		r.leaseEnd.Store(&end)
	}
	s := &carobrock.ReplicaStatus{
		ID: c.self.GetId(), Name: r.Name, Role: string(c.role()), Term: c.term, Leader: c.leader,
		Commit: c.commit, Applied: r.applied, First: c.log.baseIndex + 1, Last: c.log.last(),
	}
	for _, m := range c.members.GetMembers() {
		ms := carobrock.MemberStatus{ID: m.GetId(), Name: m.GetName(), Address: m.GetAddress(), Voter: m.GetVoter()}
		if c.role() == roleLeader {
			ms.Match = c.matchOf(m.GetId())
			ms.SilentMillis = c.silence(r.now(), m.GetId()).Milliseconds()
		}
		if m.GetId() == c.leader {
			s.LeaderAddress = m.GetAddress()
		}
		s.Members = append(s.Members, ms)
	}
	r.status.Store(s)
	if now := c.role(); now != r.lastRole {
		r.lastRole = now
		r.Logger.Info().Str("role", string(now)).Uint64("term", c.term).Msg("replica: role changed")
	}
}
