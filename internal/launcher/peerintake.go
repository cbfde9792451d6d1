package launcher

import "github.com/carobrock/carobrock/internal/messenger"

// IntakeCounts returns the counters of the sessions of other processes.
func (j *JobReplica) IntakeCounts() messenger.IntakeCounts { return j.messenger.IntakeCounts() }

// IntakeCounts returns the counters of the sessions of other processes.
func (j *JobRelay) IntakeCounts() messenger.IntakeCounts { return j.messenger.IntakeCounts() }
