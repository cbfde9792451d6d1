package submitter

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// DefaultStaleAfter is the default of Submitter.StaleAfter. The platform allows a
	// node this time to notice that it is disconnected.
	DefaultStaleAfter = 3 * time.Second
	// callTimeout bounds a call to the leader, including the search for one. A
	// caller that is then refused may succeed at another gateway.
	callTimeout = time.Second
	// responseMargin is the part of a caller's wait reserved for the response.
	responseMargin = 100 * time.Millisecond
	// watchTimeout bounds one watch call that waits for maxPoll, with the time for a
	// slow response.
	watchTimeout = 2 * time.Second
	// watchRetryDelay is the delay after a failed watch call.
	watchRetryDelay = 50 * time.Millisecond
)

// Submitter forwards requests on jobs to the leader. Its exported fields must be set
// before Run and not changed afterwards.
type Submitter struct {
	// Control calls the leader.
	Control carobrock.JobControl
	// StaleAfter is the time since the last confirmation by a leader after which the
	// configuration counts as stale. Zero means DefaultStaleAfter.
	StaleAfter time.Duration
	// AbsenceFreshness is the time since the last confirmation by a leader up to which a
	// queue that the configuration does not have is reported as missing. After it, a
	// newer configuration may have the queue. Zero or more than StaleAfter means
	// StaleAfter.
	AbsenceFreshness time.Duration
	// KeyFreshness is the time since the last confirmation by a leader after which
	// calls that require a key are refused. A revoked key is refused within this time.
	// Zero means DefaultKeyFreshness.
	KeyFreshness time.Duration
	// Uptime returns the time since the machine started, including time in which it
	// was suspended, which time.Now does not count. Nil means that suspension is not
	// detected.
	Uptime func() time.Duration
	// Logger receives log messages.
	Logger zerolog.Logger

	refusals refusals
	// isTransferLost is set if the last watch failed with carobrock.ErrTransferLost. It is
	// used by Run only.
	isTransferLost bool

	mu          sync.Mutex
	current     *carobrock.Configuration
	keys        *keyTable     // of current
	queues      queueIndex    // of current
	confirmedAt time.Duration // on the clock now
	draining    bool
	watches     watchCounts
}

// processStart is the origin of the clock now if there is no Uptime.
var processStart = time.Now()

// now returns the time on a clock that includes time in which the machine was
// suspended, if Uptime is set.
func (s *Submitter) now() time.Duration {
	if s.Uptime == nil {
		return time.Since(processStart)
	}
	return s.Uptime()
}

// Run keeps the configuration up to date until ctx ends.
func (s *Submitter) Run(ctx context.Context) error {
	timeout := s.watchTimeout()
	for ctx.Err() == nil {
		s.refusals.logSuppressed(s.Logger)
		calledAt := s.now()
		c, err := s.watch(ctx, timeout)
		if err != nil {
			s.recordWatchFailure(err)
			// A large configuration, or its first part, may take longer than the timeout of
			// a short poll on a slow link.
			timeout = watchTimeout
			_ = sleeper.Sleep(ctx, watchRetryDelay) // the loop checks ctx
			continue
		}
		timeout = s.watchTimeout()
		s.applyConfiguration(c, calledAt)
	}
	return nil
}

// watchTimeout returns the timeout of a watch call, which selects how long the leader
// waits.
func (s *Submitter) watchTimeout() time.Duration {
	if poll := s.poll(); poll < maxPoll {
		return poll + carobrock.WatchMarginMillis*time.Millisecond
	}
	return watchTimeout
}

// applyConfiguration applies the response to a watch call that was sent at calledAt. c
// is nil if there is no newer configuration; a version that is not newer is ignored.
// The response confirms the configuration as of calledAt, not as of its arrival.
func (s *Submitter) applyConfiguration(c *carobrock.Configuration, calledAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = calledAt
	s.recordWatchSuccess()
	if c == nil || s.current != nil && c.Version <= s.current.Version {
		return
	}
	s.current, s.keys = c, newKeyTable(c)
	s.queues = newQueueIndex(c)
	s.Logger.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Bool("requiresKeys", c.RequiresKeys).Int("accounts", len(c.Accounts)).
		Msg("submitter: configuration applied")
}

// currentVersion returns the version of the current configuration, -1 if there is
// none.
func (s *Submitter) currentVersion() int64 {
	if c := s.currentConfiguration(); c != nil {
		return c.Version
	}
	return -1
}

