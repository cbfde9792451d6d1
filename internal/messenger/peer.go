package messenger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock/internal/encoder"
)

const (
	// sendQueue is how many one-way messages may wait for one peer.
	sendQueue = 512
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// redialPause is the least time between attempts to connect to one peer.
	redialPause = 100 * time.Millisecond
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 10 * time.Second
)

// peer is the dialled side of the sessions with one address.
type peer struct {
	address string
	queue   chan *encoder.Message
	started bool

	mu       sync.Mutex
	session  *yamux.Session
	lastDial time.Time
	lastErr  error
	closed   bool
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.session != nil {
		_ = p.session.Close()
	}
}

func (ms *Messenger) peer(address string) *peer {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	p, ok := ms.peers[address]
	if !ok {
		p = &peer{address: address, queue: make(chan *encoder.Message, sendQueue)}
		ms.peers[address] = p
	}
	return p
}

// connect returns the live session with p, dialling if there is none.
func (ms *Messenger) connect(ctx context.Context, p *peer) (*yamux.Session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, eris.Wrap(ErrNotSent, "the messenger has stopped")
	}
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	if time.Since(p.lastDial) < redialPause && p.lastErr != nil {
		return nil, p.lastErr
	}
	session, err := ms.dial(ctx, p.address)
	p.lastDial, p.lastErr, p.session = time.Now(), err, session
	return session, err
}

func (ms *Messenger) dial(ctx context.Context, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := ms.Dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "cannot connect to %s: %v", address, err)
	}
	session, err := yamux.Client(ms.Traffic.count(conn), ms.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(ErrNotSent, "cannot open a session with %s: %v", address, err)
	}
	return session, nil
}

// Call calls method at address and returns the answer's body. It fails with
// ErrNotSent, ErrNoAnswer or the other process's *RemoteError. Without a
// deadline in ctx a call ends after 10 s.
func (ms *Messenger) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	session, err := ms.connect(ctx, ms.peer(address))
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
	answer, err := ms.exchange(ctx, stream, method, body)
	if err != nil {
		return nil, eris.Wrapf(ErrNoAnswer, "%s at %s: %v", method, address, err)
	}
	if answer.GetCode() != "" {
		return nil, &RemoteError{Code: answer.GetCode(), Text: answer.GetText()}
	}
	return answer.GetBody(), nil
}

func (ms *Messenger) exchange(ctx context.Context, stream net.Conn, method string, body []byte) (*encoder.Answer, error) {
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	call := &encoder.Call{Id: ms.nextID(), Method: method, Body: body}
	call.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	if _, err := stream.Write([]byte{streamCall}); err != nil {
		return nil, err
	}
	if err := writeFrame(stream, call); err != nil {
		return nil, err
	}
	answer := &encoder.Answer{}
	if err := readFrame(stream, answer); err != nil {
		return nil, err
	}
	if answer.GetId() != call.GetId() {
		return nil, eris.Errorf("answer to call %d came for call %d", answer.GetId(), call.GetId())
	}
	return answer, nil
}

func (ms *Messenger) nextID() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.callID++
	return ms.callID
}

// Send implements carobrock.Link. It drops the message if too many wait.
func (ms *Messenger) Send(address string, m *encoder.Message) {
	p := ms.peer(address)
	ms.mu.Lock()
	ms.startSender(p)
	ms.mu.Unlock()
	select {
	case p.queue <- m:
	default:
	}
}

// startSender starts the goroutine that sends p's messages, once Run has begun.
// The caller holds ms.mu.
func (ms *Messenger) startSender(p *peer) {
	if p.started || ms.ctx == nil || ms.ctx.Err() != nil {
		return
	}
	p.started = true
	ctx := ms.ctx
	ms.group.Go(func() { ms.sendAll(ctx, p) })
}

// sendAll sends p's messages until ctx ends.
func (ms *Messenger) sendAll(ctx context.Context, p *peer) {
	var stream net.Conn
	var err error
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			if stream == nil {
				stream, err = ms.openMessages(ctx, p)
			}
			if err == nil {
				_ = stream.SetWriteDeadline(time.Now().Add(ms.PingTimeout))
				err = writeFrame(stream, m)
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

func (ms *Messenger) openMessages(ctx context.Context, p *peer) (net.Conn, error) {
	session, err := ms.connect(ctx, p)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	_, err = stream.Write([]byte{streamMessages})
	return stream, err
}
