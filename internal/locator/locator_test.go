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

// replicas answers calls by address.
type replicas map[string]func(ctx context.Context) ([]byte, error)

func (r replicas) Call(ctx context.Context, address, _ string, _ []byte) ([]byte, error) {
	if fn := r[address]; fn != nil {
		return fn(ctx)
	}
	return nil, messenger.ErrNotSent
}

func answer(context.Context) ([]byte, error) { return []byte("ok"), nil }

func points(to string) func(context.Context) ([]byte, error) {
	return func(context.Context) ([]byte, error) {
		return nil, &messenger.RemoteError{Code: locator.CodeNotLeader, Text: to}
	}
}

func hangs(ctx context.Context) ([]byte, error) {
	<-ctx.Done()
	return nil, messenger.ErrNoAnswer
}

func TestCallFindsTheLeader(t *testing.T) {
	for _, test := range []struct {
		name string
		at   replicas
		want error
		max  time.Duration
	}{
		{name: "first", at: replicas{"a": answer}, max: time.Millisecond},
		{name: "follower names it", at: replicas{"a": points("b"), "b": answer}, max: time.Millisecond},
		{name: "named replica was not known", at: replicas{"a": points("z"), "z": answer}, max: time.Millisecond},
		{name: "first is down", at: replicas{"b": points("c"), "c": answer}, max: 100 * time.Millisecond},
		{name: "first is frozen", at: replicas{"a": hangs, "b": answer}, max: 1100 * time.Millisecond},
		{name: "named leader is down", at: replicas{"a": points("b"), "c": answer}, max: 200 * time.Millisecond},
		{name: "all down", at: replicas{}, want: carobrock.ErrNotDone, max: 3 * time.Second},
		{name: "one may have taken it", at: replicas{"a": hangs}, want: carobrock.ErrUndecided, max: 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &locator.Locator{Caller: test.at, Logger: zerolog.Nop()}
				l.SetSeeds([]string{"a", "b", "c"})
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				_, err := l.Call(ctx, "m", nil)
				if !errors.Is(err, test.want) {
					t.Errorf("error %v, want %v", err, test.want)
				}
				if took := time.Since(began); took > test.max {
					t.Errorf("took %v, want at most %v", took, test.max)
				}
			})
		})
	}
}

func TestLearnedMembersOutliveTheSeeds(t *testing.T) {
	l := &locator.Locator{Caller: replicas{"n": answer}, Logger: zerolog.Nop()}
	l.SetSeeds([]string{"a"})
	l.AddMembers([]string{"n"})
	l.SetSeeds([]string{"b"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := l.Call(ctx, "m", nil); err != nil {
		t.Error(err)
	}
}
