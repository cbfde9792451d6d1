package locator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/logger"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// CodeNotLeader is the error code of a replica that is not the leader. The
	// error text is the leader's address, empty if the replica does not know
	// it.
	CodeNotLeader = "notLeader"
	// codeOutcomeUnknown is the error code of a call whose outcome is unknown.
	codeOutcomeUnknown = "undecided"
	// codeRefused is the error code of an invalid call.
	codeRefused = "refused"
	// codeConflict is the error code of a change that is based on an earlier version.
	codeConflict = "conflict"
	// codeNotFound is the error code of a call for a queue that does not exist.
	codeNotFound = "notFound"
	// codeOverloaded is the error code of a job that was refused for lack of capacity.
	// The error text is the delay before the next attempt in milliseconds.
	codeOverloaded = "overloaded"
	// attemptTimeout is the timeout of one attempt on one replica. It equals
	// the default election timeout, the minimum time after which the replicas
	// elect another leader if the leader does not respond.
	attemptTimeout = time.Second
	// retryInterval is the delay after a failed attempt that did not yield the
	// address of the leader.
	retryInterval = 30 * time.Millisecond
	// avoidTime is how long a replica that did not respond is not tried again if
	// others are known, even if one of them names it as the leader: they notice the
	// loss of a leader within about the same time.
	avoidTime = 500 * time.Millisecond
	// maxKnownAddresses limits the number of remembered addresses.
	maxKnownAddresses = 32
)

// Locator finds the leader and forwards calls to it. The exported fields must be
// set before the first call. It is safe for concurrent use.
type Locator struct {
	// RPCClient sends calls to the replicas.
	RPCClient carobrock.RPCClient
	Logger    zerolog.Logger

	mu             sync.Mutex
	seeds          []string
	knownAddresses []string // members first, then seeds, then older addresses; tried in this order
	leader         string
	// avoidUntil holds the times until which replicas that did not respond are
	// avoided, by address.
	avoidUntil map[string]time.Time
	avoidLog   logger.LineLimiter
	counts     Counts
}

// Counts is a snapshot of the counters of a Locator.
type Counts struct {
	// Calls counts the calls to the leader, Failed those of them that ended without a
	// response of it.
	Calls  int64 `json:"calls"`
	Failed int64 `json:"failed"`
	// Attempts counts the attempts at replicas, Unanswered those without a response.
	Attempts   int64 `json:"attempts"`
	Unanswered int64 `json:"unanswered"`
	// Leader is the address of the leader, empty if it is not known. Avoided counts how
	// often a replica was avoided because it had not responded.
	Leader  string `json:"leader"`
	Avoided int64  `json:"avoided"`
}

// Counts returns the current values of the counters.
func (l *Locator) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Leader = l.leader
	return c
}

// countCall counts a call with its attempts.
func (l *Locator) countCall(attempts int64, isAnswered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Calls++
	l.counts.Attempts += attempts
	if !isAnswered {
		l.counts.Failed++
	}
}

// SetSeeds replaces the configured seed addresses.
func (l *Locator) SetSeeds(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(addresses)
	l.mergeAddresses(nil)
}

// AddMembers adds the addresses of the current members, which are tried first.
func (l *Locator) AddMembers(members []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeAddresses(members)
}

// AddLeader adds the address of a replica that reports that it leads. It becomes
// the leader if none is known.
func (l *Locator) AddLeader(address string) {
	l.AddMembers([]string{address})
	if l.Leader() == "" {
		l.adoptLeader(address)
	}
}

// mergeAddresses moves members and seeds to the front of the known addresses. It
// keeps the older addresses after them in case both are out of date.
func (l *Locator) mergeAddresses(members []string) {
	var out []string
	for _, list := range [][]string{members, l.seeds, l.knownAddresses} {
		for _, a := range list {
			if a != "" && !slices.Contains(out, a) && len(out) < maxKnownAddresses {
				out = append(out, a)
			}
		}
	}
	l.knownAddresses = out
}

// KnownAddresses returns the known addresses in the order in which they are
// tried.
func (l *Locator) KnownAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.knownAddresses)
}

// Leader returns the leader's address, empty if none is known.
func (l *Locator) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// nextAddress returns the leader's address if it is known, else the address for
// the given attempt among those that are not avoided.
func (l *Locator) nextAddress(attempt int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return l.leader
	}
	if len(l.knownAddresses) == 0 {
		return ""
	}
	now := time.Now()
	var candidates []string
	for _, a := range l.knownAddresses {
		if !now.Before(l.avoidUntil[a]) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		candidates = l.knownAddresses
	}
	return candidates[attempt%len(candidates)]
}

