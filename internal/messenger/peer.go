package messenger

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
)

const (
	// sendQueueCapacity is the capacity of the queue of one-way messages to a peer,
	// largeQueueCapacity that of the queue of those above smallMessageBytes.
	sendQueueCapacity  = 512
	largeQueueCapacity = 64
	// maxQueuedTime is the time after which a queued message without a snapshot is
	// discarded. Replicas repeat what is not acknowledged within some seconds.
	maxQueuedTime = 10 * time.Second
	// dialTimeout is the timeout of one connection attempt.
	dialTimeout = 2 * time.Second
	// minRedialInterval is the time after a failed connection attempt to a peer
	// during which no new attempt is made.
	minRedialInterval = 100 * time.Millisecond
	// defaultCallTimeout is the timeout of a call whose context has no
	// deadline.
	defaultCallTimeout = 10 * time.Second
)

// peer holds the session that this process dials to one address.
type peer struct {
	address      string
	small, large *sendQueue // one-way messages up to and above smallMessageBytes
	// connecting holds an element while a session is being dialled.
	connecting chan struct{}

	mu          sync.Mutex
	session     *dialledSession
	lastDial    time.Time
	lastDialErr error
	closed      bool
}

// sendQueue holds the one-way messages that share a stream.
type sendQueue struct {
	messages      chan queuedMessage
	senderStarted bool

	mu sync.Mutex
	// snapshots holds the snapshots of the queued messages, each once. A leader repeats
	// one while it is being sent.
	snapshots map[*encoder.Snapshot]bool
}

// add queues a message, unless the queue is full or holds its snapshot.
func (q *sendQueue) add(m *encoder.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := m.GetSnapshot()
	if s != nil && q.snapshots[s] {
		return
	}
	select {
	case q.messages <- queuedMessage{Message: m, since: time.Now()}:
		if s != nil {
			q.snapshots[s] = true
		}
	default:
	}
}

// take records that a message has left the queue, and reports whether it is to be sent.
func (q *sendQueue) take(m queuedMessage) bool {
	s := m.GetSnapshot()
	if s == nil {
		return time.Since(m.since) <= maxQueuedTime
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.snapshots, s)
	return true
}

type queuedMessage struct {
	*encoder.Message
	since time.Time
}

func newSendQueue(capacity int) *sendQueue {
	return &sendQueue{messages: make(chan queuedMessage, capacity), snapshots: map[*encoder.Snapshot]bool{}}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.session != nil {
		_ = p.session.Close()
	}
}

// findOrAddPeer returns the peer with the given address and adds it if
// necessary.
func (ms *Messenger) findOrAddPeer(address string) *peer {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	p, ok := ms.peers[address]
	if !ok {
		p = &peer{address: address, small: newSendQueue(sendQueueCapacity), large: newSendQueue(largeQueueCapacity), connecting: make(chan struct{}, 1)}
		ms.peers[address] = p
	}
	return p
}

// openSession returns the open session to p and dials a new one if there is none.
// After a failed attempt that ctx did not cut short it returns the same error for
// minRedialInterval. It does not wait longer than ctx allows for another call that is
// dialling.
func (ms *Messenger) openSession(ctx context.Context, p *peer) (*dialledSession, error) {
	if session, err := p.currentSession(); session != nil || err != nil {
		return session, err
	}
	select {
	case p.connecting <- struct{}{}:
		defer func() { <-p.connecting }()
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrNotSent, "waiting for a connection to %s: %v", p.address, ctx.Err())
	}
	if session, err := p.currentSession(); session != nil || err != nil {
		return session, err
	}
	session, err := ms.dial(ctx, p.address)
	if err != nil && hasEnded(ctx) {
		return nil, err // says nothing to the calls that wait
	}
	return p.setSession(session, err)
}

// hasEnded reports whether ctx is done or its deadline has passed.
func hasEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// currentSession returns the open session, the error of an attempt to dial less than
// minRedialInterval ago, or neither.
func (p *peer) currentSession() (*dialledSession, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, eris.Wrap(ErrNotSent, "messenger is closed")
	}
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	if time.Since(p.lastDial) < minRedialInterval && p.lastDialErr != nil {
		return nil, p.lastDialErr
	}
	return nil, nil
}

// setSession records the result of an attempt to dial and returns it. A session that
// was dialled while p was closed is closed.
func (p *peer) setSession(session *dialledSession, err error) (*dialledSession, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastDial, p.lastDialErr, p.session = time.Now(), err, session
	if p.closed && session != nil {
		_ = session.Close()
		return nil, eris.Wrap(ErrNotSent, "messenger is closed")
	}
	return session, err
}

