package submitter

import "github.com/carobrock/carobrock"

// RequestLimits returns the limits of callers' requests in the current configuration,
// zero if there is none.
func (s *Submitter) RequestLimits() carobrock.RequestLimits {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return carobrock.RequestLimits{}
	}
	return s.current.Limits
}
