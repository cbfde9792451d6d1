// Package sleeper provides a sleep that a context can interrupt.
package sleeper

import (
	"context"
	"time"
)

// Sleep pauses for d and returns nil, or returns the error of ctx as soon as ctx
// ends.
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
