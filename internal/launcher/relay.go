package launcher

import (
	"context"
	"net"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/limiter"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/recruiter"
	"github.com/carobrock/carobrock/internal/replicator"
)

// JobRelay carries the calls of callers, workers and operators to the leader. It
// runs on a VM without a disk and has no replica.
type JobRelay struct {
	// Control forwards calls to the leader.
	Control carobrock.JobControl

	messenger     *messenger.Messenger
	locator       *locator.Locator
	memberWatcher *recruiter.MemberWatcher
}

// NewJobRelay opens the peer listener of a relay. It fails with ErrSettings.
func NewJobRelay(s *NodeSettings, logger zerolog.Logger) (*JobRelay, error) {
	peerListener, err := listen("peer address", s.PeerAddress)
	if err != nil {
		return nil, err
	}
	ms := &messenger.Messenger{Listener: peerListener, Limits: limiter.Derive(s.MemoryMB, s.MaxDescriptors).Peers, Logger: logger}
	leaderLocator := &locator.Locator{RPCClient: ms, Logger: logger}
	leaderLocator.SetSeeds(s.Seeds)
	self := &encoder.Member{Name: s.Name, Address: s.PeerAddress}
	ms.Handlers = locator.NotLeaderHandlers(leaderLocator)
	ms.Handlers[recruiter.MethodAnnounce] = recruiter.AnnounceHandler(leaderLocator)
	ms.OnMessage = func(m *encoder.Message) { replicator.AnswerProbeWithoutReplica(ms, self, m) }
	ms.Prepare()
	return &JobRelay{
		Control: leaderLocator, messenger: ms, locator: leaderLocator, memberWatcher: &recruiter.MemberWatcher{RPCClient: ms, Locator: leaderLocator},
	}, nil
}

// LeaderHost returns the host on which the leader runs, empty if it is not known.
func (j *JobRelay) LeaderHost() string {
	host, _, err := net.SplitHostPort(j.locator.Leader())
	if err != nil {
		return "" // no leader is known
	}
	return host
}

// LeaderCalls returns the counters of the calls to the leader.
func (j *JobRelay) LeaderCalls() locator.Counts { return j.locator.Counts() }

// SetSeeds replaces the peer addresses at which the relay looks for the group.
func (j *JobRelay) SetSeeds(seeds []string) { j.locator.SetSeeds(seeds) }

// Run runs the relay until ctx ends.
func (j *JobRelay) Run(ctx context.Context) error {
	components := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	components.Go(j.messenger.Run)
	components.Go(j.memberWatcher.Run)
	return components.Wait()
}
