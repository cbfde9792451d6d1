package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/limiter"
)

// defaultMemoryMB is the memory for which limits are derived if Messenger.Limits is zero.
// It allows for the largest frame.
const defaultMemoryMB = 4096

const (
	// unprovenTime is how long a session that has sent no complete frame is kept if
	// there are too many, silentTime how long one that has sent none since. Replicas and
	// gateways send a frame at least every 0.7 s.
	unprovenTime = time.Second
	silentTime   = 5 * time.Second
	// streamCloseTimeout is how long a stream that this process has closed remains until
	// the other side closes it, which other carobrock processes do at once.
	streamCloseTimeout = 5 * time.Second
	// acceptBacklog is the number of streams that the other process has opened and this
	// one has not accepted yet. It is the default of yamux.
	acceptBacklog = 256
	// frameGrace is the time for the kind of a stream and for a frame of any size.
	// minFrameBytesPerSecond is the rate at which the rest of a frame must arrive, a
	// sixtieth of the slowest link.
	frameGrace             = 10 * time.Second
	minFrameBytesPerSecond = 4096
	// decodeWait bounds the wait for memory to decode a frame. It is shorter than the
	// timeout of a call.
	decodeWait = time.Second
	// queuedTime is how long a message is assumed to wait in the queue of its receiver,
	// which is served between writes to the disk. Messages up to smallMessageBytes are
	// not counted. Their sender has a stream of its own for larger ones.
	queuedTime        = 200 * time.Millisecond
	smallMessageBytes = 4 << 10
	// smallMessagesShare is the part of the memory for decoding messages that is kept for
	// those up to smallMessageBytes: an eighth, 245 messages of that size with 184 MB.
	smallMessagesShare = 8
)

// intake bounds what other processes may make this one hold.
type intake struct {
	limits   limiter.PeerLimits
	budget   *limiter.Budget
	messages *limiter.Decoder // of more than smallMessageBytes
	small    *limiter.Decoder // other messages
	calls    *limiter.Decoder

	mu       sync.Mutex
	sessions map[*incomingSession]struct{}
	streams  atomic.Int64

	refusedSessions, evictedSessions, refusedFrames, discardedFrames atomic.Int64
}

func newIntake(limits limiter.PeerLimits) *intake {
	if limits.MaxSessions == 0 {
		limits = limiter.Derive(defaultMemoryMB, 0).Peers
	}
	// Calls and messages are decoded apart, so that calls do not delay an election. So are
	// heartbeats and acknowledgements, which large messages delayed by 0.9 s.
	half := limits.DecodeBytes / 2
	small := half / smallMessagesShare
	return &intake{
		limits: limits, budget: limiter.NewBudget(limits.HeldBytes), sessions: map[*incomingSession]struct{}{},
		messages: limiter.NewDecoder(half-small, limits.MaxDocumentBytes), small: limiter.NewDecoder(small, small), calls: limiter.NewDecoder(half, limits.MaxDocumentBytes),
	}
}

// IntakeCounts is a snapshot of the counters of incoming sessions.
type IntakeCounts struct {
	Sessions        int                  `json:"sessions"`
	Streams         int64                `json:"streams"`
	Budget          limiter.BudgetCounts `json:"budget"`
	RefusedSessions int64                `json:"refusedSessions"`
	EvictedSessions int64                `json:"evictedSessions"`
	RefusedFrames   int64                `json:"refusedFrames"`
	// DiscardedFrames counts the frames of the session's protocol with data for streams
	// that are not open.
	DiscardedFrames int64 `json:"discardedFrames"`
}

// IntakeCounts returns the current values of the counters.
func (ms *Messenger) IntakeCounts() IntakeCounts {
	in := ms.intake
	in.mu.Lock()
	sessions := len(in.sessions)
	in.mu.Unlock()
	return IntakeCounts{
		Sessions: sessions, Streams: in.streams.Load(), Budget: in.budget.Counts(),
		RefusedSessions: in.refusedSessions.Load(), EvictedSessions: in.evictedSessions.Load(), RefusedFrames: in.refusedFrames.Load(),
		DiscardedFrames: in.discardedFrames.Load(),
	}
}

// refusalLogInterval is the interval at which refusals are logged, in one line with their
// numbers.
const refusalLogInterval = 5 * time.Second

