package messenger

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
)

// Guards against memory for the size that a frame's header announces: another program
// may write to the port, and a few of its headers would use up the memory of a VM.
func TestFrameHeaderTakesNoMemory(t *testing.T) {
	const frames, maxBytes = 20, 32 << 20
	header := binary.BigEndian.AppendUint32(nil, maxFrameBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range frames {
		if err := readFrame(bytes.NewReader(append(header, "cut short"...)), &encoder.Call{}); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("error %v, want ErrUnexpectedEOF", err)
		}
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > maxBytes {
		t.Errorf("%d frames took %d bytes, want at most %d", frames, n, maxBytes)
	}
	if err := readFrame(bytes.NewReader(binary.BigEndian.AppendUint32(nil, maxFrameBytes+1)), &encoder.Call{}); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("error %v, want ErrFrameTooLarge", err)
	}
}

// Frames of all sizes around the one up to which memory is allocated at once arrive
// whole.
func TestFramesOfAllSizes(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 70_000, maxTrustedFrameBytes - 20, maxTrustedFrameBytes, maxTrustedFrameBytes + 1, 5 * maxTrustedFrameBytes} {
		sent, got := &encoder.Call{Id: 7, Body: bytes.Repeat([]byte{'x'}, size)}, &encoder.Call{}
		buf := &bytes.Buffer{}
		if err := writeFrame(buf, sent); err != nil {
			t.Fatal(err)
		}
		buf.WriteString("next frame")
		if err := readFrame(buf, got); err != nil || !proto.Equal(sent, got) || buf.String() != "next frame" {
			t.Errorf("size %d: error %v, %d bytes received, %d left", size, err, len(got.GetBody()), buf.Len())
		}
	}
}

// Guards against bytes of another program that end the process or stop it from serving.
func TestJunkOnThePeerPort(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &Messenger{
		Listener: l, Logger: zerolog.Nop(), OnMessage: func(*encoder.Message) {},
		Handlers: map[string]Handler{"echo": func(_ context.Context, body []byte) ([]byte, error) { return body, nil }},
	}
	client := &Messenger{Logger: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	defer group.Wait()
	defer cancel()
	for _, ms := range []*Messenger{server, client} {
		ms.Prepare()
		group.Go(func() { _ = ms.Run(ctx) })
	}
	rnd := rand.New(rand.NewPCG(30, 5))
	junk := func(n int) []byte {
		out := make([]byte, n)
		for i := range out {
			out[i] = byte(rnd.IntN(256))
		}
		return out
	}
	for i := range 200 {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 { // no session
			_, _ = conn.Write(junk(1 + rnd.IntN(200))) // the other side may have closed it
			_ = conn.Close()
			continue
		}
		session, err := yamux.Client(conn, server.sessionConfig())
		if err != nil {
			t.Fatal(err)
		}
		stream, err := session.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		data := junk(1 + rnd.IntN(200))
		data[0] = byte(rnd.IntN(4)) // a kind of stream, or none
		if rnd.IntN(2) == 0 && len(data) > 5 {
			binary.BigEndian.PutUint32(data[1:], uint32(len(data)-5)) // a whole frame
		}
		_, _ = stream.Write(data) // the other side may have closed it
		_ = session.Close()
	}
	callCtx, cancelCall := context.WithTimeout(ctx, 5*time.Second)
	defer cancelCall()
	if got, err := client.Call(callCtx, l.Addr().String(), "echo", []byte("x")); err != nil || string(got) != "x" {
		t.Errorf("call after the junk: %q, %v", got, err)
	}
}
