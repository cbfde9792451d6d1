package bookkeeper

import (
	"sync"

	"github.com/carobrock/carobrock"
)

// JobSummary is what is needed to answer a question for a job's state.
type JobSummary struct {
	// Queue is the key of the job's queue.
	Queue string
	// Account is the client account of the job, empty if it has none.
	Account string
	// State is the state of the job.
	State carobrock.JobState
}

// IsAccessibleTo reports whether a caller with the given client account, empty if it
// has none, may refer to the job.
func (j JobSummary) IsAccessibleTo(account string) bool {
	return account == "" || j.Account == "" || j.Account == account
}

// summaries holds the summaries of all jobs beside the state. Its lock is held only for
// a look-up or for the changes of one command, so that reads do not wait for a placement
// round or a snapshot, which hold the mutex of the state.
type summaries struct {
	mu   sync.RWMutex
	jobs map[string]JobSummary // by job ID
	// pending counts the jobs without assigned tasks by the key of their queue. Queues
	// without such jobs have no element.
	pending map[string]int
	// queues are those of the state. A new configuration replaces the map.
	queues map[string]*carobrock.Queue
}

// update takes over what changed since the last call. The caller holds the mutex of s.
func (x *summaries) update(s *State) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.queues = s.queues
	for _, id := range s.changedJobs {
		x.set(s, id)
	}
	s.changedJobs = s.changedJobs[:0]
}

// replace takes over all jobs of a restored state. The caller holds the mutex of s.
func (x *summaries) replace(s *State) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.jobs, x.pending, x.queues = make(map[string]JobSummary, len(s.Jobs)), map[string]int{}, s.queues
	for id := range s.Jobs {
		x.set(s, id)
	}
	s.changedJobs = nil
}

// set takes over a job, which may be unknown by now. The caller holds x.mu.
func (x *summaries) set(s *State, id string) {
	if old, ok := x.jobs[id]; ok && old.State == carobrock.JobPending {
		if x.pending[old.Queue]--; x.pending[old.Queue] == 0 {
			delete(x.pending, old.Queue)
		}
	}
	j := s.Jobs[id]
	if j == nil {
		delete(x.jobs, id)
		return
	}
	x.jobs[id] = j.summary()
	if j.State == carobrock.JobPending {
		x.pending[j.Spec.Queue]++
	}
}

// JobSummary returns the summary of a job, false if the job is unknown. It includes
// all commands that were applied before the call, and does not wait for View or
// Snapshot.
func (m *StateMachine) JobSummary(id string) (JobSummary, bool) {
	m.summaries.mu.RLock()
	defer m.summaries.mu.RUnlock()
	j, ok := m.summaries.jobs[id]
	return j, ok
}

// PendingJobs returns the number of jobs without assigned tasks in a queue, like
// JobSummary.
func (m *StateMachine) PendingJobs(queue string) int {
	m.summaries.mu.RLock()
	defer m.summaries.mu.RUnlock()
	return m.summaries.pending[queue]
}

// HasQueue reports whether the configuration in force has a queue with the given key,
// like JobSummary.
func (m *StateMachine) HasQueue(key string) bool {
	m.summaries.mu.RLock()
	defer m.summaries.mu.RUnlock()
	return m.summaries.queues[key] != nil
}

// MayStore reports whether a job may be stored: it is stored already, or the
// configuration in force has its queue.
func (m *StateMachine) MayStore(id, queue string) bool {
	m.summaries.mu.RLock()
	defer m.summaries.mu.RUnlock()
	_, isStored := m.summaries.jobs[id]
	return isStored || m.summaries.queues[queue] != nil
}