// logRefusals logs the numbers of refusals until ctx ends, when there are new ones.
func (in *intake) logRefusals(ctx context.Context, logger zerolog.Logger) {
	ticker := time.NewTicker(refusalLogInterval)
	defer ticker.Stop()
	var sessions, evicted, frames int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s, e, f := in.refusedSessions.Load(), in.evictedSessions.Load()+in.budget.Counts().Evicted, in.refusedFrames.Load()
		if s+e+f > sessions+evicted+frames {
			logger.Warn().Int64("sessions", s-sessions).Int64("evicted", e-evicted).Int64("frames", f-frames).
				Int64("heldBytes", in.budget.Counts().HeldBytes).Msg("messenger: incoming sessions or frames refused")
		}
		sessions, evicted, frames = s, e, f
	}
}

// incomingSession is an accepted connection.
type incomingSession struct {
	net.Conn
	intake    *intake
	since     time.Time
	partBytes atomic.Int64 // size of the next part of a frame

	header [sessionHeaderBytes]byte
	filled int    // bytes of header that have arrived
	rest   uint32 // bytes of the payload after the last header that have not arrived

	mu        sync.Mutex
	session   *yamux.Session // nil until the session is open
	lastFrame time.Time      // last complete frame, zero if there was none
	streams   map[uint32]*streamState
	opening   []uint32 // streams that have not been accepted, in the order of their opening
	isClosed  bool
}

// streamState is what a session holds for a stream from its opening until both sides have
// closed it.
type streamState struct {
	holder                       *limiter.Holder
	isLocalClosed, isOtherClosed bool
}

// add returns the session of an accepted connection. If there are too many, it closes the
// one that has sent no complete frame for longest, or returns nil.
func (in *intake) add(conn net.Conn) *incomingSession {
	now := time.Now()
	s := &incomingSession{Conn: conn, intake: in, since: now, streams: map[uint32]*streamState{}}
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.sessions) >= in.limits.MaxSessions {
		victim := in.quietestSession(now)
		if victim == nil {
			in.refusedSessions.Add(1)
			return nil
		}
		in.evictedSessions.Add(1)
		delete(in.sessions, victim)
		_ = victim.Conn.Close() // the read of the session then fails
	}
	in.sessions[s] = struct{}{}
	return s
}

// quietestSession returns the session that has sent no complete frame for longest, nil
// if all have sent one recently. The caller holds in.mu.
func (in *intake) quietestSession(now time.Time) *incomingSession {
	var found *incomingSession
	var longest time.Duration
	for s := range in.sessions {
		quiet, limit := s.quietTime(now)
		if quiet >= limit && quiet > longest {
			found, longest = s, quiet
		}
	}
	return found
}

// quietTime returns the time since the last complete frame and the time after which the
// session may be evicted.
func (s *incomingSession) quietTime(now time.Time) (quiet, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastFrame.IsZero() {
		return now.Sub(s.since), unprovenTime
	}
	return now.Sub(s.lastFrame), silentTime
}

// Close implements net.Conn. It returns all memory that the session holds.
func (s *incomingSession) Close() error {
	s.intake.mu.Lock()
	delete(s.intake.sessions, s)
	s.intake.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for id, state := range s.streams {
		state.holder.Close()
		delete(s.streams, id)
	}
	s.opening = nil
	return s.Conn.Close()
}

// setSession records the open session.
func (s *incomingSession) setSession(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session = session
}

// Layout of the header of a frame of yamux: version, type, flags, stream and length.
const (
	sessionHeaderBytes = 12
	sessionTypeOffset  = 1
	flagsOffset        = 2
	streamIDOffset     = 4
	lengthOffset       = 8
	sessionTypeData    = 0
	sessionTypeWindow  = 1
	sessionFlagOpen    = 1
	sessionFlagsEnd    = 4 | 8 // closed or reset
	// maxSessionFrameBytes is the largest payload that the protocol allows before it has
	// been acknowledged.
	maxSessionFrameBytes = 256 << 10
)

var errSession = errors.New("messenger: the other process exceeds a limit")

// Read implements net.Conn. It reserves memory for the payload of each frame of the
// session's protocol before yamux allocates it.
func (s *incomingSession) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	for data := p[:n]; len(data) > 0; {
		skipped := min(uint32(len(data)), s.rest)
		data, s.rest = data[skipped:], s.rest-skipped
		if s.rest > 0 || len(data) == 0 {
			break
		}
		copied := copy(s.header[s.filled:], data)
		data, s.filled = data[copied:], s.filled+copied
		if s.filled < sessionHeaderBytes {
			break
		}
		s.filled = 0
		if err := s.startFrame(); err != nil {
			_ = s.Conn.Close() // the error is returned
			return 0, err
		}
	}
	return n, err
}

