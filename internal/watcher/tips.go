package watcher

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
)

// tipTimeout is the timeout of a request to one replica.
const tipTimeout = 500 * time.Millisecond

// confirmWithoutLeader extends the confirmation of the view and the lease of
// the grants while there is no leader, both to StaleAfter after its requests
// were sent. It does so if a majority of the voters know no leader and hold no
// log entry, committed or not, that is newer than the view and could change it.
// An entry is committed only when a majority of the voters hold it. Two
// majorities have at least one replica in common, so no such entry was
// committed when the requests were sent.
func (w *Watcher) confirmWithoutLeader(ctx context.Context) {
	if w.confirmedAt.Load() == nil {
		return
	}
	sent := time.Now()
	tips := make([]*encoder.TipAnswer, len(w.Replicas))
	group := conc.NewWaitGroup()
	for i, address := range w.Replicas {
		group.Go(func() { tips[i] = w.fetchTip(ctx, address) })
	}
	group.Wait()
	confirming := map[uint64]bool{}
	voters := 0
	for _, tip := range tips {
		if tip == nil || !tip.GetVoter() {
			continue
		}
		voters = max(voters, int(tip.GetVoters()))
		if !tip.GetHasLeader() && tip.GetLastViewIndex() <= w.view.index {
			confirming[tip.GetMember()] = true
		}
	}
	if voters > 0 && len(confirming) > voters/2 {
		w.recordConfirmation(sent, w.StaleAfter)
		w.Logger.Info().Int("replicas", len(confirming)).Msg("watcher: no leader; a majority of the replicas confirmed the view")
	}
}

// fetchTip returns a replica's report on the end of its log, or nil if it
// cannot be obtained.
func (w *Watcher) fetchTip(ctx context.Context, address string) *encoder.TipAnswer {
	ctx, cancel := context.WithTimeout(ctx, tipTimeout)
	defer cancel()
	data, err := w.RPCClient.Call(ctx, address, MethodTip, nil)
	if err != nil {
		return nil
	}
	tip := &encoder.TipAnswer{}
	if proto.Unmarshal(data, tip) != nil {
		return nil
	}
	return tip
}
