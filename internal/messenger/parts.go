package messenger

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

const (
	// Limits of the size of a part. Smaller frames are sent whole.
	minPartBytes = 1 << 10
	maxPartBytes = 32 << 10
	// maxPartTime is the time that a part may wait to be sent and take before smaller ones
	// are used. yamux accepts streams one after the other, each after such a wait, and the
	// calls of a process have less than a second.
	maxPartTime = 16 * time.Millisecond
)

// nextPartBytes returns the size of the part after one of a size that took a time to send.
func nextPartBytes(size int64, took time.Duration) int64 {
	switch {
	case took > maxPartTime:
		size /= 2
	case took < maxPartTime/4:
		size *= 2
	}
	return min(max(size, minPartBytes), maxPartBytes)
}

// errTimeOver reports that the time of a call ended while its response was being sent.
var errTimeOver = errors.New("messenger: the time of the call is over")

// partWriter writes frames to a stream of a session. yamux sends what is written to a
// stream as a whole, and everything else on the session waits meanwhile: other frames, and
// pings, without which the session is closed. A large frame is therefore written in parts.
type partWriter struct {
	stream net.Conn
	// partBytes is the size of the next part on the session.
	partBytes *atomic.Int64
	// partTimeout is the time within which the other process must take a part. If zero,
	// the deadline of the stream applies.
	partTimeout time.Duration
	// timeOver ends a frame after one of its parts. It may be nil.
	timeOver <-chan struct{}
}

// Write implements io.Writer.
func (w *partWriter) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		if w.partTimeout > 0 {
			_ = w.stream.SetWriteDeadline(time.Now().Add(w.partTimeout)) // never fails
		}
		size := max(w.partBytes.Load(), minPartBytes)
		began := time.Now()
		n, err := w.stream.Write(p[sent:min(sent+int(size), len(p))])
		if n >= minPartBytes {
			w.partBytes.Store(nextPartBytes(size, time.Since(began)))
		}
		sent += n
		if err != nil {
			return sent, err
		}
		select {
		case <-w.timeOver:
			if sent < len(p) {
				return sent, errTimeOver
			}
		default:
		}
	}
	return len(p), nil
}
