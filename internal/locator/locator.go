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
	// others are known. If it was silent, it is not tried even if one of them names it
	// as the leader: they notice the loss of a leader within about the same time.
	avoidTime = 500 * time.Millisecond
	// silenceTime is how long a replica must have sent nothing before it is avoided, and
	// how long a leader that sends something may complete no call before the other
	// replicas are asked for the leader. Processes that are alive send something every
	// 0.25 s.
	silenceTime = 500 * time.Millisecond
	// suspectTime is how long a replica must have sent nothing at the end of a call
	// without a response before later attempts have only silenceTime: a call then has
	// time left for another replica.
	suspectTime = 350 * time.Millisecond
	// deadlineTolerance is how much earlier than the deadline of an attempt the other
	// process may end it: it gets the time in whole milliseconds.
	deadlineTolerance = 2 * time.Millisecond
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
	leaderNamed    time.Time
	leaderAnswered time.Time            // last call that the leader completed, zero if there was none since leaderNamed
	suspect        string               // address of a replica that was silent for suspectTime and has answered no call since, or empty
	avoided        map[string]avoidance // by address
	avoidLog       logger.LineLimiter
	counts         Counts
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
		if !now.Before(l.avoided[a].until) {
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
	l.leaderNamed, l.leaderAnswered = time.Now(), time.Time{}
	l.Logger.Info().Str("leader", address).Str("before", l.leader).Msg("locator: leader changed")
	l.leader = address
}

// adoptLeader sets the leader that a replica has named and reports whether it did.
// It ignores an empty address and that of a replica that was silent.
func (l *Locator) adoptLeader(address string) bool {
	l.mu.Lock()
	a := l.avoided[address]
	isAvoided := a.isSilent && time.Now().Before(a.until)
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
		attemptCtx, cancel := context.WithTimeout(ctx, l.timeoutFor(address))
		response, err := l.RPCClient.Call(attemptCtx, address, method, body)
		if err == nil {
			cancel()
			isAnswered = true
			l.setLeader(address)
			l.recordAnswer(address)
			return response, nil
		}
		lastErr = err
		isRedirected := l.updateLeaderAfterError(attemptCtx, address, method, err, time.Since(began), &outcomeUnknown)
		cancel()
		if isRedirected {
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

// updateLeaderAfterError updates the leader after a failed attempt with context ctx, of the
// given duration, sets outcomeUnknown if the call may have been executed, and reports whether
// another replica is known to be the leader, to which the call can be sent without a delay.
func (l *Locator) updateLeaderAfterError(ctx context.Context, address, method string, err error, took time.Duration, outcomeUnknown *bool) bool {
	var remote *messenger.RemoteError
	if !errors.As(err, &remote) {
		*outcomeUnknown = *outcomeUnknown || !errors.Is(err, messenger.ErrNotSent)
		l.countUnanswered()
		l.checkSilence(address, err)
		if silent := isSilent(ctx, err, took); silent || took >= silenceTime {
			l.leave(address, method, err, took, silent)
		}
		return false
	}
	switch remote.Code {
	case codeOutcomeUnknown:
		*outcomeUnknown = true
		if !isCutShort(ctx) {
			l.forgetLeader(address)
		} else if took >= silenceTime {
			l.leave(address, method, err, took, false)
		}
	case CodeNotLeader:
		l.forgetLeader(address)
		l.recordAnswer(address) // it is not suspect
		if l.hasLeaderAnsweredSince(time.Now().Add(-took)) {
			return true // the response may be older than what is known
		}
		return remote.Text != address && l.adoptLeader(remote.Text)
	default:
		l.recordAnswer(address)
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
