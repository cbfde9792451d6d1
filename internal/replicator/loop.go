package replicator

import (
	"context"
	"errors"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
)

// Run runs the replica until ctx is done, or until the journal or the state
// machine fails, and returns their error. Prepare must have succeeded. After a
// failure of the journal the process must exit, because it no longer knows which
// state is durable. A lack of space is not such a failure: the replica then takes
// no part in the group until there is space.
func (r *Replica) Run(ctx context.Context) error {
	defer r.shutDown()
	r.appliedNotifier.setApplied(r.appliedIndex)
	ticker := time.NewTicker(r.HeartbeatInterval / 2)
	defer ticker.Stop()
	if r.fullError == nil {
		r.core.handleTick(r.now())
	}
	for {
		err := r.fullError // of Prepare
		if err == nil {
			err = r.processOutput()
		}
		if errors.Is(err, journaler.ErrFull) {
			err = r.waitForSpace(ctx, err)
		}
		if err != nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case m := <-r.inbox:
			r.core.handleMessage(r.now(), m)
		case p := <-r.proposals:
			r.handleProposals(p)
		case request := <-r.readIndexRequests:
			r.handleReadIndexRequests(request)
		case request := <-r.requests:
			r.handleRequest(request)
		}
		r.drainInbox()
		r.core.handleTick(r.now())
	}
}

func (r *Replica) shutDown() {
	close(r.stopped)
	r.leaseExpiry.Store(nil)
	if err := r.Journal.Close(); err != nil {
		r.Logger.Warn().Err(err).Msg("replica: closing the journal failed")
	}
}

func (r *Replica) drainInbox() {
	for range maxBatchSize {
		select {
		case m := <-r.inbox:
			r.core.handleMessage(r.now(), m)
		default:
			return
		}
	}
}

