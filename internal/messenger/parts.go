package messenger

import (
	"net"
	"time"
)

// maxPartBytes is the size of the parts in which a frame is sent.
const maxPartBytes = 32 << 10

// partWriter writes frames to a stream of a session in parts, each of which the other
// process must take within a time. A frame of any size so takes as long as it needs,
// unless the other process takes nothing.
type partWriter struct {
	stream net.Conn
	// partTimeout is the time within which the other process must take a part. If zero,
	// the deadline of the stream applies.
	partTimeout time.Duration
}

// Write implements io.Writer.
func (w *partWriter) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		if w.partTimeout > 0 {
			_ = w.stream.SetWriteDeadline(time.Now().Add(w.partTimeout)) // never fails
		}
		n, err := w.stream.Write(p[sent:min(sent+maxPartBytes, len(p))])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return len(p), nil
}
