package messenger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/limiter"
)

// Errors returned by Messenger.Call.
var (
	// ErrNotSent reports that no byte of the call can have reached the other
	// process.
	ErrNotSent = eris.New("messenger: call not sent")
	// ErrNoResponse reports that no response arrived. The other process may have
	// executed the call.
	ErrNoResponse = eris.New("messenger: no response to the call")
)

// RemoteError is an error returned by the handler in the other process.
type RemoteError struct {
	// Code identifies the error type. Both processes must agree on its values.
	Code string
	// Text is a human-readable description.
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Text }

// Stream kinds, sent as the first byte of a stream.
const (
	streamCall   = 'C'
	streamOneWay = 'M'
)

// Handler executes a call and returns the body of the response. A *RemoteError
// is sent to the caller as it is. Any other error is sent with the code
// "internal".
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Messenger manages all sessions of a process. Its exported fields must be set
// before Prepare and not modified afterwards. Its methods are safe for
// concurrent use.
type Messenger struct {
	// Listener accepts sessions from other processes. If nil, none are
	// accepted.
	Listener net.Listener
	// Dial opens a connection to an address. If nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Handlers holds the handlers by method name.
	Handlers map[string]Handler
	// OnMessage receives one-way messages. If nil, they are discarded.
	OnMessage func(m *encoder.Message)
	// PingInterval is the interval between pings of a session that this process has
	// dialled. If zero, it is 250 ms.
	PingInterval time.Duration
	// PingTimeout is the timeout of a ping, of a part of a frame and of the
	// acknowledgement of a new stream. The session is closed if a ping or an
	// acknowledgement times out. If zero, it is 2 s.
	PingTimeout time.Duration
	Logger      zerolog.Logger
	// Limits bounds what other processes may make this one hold. If zero, limits are
	// used that allow for frames of the maximum size.
	Limits limiter.PeerLimits
	// Traffic counts the bytes of all connections.
	Traffic Traffic

	mu         sync.Mutex
	peers      map[string]*peer
	runCtx     context.Context //nolint:containedctx // context of Run; bounds the goroutines of group
	group      *conc.WaitGroup
	lastCallID uint64
	intake     *intake
}

var (
	_ carobrock.Transport = (*Messenger)(nil)
	_ carobrock.RPCClient = (*Messenger)(nil)
)

// Prepare sets defaults and initializes the messenger. It must be called before
// any other method.
func (ms *Messenger) Prepare() {
	if ms.Dial == nil {
		ms.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	if ms.PingInterval == 0 {
		ms.PingInterval = 250 * time.Millisecond
	}
	if ms.PingTimeout == 0 {
		ms.PingTimeout = 2 * time.Second
	}
	ms.intake = newIntake(ms.Limits)
	ms.peers = map[string]*peer{}
	ms.group = conc.NewWaitGroup()
}

// Run serves sessions until ctx ends, then closes all sessions and waits for
// their goroutines. It returns nil.
func (ms *Messenger) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ms.mu.Lock()
	ms.runCtx = ctx
	for _, p := range ms.peers {
		ms.startSender(p, p.small)
		ms.startSender(p, p.large)
	}
	ms.mu.Unlock()
	if ms.Listener != nil {
		ms.group.Go(func() { ms.acceptConns(ctx) })
		ms.group.Go(func() { ms.intake.logRefusals(ctx, ms.Logger) })
	}
	<-ctx.Done()
	ms.closeAll()
	ms.group.Wait()
	return nil
}

// closeAll closes the listener and the sessions that this process dialled.
func (ms *Messenger) closeAll() {
	if ms.Listener != nil {
		_ = ms.Listener.Close()
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, p := range ms.peers {
		p.close()
	}
}

// acceptConns accepts connections until ctx ends or the listener is closed.
func (ms *Messenger) acceptConns(ctx context.Context) {
	for {
		conn, err := ms.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			ms.Logger.Warn().Err(err).Msg("messenger: cannot accept a connection")
			time.Sleep(acceptRetryDelay)
			continue
		}
		limitUnsent(conn)
		incoming := ms.intake.add(conn)
		if incoming == nil {
			_ = conn.Close() // nothing was sent on it
			continue
		}
		ms.group.Go(func() { ms.serveConn(ctx, incoming) })
	}
}

