package replicator

import (
	"context"
	"sync"
)

// appliedWatch tells goroutines how far the state machine has applied.
type appliedWatch struct {
	mu      sync.Mutex
	applied uint64
	changed chan struct{}
}

func (w *appliedWatch) init() { w.changed = make(chan struct{}) }

// advance notes that index is applied.
func (w *appliedWatch) advance(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if index <= w.applied {
		return
	}
	w.applied = index
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *appliedWatch) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// wait returns when index is applied, or with the context's error.
func (w *appliedWatch) wait(ctx context.Context, index uint64) error {
	for {
		w.mu.Lock()
		applied, changed := w.applied, w.changed
		w.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
