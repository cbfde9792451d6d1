package submitter

import (
	"context"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/logger"
	"github.com/carobrock/carobrock/internal/sleeper"
)

// storedVersion is a configuration and the time since the start at which it was stored.
type storedVersion struct {
	at            time.Duration
	configuration *carobrock.Configuration
}

// fakeLeader is a JobControl whose watch calls wait like those of a dispatcher. Its
// clock counts time in which the gateway is suspended.
type fakeLeader struct {
	carobrock.JobControl
	start time.Time

	mu         sync.Mutex
	suspended  time.Duration // time in which the gateway was suspended, which time.Now does not count
	versions   []storedVersion
	nextChange chan struct{}
	cutOff     bool          // calls get no response
	latency    time.Duration // of a call and of a response
	transfer   time.Duration // additional latency of a response with a configuration
	// onRead is called once, after the next read of a job and before its response.
	onRead func()

	submitted []string // accounts of the submitted jobs
	queries   []string // accounts of the reads
}

func newFakeLeader() *fakeLeader {
	return &fakeLeader{start: time.Now(), nextChange: make(chan struct{})}
}

// uptime returns the time since the start, including time in which the gateway was
// suspended.
func (l *fakeLeader) uptime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.start) + l.suspended
}

// suspend suspends the gateway for d, while the leader stores c after half of d if it
// is not nil.
func (l *fakeLeader) suspend(d time.Duration, c *carobrock.Configuration) {
	l.mu.Lock()
	l.suspended += d / 2
	l.mu.Unlock()
	if c != nil {
		l.store(c)
	}
	l.mu.Lock()
	l.suspended += d - d/2
	l.mu.Unlock()
}

// store puts c into force.
func (l *fakeLeader) store(c *carobrock.Configuration) {
	at := l.uptime()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, storedVersion{at, c})
	close(l.nextChange)
	l.nextChange = make(chan struct{})
}

// setCutOff sets whether calls get no response.
func (l *fakeLeader) setCutOff(cutOff bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutOff = cutOff
}

// setLatency sets the latency of calls and responses.
func (l *fakeLeader) setLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = d
}

// travel waits for the latency of a call or a response.
func (l *fakeLeader) travel(ctx context.Context, extra time.Duration) error {
	l.mu.Lock()
	latency, cutOff := l.latency+extra, l.cutOff
	l.mu.Unlock()
	if cutOff {
		<-ctx.Done()
		return ctx.Err()
	}
	return sleeper.Sleep(ctx, latency)
}

// current returns the configuration in force and a channel that is closed at its
// change.
func (l *fakeLeader) current() (*carobrock.Configuration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.versions) == 0 {
		return nil, l.nextChange
	}
	return l.versions[len(l.versions)-1].configuration, l.nextChange
}

func (l *fakeLeader) WatchConfiguration(ctx context.Context, afterVersion int64) (*carobrock.Configuration, error) {
	if err := l.travel(ctx, 0); err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	timer := time.NewTimer(min(carobrock.WatchTimeoutMillis*time.Millisecond, time.Until(deadline)-carobrock.WatchMarginMillis*time.Millisecond))
	defer timer.Stop()
	for {
		c, nextChange := l.current()
		if c != nil && c.Version > afterVersion {
			return c, l.travel(ctx, l.transfer)
		}
		select {
		case <-nextChange:
		case <-timer.C:
			return nil, l.travel(ctx, 0)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *fakeLeader) SubmitJob(_ context.Context, spec *carobrock.JobSpec) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted = append(l.submitted, spec.Account)
	return true, nil
}

func (l *fakeLeader) JobState(_ context.Context, q carobrock.JobQuery) (carobrock.JobState, error) {
	l.mu.Lock()
	l.queries = append(l.queries, q.Account)
	onRead := l.onRead
	l.onRead = nil
	l.mu.Unlock()
	if onRead != nil {
		onRead()
	}
	return carobrock.JobRunning, nil
}

func (l *fakeLeader) PendingJobs(context.Context, string) (int, error) {
	_, err := l.JobState(context.Background(), carobrock.JobQuery{})
	return 1, err
}

// takeSubmitted returns the accounts of the jobs submitted since the last call.
func (l *fakeLeader) takeSubmitted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.submitted
	l.submitted = nil
	return out
}

