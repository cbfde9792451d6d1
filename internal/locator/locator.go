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
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/sleeper"
)

const (
	// CodeNotLeader is the error code of a replica that does not lead. The error
	// text is the leader's address, empty if the replica does not know it.
	CodeNotLeader = "notLeader"
	// codeOutcomeUnknown is the error code of a leader that cannot tell whether a
	// change was made.
	codeOutcomeUnknown = "undecided"
	// attemptTimeout limits one attempt on one replica. One second also counts as
	// slow in the replication protocol of the group.
	attemptTimeout = time.Second
	// retryInterval is the pause after an attempt that failed without naming a
	// leader.
	retryInterval = 30 * time.Millisecond
	// maxKnownAddresses limits the number of remembered addresses.
	maxKnownAddresses = 32
)

// Locator finds the leader and forwards calls to it. The exported fields must be
// set before the first call. It is safe for concurrent use.
type Locator struct {
	// RPCClient sends calls to the replicas.
	RPCClient carobrock.RPCClient
	// Logger receives the log lines.
	Logger zerolog.Logger

	mu             sync.Mutex
	seeds          []string
	knownAddresses []string // members first, then seeds, then older addresses; tried in this order
	leader         string
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
// the given attempt.
func (l *Locator) nextAddress(attempt int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return l.leader
	}
	if len(l.knownAddresses) == 0 {
		return ""
	}
	return l.knownAddresses[attempt%len(l.knownAddresses)]
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

// forgetLeader clears the leader if it is still address.
func (l *Locator) forgetLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leader = ""
	}
}

// Call sends an idempotent call to the leader and retries until a leader
// answers or ctx is done. It fails with carobrock.ErrNotApplied if no replica
// can have executed the call, else with carobrock.ErrOutcomeUnknown or the
// leader's own error.
func (l *Locator) Call(ctx context.Context, method string, body []byte) ([]byte, error) {
	outcomeUnknown := false
	lastErr := error(carobrock.ErrNotApplied)
	for i := 0; ctx.Err() == nil; i++ {
		address := l.nextAddress(i)
		if address == "" {
			return nil, eris.Wrap(carobrock.ErrNotApplied, "no replica address is known")
		}
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		answer, err := l.RPCClient.Call(attemptCtx, address, method, body)
		cancel()
		if err == nil {
			l.setLeader(address)
			return answer, nil
		}
		lastErr = err
		if l.handleFailure(address, err, &outcomeUnknown) {
			continue
		}
		if isFinal(err) {
			return nil, err
		}
		_ = sleeper.Sleep(ctx, retryInterval) // the loop condition checks ctx
	}
	if outcomeUnknown {
		return nil, eris.Wrap(carobrock.ErrOutcomeUnknown, lastErr.Error())
	}
	return nil, eris.Wrap(carobrock.ErrNotApplied, lastErr.Error())
}

// handleFailure updates the leader after a failed attempt, sets outcomeUnknown
// if the call may have been executed, and reports whether the replica named
// another one that can be tried at once.
func (l *Locator) handleFailure(address string, err error, outcomeUnknown *bool) bool {
	var remote *messenger.RemoteError
	if !errors.As(err, &remote) {
		*outcomeUnknown = *outcomeUnknown || !errors.Is(err, messenger.ErrNotSent)
		l.forgetLeader(address)
		return false
	}
	switch remote.Code {
	case codeOutcomeUnknown:
		*outcomeUnknown = true
		l.forgetLeader(address)
	case CodeNotLeader:
		l.forgetLeader(address)
		if remote.Text != "" && remote.Text != address {
			l.setLeader(remote.Text)
			return true
		}
	}
	return false
}

// isFinal reports whether err is an answer of the leader itself, after which the
// call is not retried.
func isFinal(err error) bool {
	var remote *messenger.RemoteError
	return errors.As(err, &remote) && remote.Code != CodeNotLeader && remote.Code != codeOutcomeUnknown
}
