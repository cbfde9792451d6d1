package watcher

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
)

// tipTimeout bounds the question to one replica.
const tipTimeout = 500 * time.Millisecond

// askTips extends the confirmation while there is no leader. If a majority of
// the voters see no leader and hold no entry, committed or not, that could
// change the view, then nothing newer has been accepted up to the moment of
// asking: whatever is accepted is held by a majority, and the two majorities
// have a replica in common.
func (w *Watcher) askTips(ctx context.Context) {
	if w.confirmed.Load() == nil {
		return
	}
	sent := time.Now()
	tips := make([]*encoder.TipAnswer, len(w.Replicas))
	group := conc.NewWaitGroup()
	for i, address := range w.Replicas {
		group.Go(func() { tips[i] = w.askTip(ctx, address) })
	}
	group.Wait()
	agreed := map[uint64]bool{}
	voters := 0
	for _, tip := range tips {
		if tip == nil || !tip.GetVoter() {
			continue
		}
		voters = max(voters, int(tip.GetVoters()))
		if !tip.GetHasLeader() && tip.GetLastViewIndex() <= w.model.index {
			agreed[tip.GetMember()] = true
		}
	}
	if voters > 0 && len(agreed) > voters/2 {
		w.confirm(sent, w.StaleAfter)
		w.Logger.Info().Int("replicas", len(agreed)).Msg("watcher: no leader, nothing newer accepted, serving on")
	}
}

func (w *Watcher) askTip(ctx context.Context, address string) *encoder.TipAnswer {
	ctx, cancel := context.WithTimeout(ctx, tipTimeout)
	defer cancel()
	data, err := w.Caller.Call(ctx, address, MethodTip, nil)
	if err != nil {
		return nil
	}
	tip := &encoder.TipAnswer{}
	if proto.Unmarshal(data, tip) != nil {
		return nil
	}
	return tip
}
