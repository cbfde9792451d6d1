package watcher

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/sleeper"
)

// ErrMalformedResponse reports a malformed response of a replica.
var ErrMalformedResponse = eris.New("watcher: malformed response")

// Methods that control replicas offer to gateways.
const (
	MethodSync = "sync"
	MethodTip  = "tip"
)

// Watcher maintains the view of one gateway. Its exported fields must be set
// before Prepare and not modified afterwards.
type Watcher struct {
	// Gateway, Incarnation and AvailabilityZone identify the gateway in
	// requests.
	Gateway          string
	Incarnation      string
	AvailabilityZone string
	// Replicas lists the addresses of the control replicas.
	Replicas []string
	// RPCClient calls the control replicas.
	RPCClient carobrock.RPCClient
	// StaleAfter is how long a view is fresh after its confirmation. If zero,
	// it is 5 s.
	StaleAfter time.Duration
	// SyncWait is how long a replica waits for a change before it responds to a
	// sync. If zero, it is 1 s.
	SyncWait time.Duration
	// Demand returns the current load by pool. If nil, no load is reported.
	Demand func() []*encoder.PoolDemand
	// SettledVersion returns the newest version of the grants that the gateway
	// complies with. Its argument is the newest version known. If nil, the
	// gateway complies with each version immediately.
	SettledVersion func(version uint64) uint64
	// OnCatalog, if not nil, is called with each new catalog before Current
	// returns it.
	OnCatalog func(c *Catalog)
	Logger    zerolog.Logger

	view         *viewState
	replicaIndex int
	// callTimeoutMargin is the timeout of the next call beyond the wait time that it
	// requests.
	callTimeoutMargin time.Duration
	current           atomic.Pointer[Catalog]
	confirmedAt       atomic.Pointer[time.Time]
	leaseEnd          atomic.Pointer[time.Time]
	draining          atomic.Bool
}

// Default settings and timeouts.
const (
	DefaultStaleAfter = 5 * time.Second
	defaultSyncWait   = time.Second
	// Limits of Watcher.callTimeoutMargin. It doubles after a call that timed out, as a
	// large view takes long on a slow link, and is the lower limit after a response.
	minCallTimeoutMargin = 500 * time.Millisecond
	maxCallTimeoutMargin = 8 * time.Second
	// shortWaitMillis is the wait time requested, in milliseconds, while the
	// last confirmation is old, while the gateway drains, and while it uses
	// more slots than it is granted.
	shortWaitMillis = 20
	// retryDelay is the delay before the next attempt after a failed call.
	retryDelay = 100 * time.Millisecond
)

// Prepare sets defaults and initializes the watcher. It must be called before
// any other method.
func (w *Watcher) Prepare() {
	if w.StaleAfter == 0 {
		w.StaleAfter = DefaultStaleAfter
	}
	if w.SyncWait == 0 {
		w.SyncWait = defaultSyncWait
	}
	w.view = newViewState()
	w.callTimeoutMargin = minCallTimeoutMargin
}

// Current returns the catalog in force, or nil if there is none yet.
func (w *Watcher) Current() *Catalog { return w.current.Load() }

// IsFresh reports whether the catalog was confirmed within StaleAfter.
func (w *Watcher) IsFresh() bool { return w.isConfirmedWithin(w.StaleAfter) }

// isConfirmedWithin reports whether the view was confirmed less than d ago.
func (w *Watcher) isConfirmedWithin(d time.Duration) bool {
	at := w.confirmedAt.Load()
	return at != nil && time.Since(*at) < d
}

// HasGrantLease reports whether the lease of the gateway's grants is unexpired.
func (w *Watcher) HasGrantLease() bool {
	end := w.leaseEnd.Load()
	return end != nil && time.Now().Before(*end)
}

// StartDraining makes the watcher report in each request that the gateway
// returns its grants.
func (w *Watcher) StartDraining() { w.draining.Store(true) }

// Run keeps the view up to date until ctx ends. It returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.syncOnce(ctx)
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		w.Logger.Debug().Err(err).Str("replica", w.Replicas[w.replicaIndex]).Msg("watcher: sync failed")
		w.replicaIndex = (w.replicaIndex + 1) % len(w.Replicas)
		if !w.isConfirmedWithin(w.StaleAfter / 2) {
			w.confirmWithoutLeader(ctx)
		}
		_ = sleeper.Sleep(ctx, retryDelay) // the loop condition checks ctx
	}
	return nil
}

