package dispatcher

import (
	"testing"
	"time"
)

// latenessAt models a leader that handles at most capacity heartbeats a second, one
// from each worker in each period, as a queue with one server: timers fire later
// the closer it is to its capacity.
func latenessAt(workers int, capacity float64, period time.Duration) time.Duration {
	if use := float64(workers) / period.Seconds() / capacity; use < 0.99 {
		return time.Duration(use / (1 - use) * float64(time.Millisecond))
	}
	return 200 * time.Millisecond
}

func TestRhythmFollowsLoad(t *testing.T) {
	const capacity = 4000 // heartbeats a second
	for _, test := range []struct {
		name     string
		workers  int
		min, max time.Duration
	}{
		{"idle", 48, minPeriod, minPeriod},
		{"busy", 350, minPeriod, minPeriod},
		{"overloaded", 800, 220 * time.Millisecond, 500 * time.Millisecond},
		{"far too many workers", 10000, maxPeriod, maxPeriod},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &rhythm{}
			for range 300 {
				for range 40 {
					r.observe(latenessAt(test.workers, capacity, r.currentPeriod()))
				}
				r.adjust()
			}
			if got := r.currentPeriod(); got < test.min || got > test.max {
				t.Errorf("period %v, want between %v and %v", got, test.min, test.max)
			}
			for range 300 {
				r.observe(0)
				r.adjust()
			}
			if got := r.currentPeriod(); got != minPeriod {
				t.Errorf("period %v after the load has gone, want %v", got, minPeriod)
			}
		})
	}
}