// dial connects to address and opens a session.
func (ms *Messenger) dial(ctx context.Context, address string) (*dialledSession, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := ms.Dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "cannot connect to %s: %v", address, err)
	}
	limitUnsent(conn)
	session, err := newDialledSession(ms.Traffic.countConn(conn), ms.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(ErrNotSent, "cannot open a session with %s: %v", address, err)
	}
	return session, nil
}

// Call invokes method at address and returns the body of the response. It
// returns an error that wraps ErrNotSent, a *NoResponseError, or a *RemoteError of
// the other process. If ctx has no deadline, the call times out after 10 s.
func (ms *Messenger) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	session, err := ms.openSession(ctx, ms.findOrAddPeer(address))
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "cannot open a stream to %s: %v", address, err)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	resp, err := ms.exchangeCall(ctx, stream, &session.partBytes, method, body)
	if err != nil {
		return nil, &NoResponseError{IsConnected: !session.IsClosed(), Silence: session.silence(), text: fmt.Sprintf("%s at %s: %v", method, address, err)}
	}
	if resp.GetCode() != "" {
		return nil, &RemoteError{Code: resp.GetCode(), Text: resp.GetText()}
	}
	return resp.GetBody(), nil
}

// exchangeCall sends a call on a stream in parts of partBytes and reads the response.
func (ms *Messenger) exchangeCall(ctx context.Context, stream net.Conn, partBytes *atomic.Int64, method string, body []byte) (*encoder.Answer, error) {
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	call := &encoder.Call{Id: ms.nextCallID(), Method: method, Body: body}
	call.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	if _, err := stream.Write([]byte{streamCall}); err != nil {
		return nil, err
	}
	if err := writeFrame(&partWriter{stream: stream, partBytes: partBytes}, call); err != nil {
		return nil, err
	}
	resp := &encoder.Answer{}
	if err := readFrame(stream, resp); err != nil {
		return nil, err
	}
	if resp.GetId() != call.GetId() {
		return nil, eris.Errorf("response for call %d received for call %d", resp.GetId(), call.GetId())
	}
	return resp, nil
}

func (ms *Messenger) nextCallID() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.lastCallID++
	return ms.lastCallID
}

// Send implements carobrock.Transport. It discards the message if the queue of
// the peer is full. A small message may overtake a large one.
func (ms *Messenger) Send(address string, m *encoder.Message) {
	p := ms.findOrAddPeer(address)
	q := p.small
	if proto.Size(m) > smallMessageBytes {
		q = p.large
	}
	ms.mu.Lock()
	ms.startSender(p, q)
	ms.mu.Unlock()
	q.add(m)
}

// startSender starts the goroutine that sends the messages of a queue to p, unless it is
// running or Run is not active. The caller must hold ms.mu.
func (ms *Messenger) startSender(p *peer, q *sendQueue) {
	if q.senderStarted || ms.runCtx == nil || ms.runCtx.Err() != nil {
		return
	}
	q.senderStarted = true
	ctx := ms.runCtx
	ms.group.Go(func() { ms.runSender(ctx, p, q) })
}

// runSender sends the messages of a queue to p until ctx ends. Messages that cannot
// be sent, or have waited too long, are discarded.
func (ms *Messenger) runSender(ctx context.Context, p *peer, q *sendQueue) {
	var stream *oneWayStream
	var err error
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-q.messages:
			if !q.take(m) {
				continue
			}
			if stream == nil || stream.isEnded() {
				stream, err = ms.openOneWayStream(ctx, p)
			}
			if err == nil {
				err = writeFrame(&partWriter{stream: stream, partBytes: stream.partBytes, partTimeout: ms.PingTimeout}, m.Message)
			}
			if err != nil && stream != nil {
				_ = stream.Close()
			}
			if err != nil {
				stream, err = nil, nil
			}
		}
	}
}

// openOneWayStream opens a stream for one-way messages to p.
func (ms *Messenger) openOneWayStream(ctx context.Context, p *peer) (*oneWayStream, error) {
	session, err := ms.openSession(ctx, p)
	if err != nil {
		return nil, err
	}
	opened, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	stream := &oneWayStream{Conn: opened, partBytes: &session.partBytes, ended: make(chan struct{})}
	ms.group.Go(stream.watch)
	_, err = stream.Write([]byte{streamOneWay})
	return stream, err
}

// oneWayStream is a stream for one-way messages, on which the other process sends nothing.
type oneWayStream struct {
	net.Conn
	partBytes *atomic.Int64
	ended     chan struct{} // closed when the other process has closed the stream
}

// watch closes the stream when the other process does. yamux itself would let it be
// written to until streamCloseTimeout, and all messages would be lost meanwhile.
func (s *oneWayStream) watch() {
	_, _ = io.Copy(io.Discard, s.Conn) // any error ends the stream
	close(s.ended)
	_ = s.Close()
}

// isEnded returns whether the other process has closed the stream.
func (s *oneWayStream) isEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}