// startFrame follows the streams that the other process opens and closes, and reserves
// memory for the payload after a complete header. Data for a stream that is not open
// changes nothing, as yamux discards it; it may have been sent before the other process
// knew that the stream was closed.
func (s *incomingSession) startFrame() error {
	kind, flags := s.header[sessionTypeOffset], byteOrder.Uint16(s.header[flagsOffset:])
	if kind != sessionTypeData && kind != sessionTypeWindow {
		return nil // frames of the whole session
	}
	id := byteOrder.Uint32(s.header[streamIDOffset:])
	if flags&sessionFlagOpen != 0 {
		if err := s.openStream(id); err != nil {
			return err
		}
	}
	if length := byteOrder.Uint32(s.header[lengthOffset:]); kind == sessionTypeData && length > 0 {
		if err := s.startPayload(id, length); err != nil {
			return err
		}
	}
	if flags&sessionFlagsEnd != 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state, ok := s.streams[id]; ok {
			state.isOtherClosed = true
			s.removeClosed(id, state)
		}
	}
	return nil
}

// openStream adds the state of a stream that the other process opens.
func (s *incomingSession) openStream(id uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return net.ErrClosed
	}
	if _, ok := s.streams[id]; ok || len(s.streams) >= s.intake.limits.MaxSessionStreams+acceptBacklog {
		s.intake.refusedFrames.Add(1)
		return errSession
	}
	s.streams[id] = &streamState{holder: s.intake.budget.NewHolder(func() { _ = s.Conn.Close() })} // the read of the session then fails
	s.opening = append(s.opening, id)
	return nil
}

// startPayload reserves memory for a payload.
func (s *incomingSession) startPayload(id, length uint32) error {
	if length > maxSessionFrameBytes {
		s.intake.refusedFrames.Add(1)
		return errSession
	}
	s.rest = length
	h := s.holder(id)
	if h == nil {
		s.intake.discardedFrames.Add(1)
		return nil
	}
	h.StartWaiting()
	if err := h.Reserve(int64(length)); err != nil {
		s.intake.refusedFrames.Add(1)
		return errSession
	}
	return nil
}

// holder returns the holder of a stream, nil if the stream is not open.
func (s *incomingSession) holder(id uint32) *limiter.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, ok := s.streams[id]; ok {
		return state.holder
	}
	return nil
}

// accept records that yamux has passed on a stream. It passes streams on in the order of
// their opening, so those before it were refused and are removed.
func (s *incomingSession) accept(id uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.opening) > 0 {
		next := s.opening[0]
		s.opening = s.opening[1:]
		if next == id {
			return
		}
		if state, ok := s.streams[next]; ok {
			state.isLocalClosed, state.isOtherClosed = true, true
			s.removeClosed(next, state)
		}
	}
}

// removeClosed removes the state of a stream that both sides have closed. The caller
// holds s.mu.
func (s *incomingSession) removeClosed(id uint32, state *streamState) {
	if state.isLocalClosed && state.isOtherClosed && s.streams[id] == state {
		state.holder.Close()
		delete(s.streams, id)
	}
}

// closeLocal records that this process has closed a stream, of which it had read and not
// released a number of bytes. yamux holds what arrives later until the other process
// closes the stream too, at most for streamCloseTimeout.
func (s *incomingSession) closeLocal(id uint32, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.streams[id]
	if !ok {
		return // the session is closed
	}
	state.isLocalClosed = true
	s.removeClosed(id, state)
	if state.isOtherClosed {
		return
	}
	state.holder.Release(bytes)
	if state.holder.Bytes() > 0 {
		state.holder.StartWaiting()
	}
	time.AfterFunc(streamCloseTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		state.isOtherClosed = true
		s.removeClosed(id, state)
	})
}

// incomingStream is a stream of an incoming session. Its reads are limited in time and
// its memory is that of the frames that were read and not released.
type incomingStream struct {
	*yamux.Stream
	session *incomingSession

	start time.Time // of the frame
	bytes int64     // read since start
}

// startStream returns the stream and counts it. It returns nil if there are too many;
// the session is then closed.
func (s *incomingSession) startStream(stream *yamux.Stream) *incomingStream {
	s.accept(stream.StreamID())
	n := s.intake.streams.Add(1)
	if s.session.NumStreams() > s.intake.limits.MaxSessionStreams {
		_ = s.session.Close() // its streams end
	} else if n > int64(s.intake.limits.MaxStreams) {
		s.intake.closeLargestSession()
	}
	if s.session.IsClosed() {
		s.intake.refusedFrames.Add(1)
		s.intake.streams.Add(-1)
		return nil
	}
	return &incomingStream{Stream: stream, session: s, start: time.Now()}
}

