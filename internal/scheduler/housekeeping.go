package scheduler

import (
	"context"
	"time"

	"github.com/carobrock/carobrock"
)

const (
	// housekeepingInterval is the time between housekeeping runs.
	housekeepingInterval = time.Minute
	// DefaultKeyRetention is how long idempotency keys are kept by default.
	DefaultKeyRetention = 24 * time.Hour
)

// runHousekeeping removes workers that have been silent for silentWorkerTimeout
// and idempotency keys whose retention has ended, at most once per
// housekeepingInterval.
func (s *Scheduler) runHousekeeping(ctx context.Context, now time.Time) error {
	if now.Sub(s.lastHousekeeping) < housekeepingInterval {
		return nil
	}
	s.lastHousekeeping = now
	if names := s.silentWorkers(now); len(names) > 0 {
		s.Logger.Info().Strs("workers", names).Msg("scheduler: removing silent workers")
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

// silentWorkers returns the names of the workers that have not announced
// themselves for silentWorkerTimeout. The state machine keeps those that may
// still hold an attempt.
func (s *Scheduler) silentWorkers(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, w := range s.Keeper.Workers() {
		if s.tracker.isExpired(workerIncarnation{w.Name, w.Incarnation}, now, silentWorkerTimeout) {
			names = append(names, w.Name)
		}
	}
	return names
}
