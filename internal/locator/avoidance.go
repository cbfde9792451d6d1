package locator

import (
	"context"
	"errors"
	"time"

	"github.com/carobrock/carobrock/internal/messenger"
)

// avoidance says until when a replica that did not respond is not tried if others are
// known. If it was silent, it is not the leader either, even if others name it.
type avoidance struct {
	until    time.Time
	isSilent bool
}

// recordAnswer records that a replica has completed a call.
func (l *Locator) recordAnswer(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leaderAnswered = time.Now()
	}
	if l.suspect == address {
		l.suspect = ""
	}
}

// timeoutFor returns the timeout of an attempt on a replica.
func (l *Locator) timeoutFor(address string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspect == address {
		return silenceTime
	}
	return attemptTimeout
}

// checkSilence records the replica as suspect if the error of an attempt on it shows that
// it has been silent for suspectTime.
func (l *Locator) checkSilence(address string, err error) {
	var noResponse *messenger.NoResponseError
	if !errors.As(err, &noResponse) || noResponse.Silence < suspectTime {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect = address
}

// isSilent reports whether an attempt with context ctx and the given duration, which
// ended without a response, shows that the replica is frozen, stopped or cut off. An
// attempt that ended because its time was short or its caller has gone shows this only if
// the replica has been silent for silenceTime.
func isSilent(ctx context.Context, err error, took time.Duration) bool {
	var noResponse *messenger.NoResponseError
	if errors.As(err, &noResponse) {
		return !noResponse.IsConnected || noResponse.Silence >= silenceTime
	}
	return !isCutShort(ctx) || took >= silenceTime
}

// isCutShort reports whether an attempt with context ctx has just ended because its time
// was over or its caller had gone.
func isCutShort(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(deadline) < deadlineTolerance
}

// leave makes the following calls avoid a replica that did not respond to a call of the
// given duration. If the replica is the leader and was not silent, it is kept if it has
// completed another call within silenceTime.
func (l *Locator) leave(address, method string, err error, took time.Duration, isSilent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.leader == address {
		if !isSilent && (now.Sub(l.leaderAnswered) < silenceTime || now.Sub(l.leaderNamed) < silenceTime) {
			return
		}
		l.leader = ""
	}
	if !now.Before(l.avoided[address].until) {
		l.counts.Avoided++
		if l.avoidLog.Admit(now) {
			l.Logger.Warn().Str("replica", address).Str("method", method).Dur("took", took).Err(err).Bool("silent", isSilent).
				Int("suppressed", l.avoidLog.TakeSuppressed()).Msg("locator: replica did not respond and is avoided")
		}
	}
	for a, avoided := range l.avoided {
		if now.After(avoided.until) {
			delete(l.avoided, a)
		}
	}
	if l.avoided == nil {
		l.avoided = map[string]avoidance{}
	}
	l.avoided[address] = avoidance{until: now.Add(avoidTime), isSilent: isSilent}
}

// hasLeaderAnsweredSince reports whether the known leader has completed a call after t.
func (l *Locator) hasLeaderAnsweredSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader != "" && l.leaderAnswered.After(t)
}
