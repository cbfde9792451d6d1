package submitter

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
}

// Status returns the present status of the configuration.
func (s *Submitter) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return Status{Version: -1}
	}
	return Status{
		Version: s.current.Version, AgeMillis: (s.now() - s.confirmedAt).Milliseconds(),
		Fresh: s.isFresh(), KeysFresh: s.confirmedWithin(s.keyFreshness()),
		RequiresKeys: s.current.RequiresKeys, Queues: len(s.current.Queues), Accounts: len(s.current.Accounts),
	}
}