// acceptRetryDelay is the delay after a failed accept. It prevents a busy loop if
// the listener keeps failing.
const acceptRetryDelay = 50 * time.Millisecond

// acceptedPingInterval is the interval between pings of a session that another process has
// dialled. They only detect that the session is lost.
const acceptedPingInterval = time.Second

// sessionConfig returns the yamux configuration of a session that this process dials.
func (ms *Messenger) sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = ms.PingInterval
	cfg.ConnectionWriteTimeout = ms.PingTimeout
	cfg.StreamOpenTimeout = ms.PingTimeout
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.AcceptBacklog = acceptBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

// serveConn serves the streams of one incoming connection until it is closed.
func (ms *Messenger) serveConn(ctx context.Context, conn *incomingSession) {
	config := ms.sessionConfig()
	config.KeepAliveInterval = acceptedPingInterval
	session, err := yamux.Server(ms.Traffic.countConn(conn), config)
	if err != nil {
		_ = conn.Close()
		return
	}
	conn.setSession(session)
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	streams := conc.NewWaitGroup()
	defer streams.Wait()
	for {
		accepted, err := session.AcceptStream()
		if err != nil {
			return
		}
		stream := conn.startStream(accepted)
		if stream == nil {
			return // the session is closed
		}
		streams.Go(func() { ms.serveStream(ctx, stream) })
	}
}

// serveStream serves one incoming stream according to its kind.
func (ms *Messenger) serveStream(ctx context.Context, stream *incomingStream) {
	defer func() { _ = stream.Close() }()
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		return
	}
	switch kind[0] {
	case streamCall:
		ms.serveCall(ctx, stream)
	case streamOneWay:
		ms.serveOneWay(ctx, stream)
	}
}

// serveOneWay passes the one-way messages of a stream to OnMessage. A message for which
// there is no memory is dropped. After any other error the stream ends, and the sender
// opens a new one.
func (ms *Messenger) serveOneWay(ctx context.Context, stream *incomingStream) {
	for {
		m := &encoder.Message{}
		done, err := stream.decode(ctx, m)
		if errors.Is(err, limiter.ErrExhausted) && ctx.Err() == nil {
			stream.releaseFrame()
			continue
		}
		if err != nil {
			return
		}
		if ms.OnMessage != nil {
			ms.OnMessage(m)
		}
		stream.releaseFrame()
		done()
	}
}

// serveCall reads a call from its stream, executes it and writes the response.
func (ms *Messenger) serveCall(ctx context.Context, stream *incomingStream) {
	call := &encoder.Call{}
	done, err := stream.decode(ctx, call)
	if err != nil {
		return
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetTimeoutMillis())*time.Millisecond)
	defer cancel()
	resp := &encoder.Answer{Id: call.GetId()}
	body, err := ms.runHandler(ctx, call)
	resp.Body = body
	if err != nil {
		resp.Code, resp.Text = "internal", err.Error()
		var remote *RemoteError
		if errors.As(err, &remote) {
			resp.Code, resp.Text = remote.Code, remote.Text
		}
	}
	w := &partWriter{stream: stream, partBytes: &stream.session.partBytes, partTimeout: ms.PingTimeout, timeOver: ctx.Done()}
	if err := writeFrame(w, resp); err != nil {
		ms.Logger.Debug().Err(err).Str("method", call.GetMethod()).Msg("messenger: cannot send the response")
	}
}

// runHandler runs the handler of the call's method. A panic of the handler ends
// the call with an error and is logged; the process continues to serve others.
func (ms *Messenger) runHandler(ctx context.Context, call *encoder.Call) (body []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			ms.Logger.Error().Str("method", call.GetMethod()).Str("panic", fmt.Sprint(r)).Bytes("stack", debug.Stack()).Msg("messenger: handler panicked")
			body, err = nil, &RemoteError{Code: "internal", Text: "the handler panicked"}
		}
	}()
	h, ok := ms.Handlers[call.GetMethod()]
	if !ok {
		return nil, &RemoteError{Code: "unknownMethod", Text: "unknown method " + call.GetMethod()}
	}
	return h(ctx, call.GetBody())
}
