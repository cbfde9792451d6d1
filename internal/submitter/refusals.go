package submitter

import (
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// loggedRefusals is the number of refusals of one cause that are logged in each
	// refusalLogPeriod. Callers choose how many refusals there are.
	loggedRefusals   = 5
	refusalLogPeriod = time.Second
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
	logs [len(refusalCauses)]refusalLog
}

// refusalLog bounds the log lines of one cause.
type refusalLog struct {
	periodStart time.Time
	written     int // lines in the period
	suppressed  int // refusals since the last line that were not logged
}

// record counts a call on a queue that is refused with err, and logs it unless
// loggedRefusals others of that cause were logged in the period.
func (r *refusals) record(err error, queue string, logger zerolog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, cause := range refusalCauses {
		if !errors.Is(err, cause.err) {
			continue
		}
		r.counts[i].Add(1)
		l := &r.logs[i]
		if now := time.Now(); now.Sub(l.periodStart) >= refusalLogPeriod {
			l.periodStart, l.written = now, 0
		}
		if l.written == loggedRefusals {
			l.suppressed++
			return
		}
		l.written++
		logger.Warn().Str("cause", cause.name).Str("queue", queue).Int("suppressed", l.suppressed).Msg("submitter: call refused")
		l.suppressed = 0
	}
}

// logSuppressed logs how many refusals were suppressed in a period that has ended, in
// case that no further one follows.
func (r *refusals) logSuppressed(logger zerolog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, cause := range refusalCauses {
		l := &r.logs[i]
		if l.suppressed > 0 && time.Since(l.periodStart) >= refusalLogPeriod {
			logger.Warn().Str("cause", cause.name).Int("suppressed", l.suppressed).Msg("submitter: further calls refused")
			l.suppressed = 0
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
