package watcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
)

// fakeReplicas simulates control replicas that hold different log indices.
type fakeReplicas struct {
	mu             sync.Mutex
	indexByAddress map[string]uint64
	unresponsive   map[string]bool
	hasLeader      bool
	lastViewIndex  map[string]uint64 // LastViewIndex of tip responses; indexByAddress if not set
	asked          int
}

func (f *fakeReplicas) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	f.mu.Lock()
	index, silent, leader := f.indexByAddress[address], f.unresponsive[address], f.hasLeader
	lastView, ok := f.lastViewIndex[address]
	f.asked++
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if method == MethodTip {
		if !ok {
			lastView = index
		}
		return proto.Marshal(&encoder.TipAnswer{Member: uint64(address[0]), Voter: true, Voters: 3, HasLeader: leader, LastViewIndex: lastView})
	}
	if !leader {
		return nil, errors.New("no leader")
	}
	req := &encoder.SyncRequest{}
	if err := proto.Unmarshal(body, req); err != nil {
		return nil, err
	}
	if index <= req.GetInForce() {
		time.Sleep(time.Duration(req.GetWaitMillis()) * time.Millisecond)
		return proto.Marshal(&encoder.SyncAnswer{Index: index, Confirmed: true, LeaseMillis: 5000})
	}
	delta, err := json.Marshal(&carobrock.View{Routes: &carobrock.RouteTable{
		Version: index, Rows: []carobrock.Route{{Name: fmt.Sprint("r", index), PathPrefix: "/", Pool: "p"}},
	}})
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&encoder.SyncAnswer{Index: index, Confirmed: true, Full: req.GetInForce() == 0, Delta: delta, LeaseMillis: 5000})
}

func (f *fakeReplicas) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func startWatcher(t *testing.T, f *fakeReplicas) *Watcher {
	t.Helper()
	w := &Watcher{Gateway: "g", Replicas: []string{"a", "b", "c"}, RPCClient: f, Logger: zerolog.Nop()}
	w.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	group.Go(func() { _ = w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return w
}

func replicasAt(index uint64) *fakeReplicas {
	return &fakeReplicas{
		indexByAddress: map[string]uint64{"a": index, "b": index, "c": index}, unresponsive: map[string]bool{}, hasLeader: true, lastViewIndex: map[string]uint64{},
	}
}

// TestNeverGoesBack checks that the view does not go back when the watcher
// switches to a replica that lags behind.
func TestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicasAt(500)
		w := startWatcher(t, f)
		time.Sleep(time.Second)
		if c := w.Current(); c == nil || c.RoutesVersion != 500 {
			t.Fatalf("catalog %+v, want version 500", c)
		}
		f.update(func() { f.unresponsive["a"], f.indexByAddress["b"], f.indexByAddress["c"] = true, 300, 300 })
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if c := w.Current(); c.RoutesVersion < 500 || c.Index < 500 {
				t.Fatalf("view went back to version %d, index %d", c.RoutesVersion, c.Index)
			}
		}
		if w.IsFresh() {
			t.Error("view is fresh although only lagging replicas respond")
		}
	})
}

// TestChangeAppliesWithinWait checks that a change at the replicas reaches the
// gateway within the wait time of a sync.
func TestChangeAppliesWithinWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicasAt(10)
		w := startWatcher(t, f)
		time.Sleep(3500 * time.Millisecond)
		f.update(func() { f.indexByAddress["a"] = 11 })
		time.Sleep(1100 * time.Millisecond)
		if got := w.Current().RoutesVersion; got != 11 {
			t.Errorf("version %d after 1.1 s, want 11", got)
		}
	})
}