// errNotConfirmed reports a response that is not confirmed or is older than the
// view. It makes Run switch to another replica.
var errNotConfirmed = eris.New("watcher: the response is not confirmed or is older than the view")

// syncOnce requests the changes of the view and applies the response.
func (w *Watcher) syncOnce(ctx context.Context) error {
	req := w.newSyncRequest()
	body, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMillis())*time.Millisecond+w.callTimeoutMargin)
	defer cancel()
	sent := time.Now()
	data, err := w.RPCClient.Call(ctx, w.Replicas[w.replicaIndex], MethodSync, body)
	if ctx.Err() != nil {
		w.callTimeoutMargin = min(2*w.callTimeoutMargin, maxCallTimeoutMargin)
	} else {
		w.callTimeoutMargin = minCallTimeoutMargin
	}
	if err != nil {
		return err
	}
	resp := &encoder.SyncAnswer{}
	if err := proto.Unmarshal(data, resp); err != nil {
		return eris.Wrap(ErrMalformedResponse, err.Error())
	}
	if err := w.applyResponse(resp); err != nil {
		return err
	}
	if !resp.GetConfirmed() || resp.GetIndex() < w.view.index {
		return errNotConfirmed
	}
	w.recordConfirmation(sent, time.Duration(resp.GetLeaseMillis())*time.Millisecond)
	return nil
}

// newSyncRequest returns the next sync request.
func (w *Watcher) newSyncRequest() *encoder.SyncRequest {
	req := &encoder.SyncRequest{
		Gateway: w.Gateway, Incarnation: w.Incarnation, AvailabilityZone: w.AvailabilityZone,
		InForce: w.view.index, WaitMillis: w.SyncWait.Milliseconds(), Draining: w.draining.Load(),
	}
	if !w.isConfirmedWithin(w.StaleAfter/2) || w.draining.Load() {
		req.WaitMillis = shortWaitMillis
	}
	if w.Demand != nil {
		req.Demand = w.Demand()
	}
	req.GrantsSettled = w.view.grants.Version
	if w.SettledVersion != nil {
		req.GrantsSettled = w.SettledVersion(w.view.grants.Version)
	}
	if req.GetGrantsSettled() < w.view.grants.Version {
		// Other gateways are waiting for the slots that this one must release.
		req.WaitMillis = shortWaitMillis
	}
	return req
}

// applyResponse applies the delta of a response unless the response is older
// than the view.
func (w *Watcher) applyResponse(resp *encoder.SyncAnswer) error {
	if resp.GetIndex() < w.view.index {
		return nil
	}
	if len(resp.GetDelta()) == 0 {
		w.advanceIndex(resp.GetIndex())
		return nil
	}
	v := &carobrock.View{}
	if err := json.Unmarshal(resp.GetDelta(), v); err != nil {
		return eris.Wrap(ErrMalformedResponse, err.Error())
	}
	w.view.applyDelta(v, resp.GetIndex(), resp.GetFull())
	c := w.view.buildCatalog()
	if w.OnCatalog != nil {
		w.OnCatalog(c)
	}
	w.current.Store(c)
	return nil
}

// advanceIndex sets the index of an unchanged view to a newer one.
func (w *Watcher) advanceIndex(index uint64) {
	old := w.current.Load()
	if old == nil || index == w.view.index {
		return
	}
	w.view.index = index
	c := *old
	c.Index = index
	w.current.Store(&c)
}

// recordConfirmation records a confirmation of the view as of the time sent,
// and a lease that starts at that time.
func (w *Watcher) recordConfirmation(sent time.Time, lease time.Duration) {
	if old := w.confirmedAt.Load(); old == nil || sent.After(*old) {
		w.confirmedAt.Store(&sent)
	}
	end := sent.Add(lease)
	if old := w.leaseEnd.Load(); lease > 0 && (old == nil || end.After(*old)) {
		w.leaseEnd.Store(&end)
	}
}
