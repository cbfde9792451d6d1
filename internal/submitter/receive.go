package submitter

import (
	"context"
	"errors"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// partTimeout bounds a call for a part of the configuration, including the search for
	// the leader.
	partTimeout = 2 * time.Second
	// transferStallTimeout is the time without a new part after which a transfer ends. A
	// transfer that makes progress takes as long as the link needs.
	transferStallTimeout = 5 * time.Second
)

// watch waits for a newer configuration. It returns nil if there is none.
func (s *Submitter) watch(ctx context.Context, timeout time.Duration) (*carobrock.Configuration, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	control, ok := s.Control.(carobrock.TransferWatcher)
	if !ok {
		return s.Control.WatchConfiguration(callCtx, s.currentVersion())
	}
	version, base := s.currentVersion(), s.currentConfiguration()
	if s.isTransferLost {
		base = nil
	}
	c, transfer, err := control.WatchTransfer(callCtx, version, base)
	if transfer != nil {
		c, err = s.receive(ctx, transfer)
	}
	s.isTransferLost = errors.Is(err, carobrock.ErrTransferLost)
	if s.isTransferLost {
		s.countTransfer(0, 1)
	}
	return c, err
}

// receive fetches the parts of a newer configuration.
func (s *Submitter) receive(ctx context.Context, t carobrock.ConfigurationTransfer) (*carobrock.Configuration, error) {
	for progressAt := time.Now(); ; {
		partCtx, cancel := context.WithTimeout(ctx, partTimeout)
		c, err := t.Next(partCtx)
		cancel()
		switch {
		case err == nil:
			s.countTransfer(1, 0)
			progressAt = time.Now()
			if c != nil {
				return c, nil
			}
		case errors.Is(err, carobrock.ErrTransferLost) || ctx.Err() != nil:
			return nil, err
		case time.Since(progressAt) >= transferStallTimeout:
			s.countTransfer(0, 1)
			return nil, err
		default:
			s.recordWatchFailure(err)
			_ = sleeper.Sleep(ctx, watchRetryDelay) // the next call fails if ctx has ended
		}
	}
}

// countTransfer counts parts that were fetched and transfers that start again.
func (s *Submitter) countTransfer(parts, restarts int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches.parts += parts
	s.watches.restarts += restarts
}