// TestStaleness checks whether the view of a gateway stays fresh when replicas
// stop responding or have no leader.
func TestStaleness(t *testing.T) {
	tests := []struct {
		name      string
		fail      func(f *fakeReplicas)
		wantFresh bool
	}{
		{"no failure", func(*fakeReplicas) {}, true},
		{"one replica unresponsive", func(f *fakeReplicas) { f.unresponsive["a"] = true }, true},
		{"two replicas unresponsive, a leader", func(f *fakeReplicas) { f.unresponsive["a"], f.unresponsive["b"] = true, true }, true},
		{"all unresponsive", func(f *fakeReplicas) {
			f.unresponsive["a"], f.unresponsive["b"], f.unresponsive["c"] = true, true, true
		}, false},
		{"no leader, all at the same index", func(f *fakeReplicas) { f.hasLeader = false }, true},
		{"no leader, one unresponsive", func(f *fakeReplicas) { f.hasLeader, f.unresponsive["a"] = false, true }, true},
		{"no leader, two unresponsive", func(f *fakeReplicas) { f.hasLeader, f.unresponsive["a"], f.unresponsive["b"] = false, true, true }, false},
		{"no leader, one holds a newer entry", func(f *fakeReplicas) { f.hasLeader, f.lastViewIndex["a"] = false, 11 }, true},
		{"no leader, two hold a newer entry", func(f *fakeReplicas) { f.hasLeader, f.lastViewIndex["a"], f.lastViewIndex["b"] = false, 11, 11 }, false},
		{"no leader, one unresponsive, one holds a newer entry", func(f *fakeReplicas) { f.hasLeader, f.unresponsive["a"], f.lastViewIndex["b"] = false, true, 11 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// The failure occurs at different points of the watcher's wait.
			for phase := time.Duration(0); phase < time.Second; phase += 90 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					f := replicasAt(10)
					w := startWatcher(t, f)
					time.Sleep(2 * time.Second)
					if !w.IsFresh() || !w.HasGrantLease() {
						t.Fatal("view not fresh, or no lease, before the failure")
					}
					time.Sleep(phase)
					f.update(func() { tt.fail(f) })
					// A view expected to stay fresh is checked throughout. One
					// expected to become stale is checked after the last
					// confirmation has expired.
					if !tt.wantFresh {
						time.Sleep(DefaultStaleAfter + time.Second)
					}
					fresh := 0
					const polls = 160
					for range polls {
						time.Sleep(100 * time.Millisecond)
						if w.IsFresh() {
							fresh++
						}
					}
					if tt.wantFresh && fresh != polls || !tt.wantFresh && fresh != 0 {
						t.Errorf("phase %v: fresh at %d of %d polls, want fresh: %v", phase, fresh, polls, tt.wantFresh)
					}
				})
			}
		})
	}
}

// TestRestartWithoutLeader checks that a newly started gateway has no view in
// force until a leader has confirmed one, regardless of the tips of replicas
// without a leader.
func TestRestartWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicasAt(10)
		f.hasLeader = false
		w := startWatcher(t, f)
		time.Sleep(time.Minute)
		if w.IsFresh() || w.Current() != nil {
			t.Error("gateway has a view that no leader confirmed")
		}
		f.update(func() { f.hasLeader = true })
		time.Sleep(time.Second)
		if !w.IsFresh() {
			t.Error("view not fresh 1 s after a leader was elected")
		}
	})
}

// Guards against a gateway that exits before the leader knows that its slots are free.
func TestSlotsWereHeldAfterTheirRelease(t *testing.T) {
	for _, test := range []struct {
		name  string
		grant carobrock.Grant
		want  bool
	}{
		{"granted", carobrock.Grant{Slots: 4, HeldSlots: 4}, true},
		{"lowered, not confirmed", carobrock.Grant{HeldSlots: 4}, true},
		{"confirmed", carobrock.Grant{}, false},
	} {
		m := newViewState()
		test.grant.Upstream = "u"
		m.applyDelta(&carobrock.View{
			Workers: []carobrock.Worker{{Name: "w", Services: []carobrock.Service{{Pool: "p", Address: "u", Slots: 4}}}},
			Grants:  &carobrock.GrantTable{Version: 1, Rows: []carobrock.Grant{test.grant}},
		}, 1, true)
		if got := m.buildCatalog().HoldsSlots(); got != test.want {
			t.Errorf("%s: HoldsSlots = %t, want %t", test.name, got, test.want)
		}
	}
}
