package locator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
)

// fakeReplicas maps addresses to the answers of replicas.
type fakeReplicas map[string]func(ctx context.Context) ([]byte, error)

func (r fakeReplicas) Call(ctx context.Context, address, _ string, _ []byte) ([]byte, error) {
	if fn := r[address]; fn != nil {
		return fn(ctx)
	}
	return nil, messenger.ErrNotSent
}

func answerOK(context.Context) ([]byte, error) { return []byte("ok"), nil }

func redirectTo(to string) func(context.Context) ([]byte, error) {
	return func(context.Context) ([]byte, error) {
		return nil, &messenger.RemoteError{Code: locator.CodeNotLeader, Text: to}
	}
}

func refuseForOverload(context.Context) ([]byte, error) {
	return nil, &messenger.RemoteError{Code: "overloaded", Text: "250"}
}

func refuseForQueue(context.Context) ([]byte, error) {
	return nil, &messenger.RemoteError{Code: "notFound"}
}

func hangUntilTimeout(ctx context.Context) ([]byte, error) {
	<-ctx.Done()
	return nil, messenger.ErrNoResponse
}

// TestCallFindsTheLeader checks the result and the duration of a call when
// replicas redirect it, do not respond or cannot be reached.
func TestCallFindsTheLeader(t *testing.T) {
	for _, test := range []struct {
		name       string
		replicas   fakeReplicas
		wantErr    error
		maxElapsed time.Duration
	}{
		{name: "first", replicas: fakeReplicas{"a": answerOK}, maxElapsed: time.Millisecond},
		{name: "follower names the leader", replicas: fakeReplicas{"a": redirectTo("b"), "b": answerOK}, maxElapsed: time.Millisecond},
		{name: "named leader was unknown", replicas: fakeReplicas{"a": redirectTo("z"), "z": answerOK}, maxElapsed: time.Millisecond},
		{name: "first is down", replicas: fakeReplicas{"b": redirectTo("c"), "c": answerOK}, maxElapsed: 100 * time.Millisecond},
		{name: "first does not answer", replicas: fakeReplicas{"a": hangUntilTimeout, "b": answerOK}, maxElapsed: 1100 * time.Millisecond},
		{name: "named leader is down", replicas: fakeReplicas{"a": redirectTo("b"), "c": answerOK}, maxElapsed: 200 * time.Millisecond},
		{name: "all down", replicas: fakeReplicas{}, wantErr: carobrock.ErrNotApplied, maxElapsed: 3 * time.Second},
		{name: "one may have executed the call", replicas: fakeReplicas{"a": hangUntilTimeout}, wantErr: carobrock.ErrOutcomeUnknown, maxElapsed: 3 * time.Second},
		// The refusal would promise that the job does not run.
		{name: "queue removed after an attempt that may be executed", replicas: fakeReplicas{"a": hangUntilTimeout, "b": refuseForQueue}, wantErr: carobrock.ErrOutcomeUnknown, maxElapsed: 1100 * time.Millisecond},
		{name: "refused after an attempt that may be executed", replicas: fakeReplicas{"a": hangUntilTimeout, "b": refuseForOverload}, wantErr: carobrock.ErrOutcomeUnknown, maxElapsed: 1100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &locator.Locator{RPCClient: test.replicas, Logger: zerolog.Nop()}
				l.SetSeeds([]string{"a", "b", "c"})
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				_, err := l.Call(ctx, "m", nil)
				if !errors.Is(err, test.wantErr) {
					t.Errorf("error %v, want %v", err, test.wantErr)
				}
				if took := time.Since(began); took > test.maxElapsed {
					t.Errorf("took %v, want at most %v", took, test.maxElapsed)
				}
			})
		})
	}
}

