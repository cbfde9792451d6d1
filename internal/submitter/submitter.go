package submitter

import (
	"context"
	"errors"
	"net"
	"strings"
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
	// watchTimeout bounds one watch call: carobrock.WatchTimeoutMillis and the
	// time for a slow response.
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
	// Logger receives log messages.
	Logger zerolog.Logger

	mu          sync.Mutex
	current     *carobrock.Configuration
	confirmedAt time.Time
	draining    bool
}

// Run keeps the configuration up to date until ctx ends.
func (s *Submitter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		calledAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
		c, err := s.Control.WatchConfiguration(callCtx, s.currentVersion())
		cancel()
		if err != nil {
			s.Logger.Debug().Err(err).Msg("submitter: watch of the configuration failed")
			_ = sleeper.Sleep(ctx, watchRetryDelay) // the loop checks ctx
			continue
		}
		s.applyConfiguration(c, calledAt)
	}
	return nil
}

// applyConfiguration applies the response to a watch call that was sent at calledAt. c
// is nil if there is no newer configuration; a version that is not newer is ignored.
// The response confirms the configuration as of calledAt, not as of its arrival.
func (s *Submitter) applyConfiguration(c *carobrock.Configuration, calledAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = calledAt
	if c == nil || s.current != nil && c.Version <= s.current.Version {
		return
	}
	s.current = c
	s.Logger.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("submitter: configuration applied")
}

// currentVersion returns the version of the current configuration, -1 if there is
// none.
func (s *Submitter) currentVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return -1
	}
	return s.current.Version
}

// isFresh reports whether the configuration was confirmed within StaleAfter. The
// caller holds s.mu.
func (s *Submitter) isFresh() bool {
	staleAfter := s.StaleAfter
	if staleAfter == 0 {
		staleAfter = DefaultStaleAfter
	}
	return s.current != nil && time.Since(s.confirmedAt) < staleAfter
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
	var found *carobrock.Queue
	for i := range s.current.Queues {
		q := &s.current.Queues[i]
		if strings.HasPrefix(path, q.PathPrefix) && strings.EqualFold(q.Host, host) &&
			(found == nil || len(q.PathPrefix) > len(found.PathPrefix)) {
			found = q
		}
	}
	if found != nil {
		return found, path[len(found.PathPrefix):], nil
	}
	if !s.isFresh() {
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

// SubmitJob submits a job to the leader, which stores it. It returns false if the ID
// belongs to a job of another queue. It fails with carobrock.ErrNotApplied or
// carobrock.ErrOutcomeUnknown.
func (s *Submitter) SubmitJob(ctx context.Context, spec *carobrock.JobSpec, wait time.Duration) (bool, error) {
	ctx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	return s.Control.SubmitJob(ctx, spec)
}

// CancelJob has the leader cancel a job. It returns false if there is no such job.
// Its errors are those of SubmitJob.
func (s *Submitter) CancelJob(ctx context.Context, q carobrock.JobQuery, wait time.Duration) (bool, error) {
	ctx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	return s.Control.CancelJob(ctx, q)
}

// JobState returns a job's state, empty if there is no such job. Its errors are
// those of SubmitJob.
func (s *Submitter) JobState(ctx context.Context, q carobrock.JobQuery, wait time.Duration) (carobrock.JobState, error) {
	ctx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	return s.Control.JobState(ctx, q)
}

// PendingJobs returns the number of jobs in a queue that have no started task. Its
// errors are those of SubmitJob.
func (s *Submitter) PendingJobs(ctx context.Context, queue string, wait time.Duration) (int, error) {
	ctx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	return s.Control.PendingJobs(ctx, queue)
}
