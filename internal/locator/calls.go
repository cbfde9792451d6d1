package locator

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/messenger"
)

// Methods of the calls between processes.
const (
	methodSubmit        = "jobs/submit"
	methodCancel        = "jobs/cancel"
	methodState         = "jobs/state"
	methodPending       = "jobs/pending"
	methodConfigure     = "jobs/configure"
	methodConfiguration = "jobs/configuration"
	methodWatch         = "jobs/watch"
	methodZone          = "jobs/zone"
	methodHeartbeat     = "jobs/heartbeat"
	methodLeave         = "jobs/leave"
	methodStartWave     = "jobs/startWave"
	methodWaveDone      = "jobs/waveDone"
)

// NotLeaderError reports that a replica does not lead.
type NotLeaderError struct {
	// Leader is the leader's address, empty if it is not known.
	Leader string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "locator: this replica does not lead and knows no leader"
	}
	return "locator: this replica does not lead, " + e.Leader + " does"
}

// Refusals refuses every call with the name of the leader, for a process without
// a replica.
func Refusals(l *Locator) map[string]messenger.Handler {
	out := map[string]messenger.Handler{}
	for method := range Handlers(nil) {
		out[method] = func(context.Context, []byte) ([]byte, error) {
			return nil, &messenger.RemoteError{Code: CodeNotLeader, Text: l.Leader()}
		}
	}
	return out
}

// Handlers offers control, which is the leader's or refuses with a
// NotLeaderError, to other processes.
func Handlers(control carobrock.JobControl) map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodSubmit: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.JobSpec{}
			return serve(body, in, func() (any, error) { return control.Submit(ctx, in) })
		},
		methodCancel: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.JobKey{}
			return serve(body, in, func() (any, error) { return control.Cancel(ctx, *in) })
		},
		methodState: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.JobKey{}
			return serve(body, in, func() (any, error) { return control.JobState(ctx, *in) })
		},
		methodPending: func(ctx context.Context, body []byte) ([]byte, error) {
			in := ""
			return serve(body, &in, func() (any, error) { return control.PendingJobs(ctx, in) })
		},
		methodConfigure: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.Configuration{}
			return serve(body, in, func() (any, error) { return nil, control.Configure(ctx, in) })
		},
		methodConfiguration: func(ctx context.Context, body []byte) ([]byte, error) {
			var in any
			return serve(body, &in, func() (any, error) { return control.Configuration(ctx) })
		},
		methodWatch: func(ctx context.Context, body []byte) ([]byte, error) {
			in := int64(0)
			return serve(body, &in, func() (any, error) { return control.WatchConfiguration(ctx, in) })
		},
		methodZone: func(ctx context.Context, body []byte) ([]byte, error) {
			in := carobrock.ZoneOrder{}
			return serve(body, &in, func() (any, error) { return nil, control.SetZone(ctx, in) })
		},
		methodHeartbeat: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.WorkerReport{}
			return serve(body, in, func() (any, error) { return control.Heartbeat(ctx, in) })
		},
		methodLeave: func(ctx context.Context, body []byte) ([]byte, error) {
			in := ""
			return serve(body, &in, func() (any, error) { return nil, control.Leave(ctx, in) })
		},
		methodStartWave: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.MaintenanceWave{}
			return serve(body, in, func() (any, error) { return nil, control.StartWave(ctx, in) })
		},
		methodWaveDone: func(ctx context.Context, body []byte) ([]byte, error) {
			in := int64(0)
			return serve(body, &in, func() (any, error) { return control.IsWaveDone(ctx, in) })
		},
	}
}

// serve decodes body into request, runs fn and encodes its result.
func serve(body []byte, request any, fn func() (any, error)) ([]byte, error) {
	if err := cbor.Unmarshal(body, request); err != nil {
		return nil, &messenger.RemoteError{Code: "refused", Text: err.Error()}
	}
	value, err := fn()
	if err != nil {
		return nil, encodeError(err)
	}
	return cbor.Marshal(value)
}

func encodeError(err error) error {
	var other *NotLeaderError
	switch {
	case errors.As(err, &other):
		return &messenger.RemoteError{Code: CodeNotLeader, Text: other.Leader}
	case errors.Is(err, carobrock.ErrNotDone):
		return &messenger.RemoteError{Code: CodeNotLeader, Text: ""}
	default:
		return &messenger.RemoteError{Code: codeUndecided, Text: err.Error()}
	}
}

var _ carobrock.JobControl = (*Locator)(nil)

func (l *Locator) call(ctx context.Context, method string, request, result any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return eris.Wrap(carobrock.ErrNotDone, err.Error())
	}
	answer, err := l.Call(ctx, method, body)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(answer, result); err != nil {
		return eris.Wrap(carobrock.ErrUndecided, err.Error())
	}
	return nil
}

// Submit implements carobrock.JobControl.
func (l *Locator) Submit(ctx context.Context, spec *carobrock.JobSpec) (ok bool, err error) {
	err = l.call(ctx, methodSubmit, spec, &ok)
	return ok, err
}

// Cancel implements carobrock.JobControl.
func (l *Locator) Cancel(ctx context.Context, key carobrock.JobKey) (ok bool, err error) {
	err = l.call(ctx, methodCancel, &key, &ok)
	return ok, err
}

// JobState implements carobrock.JobControl.
func (l *Locator) JobState(ctx context.Context, key carobrock.JobKey) (state carobrock.JobState, err error) {
	err = l.call(ctx, methodState, &key, &state)
	return state, err
}

// PendingJobs implements carobrock.JobControl.
func (l *Locator) PendingJobs(ctx context.Context, queue string) (n int, err error) {
	err = l.call(ctx, methodPending, queue, &n)
	return n, err
}

// Configure implements carobrock.JobControl.
func (l *Locator) Configure(ctx context.Context, c *carobrock.Configuration) error {
	var none any
	return l.call(ctx, methodConfigure, c, &none)
}

// Configuration implements carobrock.JobControl.
func (l *Locator) Configuration(ctx context.Context) (c *carobrock.Configuration, err error) {
	err = l.call(ctx, methodConfiguration, nil, &c)
	return c, err
}

// WatchConfiguration implements carobrock.JobControl.
func (l *Locator) WatchConfiguration(ctx context.Context, above int64) (c *carobrock.Configuration, err error) {
	err = l.call(ctx, methodWatch, above, &c)
	return c, err
}

// SetZone implements carobrock.JobControl.
func (l *Locator) SetZone(ctx context.Context, z carobrock.ZoneOrder) error {
	var none any
	return l.call(ctx, methodZone, &z, &none)
}

// Heartbeat implements carobrock.JobControl.
func (l *Locator) Heartbeat(ctx context.Context, r *carobrock.WorkerReport) (o *carobrock.WorkerOrders, err error) {
	err = l.call(ctx, methodHeartbeat, r, &o)
	return o, err
}

// Leave implements carobrock.JobControl.
func (l *Locator) Leave(ctx context.Context, worker string) error {
	var none any
	return l.call(ctx, methodLeave, worker, &none)
}

// StartWave implements carobrock.JobControl.
func (l *Locator) StartWave(ctx context.Context, w *carobrock.MaintenanceWave) error {
	var none any
	return l.call(ctx, methodStartWave, w, &none)
}

// IsWaveDone implements carobrock.JobControl.
func (l *Locator) IsWaveDone(ctx context.Context, number int64) (ok bool, err error) {
	err = l.call(ctx, methodWaveDone, number, &ok)
	return ok, err
}
