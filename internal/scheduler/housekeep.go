package scheduler

import (
	"context"
	"time"

	"github.com/carobrock/carobrock"
)

const (
	// housekeepInterval is the time between rounds of housekeeping.
	housekeepInterval = time.Minute
	// DefaultKeyRetention is how long idempotency keys are kept.
	DefaultKeyRetention = 24 * time.Hour
)

// housekeep drops workers that have been silent for long and keys whose
// retention is over.
func (s *Scheduler) housekeep(ctx context.Context, now time.Time) error {
	if now.Sub(s.housekeptAt) < housekeepInterval {
		return nil
	}
	s.housekeptAt = now
	if names := s.silentWorkers(now); len(names) > 0 {
		s.Logger.Info().Strs("workers", names).Msg("scheduler: silent workers dropped")
		if _, err := s.Proposer.Propose(ctx, &carobrock.Command{DropWorkers: &carobrock.DropWorkers{Names: names}}); err != nil {
			return err
		}
	}
	before := now.Add(-s.KeyRetention).Unix()
	if !s.Keeper.HasKeysBefore(before) {
		return nil
	}
	_, err := s.Proposer.Propose(ctx, &carobrock.Command{ExpireWindow: &carobrock.ExpireWindow{BeforeUnixSec: before}})
	return err
}

// silentWorkers returns the workers that have not announced themselves for
// dropWorkerAfter. The state machine keeps those that may hold an attempt.
func (s *Scheduler) silentWorkers(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, w := range s.Keeper.Workers() {
		if s.roster.isExpired(session{w.Name, w.Incarnation}, now, dropWorkerAfter) {
			names = append(names, w.Name)
		}
	}
	return names
}
