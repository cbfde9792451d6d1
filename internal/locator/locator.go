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
	// CodeNotLeader is the error of a replica that does not lead; the text is
	// the leader's address, if the replica knows it.
	CodeNotLeader = "notLeader"
	// codeUndecided is the error of a leader that cannot tell whether a change
	// was made.
	codeUndecided = "undecided"
	// tryTimeout bounds one attempt at one replica: a second passes for slow in
	// the group's own protocol.
	tryTimeout = time.Second
	// retryPause is the time between rounds over the replicas.
	retryPause = 30 * time.Millisecond
	// maxKnown bounds the addresses that are remembered.
	maxKnown = 32
)

// Locator finds the leader. Its fields are set before the first call.
type Locator struct {
	// Caller reaches the replicas.
	Caller carobrock.Caller
	// Logger takes the log.
	Logger zerolog.Logger

	mu     sync.Mutex
	seeds  []string
	known  []string // members and seeds, tried in turn
	leader string
}

// SetSeeds replaces the addresses from the settings.
func (l *Locator) SetSeeds(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(addresses)
	l.merge(nil)
}

// AddMembers takes the addresses of the present members.
func (l *Locator) AddMembers(members []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge(members)
}

// merge puts members and seeds first and keeps what else is known behind them,
// in case both are out of date.
func (l *Locator) merge(members []string) {
	var out []string
	for _, list := range [][]string{members, l.seeds, l.known} {
		for _, a := range list {
			if a != "" && !slices.Contains(out, a) && len(out) < maxKnown {
				out = append(out, a)
			}
		}
	}
	l.known = out
}

// KnownAddresses returns the addresses that are tried.
func (l *Locator) KnownAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.known)
}

// Leader returns the leader's address, empty if none is known.
func (l *Locator) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// next returns the leader if one is known, else the address for try i.
func (l *Locator) next(i int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return l.leader
	}
	if len(l.known) == 0 {
		return ""
	}
	return l.known[i%len(l.known)]
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

// dropLeader forgets the leader if it is still address.
func (l *Locator) dropLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leader = ""
	}
}

// Call carries a repeatable call to the leader until one answers or ctx ends.
// It fails with carobrock.ErrNotDone if no replica can have taken the call, and
// else with carobrock.ErrUndecided or the leader's own error.
func (l *Locator) Call(ctx context.Context, method string, body []byte) ([]byte, error) {
	undecided := false
	last := error(carobrock.ErrNotDone)
	for i := 0; ctx.Err() == nil; i++ {
		address := l.next(i)
		if address == "" {
			return nil, eris.Wrap(carobrock.ErrNotDone, "no replica is known")
		}
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		answer, err := l.Caller.Call(try, address, method, body)
		cancel()
		if err == nil {
			l.setLeader(address)
			return answer, nil
		}
		last = err
		if l.redirect(address, err, &undecided) {
			continue
		}
		if isFinal(err) {
			return nil, err
		}
		_ = sleeper.Sleep(ctx, retryPause) // the loop looks at ctx itself
	}
	if undecided {
		return nil, eris.Wrap(carobrock.ErrUndecided, last.Error())
	}
	return nil, eris.Wrap(carobrock.ErrNotDone, last.Error())
}

// redirect draws the conclusions from a failed try and reports whether another
// replica was named that can be tried at once.
func (l *Locator) redirect(address string, err error, undecided *bool) bool {
	var remote *messenger.RemoteError
	if !errors.As(err, &remote) {
		*undecided = *undecided || !errors.Is(err, messenger.ErrNotSent)
		l.dropLeader(address)
		return false
	}
	switch remote.Code {
	case codeUndecided:
		*undecided = true
		l.dropLeader(address)
	case CodeNotLeader:
		l.dropLeader(address)
		if remote.Text != "" && remote.Text != address {
			l.setLeader(remote.Text)
			return true
		}
	}
	return false
}

// isFinal reports whether err is the leader's own answer.
func isFinal(err error) bool {
	var remote *messenger.RemoteError
	return errors.As(err, &remote) && remote.Code != CodeNotLeader && remote.Code != codeUndecided
}