func (l *Locator) setLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		return
	}
	l.Logger.Info().Str("leader", address).Str("before", l.leader).Msg("locator: leader changed")
	l.leader = address
}

// avoid marks a replica that did not respond to a call of the given duration.
func (l *Locator) avoid(address, method string, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.counts.Unanswered++
	if !now.Before(l.avoidUntil[address]) {
		l.counts.Avoided++
		if l.avoidLog.Admit(now) {
			l.Logger.Warn().Str("replica", address).Str("method", method).Dur("took", took).Err(err).Int("suppressed", l.avoidLog.TakeSuppressed()).
				Msg("locator: replica did not respond and is avoided")
		}
	}
	for a, until := range l.avoidUntil {
		if now.After(until) {
			delete(l.avoidUntil, a)
		}
	}
	if l.avoidUntil == nil {
		l.avoidUntil = map[string]time.Time{}
	}
	l.avoidUntil[address] = now.Add(avoidTime)
}

// adoptLeader sets the leader that a replica has named and reports whether it did.
// It ignores an empty address and that of a replica that is avoided.
func (l *Locator) adoptLeader(address string) bool {
	l.mu.Lock()
	isAvoided := time.Now().Before(l.avoidUntil[address])
	l.mu.Unlock()
	if address == "" || isAvoided {
		return false
	}
	l.setLeader(address)
	return true
}

// forgetLeader clears the leader if it is still address.
func (l *Locator) forgetLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leader = ""
	}
}

// Call sends an idempotent call to the leader and retries until the leader
// responds or ctx ends. It returns an error that wraps carobrock.ErrNotApplied
// if no replica can have executed the call, and otherwise one that wraps
// carobrock.ErrOutcomeUnknown, or the leader's own error.
func (l *Locator) Call(ctx context.Context, method string, body []byte) ([]byte, error) {
	outcomeUnknown, isAnswered := false, false
	lastErr := error(carobrock.ErrNotApplied)
	attempts := int64(0)
	defer func() { l.countCall(attempts, isAnswered) }()
	for i := 0; ctx.Err() == nil; i++ {
		address := l.nextAddress(i)
		if address == "" {
			return nil, eris.Wrap(carobrock.ErrNotApplied, "no replica address is known")
		}
		attempts++
		began := time.Now()
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		response, err := l.RPCClient.Call(attemptCtx, address, method, body)
		cancel()
		if err == nil {
			isAnswered = true
			l.setLeader(address)
			return response, nil
		}
		lastErr = err
		if l.updateLeaderAfterError(address, method, err, time.Since(began), &outcomeUnknown) {
			continue
		}
		if isFinal(err) {
			isAnswered = true
			if outcomeUnknown && isRefusal(err) {
				// An earlier attempt may still be executed.
				return nil, eris.Wrap(carobrock.ErrOutcomeUnknown, err.Error())
			}
			return nil, err
		}
		_ = sleeper.Sleep(ctx, retryInterval) // the loop condition checks ctx
	}
	if outcomeUnknown {
		return nil, eris.Wrap(carobrock.ErrOutcomeUnknown, lastErr.Error())
	}
	return nil, eris.Wrap(carobrock.ErrNotApplied, lastErr.Error())
}

// updateLeaderAfterError updates the leader after a failed attempt of the given
// duration, sets outcomeUnknown if the call may have been executed, and reports whether the
// response contains the address of another replica, to which the call can be
// sent without a delay.
func (l *Locator) updateLeaderAfterError(address, method string, err error, took time.Duration, outcomeUnknown *bool) bool {
	var remote *messenger.RemoteError
	if !errors.As(err, &remote) {
		*outcomeUnknown = *outcomeUnknown || !errors.Is(err, messenger.ErrNotSent)
		l.forgetLeader(address)
		l.avoid(address, method, err, took)
		return false
	}
	switch remote.Code {
	case codeOutcomeUnknown:
		*outcomeUnknown = true
		l.forgetLeader(address)
	case CodeNotLeader:
		l.forgetLeader(address)
		return remote.Text != address && l.adoptLeader(remote.Text)
	}
	return false
}

// isRefusal reports whether err is a RemoteError of a valid call that was not executed.
func isRefusal(err error) bool {
	var remote *messenger.RemoteError
	return errors.As(err, &remote) && (remote.Code == codeOverloaded || remote.Code == codeNotFound)
}

// isFinal reports whether err is a RemoteError after which the call must not be
// retried, that is, one with any code except CodeNotLeader and
// codeOutcomeUnknown.
func isFinal(err error) bool {
	var remote *messenger.RemoteError
	return errors.As(err, &remote) && remote.Code != CodeNotLeader && remote.Code != codeOutcomeUnknown
}
