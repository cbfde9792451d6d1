package submitter

import "time"

// Status describes the gateway's copy of the configuration. It contains no keys.
type Status struct {
	// Version is the version of the copy, -1 if there is none.
	Version int64 `json:"version"`
	// AgeMillis is the time since the copy was last confirmed, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
	// Fresh is set if IsReady does not fail for the age of the copy, KeysFresh if calls
	// that require a key are accepted.
	Fresh     bool `json:"fresh"`
	KeysFresh bool `json:"keysFresh"`
	// RequiresKeys is set if calls on queues that are not public require a key.
	RequiresKeys bool `json:"requiresKeys"`
	Queues       int  `json:"queues"`
	Accounts     int  `json:"accounts"`
	// FailedWatches counts the failed watch calls since the start, FailedInARow those
	// since the last confirmation. LastError is the error of the last of them, empty if
	// none has failed.
	FailedWatches int64  `json:"failedWatches"`
	FailedInARow  int64  `json:"failedInARow"`
	LastError     string `json:"lastError,omitempty"`
	// Parts counts the parts of configurations that were fetched after the first one of
	// each, Restarts the transfers that had to start again.
	Parts    int64 `json:"parts"`
	Restarts int64 `json:"restarts"`
}

// Status returns the present status of the configuration.
func (s *Submitter) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Version: -1, FailedWatches: s.watches.failed, FailedInARow: s.watches.inARow, LastError: s.watches.lastError, Parts: s.watches.parts, Restarts: s.watches.restarts}
	if s.current == nil {
		return status
	}
	status.Version, status.AgeMillis = s.current.Version, (s.now() - s.confirmedAt).Milliseconds()
	status.Fresh, status.KeysFresh = s.isFresh(), s.confirmedWithin(s.keyFreshness())
	status.RequiresKeys, status.Queues, status.Accounts = s.current.RequiresKeys, len(s.current.Queues), len(s.current.Accounts)
	return status
}

// watchCounts counts the failed watch calls and the parts of configurations.
type watchCounts struct {
	parts, restarts int64
	failed, inARow  int64
	lastError       string
	loggedAt        time.Time
}

// watchLogInterval is the minimum time between two log lines about failed watch calls.
const watchLogInterval = 2 * time.Second

// recordWatchFailure counts a failed watch call and logs it, unless another one was
// logged less than watchLogInterval ago.
func (s *Submitter) recordWatchFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches.failed++
	s.watches.inARow++
	s.watches.lastError = err.Error()
	now := time.Now()
	if now.Sub(s.watches.loggedAt) < watchLogInterval {
		return
	}
	s.watches.loggedAt = now
	event := s.Logger.Warn().Err(err).Int64("failedInARow", s.watches.inARow)
	if s.current != nil {
		event.Int64("version", s.current.Version).Dur("age", s.now()-s.confirmedAt)
	}
	event.Msg("submitter: watch of the configuration failed")
}

// recordWatchSuccess records that a watch call has confirmed the configuration. The
// caller holds s.mu.
func (s *Submitter) recordWatchSuccess() { s.watches.inARow = 0 }
