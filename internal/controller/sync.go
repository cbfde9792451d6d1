package controller

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/messenger"
)

// methodReadIndex is the method by which a replica asks the leader to confirm
// its leadership on behalf of a gateway.
const methodReadIndex = leaderPrefix + "confirm"

// maxSyncWait is the maximum time that a sync request waits for a change.
const maxSyncWait = 10 * time.Second

// handleSync returns the changes of the view since the gateway's last sync. The
// response is confirmed if the leader confirmed its leadership after the
// request arrived, so that the response includes every change that was
// committed before the request.
func (c *Controller) handleSync(ctx context.Context, body []byte) ([]byte, error) {
	req := &encoder.SyncRequest{}
	if err := proto.Unmarshal(body, req); err != nil {
		return nil, &messenger.RemoteError{Code: "badRequest", Text: err.Error()}
	}
	resp := &encoder.SyncAnswer{}
	confirmation, err := c.confirmLeadership(ctx, req)
	if err == nil && c.Replica.WaitApplied(ctx, confirmation.GetIndex()) == nil {
		resp.Confirmed, resp.LeaseMillis = true, confirmation.GetLeaseMillis()
	}
	if resp.GetConfirmed() {
		c.waitForViewChange(ctx, req)
	}
	since := req.GetInForce()
	if req.GetFull() {
		since = 0
	}
	if since > 0 && c.Keeper.ViewIndex() <= since {
		resp.Index = c.Keeper.Index()
		return proto.Marshal(resp)
	}
	view, index, full := c.Keeper.ViewDelta(since, req.GetGateway(), req.GetIncarnation())
	delta, err := json.Marshal(view)
	if err != nil {
		return nil, err
	}
	resp.Index, resp.Delta, resp.Full = index, delta, full
	return proto.Marshal(resp)
}

// waitForViewChange returns when the view has changed or the wait time of the
// request has elapsed.
func (c *Controller) waitForViewChange(ctx context.Context, req *encoder.SyncRequest) {
	wait := min(maxSyncWait, time.Duration(req.GetWaitMillis())*time.Millisecond)
	if wait <= 0 || req.GetInForce() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changed := c.Replica.NextApplied()
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

// confirmLeadership asks the leader, local or remote, to confirm its
// leadership.
func (c *Controller) confirmLeadership(ctx context.Context, req *encoder.SyncRequest) (*encoder.ReadAnswer, error) {
	readReq := &encoder.ReadRequest{
		Gateway: req.GetGateway(), Incarnation: req.GetIncarnation(), InForce: req.GetInForce(), Draining: req.GetDraining(),
		Demand: req.GetDemand(), AvailabilityZone: req.GetAvailabilityZone(), GrantsSettled: req.GetGrantsSettled(),
	}
	s := c.Replica.Status()
	if s.Leader == s.ID {
		return c.confirmLocalLeadership(ctx, readReq)
	}
	if s.LeaderAddress == "" {
		return nil, errNoLeader
	}
	body, err := proto.Marshal(readReq)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	data, err := c.Messenger.Call(ctx, s.LeaderAddress, methodReadIndex, body)
	if err != nil {
		return nil, err
	}
	resp := &encoder.ReadAnswer{}
	return resp, proto.Unmarshal(data, resp)
}

// confirmTimeout is the timeout of a request to the leader to confirm its
// leadership.
const confirmTimeout = time.Second

var errNoLeader = &messenger.RemoteError{Code: "noLeader", Text: "no leader is known"}

// handleReadIndex serves methodReadIndex.
func (c *Controller) handleReadIndex(ctx context.Context, body []byte) ([]byte, error) {
	req := &encoder.ReadRequest{}
	if err := proto.Unmarshal(body, req); err != nil {
		return nil, &messenger.RemoteError{Code: "badRequest", Text: err.Error()}
	}
	resp, err := c.confirmLocalLeadership(ctx, req)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(resp)
}

// confirmLocalLeadership records the gateway's request and confirms that this
// replica is the leader.
func (c *Controller) confirmLocalLeadership(ctx context.Context, req *encoder.ReadRequest) (*encoder.ReadAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	term, _ := c.Term()
	c.gateways.recordRequest(term, req)
	index, err := c.Replica.ReadIndex(ctx)
	if err != nil {
		return nil, err
	}
	return &encoder.ReadAnswer{Index: index, LeaseMillis: c.GrantLease.Milliseconds()}, nil
}

// handleTip reports the end of this replica's log to a gateway. Gateways use it
// while there is no leader.
func (c *Controller) handleTip(ctx context.Context, _ []byte) ([]byte, error) {
	s := c.Replica.Status()
	resp := &encoder.TipAnswer{Member: s.ID, Name: s.Name, HasLeader: s.Leader != 0, Term: s.Term}
	for _, m := range s.Members {
		if m.Voter {
			resp.Voters++
		}
		if m.ID == s.ID {
			resp.Voter = m.Voter
		}
	}
	unapplied, err := c.Replica.UnappliedEntries(ctx)
	if err != nil {
		return nil, err
	}
	resp.LastViewIndex = c.Keeper.ViewIndex()
	for _, e := range unapplied {
		if e.GetKind() == encoder.EntryKind_ENTRY_KIND_COMMAND && c.Keeper.AffectsView(e.GetData()) {
			resp.LastViewIndex = e.GetIndex()
		}
	}
	return proto.Marshal(resp)
}