// handleProposals appends first and the queued proposals to the log as one batch.
func (r *Replica) handleProposals(first *proposal) {
	batch := []*proposal{first}
	for len(batch) < maxBatchSize {
		select {
		case p := <-r.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	mayAppend := r.core.role() == roleLeader && r.core.term != r.transferTerm
	accepted := batch[:0]
	for _, p := range batch {
		if !mayAppend || p.onlyInTerm != 0 && p.onlyInTerm != r.core.term {
			p.done <- requestResult{err: ErrNotLeader}
			continue
		}
		accepted = append(accepted, p)
	}
	if batch = accepted; len(batch) == 0 {
		return
	}
	payloads := make([][]byte, len(batch))
	for i, p := range batch {
		payloads[i] = p.data
		p.term = r.core.term
	}
	last := r.core.appendProposals(encoder.EntryKind_ENTRY_KIND_COMMAND, payloads)
	for i, p := range batch {
		r.pendingProposals[last-uint64(len(batch)-1-i)] = p
	}
}

// handleReadIndexRequests starts one round for first and the queued requests.
func (r *Replica) handleReadIndexRequests(first *readIndexRequest) {
	batch := []*readIndexRequest{first}
	for len(batch) < maxBatchSize {
		select {
		case request := <-r.readIndexRequests:
			batch = append(batch, request)
			continue
		default:
		}
		break
	}
	if r.core.role() != roleLeader {
		failReadIndexRequests(batch)
		return
	}
	r.core.broadcastAppends(r.now())
	for _, request := range batch {
		request.round = r.core.round
	}
	r.pendingReadIndexes = append(r.pendingReadIndexes, batch...)
}

func failReadIndexRequests(requests []*readIndexRequest) {
	for _, request := range requests {
		request.done <- readIndexResult{err: ErrNotLeader}
	}
}

// processOutput performs the actions that the core requested, in the order that
// safety requires: it makes the state durable, then sends the messages that
// depend on it, then applies committed entries.
func (r *Replica) processOutput() error {
	c := r.core
	c.sendNewEntries(r.now())
	if !c.hardStateChanged {
		// Messages of a term that is not durable are not sent: if the term cannot be
		// made durable, this replica may lead in it once more with other entries.
		r.sendMessages(c.immediateMessages)
		c.immediateMessages = nil
	}
	if err := r.persistState(); err != nil {
		return err
	}
	r.sendMessages(c.immediateMessages)
	r.sendMessages(c.deferredMessages)
	c.immediateMessages, c.deferredMessages = nil, nil
	r.applyCommitted()
	r.completeReadIndexRequests()
	if err := r.compactIfDue(); err != nil {
		return err
	}
	r.publishStatus()
	return nil
}

func (r *Replica) hardState() *encoder.HardState {
	return &encoder.HardState{Term: r.core.term, Vote: r.core.votedFor}
}

func (r *Replica) persistState() error {
	c := r.core
	if s := c.snapshotToInstall; s != nil {
		c.snapshotToInstall = nil
		if err := r.installSnapshot(s); err != nil {
			return err
		}
	}
	if len(c.unsyncedEntries) > 0 || c.hardStateChanged {
		if err := r.Journal.Append(r.hardState(), c.unsyncedEntries); err != nil {
			return err
		}
	}
	c.markSynced()
	return nil
}

func (r *Replica) installSnapshot(s *encoder.Snapshot) error {
	if err := r.Journal.SaveSnapshot(s, r.hardState(), nil); err != nil {
		return err
	}
	if err := r.StateMachine.Restore(s.GetIndex(), s.GetData()); err != nil {
		return err
	}
	r.snapshot, r.appliedBytes = s, 0
	r.appliedIndex, r.appliedTerm = s.GetIndex(), s.GetTerm()
	r.appliedNotifier.setApplied(r.appliedIndex)
	r.Logger.Info().Uint64("index", s.GetIndex()).Msg("replica: snapshot from the leader installed")
	return nil
}

func (r *Replica) sendMessages(ms []*encoder.Message) {
	for _, m := range ms {
		if m.GetKind() == encoder.MessageKind_MESSAGE_KIND_SNAPSHOT {
			m.Snapshot = r.snapshot
		}
		if address := r.addressOf(m); address != "" {
			r.Transport.Send(address, m)
		}
	}
}

// addressOf returns the address of the receiver of m, empty if it is unknown.
func (r *Replica) addressOf(m *encoder.Message) string {
	if m.GetToAddress() != "" {
		return m.GetToAddress()
	}
	if member := findMember(r.core.members, m.GetTo()); member != nil {
		return member.GetAddress()
	}
	return r.core.senderAddresses[m.GetTo()]
}

// applyCommitted applies the committed entries to the state machine and completes
// their proposals.
func (r *Replica) applyCommitted() {
	c := r.core
	for r.appliedIndex < c.commitIndex {
		index := r.appliedIndex + 1
		e := c.log.entries[index-c.log.baseIndex-1]
		var value any
		if e.GetKind() == encoder.EntryKind_ENTRY_KIND_COMMAND {
			value = r.StateMachine.Apply(index, e.GetData())
		}
		r.appliedIndex, r.appliedTerm = index, e.GetTerm()
		r.appliedBytes += len(e.GetData())
		r.completeProposal(index, e.GetTerm(), value)
	}
	r.appliedNotifier.setApplied(r.appliedIndex)
	if c.role() != roleLeader {
		r.failPendingProposals()
	}
}

func (r *Replica) completeProposal(index, term uint64, value any) {
	p, ok := r.pendingProposals[index]
	if !ok {
		return
	}
	delete(r.pendingProposals, index)
	if p.term != term {
		p.done <- requestResult{err: ErrOutcomeUnknown}
		return
	}
	p.done <- requestResult{value: value}
}

func (r *Replica) failPendingProposals() {
	for index, p := range r.pendingProposals {
		p.done <- requestResult{err: ErrOutcomeUnknown}
		delete(r.pendingProposals, index)
	}
}

// completeReadIndexRequests completes the requests whose round a majority has
// acknowledged.
func (r *Replica) completeReadIndexRequests() {
	c := r.core
	if c.role() != roleLeader {
		failReadIndexRequests(r.pendingReadIndexes)
		r.pendingReadIndexes = nil
		return
	}
	if c.commitIndex < c.noOpIndex {
		return
	}
	round := c.quorumRound()
	n := 0
	for n < len(r.pendingReadIndexes) && r.pendingReadIndexes[n].round <= round {
		r.pendingReadIndexes[n].done <- readIndexResult{index: r.appliedIndex}
		n++
	}
	r.pendingReadIndexes = r.pendingReadIndexes[n:]
}

// isSnapshotDue reports whether SnapshotEvery entries or SnapshotBytes of data have
// been applied since the last snapshot, or the files need a snapshot.
func (r *Replica) isSnapshotDue() bool {
	if r.appliedIndex == r.snapshot.GetIndex() || r.now().Before(r.snapshotRetryAt) {
		return false
	}
	return r.appliedIndex-r.snapshot.GetIndex() >= r.SnapshotEvery || r.appliedBytes >= r.SnapshotBytes || r.Journal.IsSnapshotDue()
}

// compactIfDue takes a snapshot if one is due, and discards the entries that it
// covers except for TrailingEntries. If there is no space for the snapshot, it tries
// again later: there may still be space for entries.
func (r *Replica) compactIfDue() error {
	c := r.core
	if !r.isSnapshotDue() {
		return nil
	}
	data, err := r.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	s := &encoder.Snapshot{Index: r.appliedIndex, Term: r.appliedTerm, Members: c.membersAt(r.appliedIndex), Data: data}
	remaining := c.log.entries[r.appliedIndex-c.log.baseIndex:]
	if err := r.Journal.SaveSnapshot(s, r.hardState(), remaining); errors.Is(err, journaler.ErrFull) {
		if r.snapshotRetryAt.IsZero() {
			r.Logger.Warn().Err(err).Int("bytes", len(data)).Msg("replica: no space for a snapshot")
		}
		r.snapshotRetryAt = r.now().Add(snapshotRetryInterval)
		return nil
	} else if err != nil {
		return err
	}
	r.snapshot, r.appliedBytes, r.snapshotRetryAt = s, 0, time.Time{}
	if s.GetIndex() > c.log.baseIndex+r.TrailingEntries {
		newBase := s.GetIndex() - r.TrailingEntries
		c.baseMembers = c.membersAt(newBase)
		c.log.discardThrough(newBase)
	}
	r.Logger.Info().Uint64("index", s.GetIndex()).Int("bytes", len(data)).Msg("replica: snapshot taken")
	return nil
}

// publishStatus publishes the status and the lease to other goroutines.
func (r *Replica) publishStatus() {
	c := r.core
	if end := c.leaseExpiry(); end.IsZero() {
		r.leaseExpiry.Store(nil)
	} else {
		r.leaseExpiry.Store(&end)
		r.logLeaseStart()
	}
	s := &carobrock.ReplicaStatus{
		ID: c.self.GetId(), Name: r.Name, Role: string(c.role()), DiskFull: r.fullError != nil, Term: c.term, Leader: c.leaderID,
		Commit: c.commitIndex, Applied: r.appliedIndex, First: c.log.baseIndex + 1, Last: c.log.lastIndex(),
	}
	for _, m := range c.members.GetMembers() {
		ms := carobrock.MemberStatus{ID: m.GetId(), Name: m.GetName(), Address: m.GetAddress(), Voter: m.GetVoter()}
		if c.role() == roleLeader {
			ms.Match = c.matchIndexOf(m.GetId())
			ms.SilentMillis = c.timeSinceResponse(r.now(), m.GetId()).Milliseconds()
		}
		if m.GetId() == c.leaderID {
			s.LeaderAddress = m.GetAddress()
		}
		s.Members = append(s.Members, ms)
	}
	r.status.Store(s)
	if role := c.role(); role != r.loggedRole {
		r.loggedRole, r.appliedAtRoleChange = role, r.appliedIndex
		r.Logger.Info().Str("role", string(role)).Uint64("term", c.term).Msg("replica: role changed")
	}
}

// logLeaseStart logs once a term that this replica holds the leader's lease. From then
// on its state includes all entries of earlier terms.
func (r *Replica) logLeaseStart() {
	if r.loggedLeaseTerm == r.core.term {
		return
	}
	r.loggedLeaseTerm = r.core.term
	r.Logger.Info().Uint64("term", r.core.term).Uint64("applied", r.appliedIndex).Uint64("replayed", r.appliedIndex-r.appliedAtRoleChange).
		Dur("sinceElection", r.now().Sub(r.core.electedAt)).Msg("replica: lease of the leader begins")
}