// closeLargestSession closes the session with the most streams.
func (in *intake) closeLargestSession() {
	in.mu.Lock()
	var found *incomingSession
	most := 0
	for s := range in.sessions {
		s.mu.Lock()
		if s.session != nil && s.session.NumStreams() > most {
			found, most = s, s.session.NumStreams()
		}
		s.mu.Unlock()
	}
	in.mu.Unlock()
	if found != nil {
		in.evictedSessions.Add(1)
		_ = found.session.Close() // its streams end
	}
}

// Read implements io.Reader. Within a frame, bytes must arrive at a minimum rate.
func (s *incomingStream) Read(p []byte) (int, error) {
	if !s.start.IsZero() {
		_ = s.SetReadDeadline(s.start.Add(frameGrace + time.Duration(s.bytes)*time.Second/minFrameBytesPerSecond)) // never fails
	}
	n, err := s.Stream.Read(p)
	s.bytes += int64(n)
	if s.start.IsZero() {
		s.start = time.Now()
	}
	return n, err
}

// finishFrame records that a frame was received completely. The stream's memory remains
// reserved, but the process does not wait for the other one any more.
func (s *incomingStream) finishFrame() {
	s.session.mu.Lock()
	s.session.lastFrame = time.Now()
	s.session.mu.Unlock()
	if h := s.session.holder(s.StreamID()); h != nil {
		h.StopWaiting()
	}
}

// releaseFrame returns the memory of what was read. Until the next frame starts there is
// no deadline.
func (s *incomingStream) releaseFrame() {
	if h := s.session.holder(s.StreamID()); h != nil {
		h.Release(s.bytes)
		if h.Bytes() > 0 { // of the next frame
			h.StartWaiting()
		}
	}
	s.start, s.bytes = time.Time{}, 0
	_ = s.SetReadDeadline(time.Time{}) // never fails
}

// Close implements io.Closer. It returns the stream's memory.
func (s *incomingStream) Close() error {
	s.session.intake.streams.Add(-1)
	err := s.Stream.Close()
	s.session.closeLocal(s.StreamID(), s.bytes)
	return err
}

// decoder returns the decoder for a call or message that takes a number of bytes.
func (in *intake) decoder(isCall bool, bytes int64) *limiter.Decoder {
	switch {
	case isCall:
		return in.calls
	case bytes <= smallMessageBytes:
		return in.small
	default:
		return in.messages
	}
}

// decode reads one frame of the stream into m, when there is memory for it. The caller
// calls done when m is not needed any more.
func (s *incomingStream) decode(ctx context.Context, m proto.Message) (done func(), err error) {
	parts, size, err := readParts(s, uint32(min(maxFrameBytes, s.session.intake.limits.HeldBytes)))
	if err != nil {
		return nil, err
	}
	s.finishFrame()
	ctx, cancel := context.WithTimeout(ctx, decodeWait)
	defer cancel()
	in := s.session.intake
	_, isCall := m.(*encoder.Call)
	frame, err := joinWithin(ctx, parts, size, in.decoder(isCall, int64(size)))
	if err == nil {
		done, err = in.decodeWithin(ctx, frame, m, isCall)
	}
	if err != nil {
		in.refusedFrames.Add(1)
	}
	return done, err
}

// joinWithin joins a frame when there is memory for the copy.
func joinWithin(ctx context.Context, parts [][]byte, size int, decoder *limiter.Decoder) ([]byte, error) {
	if len(parts) > 1 {
		done, err := decoder.Start(ctx, int64(size))
		if err != nil {
			return nil, err
		}
		defer done() // the parts are not needed any more
	}
	return join(parts, size), nil
}

// decodeWithin decodes a frame into m when there is memory for it.
func (in *intake) decodeWithin(ctx context.Context, frame []byte, m proto.Message, isCall bool) (done func(), err error) {
	messages, err := countMessages(frame, m.ProtoReflect().Descriptor())
	if err != nil {
		return nil, err
	}
	if messages > maxEmptyMessages+len(frame)/minMessageBytes {
		return nil, errSession
	}
	cost := int64(len(frame)) + int64(messages)*bytesPerMessage
	if isCall {
		cost += int64(countItems(callBody(frame))) * bytesPerItem
	}
	release, err := in.decoder(isCall, cost).Start(ctx, cost)
	if err != nil {
		return nil, err
	}
	if err := proto.Unmarshal(frame, m); err != nil {
		release()
		return nil, err
	}
	if !isCall && cost > smallMessageBytes {
		return func() { time.AfterFunc(queuedTime, release) }, nil
	}
	return release, nil
}
