package recruiter

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/sleeper"
)

// MemberWatcher keeps a locator's list of members up to date until ctx ends.
type MemberWatcher struct {
	// RPCClient sends calls to the replicas.
	RPCClient carobrock.RPCClient
	// Locator is the locator to update.
	Locator *locator.Locator
	// Interval is the time between requests. If zero, it is 2 s.
	Interval time.Duration
}

// defaultWatchInterval is well below the time in which all members can be
// replaced one after another, so that at least one known address still belongs
// to a member at the next request.
const defaultWatchInterval = 2 * time.Second

// Run asks the known replicas in turn for the members of the group until ctx
// ends.
func (w *MemberWatcher) Run(ctx context.Context) error {
	interval := w.Interval
	if interval == 0 {
		interval = defaultWatchInterval
	}
	for i := 0; ; i++ {
		if known := w.Locator.KnownAddresses(); len(known) > 0 {
			w.updateMembers(ctx, known[i%len(known)])
		}
		if sleeper.Sleep(ctx, interval) != nil {
			return nil
		}
	}
}

func (w *MemberWatcher) updateMembers(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, err := w.RPCClient.Call(ctx, address, MethodMembers, nil)
	if err != nil {
		return // the next request goes to another replica
	}
	response := &membersResponse{}
	if cbor.Unmarshal(data, response) == nil {
		w.Locator.AddMembers(response.Members)
	}
}
