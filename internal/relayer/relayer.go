// Package relayer carries the calls of carobrock.Control between processes.
//
// The bodies are the JSON documents that operators use; errors keep their kind
// across the connection.
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

// Methods, each behind the prefix of the receiver.
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

// Codes of errors between processes.
const (
	codeNotDone   = "notDone"
	codeUndecided = "undecided"
	codeRefused   = "refused"
	codeNotFound  = "notFound"
	codeNameTaken = "nameTaken"
)

var codes = []struct {
	code string
	err  error
}{
	{codeNotDone, carobrock.ErrNotDone},
	{codeUndecided, carobrock.ErrUndecided},
	{codeRefused, carobrock.ErrRefused},
	{codeNotFound, carobrock.ErrNotFound},
	{codeNameTaken, carobrock.ErrNameTaken},
}

func encodeError(err error) error {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return &messenger.RemoteError{Code: c.code, Text: err.Error()}
		}
	}
	return &messenger.RemoteError{Code: codeUndecided, Text: err.Error()}
}

func decodeError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, messenger.ErrNotSent) {
		return eris.Wrap(carobrock.ErrNotDone, err.Error())
	}
	var remote *messenger.RemoteError
	if errors.As(err, &remote) {
		for _, c := range codes {
			if remote.Code == c.code {
				return &relayedError{text: remote.Text, kind: c.err}
			}
		}
	}
	return eris.Wrap(carobrock.ErrUndecided, err.Error())
}

// relayedError is an error of another process with its kind.
type relayedError struct {
	text string
	kind error
}

// Error implements error.
func (e *relayedError) Error() string { return e.text }

// Unwrap returns the kind.
func (e *relayedError) Unwrap() error { return e.kind }

// Handlers returns the handlers that offer control under a prefix.
func Handlers(prefix string, control carobrock.Control) map[string]messenger.Handler {
	return map[string]messenger.Handler{
		prefix + methodPropose: func(ctx context.Context, body []byte) ([]byte, error) {
			c := &carobrock.Command{}
			return serve(body, c, func() (any, error) { return control.Propose(ctx, c) })
		},
		prefix + methodRead: func(ctx context.Context, body []byte) ([]byte, error) {
			q := &carobrock.Query{}
			return serve(body, q, func() (any, error) {
				data, err := control.Read(ctx, *q)
				return json.RawMessage(data), err
			})
		},
		prefix + methodAnnounce: func(ctx context.Context, body []byte) ([]byte, error) {
			a := &carobrock.Announcement{}
			return serve(body, a, func() (any, error) { return control.Announce(ctx, a) })
		},
		prefix + methodReplace: func(ctx context.Context, body []byte) ([]byte, error) {
			req := &replaceRequest{}
			return serve(body, req, func() (any, error) {
				return struct{}{}, control.ReplaceReplica(ctx, req.Name, req.Address)
			})
		},
	}
}

// serve decodes body into request, runs fn and encodes its result.
func serve(body []byte, request any, fn func() (any, error)) ([]byte, error) {
	if err := json.Unmarshal(body, request); err != nil {
		return nil, &messenger.RemoteError{Code: codeRefused, Text: err.Error()}
	}
	value, err := fn()
	if err != nil {
		return nil, encodeError(err)
	}
	return json.Marshal(value)
}

// Stub is the Control of one other process.
type Stub struct {
	// Caller reaches the process.
	Caller carobrock.Caller
	// Address is where it takes calls.
	Address string
	// Prefix is the prefix of the methods there.
	Prefix string
}

var _ carobrock.Control = (*Stub)(nil)

func (s *Stub) call(ctx context.Context, method string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(carobrock.ErrRefused, err.Error())
	}
	data, err := s.Caller.Call(ctx, s.Address, s.Prefix+method, body)
	if err != nil {
		return decodeError(err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return eris.Wrap(carobrock.ErrUndecided, err.Error())
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

// Relayer is the Control of a process that is no replica: it passes every call
// to one of the replicas, and to the next one if a replica cannot carry it out.
type Relayer struct {
	// Caller reaches the replicas.
	Caller carobrock.Caller
	// Replicas are their addresses.
	Replicas []string
}

var _ carobrock.Control = (*Relayer)(nil)

const (
	// tryTimeout bounds one attempt at one replica.
	tryTimeout = 2 * time.Second
	// replaceTimeout bounds the replacement of a replica.
	replaceTimeout = 5 * time.Minute
	retryPause     = 50 * time.Millisecond
)

// each calls fn with one replica after the other until one carries the call
// out, the call must not be repeated, or ctx ends.
func (r *Relayer) each(ctx context.Context, timeout time.Duration, repeatable bool, fn func(ctx context.Context, s *Stub) error) error {
	err := error(carobrock.ErrNotDone)
	undecided := false
	for i := 0; ctx.Err() == nil; i++ {
		try, cancel := context.WithTimeout(ctx, timeout)
		err = fn(try, &Stub{Caller: r.Caller, Address: r.Replicas[i%len(r.Replicas)]})
		cancel()
		if errors.Is(err, carobrock.ErrUndecided) {
			undecided = true
		}
		again := errors.Is(err, carobrock.ErrNotDone) || repeatable && errors.Is(err, carobrock.ErrUndecided)
		if !again {
			return err
		}
		if i%len(r.Replicas) == len(r.Replicas)-1 {
			_ = sleeper.Sleep(ctx, retryPause) // the loop looks at ctx itself
		}
	}
	if undecided {
		return carobrock.ErrUndecided
	}
	return err
}

// Propose implements carobrock.Control. A command with a change ID is repeated
// until its result is known.
func (r *Relayer) Propose(ctx context.Context, c *carobrock.Command) (res *carobrock.Result, err error) {
	err = r.each(ctx, tryTimeout, c.IsRepeatable(), func(ctx context.Context, s *Stub) error {
		res, err = s.Propose(ctx, c)
		return err
	})
	return res, err
}

// Read implements carobrock.Control.
func (r *Relayer) Read(ctx context.Context, q carobrock.Query) (data []byte, err error) {
	err = r.each(ctx, tryTimeout, true, func(ctx context.Context, s *Stub) error {
		data, err = s.Read(ctx, q)
		return err
	})
	return data, err
}

// Announce implements carobrock.Control.
func (r *Relayer) Announce(ctx context.Context, a *carobrock.Announcement) (res *carobrock.Renewal, err error) {
	err = r.each(ctx, tryTimeout, true, func(ctx context.Context, s *Stub) error {
		res, err = s.Announce(ctx, a)
		return err
	})
	return res, err
}

// ReplaceReplica implements carobrock.Control.
func (r *Relayer) ReplaceReplica(ctx context.Context, name, address string) error {
	return r.each(ctx, replaceTimeout, true, func(ctx context.Context, s *Stub) error {
		return s.ReplaceReplica(ctx, name, address)
	})
}
