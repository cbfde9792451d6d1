package logger

import "time"

// Limits of a LineLimiter.
const (
	// MaxLines is the number of lines that are admitted in each LinePeriod.
	MaxLines   = 5
	LinePeriod = time.Second
)

// LineLimiter limits the log lines of one cause, so that clients cannot fill the log.
// Its zero value is ready for use. It is not safe for concurrent use.
type LineLimiter struct {
	periodStart time.Time
	lines       int // in the period
	suppressed  int
}

// Admit reports whether a line may be logged, and counts it as suppressed otherwise.
func (l *LineLimiter) Admit(now time.Time) bool {
	if now.Sub(l.periodStart) >= LinePeriod {
		l.periodStart, l.lines = now, 0
	}
	if l.lines >= MaxLines {
		l.suppressed++
		return false
	}
	l.lines++
	return true
}

// TakeSuppressed returns the number of lines that were suppressed since the last call.
func (l *LineLimiter) TakeSuppressed() int {
	n := l.suppressed
	l.suppressed = 0
	return n
}

// TakeSuppressedAfterPeriod is TakeSuppressed if the period has ended, and returns zero
// otherwise. It serves to log the number in case that no further line follows.
func (l *LineLimiter) TakeSuppressedAfterPeriod(now time.Time) int {
	if now.Sub(l.periodStart) < LinePeriod {
		return 0
	}
	return l.TakeSuppressed()
}
