// Package relayer implements remote calls of carobrock.Control between processes.
//
// The bodies are the same JSON documents that operators send. Errors keep their
// kind across the connection: errors.Is works for the errors of carobrock.Control.
package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/sleeper"
)

// Method names. The prefix that is given to Handlers and Stub precedes each of them
// in a call.
const (
	methodPropose  = "propose"
	methodRead     = "query"
	methodAnnounce = "announce"
	methodReplace  = "replace"
)

// replaceRequest is the body of a call that replaces a replica.
type replaceRequest struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Error codes in responses between processes.
const (
	codeNotApplied     = "notDone"
	codeOutcomeUnknown = "undecided"
	codeRefused        = "refused"
	codeNotFound       = "notFound"
	codeNameTaken      = "nameTaken"
)

// errorCodes maps error codes to the errors of carobrock.Control.
var errorCodes = []struct {
	code string
	err  error
}{
	{codeNotApplied, carobrock.ErrNotApplied},
	{codeOutcomeUnknown, carobrock.ErrOutcomeUnknown},
	{codeRefused, carobrock.ErrRefused},
	{codeNotFound, carobrock.ErrNotFound},
	{codeNameTaken, carobrock.ErrNameTaken},
}

// encodeError returns a RemoteError with the code of err. Errors of unknown kind get
// codeOutcomeUnknown.
func encodeError(err error) error {
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return &messenger.RemoteError{Code: c.code, Text: err.Error()}
		}
	}
	return &messenger.RemoteError{Code: codeOutcomeUnknown, Text: err.Error()}
}

// decodeError translates an error of a remote call into one of carobrock.Control.
// Failures of the connection become ErrNotApplied if the call was not sent and
// ErrOutcomeUnknown otherwise.
func decodeError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, messenger.ErrNotSent) {
		return eris.Wrap(carobrock.ErrNotApplied, err.Error())
	}
	var remote *messenger.RemoteError
	if errors.As(err, &remote) {
		for _, c := range errorCodes {
			if remote.Code == c.code {
				return &relayedError{text: remote.Text, kind: c.err}
			}
		}
	}
	return eris.Wrap(carobrock.ErrOutcomeUnknown, err.Error())
}

// relayedError is an error returned by another process.
type relayedError struct {
	text string
	kind error
}

// Error implements error.
func (e *relayedError) Error() string { return e.text }

// Unwrap returns the error of carobrock.Control that gives the kind.
func (e *relayedError) Unwrap() error { return e.kind }

// Handlers returns handlers for the methods of control, with prefix before each
// method name.
func Handlers(prefix string, control carobrock.Control) map[string]messenger.Handler {
	return map[string]messenger.Handler{
		prefix + methodPropose: func(ctx context.Context, body []byte) ([]byte, error) {
			c := &carobrock.Command{}
			return handleCall(body, c, func() (any, error) { return control.Propose(ctx, c) })
		},
		prefix + methodRead: func(ctx context.Context, body []byte) ([]byte, error) {
			q := &carobrock.Query{}
			return handleCall(body, q, func() (any, error) {
				data, err := control.Read(ctx, *q)
				return json.RawMessage(data), err
			})
		},
		prefix + methodAnnounce: func(ctx context.Context, body []byte) ([]byte, error) {
			a := &carobrock.Announcement{}
			return handleCall(body, a, func() (any, error) { return control.Announce(ctx, a) })
		},
		prefix + methodReplace: func(ctx context.Context, body []byte) ([]byte, error) {
			req := &replaceRequest{}
			return handleCall(body, req, func() (any, error) {
				return struct{}{}, control.ReplaceReplica(ctx, req.Name, req.Address)
			})
		},
	}
}

// handleCall decodes body into request, calls fn and encodes its result. Errors are
// returned as RemoteError.
func handleCall(body []byte, request any, fn func() (any, error)) ([]byte, error) {
	if err := json.Unmarshal(body, request); err != nil {
		return nil, &messenger.RemoteError{Code: codeRefused, Text: err.Error()}
	}
	value, err := fn()
	if err != nil {
		return nil, encodeError(err)
	}
	return json.Marshal(value)
}

// Stub is a client for the Control of another process.
type Stub struct {
	// RPCClient sends the calls.
	RPCClient carobrock.RPCClient
	// Address is the peer address of the process.
	Address string
	// Prefix precedes each method name.
	Prefix string
}

var _ carobrock.Control = (*Stub)(nil)