// withAccounts returns a configuration with a queue, a public queue and accounts, each
// given as its name followed by its keys.
func withAccounts(version int64, accounts ...[]string) *carobrock.Configuration {
	c := newConfiguration(version, "/q/", "/p/")
	c.Queues[1].Public = true
	c.RequiresKeys = true
	for _, a := range accounts {
		account := carobrock.ClientAccount{Name: a[0]}
		for _, key := range a[1:] {
			account.KeyDigests = append(account.KeyDigests, carobrock.DigestKey(key))
		}
		c.Accounts = append(c.Accounts, account)
	}
	return c
}

// gateway is a submitter that runs in a synctest bubble.
type gateway struct {
	*Submitter
	t      *testing.T
	leader *fakeLeader
	log    *strings.Builder
	stop   func()
}

// startGateway starts a submitter whose leader has the given configuration, which the
// gateway has received. The caller must call stop.
func startGateway(t *testing.T, freshness time.Duration, c *carobrock.Configuration) *gateway {
	t.Helper()
	g := &gateway{t: t, leader: newFakeLeader(), log: &strings.Builder{}}
	g.leader.store(c)
	g.Submitter = &Submitter{
		Control: g.leader, KeyFreshness: freshness, Uptime: g.leader.uptime, Logger: zerolog.New(zerolog.SyncWriter(g.log)).Level(zerolog.DebugLevel),
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	group.Go(func() { _ = g.Run(ctx) })
	g.stop = func() {
		cancel()
		group.Wait()
	}
	synctest.Wait()
	return g
}

// authenticate returns the caller of the queue with the given path prefix.
func (g *gateway) authenticate(prefix, key string) (Caller, error) {
	g.t.Helper()
	queue, _, err := g.MatchQueue("h", prefix)
	if err != nil {
		g.t.Fatal(err)
	}
	return g.Authenticate(queue, key)
}

// submit submits a job with the given key and returns its account.
func (g *gateway) submit(prefix, key string) (account string, err error) {
	g.t.Helper()
	caller, err := g.authenticate(prefix, key)
	if err != nil {
		return "", err
	}
	spec := &carobrock.JobSpec{}
	_, err = g.SubmitJob(context.Background(), caller, spec, time.Second)
	return spec.Account, err
}

// wantSubmitError fails the test unless a submission to the queue that requires keys
// fails with want.
func (g *gateway) wantSubmitError(key string, want error) {
	g.t.Helper()
	if _, err := g.submit("/q/", key); !errors.Is(err, want) {
		g.t.Errorf("after %v: error %v, want %v", g.leader.uptime(), err, want)
	}
}

const testFreshness = 3 * time.Second

// Guards against a revoked key that is accepted after the freshness limit, whatever
// keeps the gateway from learning of the revocation.
func TestRevokedKeyIsRefusedWithinTheFreshnessLimit(t *testing.T) {
	before, after := withAccounts(1, []string{"a", "ka", "kb"}), withAccounts(2, []string{"a", "kb"})
	for _, test := range []struct {
		name   string
		revoke func(g *gateway) // returns when the freshness limit has passed since the revocation
		// want is the error thereafter, wantValid that for a key that is still valid.
		want, wantValid error
	}{
		{"connected", func(g *gateway) {
			g.leader.store(after)
			time.Sleep(testFreshness)
		}, ErrUnknownKey, nil},
		{"partitioned", func(g *gateway) {
			g.leader.setCutOff(true)
			g.leader.store(after)
			time.Sleep(testFreshness)
		}, ErrStaleKeys, ErrStaleKeys},
		{"suspended", func(g *gateway) {
			g.leader.suspend(3*testFreshness, after)
		}, ErrStaleKeys, ErrStaleKeys},
		{"slow", func(g *gateway) {
			// No watch call that is sent from now on gets its response in time.
			g.leader.setLatency(watchTimeout)
			g.leader.store(after)
			time.Sleep(testFreshness)
		}, ErrStaleKeys, ErrStaleKeys},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := startGateway(t, testFreshness, before)
				defer g.stop()
				time.Sleep(10 * time.Second)
				g.wantSubmitError("ka", nil)
				test.revoke(g)
				g.wantSubmitError("ka", test.want)
				g.wantSubmitError("kb", test.wantValid)
				g.leader.setCutOff(false)
				g.leader.setLatency(0)
				time.Sleep(2 * watchTimeout)
				g.wantSubmitError("ka", ErrUnknownKey)
				g.wantSubmitError("kb", nil)
				if got := g.leader.takeSubmitted(); len(got) < 2 || len(got) > 3 {
					t.Errorf("%d jobs reached the leader", len(got))
				}
			})
		})
	}
}

