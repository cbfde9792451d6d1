package controller

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/messenger"
)

// methodConfirm asks the leader to prove that it leads, for a gateway's sync.
const methodConfirm = leaderPrefix + "confirm"

// maxSyncWait bounds how long a gateway may wait for a change.
const maxSyncWait = 10 * time.Second

// handleSync brings a gateway up to date. The answer is confirmed if a leader
// proved after the request came that nothing newer is committed.
func (c *Controller) handleSync(ctx context.Context, body []byte) ([]byte, error) {
	req := &encoder.SyncRequest{}
	if err := proto.Unmarshal(body, req); err != nil {
		return nil, &messenger.RemoteError{Code: "badRequest", Text: err.Error()}
	}
	ans := &encoder.SyncAnswer{}
	read, err := c.confirm(ctx, req)
	if err == nil && c.Replica.WaitApplied(ctx, read.GetIndex()) == nil {
		ans.Confirmed, ans.LeaseMillis = true, read.GetLeaseMillis()
	}
	if ans.GetConfirmed() {
		c.waitForChange(ctx, req)
	}
	since := req.GetInForce()
	if req.GetFull() {
		since = 0
	}
	if since > 0 && c.Keeper.ViewIndex() <= since {
		ans.Index = c.Keeper.Index()
		return proto.Marshal(ans)
	}
	view, index, full := c.Keeper.Delta(since, req.GetGateway(), req.GetIncarnation())
	delta, err := json.Marshal(view)
	if err != nil {
		return nil, err
	}
	ans.Index, ans.Delta, ans.Full = index, delta, full
	return proto.Marshal(ans)
}

// waitForChange returns when the view has changed or the gateway's wait is over.
func (c *Controller) waitForChange(ctx context.Context, req *encoder.SyncRequest) {
	wait := min(maxSyncWait, time.Duration(req.GetWaitMillis())*time.Millisecond)
	if wait <= 0 || req.GetInForce() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changed := c.Replica.Changed()
		if c.Keeper.ViewIndex() > req.GetInForce() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// confirm has the leader prove that it leads, wherever it is.
func (c *Controller) confirm(ctx context.Context, req *encoder.SyncRequest) (*encoder.ReadAnswer, error) {
	read := &encoder.ReadRequest{
		Gateway: req.GetGateway(), Incarnation: req.GetIncarnation(), InForce: req.GetInForce(), Draining: req.GetDraining(),
		Demand: req.GetDemand(), AvailabilityZone: req.GetAvailabilityZone(), GrantsSettled: req.GetGrantsSettled(),
	}
	s := c.Replica.Status()
	if s.Leader == s.ID {
		return c.confirmLocal(ctx, read)
	}
	if s.LeaderAddress == "" {
		return nil, errNoLeader
	}
	body, err := proto.Marshal(read)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	data, err := c.Messenger.Call(ctx, s.LeaderAddress, methodConfirm, body)
	if err != nil {
		return nil, err
	}
	ans := &encoder.ReadAnswer{}
	return ans, proto.Unmarshal(data, ans)
}

// confirmTimeout bounds the question to the leader.
const confirmTimeout = time.Second

var errNoLeader = &messenger.RemoteError{Code: "noLeader", Text: "no leader is known"}

func (c *Controller) handleConfirm(ctx context.Context, body []byte) ([]byte, error) {
	read := &encoder.ReadRequest{}
	if err := proto.Unmarshal(body, read); err != nil {
		return nil, &messenger.RemoteError{Code: "badRequest", Text: err.Error()}
	}
	ans, err := c.confirmLocal(ctx, read)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(ans)
}

func (c *Controller) confirmLocal(ctx context.Context, read *encoder.ReadRequest) (*encoder.ReadAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	term, _ := c.Term()
	c.gateways.note(term, read)
	index, err := c.Replica.Confirm(ctx)
	if err != nil {
		return nil, err
	}
	return &encoder.ReadAnswer{Index: index, LeaseMillis: c.GrantLease.Milliseconds()}, nil
}

// handleTip tells a gateway what this replica knows while there is no leader.
func (c *Controller) handleTip(ctx context.Context, _ []byte) ([]byte, error) {
	s := c.Replica.Status()
	ans := &encoder.TipAnswer{Member: s.ID, Name: s.Name, HasLeader: s.Leader != 0, Term: s.Term}
	for _, m := range s.Members {
		if m.Voter {
			ans.Voters++
		}
		if m.ID == s.ID {
			ans.Voter = m.Voter
		}
	}
	tail, err := c.Replica.Unapplied(ctx)
	if err != nil {
		return nil, err
	}
	ans.LastViewIndex = c.Keeper.ViewIndex()
	for _, e := range tail {
		if e.GetKind() == encoder.EntryKind_ENTRY_KIND_COMMAND && c.Keeper.ChangesView(e.GetData()) {
			ans.LastViewIndex = e.GetIndex()
		}
	}
	return proto.Marshal(ans)
}
