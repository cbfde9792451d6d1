package messenger

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/limiter"
)

// Flags and types of frames of yamux that a test sends.
const (
	testTypeWindow, testTypePing        = 1, 2
	testFlagSYN, testFlagFIN            = 1, 4
	testStreamID                 uint32 = 1
)

// sessionFrame returns a frame of the session's protocol.
func sessionFrame(kind byte, flags uint16, id, length uint32, payload ...byte) []byte {
	out := binary.BigEndian.AppendUint16([]byte{0, kind}, flags)
	out = binary.BigEndian.AppendUint32(out, id)
	return append(binary.BigEndian.AppendUint32(out, length), payload...)
}

// rawSession is a connection that writes frames of the session's protocol itself.
type rawSession struct {
	t *testing.T
	net.Conn
}

func dialRaw(t *testing.T, address string) rawSession {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return rawSession{t, conn}
}

func (r rawSession) send(frames ...[]byte) {
	r.t.Helper()
	for _, frame := range frames {
		if _, err := r.Write(frame); err != nil {
			r.t.Fatal(err)
		}
	}
}

// skipTo reads until a frame matches.
func (r rawSession) skipTo(what string, matches func(kind byte, flags uint16, length uint32) bool) {
	r.t.Helper()
	var header [sessionHeaderBytes]byte
	for {
		if _, err := io.ReadFull(r, header[:]); err != nil {
			r.t.Fatalf("%s: %v", what, err)
		}
		if matches(header[1], binary.BigEndian.Uint16(header[2:]), binary.BigEndian.Uint32(header[8:])) {
			return
		}
	}
}

// ping waits until all frames sent before have been received.
func (r rawSession) ping(id uint32) {
	r.t.Helper()
	r.send(sessionFrame(testTypePing, testFlagSYN, 0, id))
	r.skipTo("response to a ping", func(kind byte, flags uint16, length uint32) bool {
		return kind == testTypePing && flags&testFlagSYN == 0 && length == id
	})
}

// countHolders returns the number of streams for which sessions have state.
func countHolders(ms *Messenger) int {
	ms.intake.mu.Lock()
	defer ms.intake.mu.Unlock()
	n := 0
	for s := range ms.intake.sessions {
		s.mu.Lock()
		n += len(s.streams)
		s.mu.Unlock()
	}
	return n
}

// Guards against state for each stream ID that a frame names: 1.4 million frames for
// streams that were not open took a process from 27 to 186 MB.
func TestDataOfUnknownStreams(t *testing.T) {
	server, _, address := startLimited(t, limiter.Derive(184, 4100).Peers, nil)
	raw := dialRaw(t, address)
	var frames []byte
	for id := range uint32(20_000) {
		frames = append(frames, sessionFrame(sessionTypeData, 0, id, 1, 'x')...)
	}
	raw.send(frames)
	raw.ping(77)
	if n, c := countHolders(server), server.IntakeCounts(); n != 0 || c.Budget.HeldBytes != 0 {
		t.Errorf("state for %d streams, %+v; want none", n, c)
	}
}

// Guards against a session that ends, and against state that remains, when the other
// process still sends on a stream that this process has closed.
func TestLateDataOfClosedStream(t *testing.T) {
	server, _, address := startLimited(t, limiter.Derive(184, 4100).Peers, nil)
	raw := dialRaw(t, address)
	raw.send(sessionFrame(testTypeWindow, testFlagSYN, testStreamID, 0), sessionFrame(sessionTypeData, 0, testStreamID, 1, 'X'))
	raw.skipTo("the end of the stream", func(_ byte, flags uint16, _ uint32) bool { return flags&testFlagFIN != 0 })
	late := sessionFrame(sessionTypeData, 0, testStreamID, 1000, make([]byte, 1000)...)
	raw.send(late, late)
	raw.ping(78)
	if n := countHolders(server); n > 1 {
		t.Errorf("state for %d streams, want at most that of the closed one", n)
	}
	raw.send(sessionFrame(testTypeWindow, testFlagFIN, testStreamID, 0), late)
	raw.ping(79)
	waitFor(t, "the release of the stream's memory", func() bool {
		return countHolders(server) == 0 && server.IntakeCounts().Budget.HeldBytes == 0 && server.IntakeCounts().Streams == 0
	})
}

// Guards against state for streams that are opened faster than they are accepted.
func TestOpenedStreamsAreLimited(t *testing.T) {
	limits := limiter.Derive(184, 4100).Peers
	server, _, address := startLimited(t, limits, nil)
	raw := dialRaw(t, address)
	var frames []byte
	for id := range uint32(limits.MaxSessionStreams + 20_000) {
		frames = append(frames, sessionFrame(testTypeWindow, testFlagSYN, id, 0)...)
	}
	_, _ = raw.Write(frames) // the other side closes the session
	waitFor(t, "the end of the session", func() bool { return server.IntakeCounts().Sessions == 0 })
	if n := countHolders(server); n != 0 {
		t.Errorf("state for %d streams, want none", n)
	}
}

// Guards against a replica that is not heard for several seconds after one of its
// messages could not be decoded, which is longer than the timeout of an election.
func TestMessagesAfterRefusedFrame(t *testing.T) {
	big := &encoder.Message{Snapshot: &encoder.Snapshot{Data: make([]byte, 100_000)}}
	junk := &encoder.Message{}
	for range 100_000 {
		junk.Entries = append(junk.Entries, &encoder.Entry{})
	}
	for _, test := range []struct {
		name        string
		message     *encoder.Message
		isExhausted bool
	}{
		{"no memory for decoding", big, true},
		{"message that cannot be valid", junk, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var received atomic.Int64
			server, client, address := startLimited(t, limiter.Derive(184, 4100).Peers, func(m *encoder.Message) {
				if m.GetTerm() > 0 {
					received.Add(1)
				}
			})
			done := func() {}
			if test.isExhausted {
				var err error
				if done, err = server.intake.messages.Start(context.Background(), server.intake.limits.MaxDocumentBytes); err != nil {
					t.Fatal(err)
				}
			}
			client.Send(address, test.message)
			waitFor(t, "the refusal", func() bool { return server.IntakeCounts().RefusedFrames > 0 })
			done()
			next := proto.Clone(big).(*encoder.Message)
			next.Term = 1
			for start := time.Now(); received.Load() == 0; time.Sleep(20 * time.Millisecond) {
				if time.Since(start) > 2*time.Second {
					t.Fatal("no message arrived within 2 s of the refusal")
				}
				client.Send(address, next)
			}
		})
	}
}

// Guards against heartbeats that wait for the memory in which large messages are decoded:
// 12 clients that sent messages of 3.5 MB delayed them by 0.9 s.
func TestSmallMessagesDoNotWait(t *testing.T) {
	var received atomic.Int64
	server, client, address := startLimited(t, limiter.Derive(184, 4100).Peers, func(*encoder.Message) { received.Add(1) })
	done, err := server.intake.messages.Start(context.Background(), server.intake.limits.MaxDocumentBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer done()
	const messages = 20
	for range messages {
		client.Send(address, &encoder.Message{Term: 7, Entries: []*encoder.Entry{{Data: make([]byte, 1000)}}})
	}
	waitFor(t, "the messages", func() bool { return received.Load() == messages || server.IntakeCounts().RefusedFrames > 0 })
	if c := server.IntakeCounts(); c.RefusedFrames > 0 {
		t.Errorf("%d of %d messages, %+v; want none refused", received.Load(), messages, c)
	}
}