// Guards against a gateway that is suspended after it has checked a key and forwards
// the call, or returns the result of a read, after it is resumed.
func TestKeyIsCheckedAgainAfterASuspension(t *testing.T) {
	before, after := withAccounts(1, []string{"a", "ka"}), withAccounts(2, []string{"a", "kb"})
	for _, test := range []struct {
		name string
		call func(g *gateway, c Caller) error
	}{
		{"submission", func(g *gateway, c Caller) error {
			g.leader.suspend(2*testFreshness, after)
			_, err := g.SubmitJob(context.Background(), c, &carobrock.JobSpec{}, time.Second)
			return err
		}},
		{"cancellation", func(g *gateway, c Caller) error {
			g.leader.suspend(2*testFreshness, after)
			_, err := g.CancelJob(context.Background(), c, carobrock.JobKey{}, time.Second) // panics if it is forwarded
			return err
		}},
		{"read of a job", func(g *gateway, c Caller) error {
			g.leader.onRead = func() { g.leader.suspend(2*testFreshness, after) }
			_, err := g.JobState(context.Background(), c, carobrock.JobKey{}, time.Second)
			return err
		}},
		{"read of a queue", func(g *gateway, c Caller) error {
			g.leader.onRead = func() { g.leader.suspend(2*testFreshness, after) }
			_, err := g.PendingJobs(context.Background(), c, time.Second)
			return err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := startGateway(t, testFreshness, before)
				defer g.stop()
				c, err := g.authenticate("/q/", "ka")
				if err != nil {
					t.Fatal(err)
				}
				if err := test.call(g, c); !errors.Is(err, ErrStaleKeys) {
					t.Errorf("error %v, want ErrStaleKeys", err)
				}
				if got := g.leader.takeSubmitted(); len(got) > 0 {
					t.Error("the job reached the leader")
				}
			})
		})
	}
}

// Guards against a final refusal of a new key by a gateway that has not received the
// configuration with it.
func TestNewKeyIsNotUnknownToAStaleCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startGateway(t, testFreshness, withAccounts(1, []string{"a", "ka"}))
		defer g.stop()
		g.wantSubmitError("kb", ErrUnknownKey)
		g.wantSubmitError("", ErrMissingKey)
		g.leader.setCutOff(true)
		g.leader.store(withAccounts(2, []string{"a", "ka", "kb"}))
		time.Sleep(testFreshness)
		g.wantSubmitError("kb", ErrStaleKeys)
		g.wantSubmitError("", ErrMissingKey)
		g.leader.setCutOff(false)
		time.Sleep(2 * watchTimeout)
		g.wantSubmitError("kb", nil)
	})
}

// Guards against a gateway that serves calls before its first response from a leader.
func TestNoKeyIsAcceptedBeforeTheFirstConfirmation(t *testing.T) {
	s := &Submitter{Logger: zerolog.Nop()}
	q := &carobrock.Queue{Host: "h", PathPrefix: "/q/"}
	for _, key := range []string{"", "ka"} {
		if _, err := s.Authenticate(q, key); !errors.Is(err, ErrStaleKeys) {
			t.Errorf("key %q: error %v, want ErrStaleKeys", key, err)
		}
	}
}

// Guards against attributing calls to the previous account of a key that has moved.
func TestMovedKeyBelongsToItsNewAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startGateway(t, testFreshness, withAccounts(1, []string{"a", "ka"}, []string{"b"}))
		defer g.stop()
		caller, err := g.authenticate("/q/", "ka")
		if err != nil {
			t.Fatal(err)
		}
		moved := withAccounts(2, []string{"a"}, []string{"b", "ka"})
		g.leader.onRead = func() {
			g.leader.store(moved)
			time.Sleep(time.Millisecond)
		}
		if _, err := g.JobState(context.Background(), caller, carobrock.JobKey{}, time.Second); !errors.Is(err, ErrStaleKeys) {
			t.Errorf("read for the previous account returned error %v, want ErrStaleKeys", err)
		}
		spec := &carobrock.JobSpec{}
		if _, err := g.SubmitJob(context.Background(), caller, spec, time.Second); err != nil || spec.Account != "b" {
			t.Errorf("account %q, error %v, want b", spec.Account, err)
		}
	})
}

