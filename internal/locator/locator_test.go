package locator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

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
