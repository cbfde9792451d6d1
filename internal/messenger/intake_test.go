package messenger

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/limiter"
)

// startLimited runs a messenger with limits on a loopback address, and a client.
func startLimited(t *testing.T, limits limiter.PeerLimits, onMessage func(*encoder.Message)) (server, client *Messenger, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = &Messenger{
		Listener: l, Limits: limits, Logger: zerolog.Nop(), OnMessage: onMessage,
		Handlers: map[string]Handler{"echo": func(_ context.Context, body []byte) ([]byte, error) { return body, nil }},
	}
	client = &Messenger{Logger: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	for _, ms := range []*Messenger{server, client} {
		ms.Prepare()
		group.Go(func() { _ = ms.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
	return server, client, l.Addr().String()
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Guards against limits that stop a snapshot of a replica, or the calls beside it.
func TestSnapshotPasses(t *testing.T) {
	const snapshotBytes, calls = 20 << 20, 200
	var received atomic.Int64
	server, client, address := startLimited(t, limiter.Derive(408, 4100).Peers, func(m *encoder.Message) {
		if len(m.GetSnapshot().GetData()) == snapshotBytes && m.GetSnapshot().GetData()[snapshotBytes-1] == 7 {
			received.Add(1)
		}
	})
	data := make([]byte, snapshotBytes)
	data[snapshotBytes-1] = 7
	group := conc.NewWaitGroup()
	for range calls {
		group.Go(func() {
			body := bytes.Repeat([]byte{0x41}, 100_000) // an encoded heartbeat has a few items per 100 bytes
			binary.BigEndian.PutUint32(body[1:], uint32(len(body)-5))
			body[0] = 0x5a // one string of bytes with a length of four bytes
			if got, err := client.Call(context.Background(), address, "echo", body); err != nil || !bytes.Equal(got, body) {
				t.Errorf("call: %d bytes, %v", len(got), err)
			}
		})
	}
	for range 3 {
		client.Send(address, &encoder.Message{Snapshot: &encoder.Snapshot{Data: data}})
	}
	group.Wait()
	waitFor(t, "three snapshots", func() bool { return received.Load() == 3 })
	if c := server.IntakeCounts(); c.RefusedFrames+c.RefusedSessions+c.EvictedSessions+c.Budget.Evicted+c.Budget.Refused > 0 {
		t.Errorf("%+v, want nothing refused", c)
	}
	waitFor(t, "the end of all streams", func() bool {
		c := server.IntakeCounts()
		return c.Streams == 1 && c.Budget.HeldBytes == 0 // the stream for messages
	})
}

// Guards against a frame with as many entries as an append has that is refused, and
// against one of empty entries that is decoded.
func TestMessagesOfEntries(t *testing.T) {
	for _, test := range []struct {
		name             string
		entries, data    int
		wantReceived     int
		wantRefusedFrame bool
	}{
		{"largest append", 10_000, 100, 10_000, false},
		{"empty entries", 100_000, 0, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var received atomic.Int64
			server, client, address := startLimited(t, limiter.Derive(184, 4100).Peers, func(m *encoder.Message) { received.Store(int64(len(m.GetEntries()))) })
			m := &encoder.Message{}
			for range test.entries {
				m.Entries = append(m.Entries, &encoder.Entry{Data: make([]byte, test.data)})
			}
			client.Send(address, m)
			waitFor(t, "the message", func() bool { return received.Load() > 0 || server.IntakeCounts().RefusedFrames > 0 })
			if n := received.Load(); n != int64(test.wantReceived) || (server.IntakeCounts().RefusedFrames > 0) != test.wantRefusedFrame {
				t.Errorf("%d entries, %+v", n, server.IntakeCounts())
			}
		})
	}
}

// Guards against sessions that do nothing and keep other processes out.
func TestSilentSessionsMakeRoom(t *testing.T) {
	limits := limiter.Derive(184, 4100).Peers
	limits.MaxSessions = 4
	server, client, address := startLimited(t, limits, nil)
	for range 10 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	waitFor(t, "an answer", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.Call(ctx, address, "echo", []byte("x"))
		return err == nil
	})
	if c := server.IntakeCounts(); c.Sessions > limits.MaxSessions || c.EvictedSessions == 0 {
		t.Errorf("%+v, want at most %d sessions and one evicted", c, limits.MaxSessions)
	}
}

// Guards against streams without a limit, and against memory and streams that remain
// counted after their session has ended.
func TestStreamsAreLimited(t *testing.T) {
	limits := limiter.Derive(184, 4100).Peers
	limits.MaxStreams, limits.MaxSessionStreams = 60, 40
	server, _, address := startLimited(t, limits, nil)
	for range 4 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, err := yamux.Client(conn, config)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = session.Close() }()
		for range 100 {
			stream, err := session.OpenStream()
			if err != nil {
				break // the session was closed
			}
			_, _ = stream.Write([]byte{streamCall, 0, 1, 0, 0, 1, 2, 3}) // 64 KiB are announced
			if n := server.IntakeCounts().Streams; n > int64(limits.MaxStreams)+4 {
				t.Fatalf("%d streams, limit %d", n, limits.MaxStreams)
			}
		}
		_ = session.Close()
	}
	waitFor(t, "the end of all streams", func() bool {
		c := server.IntakeCounts()
		return c.Streams == 0 && c.Sessions == 0 && c.Budget.HeldBytes == 0
	})
}

// Guards against counting too few items or messages, or failing on bytes that are cut.
func TestCounting(t *testing.T) {
	rnd := rand.New(rand.NewPCG(36, 3))
	for range 200 {
		spec := &carobrock.JobSpec{ID: "x", Payload: string(make([]byte, rnd.IntN(400)))}
		for range rnd.IntN(30) {
			spec.Steps = append(spec.Steps, carobrock.Step{Count: rnd.IntN(1 << 20), Image: "image"})
		}
		body, err := cbor.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		var v any
		if err := cbor.Unmarshal(body, &v); err != nil {
			t.Fatal(err)
		}
		if got, want := countItems(body), countItemsNaively(v); got != want {
			t.Errorf("%d items, want %d", got, want)
		}
		countItems(body[:rnd.IntN(len(body))])
		call, err := proto.Marshal(&encoder.Call{Id: 1, Method: "m", Body: body})
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(callBody(call), body) {
			t.Error("the body of the call is not found")
		}
		callBody(call[:rnd.IntN(len(call))])
	}
	m := &encoder.Message{Entries: make([]*encoder.Entry, 5), Snapshot: &encoder.Snapshot{Members: &encoder.Members{Members: make([]*encoder.Member, 3)}}}
	for i := range m.Entries {
		m.Entries[i] = &encoder.Entry{Index: uint64(i)}
	}
	for i := range m.Snapshot.Members.Members {
		m.Snapshot.Members.Members[i] = &encoder.Member{Id: uint64(i)}
	}
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := countMessages(data, m.ProtoReflect().Descriptor()); n != 10 || err != nil {
		t.Errorf("%d messages, %v; want 10", n, err)
	}
}

// countItemsNaively returns the number of items of a decoded value.
func countItemsNaively(v any) int {
	n := 1
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			n += countItemsNaively(e)
		}
	case map[any]any:
		for k, e := range v {
			n += countItemsNaively(k) + countItemsNaively(e)
		}
	}
	return n
}