// TestLearnedMembersOutliveTheSeeds checks that a member added by AddMembers is
// still tried after SetSeeds.
func TestLearnedMembersOutliveTheSeeds(t *testing.T) {
	l := &locator.Locator{RPCClient: fakeReplicas{"n": answerOK}, Logger: zerolog.Nop()}
	l.SetSeeds([]string{"a"})
	l.AddMembers([]string{"n"})
	l.SetSeeds([]string{"b"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := l.Call(ctx, "m", nil); err != nil {
		t.Error(err)
	}
}

// Guards against calls that keep going to a leader that does not respond, because it
// is the first known replica or because followers still name it: each call has less
// time than an attempt.
func TestCallsLeaveAnUnresponsiveLeader(t *testing.T) {
	const (
		callTime     = 900 * time.Millisecond
		electionTime = time.Second // after the last contact with the old leader
		maxTime      = 2 * callTime
	)
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		follower := func(ctx context.Context) ([]byte, error) {
			if time.Since(began) < electionTime {
				return redirectTo("a")(ctx)
			}
			return redirectTo("c")(ctx)
		}
		l := &locator.Locator{RPCClient: fakeReplicas{"a": hangUntilTimeout, "b": follower, "c": answerOK}, Logger: zerolog.Nop()}
		l.SetSeeds([]string{"a", "b"})
		for {
			ctx, cancel := context.WithTimeout(context.Background(), callTime)
			_, err := l.Call(ctx, "m", nil)
			cancel()
			if err == nil {
				return
			}
			l.AddMembers([]string{"a", "b"})
			if took := time.Since(began); took > maxTime {
				t.Fatalf("no call succeeded in %v: %v", took, err)
			}
		}
	})
}

// Guards against calls that keep going to a replica that sends something and completes no
// call, because it is the first known one. Other replicas may name it until they have
// elected another leader.
func TestCallsLeaveAReplicaThatCompletesNone(t *testing.T) {
	const callTime = 900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		hangAlive := func(ctx context.Context) ([]byte, error) {
			<-ctx.Done()
			return nil, &messenger.NoResponseError{IsConnected: true}
		}
		follower := func(ctx context.Context) ([]byte, error) {
			if time.Since(began) < time.Second {
				return redirectTo("a")(ctx)
			}
			return redirectTo("c")(ctx)
		}
		l := &locator.Locator{RPCClient: fakeReplicas{"a": hangAlive, "b": follower, "c": answerOK}, Logger: zerolog.Nop()}
		l.SetSeeds([]string{"a", "b"})
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), callTime)
			_, _ = l.Call(ctx, "m", nil)
			cancel()
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		if _, err := l.Call(ctx, "m", nil); err != nil {
			t.Errorf("%v after the start: %v", time.Since(began), err)
		}
	})
}

// Guards against a caller that leaves, whose call made a node avoid the leader, so that
// the calls of all others found no replica for half a second.
func TestCallerThatLeavesDoesNotDelayOthers(t *testing.T) {
	const (
		rounds, otherCalls = 20, 19
		leavesAfter        = 100 * time.Millisecond
	)
	type leaves struct{}
	synctest.Test(t, func(t *testing.T) {
		leader := func(ctx context.Context) ([]byte, error) {
			if ctx.Value(leaves{}) != nil {
				return hangUntilTimeout(ctx)
			}
			return answerOK(ctx)
		}
		l := &locator.Locator{RPCClient: fakeReplicas{"a": redirectTo("b"), "b": leader}, Logger: zerolog.Nop()}
		l.SetSeeds([]string{"a"})
		group := conc.NewWaitGroup()
		defer group.Wait()
		for range rounds {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), leaves{}, true), leavesAfter)
				defer cancel()
				_, _ = l.Call(ctx, "m", nil)
			})
			for range otherCalls {
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				_, err := l.Call(ctx, "m", nil)
				cancel()
				if took := time.Since(began); err != nil || took > 0 {
					t.Fatalf("call beside one whose caller left: %v after %v, want a response at once", err, took)
				}
			}
			time.Sleep(leavesAfter)
		}
		if c := l.Counts(); c.Leader != "b" || c.Avoided > 0 || c.Unanswered < rounds-1 {
			t.Errorf("%+v, want b as the leader and no replica avoided", c)
		}
	})
}

