package submitter

import (
	"errors"
	"time"

	"github.com/carobrock/carobrock"
)

const (
	// DefaultKeyFreshness is the default of Submitter.KeyFreshness.
	DefaultKeyFreshness = 3 * time.Second
	// pollsPerKeyFreshness is the number of polls within KeyFreshness. A response
	// confirms the configuration as of the start of its poll, so that a confirmation
	// reaches an age of two polls and two round trips before the next one. With three
	// polls a sixth of KeyFreshness is left for a round trip.
	pollsPerKeyFreshness = 3
	// minPoll is the shortest poll. It limits the load on the leader.
	minPoll = 20 * time.Millisecond
	// maxPoll is the longest poll.
	maxPoll = carobrock.WatchTimeoutMillis * time.Millisecond
)

// Errors of Authenticate. The call was not forwarded.
var (
	// ErrMissingKey reports that a call which requires a key has none.
	ErrMissingKey = errors.New("submitter: the call has no key")
	// ErrUnknownKey reports that the key belongs to no client account.
	ErrUnknownKey = errors.New("submitter: the key belongs to no client account")
	// ErrStaleKeys reports that the configuration was not confirmed recently enough to
	// tell whether the key is valid.
	ErrStaleKeys = errors.New("submitter: the configuration was not confirmed recently enough to check a key")
)

// Caller is an authenticated caller of a queue. Its key is checked again in each call
// on its behalf.
type Caller struct {
	queue  string
	hasKey bool
	digest carobrock.KeyDigest
}

// keyTable holds what is needed to check the keys of calls.
type keyTable struct {
	required     bool
	publicQueues map[string]bool                // by key of the queue
	accounts     map[carobrock.KeyDigest]string // names of the accounts
}

func newKeyTable(c *carobrock.Configuration) *keyTable {
	t := &keyTable{required: c.RequiresKeys, publicQueues: map[string]bool{}, accounts: map[carobrock.KeyDigest]string{}}
	for i := range c.Queues {
		if q := &c.Queues[i]; q.Public {
			t.publicQueues[q.Key()] = true
		}
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, d := range a.KeyDigests {
			t.accounts[d] = a.Name
		}
	}
	return t
}

// Authenticate returns the caller of a queue with the given key, which is empty if the
// call has none. It fails with ErrMissingKey, ErrUnknownKey or ErrStaleKeys.
func (s *Submitter) Authenticate(queue *carobrock.Queue, key string) (Caller, error) {
	c := Caller{queue: queue.Key()}
	if key != "" {
		c.hasKey, c.digest = true, carobrock.DigestKey(key)
	}
	_, err := s.authorize(c)
	return c, err
}

// authorize returns the client account of c, empty if it has none, by the current
// configuration. It fails like Authenticate.
func (s *Submitter) authorize(c Caller) (account string, err error) {
	account, err = s.lookUpAccount(c)
	if err != nil {
		s.refusals.record(err, c.queue, s.Logger)
	}
	return account, err
}

// lookUpAccount is authorize without a record of the refusal.
func (s *Submitter) lookUpAccount(c Caller) (account string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		return "", ErrStaleKeys
	}
	if !s.keys.required {
		return "", nil
	}
	isFresh := s.confirmedWithin(s.keyFreshness())
	account, isKnown := s.keys.accounts[c.digest]
	isKnown = isKnown && c.hasKey
	if s.keys.publicQueues[c.queue] {
		// Calls are served whatever their key, and without one. All jobs of the queue
		// can be read and cancelled by any caller.
		if isKnown && isFresh {
			return account, nil
		}
		return "", nil
	}
	switch {
	case !c.hasKey:
		return "", ErrMissingKey
	case !isFresh:
		return "", ErrStaleKeys
	case !isKnown:
		return "", ErrUnknownKey
	}
	return account, nil
}

// reauthorize checks after a read on behalf of c as account whether its result may be
// returned. It fails with ErrUnknownKey or ErrStaleKeys.
func (s *Submitter) reauthorize(c Caller, account string) error {
	if account == "" {
		return nil // the read required no key
	}
	current, err := s.authorize(c)
	if err == nil && current != "" && current != account {
		// The key was moved to another account during the read.
		err = ErrStaleKeys
		s.refusals.record(err, c.queue, s.Logger)
	}
	return err
}

// keyFreshness returns KeyFreshness or its default.
func (s *Submitter) keyFreshness() time.Duration {
	if s.KeyFreshness == 0 {
		return DefaultKeyFreshness
	}
	return s.KeyFreshness
}

// poll returns how long a watch call waits for a newer configuration.
func (s *Submitter) poll() time.Duration {
	return min(max(s.keyFreshness()/pollsPerKeyFreshness, minPoll), maxPoll)
}
