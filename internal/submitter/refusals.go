package submitter

import (
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock/internal/logger"
)

// refusalCauses lists the causes for which calls are refused, with their names in the
// log and in the counters.
var refusalCauses = [...]struct {
	name string
	err  error
}{
	{"unknownKey", ErrUnknownKey},
	{"staleCopy", ErrStaleKeys},
	{"missingKey", ErrMissingKey},
}

// refusals counts and logs refused calls by cause. Its zero value is ready for use.
type refusals struct {
	counts [len(refusalCauses)]expvar.Int

	mu   sync.Mutex
	logs [len(refusalCauses)]logger.LineLimiter
}

// record counts a call on a queue that is refused with err, and logs it unless
// too many others of that cause were logged.
func (r *refusals) record(err error, queue string, log zerolog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, cause := range refusalCauses {
		if !errors.Is(err, cause.err) {
			continue
		}
		r.counts[i].Add(1)
		if l := &r.logs[i]; l.Admit(time.Now()) {
			log.Warn().Str("cause", cause.name).Str("queue", queue).Int("suppressed", l.TakeSuppressed()).Msg("submitter: call refused")
		}
		return
	}
}

// logSuppressed logs how many refusals were suppressed in a period that has ended, in
// case that no further one follows.
func (r *refusals) logSuppressed(log zerolog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, cause := range refusalCauses {
		if n := r.logs[i].TakeSuppressedAfterPeriod(time.Now()); n > 0 {
			log.Warn().Str("cause", cause.name).Int("suppressed", n).Msg("submitter: further calls refused")
		}
	}
}

// RefusedCalls returns the number of calls refused since the start, by cause.
func (s *Submitter) RefusedCalls() map[string]int64 {
	out := map[string]int64{}
	for i, cause := range refusalCauses {
		out[cause.name] = s.refusals.counts[i].Value()
	}
	return out
}