// currentConfiguration returns the current configuration, nil if there is none.
func (s *Submitter) currentConfiguration() *carobrock.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// isFresh reports whether the configuration was confirmed within StaleAfter. The
// caller holds s.mu.
func (s *Submitter) isFresh() bool {
	staleAfter := s.StaleAfter
	if staleAfter == 0 {
		staleAfter = DefaultStaleAfter
	}
	return s.confirmedWithin(staleAfter)
}

// knowsAllQueues reports whether the configuration was confirmed within StaleAfter and
// AbsenceFreshness. The caller holds s.mu.
func (s *Submitter) knowsAllQueues() bool {
	return s.isFresh() && (s.AbsenceFreshness == 0 || s.confirmedWithin(s.AbsenceFreshness))
}

// confirmedWithin reports whether the configuration was confirmed less than limit ago.
// The caller holds s.mu.
func (s *Submitter) confirmedWithin(limit time.Duration) bool {
	return s.current != nil && s.now()-s.confirmedAt < limit
}

// StartDraining makes IsReady return false from now on.
func (s *Submitter) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// IsReady reports whether the gateway should receive new connections: its
// configuration is fresh and StartDraining was not called.
func (s *Submitter) IsReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining && s.isFresh()
}

// Errors of MatchQueue.
var (
	// ErrNoQueue reports that no queue matches the request.
	ErrNoQueue = errors.New("submitter: no queue matches the request")
	// ErrStale reports that the configuration is missing or stale.
	ErrStale = errors.New("submitter: the configuration is missing or stale")
)

// MatchQueue returns the queue that matches host and has the longest matching path
// prefix, and the rest of the path. It fails with ErrNoQueue if no queue matches, or
// with ErrStale if a newer configuration might have such a queue.
func (s *Submitter) MatchQueue(host, path string) (*carobrock.Queue, string, error) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil, "", ErrStale
	}
	if found := s.queues.match(host, path); found != nil {
		return found, path[len(found.PathPrefix):], nil
	}
	if !s.knowsAllQueues() {
		return nil, "", ErrStale
	}
	return nil, "", ErrNoQueue
}

// withCallTimeout returns the context of one call to the leader for a caller that
// waits for at most wait. Zero means that the caller sets no limit.
func withCallTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	limit := callTimeout
	if wait > 0 && wait-responseMargin < limit {
		limit = max(wait-responseMargin, responseMargin)
	}
	return context.WithTimeout(ctx, limit)
}

// SubmitJob submits a job of caller to the leader, which stores it. It sets the client
// account of spec. It returns false if the ID belongs to a job of another queue or
// account. It fails with carobrock.ErrNotApplied or carobrock.ErrOutcomeUnknown, or like
// Authenticate if the key is not valid any more. The call was then not forwarded.
func (s *Submitter) SubmitJob(ctx context.Context, caller Caller, spec *carobrock.JobSpec, wait time.Duration) (ok bool, err error) {
	ctx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	if spec.Account, err = s.authorize(caller); err != nil {
		return false, err
	}
	return s.Control.SubmitJob(ctx, spec)
}

// CancelJob has the leader cancel a job. It returns false if there is no such job, or
// if it belongs to another account than the caller's. Its errors are those of
// SubmitJob.
func (s *Submitter) CancelJob(ctx context.Context, caller Caller, key carobrock.JobKey, wait time.Duration) (bool, error) {
	ctx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	account, err := s.authorize(caller)
	if err != nil {
		return false, err
	}
	return s.Control.CancelJob(ctx, carobrock.JobQuery{JobKey: key, Account: account})
}

// JobState returns a job's state, empty if there is no such job or if it belongs to
// another account than the caller's. Its errors are those of SubmitJob; those of
// Authenticate may follow a call that was forwarded.
func (s *Submitter) JobState(ctx context.Context, caller Caller, key carobrock.JobKey, wait time.Duration) (carobrock.JobState, error) {
	ctx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	account, err := s.authorize(caller)
	if err != nil {
		return "", err
	}
	state, err := s.Control.JobState(ctx, carobrock.JobQuery{JobKey: key, Account: account})
	if err != nil {
		return "", err
	}
	return state, s.reauthorize(caller, account)
}

// PendingJobs returns the number of jobs in a queue that have no started task. Its
// errors are those of JobState.
func (s *Submitter) PendingJobs(ctx context.Context, caller Caller, wait time.Duration) (int, error) {
	ctx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	account, err := s.authorize(caller)
	if err != nil {
		return 0, err
	}
	n, err := s.Control.PendingJobs(ctx, caller.queue)
	if err != nil {
		return 0, err
	}
	return n, s.reauthorize(caller, account)
}
