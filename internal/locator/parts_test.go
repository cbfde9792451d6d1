package locator

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/messenger"
)

// storedConfiguration is a JobControl whose watch calls do not wait.
type storedConfiguration struct {
	carobrock.JobControl
	current *carobrock.Configuration
}

func (s *storedConfiguration) Configuration(context.Context) (*carobrock.Configuration, error) {
	return s.current, nil
}

func (s *storedConfiguration) WatchConfiguration(_ context.Context, afterVersion int64) (*carobrock.Configuration, error) {
	if s.current == nil || s.current.Version <= afterVersion {
		return nil, nil
	}
	return s.current, nil
}

// directCalls passes calls to handlers without a network. alter, if it is not nil, changes
// the body of a response.
type directCalls struct {
	handlers map[string]messenger.Handler
	alter    func(method string, body []byte) []byte
}

func (d *directCalls) Call(ctx context.Context, _, method string, body []byte) ([]byte, error) {
	h := d.handlers[method]
	if h == nil {
		return nil, &messenger.RemoteError{Code: codeUnknownMethod}
	}
	out, err := h(ctx, body)
	if d.alter != nil && err == nil {
		out = d.alter(method, out)
	}
	return out, err
}

// randomConfiguration returns a configuration of several parts.
func randomConfiguration(rng *rand.Rand, version int64) *carobrock.Configuration {
	c := &carobrock.Configuration{Version: version, Document: []byte("keys")}
	for i := range 3000 + rng.IntN(3000) {
		c.Queues = append(c.Queues, carobrock.Queue{Name: fmt.Sprintf("%016x", rng.Uint64()), Host: "h", PathPrefix: fmt.Sprint("/", i, "/")})
	}
	return c
}

func newTestLocator(calls *directCalls) *Locator {
	l := &Locator{RPCClient: calls, Logger: zerolog.Nop()}
	l.SetSeeds([]string{"leader"})
	return l
}

// fetch receives the configuration after a version, by the difference to base if that is
// not nil. It calls between before each part.
func fetch(l *Locator, afterVersion int64, base *carobrock.Configuration, between func()) (*carobrock.Configuration, error) {
	c, t, err := l.WatchTransfer(context.Background(), afterVersion, base)
	for t != nil && c == nil && err == nil {
		between()
		c, err = t.Next(context.Background())
	}
	return c, err
}

// Guards against a configuration that differs from the stored one, against a transfer that
// new versions keep from completing, and against one that a new leader or an older build
// cannot serve.
func TestTransferDeliversTheStoredConfiguration(t *testing.T) {
	for _, test := range []struct {
		name    string
		between func(rng *rand.Rand, s *storedConfiguration, d *directCalls)
		wantErr error
	}{
		{"undisturbed", func(*rand.Rand, *storedConfiguration, *directCalls) {}, nil},
		{"new versions", func(_ *rand.Rand, s *storedConfiguration, d *directCalls) {
			for range maxForms - 1 { // another gateway fetches their first parts
				s.current = &carobrock.Configuration{Version: s.current.Version + 1}
				if _, _, err := newTestLocator(d).WatchTransfer(context.Background(), 0, nil); err != nil {
					t.Error(err)
				}
			}
		}, nil},
		{"new leader", func(_ *rand.Rand, s *storedConfiguration, d *directCalls) { d.handlers = Handlers(s) }, nil},
		{"new leader with a newer version", func(rng *rand.Rand, s *storedConfiguration, d *directCalls) {
			s.current, d.handlers = randomConfiguration(rng, s.current.Version+1), Handlers(s)
		}, carobrock.ErrTransferLost},
		{"new leader of an older build", func(_ *rand.Rand, _ *storedConfiguration, d *directCalls) {
			delete(d.handlers, methodWatchParts)
			delete(d.handlers, methodPart)
		}, carobrock.ErrTransferLost},
		{"damaged part", func(_ *rand.Rand, _ *storedConfiguration, d *directCalls) {
			d.alter = func(_ string, body []byte) []byte {
				body = bytes.Clone(body)
				body[len(body)/2] ^= 1
				return body
			}
		}, carobrock.ErrTransferLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			stored := &storedConfiguration{current: randomConfiguration(rng, 1)}
			calls := &directCalls{handlers: Handlers(stored)}
			l := newTestLocator(calls)
			want := *stored.current
			c, err := fetch(l, 0, nil, func() { test.between(rng, stored, calls) })
			if !errors.Is(err, test.wantErr) {
				t.Fatalf("error %v, want %v", err, test.wantErr)
			}
			calls.alter = nil
			if err != nil { // the transfer starts again
				want = *stored.current
				c, err = fetch(l, 0, nil, func() {})
			}
			if want.Document = nil; calls.handlers[methodPart] == nil {
				want.Document = stored.current.Document // what fake watch calls return
			}
			if diff := cmp.Diff(&want, c); err != nil || diff != "" {
				t.Errorf("error %v, difference: %s", err, diff)
			}
			if c, err := fetch(l, want.Version+1000, nil, func() {}); c != nil || err != nil {
				t.Errorf("after a higher version: %v, %v", c, err)
			}
		})
	}
}