// Guards against refusals on public routes, and against a key that may have been
// revoked and still gives access to an account.
func TestPublicRoutesRequireNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startGateway(t, testFreshness, withAccounts(1, []string{"a", "ka"}))
		defer g.stop()
		check := func(state, key, want string) {
			t.Helper()
			if account, err := g.submit("/p/", key); err != nil || account != want {
				t.Errorf("%s, key %q: account %q, error %v, want %q", state, key, account, err, want)
			}
		}
		check("fresh", "", "")
		check("fresh", "kx", "")
		check("fresh", "ka", "a")
		g.leader.setCutOff(true)
		time.Sleep(testFreshness)
		check("stale", "", "")
		check("stale", "kx", "")
		check("stale", "ka", "")
	})
}

// Guards against keys being required where the configuration lists no accounts, and
// against their not being required by an empty list.
func TestKeysAreRequiredByTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startGateway(t, testFreshness, newConfiguration(1, "/q/"))
		defer g.stop()
		g.wantSubmitError("", nil)
		g.wantSubmitError("ka", nil)
		g.leader.setCutOff(true)
		time.Sleep(2 * testFreshness)
		g.wantSubmitError("", nil)
		g.leader.setCutOff(false)
		g.leader.store(withAccounts(2))
		time.Sleep(2 * watchTimeout)
		g.wantSubmitError("", ErrMissingKey)
		g.wantSubmitError("ka", ErrUnknownKey)
		// A configuration decoded by a build that knows no accounts has none.
		g.leader.store(newConfiguration(3, "/q/"))
		time.Sleep(time.Second)
		g.wantSubmitError("", nil)
		// The operators send the accounts again.
		g.leader.store(withAccounts(4, []string{"a", "ka"}))
		time.Sleep(time.Second)
		g.wantSubmitError("", ErrMissingKey)
		g.wantSubmitError("ka", nil)
	})
}

// Guards against a mixture of two configurations that operators store at the same time
// and that give one key to different accounts.
func TestRacingConfigurationsWithOneKey(t *testing.T) {
	second, third := withAccounts(2, []string{"a", "k"}, []string{"b", "kb"}), withAccounts(3, []string{"b", "k"})
	for _, test := range []struct {
		name  string
		order []*carobrock.Configuration
	}{
		{"in order", []*carobrock.Configuration{second, third}},
		{"the lower version arrives late", []*carobrock.Configuration{third, second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Submitter{Logger: zerolog.Nop()}
			for _, c := range test.order {
				s.applyConfiguration(c, s.now())
			}
			account, err := s.lookUpAccount(Caller{queue: "h/q/", hasKey: true, digest: carobrock.DigestKey("k")})
			if err != nil || account != "b" {
				t.Errorf("account %q, error %v, want b", account, err)
			}
			if _, err := s.lookUpAccount(Caller{queue: "h/q/", hasKey: true, digest: carobrock.DigestKey("kb")}); !errors.Is(err, ErrUnknownKey) {
				t.Errorf("key of the lower version: error %v, want ErrUnknownKey", err)
			}
		})
	}
}

// Guards against a poll that is too slow to renew the confirmation, so that a connected
// gateway refuses valid keys.
func TestPollRenewsTheConfirmation(t *testing.T) {
	for _, test := range []struct {
		freshness, latency time.Duration
	}{
		{600 * time.Millisecond, 0},
		{600 * time.Millisecond, 40 * time.Millisecond},
		{DefaultKeyFreshness, 0},
		{DefaultKeyFreshness, 150 * time.Millisecond},
		{60 * time.Millisecond, 0},
	} {
		t.Run(test.freshness.String()+" "+test.latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := startGateway(t, test.freshness, withAccounts(1, []string{"a", "ka"}))
				defer g.stop()
				g.leader.setLatency(test.latency)
				for range 6000 {
					g.wantSubmitError("ka", nil)
					time.Sleep(10 * time.Millisecond)
				}
				if poll := g.poll(); poll > max(test.freshness/3, minPoll) || poll > 700*time.Millisecond {
					t.Errorf("poll %v", poll)
				}
			})
		})
	}
}

// Guards against a gateway with a short poll that never receives a configuration whose
// transfer takes longer than the timeout of the poll.
func TestLargeConfigurationIsReceivedWithAShortPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startGateway(t, 600*time.Millisecond, withAccounts(1, []string{"a", "ka"}))
		defer g.stop()
		g.leader.mu.Lock()
		g.leader.transfer = 800 * time.Millisecond
		g.leader.mu.Unlock()
		g.leader.store(withAccounts(2, []string{"a", "kb"}))
		time.Sleep(5 * time.Second)
		g.wantSubmitError("kb", nil)
		g.wantSubmitError("ka", ErrUnknownKey)
	})
}

