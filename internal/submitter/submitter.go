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
	// DefaultStaleAfter is how long without word from a leader a gateway counts
	// as up to date: the time that a cut-off node may take to notice, as the
	// users' rules on configuration have it.
	DefaultStaleAfter = 3 * time.Second
	// giveUpAfter is how long a call waits for a leader to be found. A caller
	// that is told to come back reaches another gateway meanwhile.
	giveUpAfter = time.Second
	// answerMargin is left of a caller's deadline for the answer.
	answerMargin = 100 * time.Millisecond
	// watchTimeout bounds one watch call: its wait, and what a slow answer takes.
	watchTimeout = 2 * time.Second
	// watchPause is the time between watch calls that fail.
	watchPause = 50 * time.Millisecond
)

// Submitter passes requests on jobs to the leader. Its fields are set before
// Run and not changed after.
type Submitter struct {
	// Control reaches the leader.
	Control carobrock.JobControl
	// StaleAfter is how long without word from a leader the configuration counts
	// as up to date. Zero: DefaultStaleAfter.
	StaleAfter time.Duration
	// Logger takes the log.
	Logger zerolog.Logger

	mu        sync.Mutex
	current   *carobrock.Configuration
	confirmed time.Time
	draining  bool
}

// Run keeps the configuration up to date until ctx ends.
func (s *Submitter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := time.Now()
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		c, err := s.Control.WatchConfiguration(call, s.version())
		cancel()
		if err != nil {
			s.Logger.Debug().Err(err).Msg("submitter: no word from a leader")
			_ = sleeper.Sleep(ctx, watchPause) // the loop looks at ctx itself
			continue
		}
		s.adopt(c, asked)
	}
	return nil
}

// adopt takes a configuration, nil if there is none newer. Versions never go
// back. The answer proves what was in force when it was asked for.
func (s *Submitter) adopt(c *carobrock.Configuration, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = asked
	if c == nil || s.current != nil && c.Version <= s.current.Version {
		return
	}
	s.current = c
	s.Logger.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("submitter: configuration in force")
}

func (s *Submitter) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return -1
	}
	return s.current.Version
}

// isFresh reports whether the configuration is up to date. The caller holds
// s.mu.
func (s *Submitter) isFresh() bool {
	after := s.StaleAfter
	if after == 0 {
		after = DefaultStaleAfter
	}
	return s.current != nil && time.Since(s.confirmed) < after
}

// Drain makes IsReady return false from now on.
func (s *Submitter) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// IsReady reports whether the gateway should get new connections.
func (s *Submitter) IsReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining && s.isFresh()
}

// Errors of Match.
var (
	// ErrNoQueue reports that no queue takes the request.
	ErrNoQueue = errors.New("submitter: no queue takes the request")
	// ErrStale reports that the configuration may be out of date.
	ErrStale = errors.New("submitter: the configuration may be out of date")
)

// Match returns the queue with the longest path prefix for a request and what
// follows the prefix in the path. It fails with ErrNoQueue, or with ErrStale if
// a newer configuration might have such a queue.
func (s *Submitter) Match(host, path string) (*carobrock.Queue, string, error) {
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

// within returns a context for one call of a caller that waits for wait at most.
func within(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	limit := giveUpAfter
	if wait > 0 && wait-answerMargin < limit {
		limit = max(wait-answerMargin, answerMargin)
	}
	return context.WithTimeout(ctx, limit)
}

// Submit stores a job. It fails with carobrock.ErrNotDone or
// carobrock.ErrUndecided.
func (s *Submitter) Submit(ctx context.Context, spec *carobrock.JobSpec, wait time.Duration) (bool, error) {
	ctx, cancel := within(ctx, wait)
	defer cancel()
	return s.Control.Submit(ctx, spec)
}

// Cancel ends a job, like Submit.
func (s *Submitter) Cancel(ctx context.Context, key carobrock.JobKey, wait time.Duration) (bool, error) {
	ctx, cancel := within(ctx, wait)
	defer cancel()
	return s.Control.Cancel(ctx, key)
}

// JobState returns a job's state, like Submit.
func (s *Submitter) JobState(ctx context.Context, key carobrock.JobKey, wait time.Duration) (carobrock.JobState, error) {
	ctx, cancel := within(ctx, wait)
	defer cancel()
	return s.Control.JobState(ctx, key)
}

// PendingJobs counts the jobs of a queue that wait, like Submit.
func (s *Submitter) PendingJobs(ctx context.Context, queue string, wait time.Duration) (int, error) {
	ctx, cancel := within(ctx, wait)
	defer cancel()
	return s.Control.PendingJobs(ctx, queue)
}
