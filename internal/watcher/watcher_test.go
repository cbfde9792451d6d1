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

// fakeReplicas answers as control replicas would, each from its own index.
type fakeReplicas struct {
	mu       sync.Mutex
	index    map[string]uint64
	silent   map[string]bool
	leader   bool
	lastView map[string]uint64 // of tips; index if not set
	asked    int
}

func (f *fakeReplicas) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	f.mu.Lock()
	index, silent, leader := f.index[address], f.silent[address], f.leader
	lastView, ok := f.lastView[address]
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

func (f *fakeReplicas) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func startWatcher(t *testing.T, f *fakeReplicas) *Watcher {
	t.Helper()
	w := &Watcher{Gateway: "g", Replicas: []string{"a", "b", "c"}, Caller: f, Logger: zerolog.Nop()}
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

func allAt(index uint64) *fakeReplicas {
	return &fakeReplicas{
		index: map[string]uint64{"a": index, "b": index, "c": index}, silent: map[string]bool{}, leader: true, lastView: map[string]uint64{},
	}
}

// TestNeverGoesBack moves the watcher to a replica that lags.
func TestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := allAt(500)
		w := startWatcher(t, f)
		time.Sleep(time.Second)
		if c := w.Current(); c == nil || c.RoutesVersion != 500 {
			t.Fatalf("catalog %+v, want version 500", c)
		}
		f.set(func() { f.silent["a"], f.index["b"], f.index["c"] = true, 300, 300 })
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if c := w.Current(); c.RoutesVersion < 500 || c.Index < 500 {
				t.Fatalf("went back to version %d, index %d", c.RoutesVersion, c.Index)
			}
		}
		if w.IsFresh() {
			t.Error("fresh by the word of replicas that are behind")
		}
	})
}

// TestNewChangeIsInForceSoon counts the time from a change at the replicas to
// the gateway.
func TestNewChangeIsInForceSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := allAt(10)
		w := startWatcher(t, f)
		time.Sleep(3500 * time.Millisecond)
		f.set(func() { f.index["a"] = 11 })
		time.Sleep(1100 * time.Millisecond)
		if got := w.Current().RoutesVersion; got != 11 {
			t.Errorf("version %d after 1.1 s, want 11", got)
		}
	})
}

// TestStaleness: what a gateway may serve when replicas fall silent or have no
// leader.
func TestStaleness(t *testing.T) {
	tests := []struct {
		name      string
		change    func(f *fakeReplicas)
		wantFresh bool
	}{
		{"nothing", func(*fakeReplicas) {}, true},
		{"one replica silent", func(f *fakeReplicas) { f.silent["a"] = true }, true},
		{"two replicas silent, a leader", func(f *fakeReplicas) { f.silent["a"], f.silent["b"] = true, true }, true},
		{"all silent", func(f *fakeReplicas) { f.silent["a"], f.silent["b"], f.silent["c"] = true, true, true }, false},
		{"no leader, all have the same", func(f *fakeReplicas) { f.leader = false }, true},
		{"no leader, one silent", func(f *fakeReplicas) { f.leader, f.silent["a"] = false, true }, true},
		{"no leader, two silent", func(f *fakeReplicas) { f.leader, f.silent["a"], f.silent["b"] = false, true, true }, false},
		{"no leader, one holds a newer entry", func(f *fakeReplicas) { f.leader, f.lastView["a"] = false, 11 }, true},
		{"no leader, two hold a newer entry", func(f *fakeReplicas) { f.leader, f.lastView["a"], f.lastView["b"] = false, 11, 11 }, false},
		{"no leader, one silent, one newer", func(f *fakeReplicas) { f.leader, f.silent["a"], f.lastView["b"] = false, true, 11 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// The change comes at several moments of the gateway's poll.
			for phase := time.Duration(0); phase < time.Second; phase += 90 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					f := allAt(10)
					w := startWatcher(t, f)
					time.Sleep(2 * time.Second)
					if !w.IsFresh() || !w.HoldsGrants() {
						t.Fatal("not fresh while all is well")
					}
					time.Sleep(phase)
					f.set(func() { tt.change(f) })
					// What must stay fresh must do so all along; what must not is
					// looked at once the last confirmation has run out.
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

// A gateway that was just started serves nothing until a leader has confirmed
// its view, whatever replicas without a leader say.
func TestRestartWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := allAt(10)
		f.leader = false
		w := startWatcher(t, f)
		time.Sleep(time.Minute)
		if w.IsFresh() || w.Current() != nil {
			t.Error("serves without a confirmed view")
		}
		f.set(func() { f.leader = true })
		time.Sleep(time.Second)
		if !w.IsFresh() {
			t.Error("not fresh 1 s after a leader came")
		}
	})
}