// Guards against log lines without bound, and against keys, digests and headers in the
// log.
func TestRefusalsAreCountedAndLoggedWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const validKey, unknownKey = "Yq3PhV0dUZ", "Wm8RkT5cXe"
		g := startGateway(t, testFreshness, withAccounts(1, []string{"a", validKey}))
		defer g.stop()
		for range 100 {
			g.wantSubmitError(unknownKey, ErrUnknownKey)
			g.wantSubmitError("", ErrMissingKey)
		}
		countLines := func(text string) int {
			synctest.Wait() // nothing is being logged
			return strings.Count(g.log.String(), text)
		}
		if n := countLines(`"cause":"unknownKey"`); n != logger.MaxLines {
			t.Errorf("%d lines in a second, want %d", n, logger.MaxLines)
		}
		time.Sleep(logger.LinePeriod)
		g.wantSubmitError(unknownKey, ErrUnknownKey)
		time.Sleep(2 * logger.LinePeriod)
		for _, cause := range []string{"unknownKey", "missingKey"} {
			if n := countLines(`"cause":"`+cause+`","suppressed":95`) + countLines(`"cause":"`+cause+`","queue":"h/q/","suppressed":95`); n != 1 {
				t.Errorf("%s: %d lines with the number of suppressed ones, want 1:\n%s", cause, n, g.log)
			}
		}
		g.leader.suspend(2*testFreshness, nil)
		g.wantSubmitError(validKey, ErrStaleKeys)
		for cause, want := range map[string]int64{"unknownKey": 101, "missingKey": 100, "staleCopy": 1} {
			if got := g.RefusedCalls()[cause]; got != want {
				t.Errorf("%s: %d refusals, want %d", cause, got, want)
			}
		}
		synctest.Wait()
		for _, key := range []string{validKey, unknownKey} {
			digest := carobrock.DigestKey(key)
			if log := g.log.String(); strings.Contains(log, key) || strings.Contains(strings.ToLower(log), hex.EncodeToString(digest[:4])) {
				t.Errorf("the log contains a key or a digest:\n%s", log)
			}
		}
	})
}

const (
	randomSeeds  = 30
	randomEvents = 400
)

// TestAcceptedKeysWereValidRecently compares the decisions of a gateway with the
// versions stored by the leader while configurations, partitions, suspensions and slow
// links come in any order. It guards against accepting a key that was in force at no
// time within the freshness limit, and against attributing it to an account to which it
// did not belong.
func TestAcceptedKeysWereValidRecently(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			keys := []string{"k0", "k1", "k2", "k3"}
			version := int64(0)
			draw := func() *carobrock.Configuration {
				version++
				accounts := [][]string{{"a"}, {"b"}, {"c"}}
				for _, key := range keys {
					if i := rng.IntN(4); i < len(accounts) {
						accounts[i] = append(accounts[i], key)
					}
				}
				return withAccounts(version, accounts...)
			}
			g := startGateway(t, testFreshness, draw())
			defer g.stop()
			accepted := 0
			for range randomEvents {
				switch rng.IntN(10) {
				case 0:
					g.leader.store(draw())
				case 1:
					g.leader.setCutOff(rng.IntN(2) == 0)
				case 2:
					g.leader.suspend(time.Duration(rng.Int64N(int64(2*testFreshness))), draw())
				case 3:
					g.leader.setLatency(time.Duration(rng.Int64N(int64(time.Second))))
				default:
					time.Sleep(time.Duration(rng.Int64N(int64(testFreshness / 4))))
				}
				key := keys[rng.IntN(len(keys))]
				account, err := g.submit("/q/", key)
				if err != nil {
					continue
				}
				accepted++
				if !g.leader.hadKeySince(g.leader.uptime()-testFreshness, key, account) {
					t.Fatalf("seed %d, after %v: key %s of account %s was accepted, which is revoked", seed, g.leader.uptime(), key, account)
				}
			}
			if accepted < randomEvents/20 {
				t.Errorf("seed %d: only %d calls were accepted", seed, accepted)
			}
		})
	}
}

// hadKeySince reports whether a configuration that was in force at or after from gives
// key to account.
func (l *fakeLeader) hadKeySince(from time.Duration, key, account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.versions {
		if i+1 < len(l.versions) && l.versions[i+1].at <= from {
			continue
		}
		for _, a := range l.versions[i].configuration.Accounts {
			for _, d := range a.KeyDigests {
				if a.Name == account && d == carobrock.DigestKey(key) {
					return true
				}
			}
		}
	}
	return false
}