// call calls a method with request as its body and decodes the response into
// result.
func (s *Stub) call(ctx context.Context, method string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(carobrock.ErrRefused, err.Error())
	}
	data, err := s.RPCClient.Call(ctx, s.Address, s.Prefix+method, body)
	if err != nil {
		return decodeError(err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return eris.Wrap(carobrock.ErrOutcomeUnknown, err.Error())
	}
	return nil
}

// Propose implements carobrock.Control.
func (s *Stub) Propose(ctx context.Context, c *carobrock.Command) (*carobrock.Result, error) {
	res := &carobrock.Result{}
	return res, s.call(ctx, methodPropose, c, res)
}

// Read implements carobrock.Control.
func (s *Stub) Read(ctx context.Context, q carobrock.Query) ([]byte, error) {
	res := json.RawMessage{}
	err := s.call(ctx, methodRead, q, &res)
	return res, err
}

// Announce implements carobrock.Control.
func (s *Stub) Announce(ctx context.Context, a *carobrock.Announcement) (*carobrock.Renewal, error) {
	res := &carobrock.Renewal{}
	return res, s.call(ctx, methodAnnounce, a, res)
}

// ReplaceReplica implements carobrock.Control.
func (s *Stub) ReplaceReplica(ctx context.Context, name, address string) error {
	return s.call(ctx, methodReplace, &replaceRequest{Name: name, Address: address}, &struct{}{})
}

// Relayer is the Control of a process without a replica. It sends each call to the
// replicas in turn until one of them executes it.
type Relayer struct {
	// RPCClient sends the calls.
	RPCClient carobrock.RPCClient
	// Replicas are the peer addresses of the replicas.
	Replicas []string
}

var _ carobrock.Control = (*Relayer)(nil)

const (
	// attemptTimeout bounds one attempt of a call at one replica.
	attemptTimeout = 2 * time.Second
	// replaceTimeout bounds one attempt to replace a replica.
	replaceTimeout = 5 * time.Minute
	// retryDelay is the delay after all replicas have failed once.
	retryDelay = 50 * time.Millisecond
)

// tryReplicas calls fn with the stub of one replica after the other until one
// executes the call, the call must not be retried, or ctx ends. Each attempt is
// bounded by timeout. After ErrOutcomeUnknown it retries only an idempotent
// call. It fails with ErrOutcomeUnknown if any attempt did and ctx has ended.
func (r *Relayer) tryReplicas(ctx context.Context, timeout time.Duration, idempotent bool, fn func(ctx context.Context, s *Stub) error) error {
	err := error(carobrock.ErrNotApplied)
	outcomeUnknown := false
	for i := 0; ctx.Err() == nil; i++ {
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		err = fn(attemptCtx, &Stub{RPCClient: r.RPCClient, Address: r.Replicas[i%len(r.Replicas)]})
		cancel()
		if errors.Is(err, carobrock.ErrOutcomeUnknown) {
			outcomeUnknown = true
		}
		retry := errors.Is(err, carobrock.ErrNotApplied) || idempotent && errors.Is(err, carobrock.ErrOutcomeUnknown)
		if !retry {
			return err
		}
		if i%len(r.Replicas) == len(r.Replicas)-1 {
			_ = sleeper.Sleep(ctx, retryDelay) // the loop checks ctx
		}
	}
	if outcomeUnknown {
		return carobrock.ErrOutcomeUnknown
	}
	return err
}

// Propose implements carobrock.Control. It retries an idempotent command until
// its result is known or ctx ends.
func (r *Relayer) Propose(ctx context.Context, c *carobrock.Command) (res *carobrock.Result, err error) {
	err = r.tryReplicas(ctx, attemptTimeout, c.IsIdempotent(), func(ctx context.Context, s *Stub) error {
		res, err = s.Propose(ctx, c)
		return err
	})
	return res, err
}

// Read implements carobrock.Control.
func (r *Relayer) Read(ctx context.Context, q carobrock.Query) (data []byte, err error) {
	err = r.tryReplicas(ctx, attemptTimeout, true, func(ctx context.Context, s *Stub) error {
		data, err = s.Read(ctx, q)
		return err
	})
	return data, err
}

// Announce implements carobrock.Control.
func (r *Relayer) Announce(ctx context.Context, a *carobrock.Announcement) (res *carobrock.Renewal, err error) {
	err = r.tryReplicas(ctx, attemptTimeout, true, func(ctx context.Context, s *Stub) error {
		res, err = s.Announce(ctx, a)
		return err
	})
	return res, err
}

// ReplaceReplica implements carobrock.Control.
func (r *Relayer) ReplaceReplica(ctx context.Context, name, address string) error {
	return r.tryReplicas(ctx, replaceTimeout, true, func(ctx context.Context, s *Stub) error {
		return s.ReplaceReplica(ctx, name, address)
	})
}
