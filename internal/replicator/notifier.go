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

func (n *appliedNotifier) initialize() { n.changed = make(chan struct{}) }

// setApplied records that index is applied and wakes the waiting goroutines.
func (n *appliedNotifier) setApplied(index uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if index <= n.applied {
		return
	}
	n.applied = index
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *appliedNotifier) nextChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// waitApplied returns when index is applied, or with the context's error.
func (n *appliedNotifier) waitApplied(ctx context.Context, index uint64) error {
	for {
		n.mu.Lock()
		applied, changed := n.applied, n.changed
		n.mu.Unlock()
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
