package messenger

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
)

// Errors of the package.
var (
	// ErrNotSent reports that no byte of the call can have reached the other process.
	ErrNotSent = eris.New("messenger: the call was not sent")
	// ErrNoAnswer reports that the call may have been carried out.
	ErrNoAnswer = eris.New("messenger: no answer to the call")
)

// RemoteError is an error that the other process answered.
type RemoteError struct {
	// Code names the error; the two processes agree on it.
	Code string
	// Text is for people.
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Text }

// Kinds of streams; the first byte of a stream tells.
const (
	streamCall     = 'C'
	streamMessages = 'M'
)

// Handler carries out a call. A RemoteError is passed on to the caller; any
// other error is passed on with the code "internal".
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Messenger is one process's end of all sessions. Its fields are set before Run
// and not changed after.
type Messenger struct {
	// Listener takes sessions from other processes. Nil: none are taken.
	Listener net.Listener
	// Dial opens a connection to an address. Nil: TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Handlers has the handler of each method.
	Handlers map[string]Handler
	// OnMessage takes one-way messages. Nil: they are dropped.
	OnMessage func(m *encoder.Message)
	// PingInterval is the time between pings of a session. Zero: 1 s.
	PingInterval time.Duration
	// PingTimeout is how long a ping or a write may take before the session is
	// closed. Zero: 2 s.
	PingTimeout time.Duration
	// Logger takes the log.
	Logger zerolog.Logger
	// Traffic counts the bytes of all sessions.
	Traffic Traffic

	mu     sync.Mutex
	peers  map[string]*peer
	ctx    context.Context //nolint:containedctx // the life of the run group
	group  *conc.WaitGroup
	callID uint64
}

var (
	_ carobrock.Link   = (*Messenger)(nil)
	_ carobrock.Caller = (*Messenger)(nil)
)

// Prepare makes the messenger ready for Call and Send.
func (ms *Messenger) Prepare() {
	if ms.Dial == nil {
		ms.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	if ms.PingInterval == 0 {
		ms.PingInterval = time.Second
	}
	if ms.PingTimeout == 0 {
		ms.PingTimeout = 2 * time.Second
	}
	ms.peers = map[string]*peer{}
	ms.group = conc.NewWaitGroup()
}

// Run serves sessions until ctx ends. Prepare must have been called.
func (ms *Messenger) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ms.mu.Lock()
	ms.ctx = ctx
	for _, p := range ms.peers {
		ms.startSender(p)
	}
	ms.mu.Unlock()
	if ms.Listener != nil {
		ms.group.Go(func() { ms.accept(ctx) })
	}
	<-ctx.Done()
	ms.closeAll()
	ms.group.Wait()
	return nil
}

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

func (ms *Messenger) accept(ctx context.Context) {
	for {
		conn, err := ms.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			ms.Logger.Warn().Err(err).Msg("messenger: accept failed")
			time.Sleep(acceptPause)
			continue
		}
		ms.group.Go(func() { ms.serveConn(ctx, conn) })
	}
}

// acceptPause keeps a failing listener from using a whole processor.
const acceptPause = 50 * time.Millisecond

func (ms *Messenger) sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = ms.PingInterval
	cfg.ConnectionWriteTimeout = ms.PingTimeout
	cfg.StreamOpenTimeout = ms.PingTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

func (ms *Messenger) serveConn(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(ms.Traffic.count(conn), ms.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	streams := conc.NewWaitGroup()
	defer streams.Wait()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		streams.Go(func() { ms.serveStream(ctx, stream) })
	}
}

func (ms *Messenger) serveStream(ctx context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		return
	}
	switch kind[0] {
	case streamCall:
		ms.serveCall(ctx, stream)
	case streamMessages:
		ms.serveMessages(stream)
	}
}

func (ms *Messenger) serveMessages(stream net.Conn) {
	for {
		m := &encoder.Message{}
		if err := readFrame(stream, m); err != nil {
			return
		}
		if ms.OnMessage != nil {
			ms.OnMessage(m)
		}
	}
}

func (ms *Messenger) serveCall(ctx context.Context, stream net.Conn) {
	call := &encoder.Call{}
	if err := readFrame(stream, call); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetTimeoutMillis())*time.Millisecond)
	defer cancel()
	answer := &encoder.Answer{Id: call.GetId()}
	body, err := ms.handle(ctx, call)
	answer.Body = body
	if err != nil {
		answer.Code, answer.Text = "internal", err.Error()
		var remote *RemoteError
		if errors.As(err, &remote) {
			answer.Code, answer.Text = remote.Code, remote.Text
		}
	}
	_ = stream.SetWriteDeadline(time.Now().Add(ms.PingTimeout))
	if err := writeFrame(stream, answer); err != nil {
		ms.Logger.Debug().Err(err).Str("method", call.GetMethod()).Msg("messenger: answer not sent")
	}
}

func (ms *Messenger) handle(ctx context.Context, call *encoder.Call) ([]byte, error) {
	h, ok := ms.Handlers[call.GetMethod()]
	if !ok {
		return nil, &RemoteError{Code: "unknownMethod", Text: "unknown method " + call.GetMethod()}
	}
	return h(ctx, call.GetBody())
}
