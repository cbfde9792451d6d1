package replicator

import (
	"context"
	"sync"
)

// appliedNotifier tells goroutines up to which index the state machine has
// applied entries.
type appliedNotifier struct {
	mu      sync.Mutex
	applied uint64
	changed chan struct{}
}

func (w *appliedNotifier) initialize() { w.changed = make(chan struct{}) }

// setApplied records that index is applied and wakes the waiting goroutines.
func (w *appliedNotifier) setApplied(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if index <= w.applied {
		return
	}
	w.applied = index
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *appliedNotifier) nextChange() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// waitApplied returns when index is applied, or with the context's error.
func (w *appliedNotifier) waitApplied(ctx context.Context, index uint64) error {
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
