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

// ErrBadAnswer reports that a replica's answer makes no sense.
var ErrBadAnswer = eris.New("watcher: bad answer")

// Methods that a replica offers to gateways.
const (
	MethodSync = "sync"
	MethodTip  = "tip"
)

// Watcher keeps the view. Its fields are set before Run and not changed after.
type Watcher struct {
	// Gateway, Incarnation and AvailabilityZone say who asks.
	Gateway          string
	Incarnation      string
	AvailabilityZone string
	// Replicas are the addresses of the control replicas.
	Replicas []string
	// Caller reaches them.
	Caller carobrock.Caller
	// StaleAfter is how long the view may go without confirmation. Zero: 5 s.
	StaleAfter time.Duration
	// Wait is how long a replica waits for a change before it answers. Zero:
	// 1 s.
	Wait time.Duration
	// Demand returns the present load. Nil: none is reported.
	Demand func() []*encoder.PoolDemand
	// Settled returns the newest version of the grants that the gateway keeps
	// to. Nil: the newest known.
	Settled func(version uint64) uint64
	// OnCatalog is called with each new catalog before it is in force. Nil:
	// nothing is called.
	OnCatalog func(c *Catalog)
	// Logger takes the log.
	Logger zerolog.Logger

	model     *model
	replica   int
	current   atomic.Pointer[Catalog]
	confirmed atomic.Pointer[time.Time]
	leaseEnd  atomic.Pointer[time.Time]
	draining  atomic.Bool
}

// Defaults of the settings.
const (
	DefaultStaleAfter = 5 * time.Second
	defaultWait       = time.Second
	// callSlack is what a call may take beyond the time that it asks to wait.
	callSlack = 500 * time.Millisecond
	// shortWaitMillis is the wait asked for while the last confirmation is old,
	// while the gateway drains and while it uses more than it is granted.
	shortWaitMillis = 20
	// retryPause is the time between attempts after a failed call.
	retryPause = 100 * time.Millisecond
)

// Prepare makes the watcher ready for its other methods.
func (w *Watcher) Prepare() {
	if w.StaleAfter == 0 {
		w.StaleAfter = DefaultStaleAfter
	}
	if w.Wait == 0 {
		w.Wait = defaultWait
	}
	w.model = newModel()
}

// Current returns the catalog in force. It returns nil before the first one.
func (w *Watcher) Current() *Catalog { return w.current.Load() }

// IsFresh reports whether the catalog was confirmed within StaleAfter.
func (w *Watcher) IsFresh() bool { return w.isConfirmedWithin(w.StaleAfter) }

func (w *Watcher) isConfirmedWithin(d time.Duration) bool {
	at := w.confirmed.Load()
	return at != nil && time.Since(*at) < d
}

// HoldsGrants reports whether the lease of the gateway's grants is running.
func (w *Watcher) HoldsGrants() bool {
	end := w.leaseEnd.Load()
	return end != nil && time.Now().Before(*end)
}

// Drain tells the control group that the gateway hands its grants back.
func (w *Watcher) Drain() { w.draining.Store(true) }

// Run keeps the view up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.sync(ctx)
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		w.Logger.Debug().Err(err).Str("replica", w.Replicas[w.replica]).Msg("watcher: sync failed")
		w.replica = (w.replica + 1) % len(w.Replicas)
		if !w.isConfirmedWithin(w.StaleAfter / 2) {
			w.askTips(ctx)
		}
		_ = sleeper.Sleep(ctx, retryPause) // the loop looks at ctx itself
	}
	return nil
}

// errNotConfirmed makes the watcher try another replica.
var errNotConfirmed = eris.New("watcher: the replica could not confirm its state")

// sync makes one call for changes and applies the answer.
func (w *Watcher) sync(ctx context.Context) error {
	req := w.request()
	body, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMillis())*time.Millisecond+callSlack)
	defer cancel()
	sent := time.Now()
	data, err := w.Caller.Call(ctx, w.Replicas[w.replica], MethodSync, body)
	if err != nil {
		return err
	}
	ans := &encoder.SyncAnswer{}
	if err := proto.Unmarshal(data, ans); err != nil {
		return eris.Wrap(ErrBadAnswer, err.Error())
	}
	if err := w.take(ans); err != nil {
		return err
	}
	if !ans.GetConfirmed() || ans.GetIndex() < w.model.index {
		return errNotConfirmed
	}
	w.confirm(sent, time.Duration(ans.GetLeaseMillis())*time.Millisecond)
	return nil
}

func (w *Watcher) request() *encoder.SyncRequest {
	req := &encoder.SyncRequest{
		Gateway: w.Gateway, Incarnation: w.Incarnation, AvailabilityZone: w.AvailabilityZone,
		InForce: w.model.index, WaitMillis: w.Wait.Milliseconds(), Draining: w.draining.Load(),
	}
	if !w.isConfirmedWithin(w.StaleAfter/2) || w.draining.Load() {
		req.WaitMillis = shortWaitMillis
	}
	if w.Demand != nil {
		req.Demand = w.Demand()
	}
	req.GrantsSettled = w.model.grants.Version
	if w.Settled != nil {
		req.GrantsSettled = w.Settled(w.model.grants.Version)
	}
	if req.GetGrantsSettled() < w.model.grants.Version {
		// Other gateways wait for the slots that this one is to give up.
		req.WaitMillis = shortWaitMillis
	}
	return req
}

// take applies an answer's delta unless it is older than the view.
func (w *Watcher) take(ans *encoder.SyncAnswer) error {
	if ans.GetIndex() < w.model.index {
		return nil
	}
	if len(ans.GetDelta()) == 0 {
		w.advance(ans.GetIndex())
		return nil
	}
	v := &carobrock.View{}
	if err := json.Unmarshal(ans.GetDelta(), v); err != nil {
		return eris.Wrap(ErrBadAnswer, err.Error())
	}
	w.model.apply(v, ans.GetIndex(), ans.GetFull())
	c := w.model.catalog()
	if w.OnCatalog != nil {
		w.OnCatalog(c)
	}
	w.current.Store(c)
	return nil
}

// advance notes that the view is the same at a newer index.
func (w *Watcher) advance(index uint64) {
	old := w.current.Load()
	if old == nil || index == w.model.index {
		return
	}
	w.model.index = index
	c := *old
	c.Index = index
	w.current.Store(&c)
}

func (w *Watcher) confirm(sent time.Time, lease time.Duration) {
	if old := w.confirmed.Load(); old == nil || sent.After(*old) {
		w.confirmed.Store(&sent)
	}
	end := sent.Add(lease)
	if old := w.leaseEnd.Load(); lease > 0 && (old == nil || end.After(*old)) {
		w.leaseEnd.Store(&end)
	}
}