// Guards against a response that takes up much memory once it is uncompressed.
func TestUncompressedSizeIsLimited(t *testing.T) {
	var data bytes.Buffer
	w, err := flate.NewWriter(&data, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = w.Write(make([]byte, maxConfigurationBytes+1))
	_ = w.Close()
	if _, err := decompress(data.Bytes()); err == nil || !strings.Contains(err.Error(), "exceeds the limit") {
		t.Errorf("error %v, want that the limit is exceeded", err)
	}
}

// Guards against responses that do not fit the announced size.
func TestInvalidTransfersAreRefused(t *testing.T) {
	small, digest := []byte("x"), sha256.Sum256([]byte("x"))
	for name, first := range map[string]firstPart{
		"no size": {Digest: digest[:], Data: small}, "too large": {Size: maxConfigurationBytes + 1, Digest: digest[:], Data: small},
		"no digest": {Size: 1, Data: small}, "no data": {Size: 1, Digest: digest[:]}, "more data than announced": {Size: 1, Digest: digest[:], Data: []byte("xy")},
		"not compressed": {Size: 1, Digest: digest[:], Data: small}, "large part": {Size: 2 * partBytes, Digest: digest[:], Data: make([]byte, partBytes+1)},
	} {
		calls := &directCalls{handlers: map[string]messenger.Handler{methodWatchParts: func(context.Context, []byte) ([]byte, error) { return cbor.Marshal(&first) }}}
		if c, _, err := newTestLocator(calls).WatchTransfer(context.Background(), 0, nil); c != nil || !errors.Is(err, carobrock.ErrTransferLost) {
			t.Errorf("%s: error %v, want ErrTransferLost", name, err)
		}
	}
}

// Guards against a difference whose result is not the stored configuration, also where
// the gateway has another configuration of the same version, and against one that is not
// smaller than the whole.
func TestDifferencesYieldTheStoredConfiguration(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	stored := &storedConfiguration{current: randomConfiguration(rng, 1)}
	stored.current.Queues = stored.current.Queues[:500]
	received := 0
	calls := &directCalls{handlers: Handlers(stored), alter: func(_ string, body []byte) []byte {
		received += len(body)
		return body
	}}
	l := newTestLocator(calls)
	var held *carobrock.Configuration // of the gateway
	lost := 0
	for version := int64(2); version < 200; version++ {
		next := *stored.current
		next.Version, next.Document = version, []byte("keys")
		next.Queues = slices.Clone(next.Queues)
		edits := rng.IntN(4)
		for range edits {
			i, j := rng.IntN(len(next.Queues)), rng.IntN(len(next.Queues))
			switch rng.IntN(6) {
			case 0:
				next.Queues[i], next.Queues[j] = next.Queues[j], next.Queues[i]
			case 1:
				next.Queues = slices.Delete(next.Queues, i, i+1)
			case 2:
				next.Queues = slices.Insert(next.Queues, i, carobrock.Queue{Host: "h", PathPrefix: fmt.Sprint("/new", version, "/", j, "/")})
			case 3:
				next.Queues[i].Priority++
			case 4:
				next.Queues[i%3].Policy = &carobrock.AdvisorPolicy{ValidityMillis: version}
			case 5:
				next.Accounts = append(slices.Clone(next.Accounts), carobrock.ClientAccount{Name: fmt.Sprint(version)})
			}
		}
		if stored.current = &next; rng.IntN(4) == 0 {
			continue // the gateway misses a version
		}
		isOther := held != nil && rng.IntN(8) == 0
		if isOther {
			other := *held
			other.Queues = slices.Clone(other.Queues)
			other.Queues[0].Pool = "other"
			held = &other
		}
		received = 0
		after := int64(0)
		if held != nil {
			after = held.Version
		}
		c, err := fetch(l, after, held, func() {})
		if isOther && errors.Is(err, carobrock.ErrTransferLost) {
			lost++
			c, err = fetch(l, after, nil, func() {})
		} else if held != nil && received > 2000 && stored.current.Version-held.Version < 2 {
			t.Errorf("version %d: %d bytes for %d changes", version, received, edits)
		}
		want := *stored.current
		want.Document = nil
		if diff := cmp.Diff(&want, c); err != nil || diff != "" {
			t.Fatalf("version %d: error %v, difference: %s", version, err, diff)
		}
		held = c
	}
	if lost == 0 {
		t.Error("no difference to another base was refused")
	}
}
