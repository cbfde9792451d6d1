// Package sleeper waits for a time that a context can cut short.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns nil after d, or the context's error as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
