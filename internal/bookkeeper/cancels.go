package bookkeeper

import "github.com/carobrock/carobrock"

// EarlyCancel is a cancellation of a job that was not known then.
type EarlyCancel struct {
	// Key identifies the job.
	Key carobrock.JobKey `cbor:"1,keyasint"`
	// AtUnixMillis is when it was recorded, in milliseconds since 1970.
	AtUnixMillis int64 `cbor:"2,keyasint"`
}

// maxEarlyCancels bounds the memory for cancellations of unknown jobs. The oldest
// ones are dropped.
const maxEarlyCancels = 10_000

// recordEarlyCancel records the cancellation of an unknown job for the retention time
// of ended jobs.
func (s *State) recordEarlyCancel(k carobrock.JobKey, atMillis int64) {
	if s.earlyCancelled[k] {
		return
	}
	s.EarlyCancels = append(s.EarlyCancels, EarlyCancel{Key: k, AtUnixMillis: atMillis})
	s.earlyCancelled[k] = true
	s.dropEarlyCancels(len(s.EarlyCancels) - maxEarlyCancels)
}

// deleteExpiredEarlyCancels deletes the cancellations of unknown jobs that were
// recorded before a time in milliseconds since 1970.
func (s *State) deleteExpiredEarlyCancels(beforeMillis int64) {
	n := 0
	for n < len(s.EarlyCancels) && s.EarlyCancels[n].AtUnixMillis < beforeMillis {
		n++
	}
	s.dropEarlyCancels(n)
}

// dropEarlyCancels deletes the n oldest cancellations of unknown jobs.
func (s *State) dropEarlyCancels(n int) {
	if n <= 0 {
		return
	}
	for _, c := range s.EarlyCancels[:n] {
		delete(s.earlyCancelled, c.Key)
	}
	s.EarlyCancels = s.EarlyCancels[n:]
}