// Guards against a leader that is left because a call to it was short or its response
// late, and against one that is kept although it is silent.
func TestLeaderAfterFailedCall(t *testing.T) {
	fail := func(err error) func(context.Context) ([]byte, error) {
		return func(ctx context.Context) ([]byte, error) {
			<-ctx.Done()
			return nil, err
		}
	}
	const short, long = 100 * time.Millisecond, 900 * time.Millisecond
	late := &messenger.NoResponseError{IsConnected: true, Silence: 250 * time.Millisecond}
	silent := &messenger.NoResponseError{IsConnected: true, Silence: long}
	for _, test := range []struct {
		name          string
		timeout       time.Duration
		first         func(context.Context) ([]byte, error)
		othersSucceed bool
		wantLeader    string
		wantAvoided   int64
	}{
		{"late response beside others", long, fail(late), true, "b", 0},
		{"no response to any call", long, fail(late), false, "", 1},
		{"caller left", short, fail(late), false, "b", 0},
		{"caller left while connecting", short, fail(messenger.ErrNotSent), false, "b", 0},
		{"no connection for long", long, fail(messenger.ErrNotSent), false, "", 1},
		{"connection refused", short, func(context.Context) ([]byte, error) {
			time.Sleep(short - 10*time.Millisecond) // no time is left for a second attempt
			return nil, messenger.ErrNotSent
		}, false, "", 1},
		{"silent", long, fail(silent), true, "", 1},
		{"silent before a short call", short, fail(silent), false, "", 1},
		{"connection lost", short, fail(&messenger.NoResponseError{}), true, "", 1},
		{"outcome unknown at the deadline", short, fail(&messenger.RemoteError{Code: "undecided"}), false, "b", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				isFirst := true
				leader := func(ctx context.Context) ([]byte, error) {
					if isFirst {
						isFirst = false
						return test.first(ctx)
					}
					return answerOK(ctx)
				}
				l := &locator.Locator{RPCClient: fakeReplicas{"b": leader}, Logger: zerolog.Nop()}
				l.SetSeeds([]string{"a"}) // nothing listens there
				l.AddLeader("b")
				group := conc.NewWaitGroup()
				group.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), test.timeout)
					defer cancel()
					_, _ = l.Call(ctx, "m", nil)
				})
				synctest.Wait()
				time.Sleep(test.timeout - time.Millisecond)
				if test.othersSucceed {
					if _, err := l.Call(t.Context(), "m", nil); err != nil {
						t.Error(err)
					}
				}
				group.Wait()
				if c := l.Counts(); c.Leader != test.wantLeader || c.Avoided != test.wantAvoided {
					t.Errorf("%+v, want %q as the leader and %d replicas avoided", c, test.wantLeader, test.wantAvoided)
				}
			})
		})
	}
}

// Guards against a response that names the previous leader and arrives after a call has
// found the new one.
func TestLateRedirectKeepsTheNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lateRedirect := func(ctx context.Context) ([]byte, error) {
			time.Sleep(300 * time.Millisecond)
			return redirectTo("a")(ctx)
		}
		l := &locator.Locator{RPCClient: fakeReplicas{"a": hangUntilTimeout, "b": lateRedirect, "c": answerOK}, Logger: zerolog.Nop()}
		l.SetSeeds([]string{"b"})
		group := conc.NewWaitGroup()
		defer group.Wait()
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
			defer cancel()
			if _, err := l.Call(ctx, "m", nil); err != nil {
				t.Errorf("call with a late redirect: %v", err)
			}
		})
		time.Sleep(100 * time.Millisecond)
		l.AddLeader("c")
		if _, err := l.Call(t.Context(), "m", nil); err != nil {
			t.Error(err)
		}
		group.Wait()
		if leader := l.Leader(); leader != "c" {
			t.Errorf("leader %q, want c", leader)
		}
	})
}

// Guards against a leader that freezes during a call and is kept for the whole next one,
// since it had been heard of shortly before the first one ended.
func TestCallsLeaveALeaderThatFreezesDuringOne(t *testing.T) {
	const (
		callTime     = 900 * time.Millisecond
		freezesAt    = 500 * time.Millisecond // 0.4 s before the end of the first call
		electionTime = freezesAt + time.Second
		calls        = 2
	)
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		leader := func(ctx context.Context) ([]byte, error) {
			<-ctx.Done()
			return nil, &messenger.NoResponseError{IsConnected: true, Silence: max(0, time.Since(began)-freezesAt)}
		}
		follower := func(ctx context.Context) ([]byte, error) {
			if time.Since(began) < electionTime {
				return redirectTo("a")(ctx)
			}
			return redirectTo("c")(ctx)
		}
		l := &locator.Locator{RPCClient: fakeReplicas{"a": leader, "b": follower, "c": answerOK}, Logger: zerolog.Nop()}
		l.SetSeeds([]string{"a", "b"})
		var err error
		for range calls {
			ctx, cancel := context.WithTimeout(context.Background(), callTime)
			_, err = l.Call(ctx, "m", nil)
			cancel()
		}
		if err != nil {
			t.Errorf("call %d, until %v after the start: %v", calls, time.Since(began), err)
		}
	})
}
