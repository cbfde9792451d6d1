package locator

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/messenger"
)

// Methods of carobrock.JobControl on the wire.
const (
	methodSubmit        = "jobs/submit"
	methodCancel        = "jobs/cancel"
	methodState         = "jobs/state"
	methodPending       = "jobs/pending"
	methodConfigure     = "jobs/configure"
	methodConfiguration = "jobs/configuration"
	methodWatch         = "jobs/watch"
	methodWatchParts    = "jobs/watchParts"
	methodPart          = "jobs/configurationPart"
	methodZoneVersion   = "jobs/zoneVersion"
	methodZone          = "jobs/zone"
	methodHeartbeat     = "jobs/heartbeat"
	methodLeave         = "jobs/leave"
	methodStartWave     = "jobs/startWave"
	methodWaveDone      = "jobs/waveDone"
	methodAccounts      = "jobs/accounts"
	// The variants for callers with a client account. Callers without one use
	// methodCancel and methodState, which earlier releases know.
	methodCancelAs = "jobs/cancelAs"
	methodStateAs  = "jobs/stateAs"
)

// NotLeaderError reports that a replica is not the leader. The call had no
// effect.
type NotLeaderError struct {
	// Leader is the leader's address, empty if it is unknown.
	Leader string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "locator: this replica is not the leader, and the leader is unknown"
	}
	return "locator: this replica is not the leader (leader: " + e.Leader + ")"
}

// NotLeaderHandlers returns handlers for a process without a replica. They
// reject every call with CodeNotLeader and the leader's address.
func NotLeaderHandlers(l *Locator) map[string]messenger.Handler {
	handlers := map[string]messenger.Handler{}
	for method := range Handlers(nil) {
		handlers[method] = func(context.Context, []byte) ([]byte, error) {
			return nil, &messenger.RemoteError{Code: CodeNotLeader, Text: l.Leader()}
		}
	}
	return handlers
}

// Handlers returns handlers that execute calls of other processes by means of
// control. While this replica is not the leader, the methods of control must
// return a NotLeaderError.
func Handlers(control carobrock.JobControl) map[string]messenger.Handler {
	parts := &partServer{control: control}
	return map[string]messenger.Handler{
		methodSubmit: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.JobSpec{}
			return serveCall(body, in, func() (any, error) { return control.SubmitJob(ctx, in) })
		},
		methodCancel: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.JobKey{}
			return serveCall(body, in, func() (any, error) { return control.CancelJob(ctx, carobrock.JobQuery{JobKey: *in}) })
		},
		methodCancelAs: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &accountQuery{}
			return serveCall(body, in, func() (any, error) { return control.CancelJob(ctx, in.jobQuery()) })
		},
		methodState: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.JobKey{}
			return serveCall(body, in, func() (any, error) { return control.JobState(ctx, carobrock.JobQuery{JobKey: *in}) })
		},
		methodStateAs: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &accountQuery{}
			return serveCall(body, in, func() (any, error) { return control.JobState(ctx, in.jobQuery()) })
		},
		methodPending: func(ctx context.Context, body []byte) ([]byte, error) {
			in := ""
			return serveCall(body, &in, func() (any, error) { return control.PendingJobs(ctx, in) })
		},
		methodConfigure: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.Configuration{}
			return serveCall(body, in, func() (any, error) { return nil, control.Configure(ctx, in) })
		},
		methodConfiguration: func(ctx context.Context, body []byte) ([]byte, error) {
			var in any
			return serveCall(body, &in, func() (any, error) { return control.Configuration(ctx) })
		},
		// Earlier releases know no parts.
		methodWatch: func(ctx context.Context, body []byte) ([]byte, error) {
			in := int64(0)
			return serveCall(body, &in, func() (any, error) { return control.WatchConfiguration(ctx, in) })
		},
		methodWatchParts: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &watchRequest{}
			return serveCall(body, in, func() (any, error) { return parts.watch(ctx, in) })
		},
		methodPart: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &partRequest{}
			return serveCall(body, in, func() (any, error) { return parts.serve(ctx, in) })
		},
		methodZoneVersion: func(ctx context.Context, body []byte) ([]byte, error) {
			in := ""
			return serveCall(body, &in, func() (any, error) { return control.ZoneVersion(ctx, in) })
		},
		methodZone: func(ctx context.Context, body []byte) ([]byte, error) {
			in := carobrock.ZoneChange{}
			return serveCall(body, &in, func() (any, error) { return nil, control.SetZone(ctx, in) })
		},
		methodHeartbeat: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.WorkerReport{}
			return serveCall(body, in, func() (any, error) { return control.Heartbeat(ctx, in) })
		},
		methodLeave: func(ctx context.Context, body []byte) ([]byte, error) {
			in := ""
			return serveCall(body, &in, func() (any, error) { return nil, control.RemoveWorker(ctx, in) })
		},
		methodStartWave: func(ctx context.Context, body []byte) ([]byte, error) {
			in := &carobrock.MaintenanceWave{}
			return serveCall(body, in, func() (any, error) { return nil, control.StartWave(ctx, in) })
		},
		methodWaveDone: func(ctx context.Context, body []byte) ([]byte, error) {
			in := int64(0)
			return serveCall(body, &in, func() (any, error) { return control.IsWaveDone(ctx, in) })
		},
		methodAccounts: func(ctx context.Context, body []byte) ([]byte, error) {
			var in any
			return serveCall(body, &in, func() (any, error) { return control.Accounts(ctx) })
		},
	}
}

// serveCall decodes body into request, runs fn and encodes its result.
func serveCall(body []byte, request any, fn func() (any, error)) ([]byte, error) {
	if err := cbor.Unmarshal(body, request); err != nil {
		return nil, &messenger.RemoteError{Code: codeRefused, Text: err.Error()}
	}
	value, err := fn()
	if err != nil {
		return nil, encodeError(err)
	}
	return cbor.Marshal(value)
}

// encodeError converts an error of a JobControl to a RemoteError. A
// NotLeaderError is sent as CodeNotLeader with the leader's address.
// ErrNotApplied is sent as CodeNotLeader without an address, so that the caller
// looks for the leader again. An OverloadError is sent as codeOverloaded with its
// delay in milliseconds. ErrRefused, ErrVersionConflict and ErrNotFound are sent as
// codeRefused, codeConflict and codeNotFound, and any other error as
// codeOutcomeUnknown.
func encodeError(err error) error {
	var notLeader *NotLeaderError
	var overload *carobrock.OverloadError
	switch {
	case errors.As(err, &notLeader):
		return &messenger.RemoteError{Code: CodeNotLeader, Text: notLeader.Leader}
	case errors.As(err, &overload):
		return &messenger.RemoteError{Code: codeOverloaded, Text: strconv.FormatInt(overload.RetryAfter.Milliseconds(), 10)}
	case errors.Is(err, carobrock.ErrNotApplied):
		return &messenger.RemoteError{Code: CodeNotLeader, Text: ""}
	case errors.Is(err, carobrock.ErrRefused):
		return &messenger.RemoteError{Code: codeRefused, Text: err.Error()}
	case errors.Is(err, carobrock.ErrVersionConflict):
		return &messenger.RemoteError{Code: codeConflict, Text: err.Error()}
	case errors.Is(err, carobrock.ErrNotFound):
		return &messenger.RemoteError{Code: codeNotFound, Text: err.Error()}
	default:
		return &messenger.RemoteError{Code: codeOutcomeUnknown, Text: err.Error()}
	}
}

// decodeError converts a RemoteError that encodeError returned to an error of a
// JobControl. It returns other errors unchanged.
func decodeError(err error) error {
	var remote *messenger.RemoteError
	if !errors.As(err, &remote) {
		return err
	}
	switch remote.Code {
	case codeRefused:
		return eris.Wrap(carobrock.ErrRefused, remote.Text)
	case codeConflict:
		return eris.Wrap(carobrock.ErrVersionConflict, remote.Text)
	case codeNotFound:
		return eris.Wrap(carobrock.ErrNotFound, remote.Text)
	case codeOverloaded:
		millis, parseErr := strconv.ParseInt(remote.Text, 10, 64)
		if parseErr != nil {
			return eris.Wrap(carobrock.ErrNotApplied, parseErr.Error())
		}
		return &carobrock.OverloadError{RetryAfter: time.Duration(millis) * time.Millisecond}
	default:
		return err
	}
}

var _ carobrock.JobControl = (*Locator)(nil)

func (l *Locator) callLeader(ctx context.Context, method string, request, result any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return eris.Wrap(carobrock.ErrNotApplied, err.Error())
	}
	response, err := l.Call(ctx, method, body)
	if err != nil {
		return decodeError(err)
	}
	if err := cbor.Unmarshal(response, result); err != nil {
		return eris.Wrap(carobrock.ErrOutcomeUnknown, err.Error())
	}
	return nil
}

// accountQuery is a carobrock.JobQuery on the wire.
type accountQuery struct {
	Key     carobrock.JobKey `cbor:"1,keyasint"`
	Account string           `cbor:"2,keyasint"`
}

func (q *accountQuery) jobQuery() carobrock.JobQuery {
	return carobrock.JobQuery{JobKey: q.Key, Account: q.Account}
}

// queryLeader calls method for a caller without a client account, methodAs for one
// with an account.
func (l *Locator) queryLeader(ctx context.Context, method, methodAs string, q carobrock.JobQuery, result any) error {
	if q.Account == "" {
		return l.callLeader(ctx, method, &q.JobKey, result)
	}
	return l.callLeader(ctx, methodAs, &accountQuery{Key: q.JobKey, Account: q.Account}, result)
}

// SubmitJob implements carobrock.JobControl.
func (l *Locator) SubmitJob(ctx context.Context, spec *carobrock.JobSpec) (ok bool, err error) {
	err = l.callLeader(ctx, methodSubmit, spec, &ok)
	return ok, err
}

// CancelJob implements carobrock.JobControl.
func (l *Locator) CancelJob(ctx context.Context, q carobrock.JobQuery) (ok bool, err error) {
	err = l.queryLeader(ctx, methodCancel, methodCancelAs, q, &ok)
	return ok, err
}

// JobState implements carobrock.JobControl.
func (l *Locator) JobState(ctx context.Context, q carobrock.JobQuery) (state carobrock.JobState, err error) {
	err = l.queryLeader(ctx, methodState, methodStateAs, q, &state)
	return state, err
}

// PendingJobs implements carobrock.JobControl.
func (l *Locator) PendingJobs(ctx context.Context, queue string) (n int, err error) {
	err = l.callLeader(ctx, methodPending, queue, &n)
	return n, err
}

// Configure implements carobrock.JobControl.
func (l *Locator) Configure(ctx context.Context, c *carobrock.Configuration) error {
	var none any
	return l.callLeader(ctx, methodConfigure, c, &none)
}

// Configuration implements carobrock.JobControl.
func (l *Locator) Configuration(ctx context.Context) (c *carobrock.Configuration, err error) {
	err = l.callLeader(ctx, methodConfiguration, nil, &c)
	return c, err
}

// WatchConfiguration implements carobrock.JobControl.
func (l *Locator) WatchConfiguration(ctx context.Context, afterVersion int64) (c *carobrock.Configuration, err error) {
	err = l.callLeader(ctx, methodWatch, afterVersion, &c)
	return c, err
}

// ZoneVersion implements carobrock.JobControl.
func (l *Locator) ZoneVersion(ctx context.Context, zone string) (version uint64, err error) {
	err = l.callLeader(ctx, methodZoneVersion, zone, &version)
	return version, err
}

// SetZone implements carobrock.JobControl.
func (l *Locator) SetZone(ctx context.Context, z carobrock.ZoneChange) error {
	var none any
	return l.callLeader(ctx, methodZone, &z, &none)
}

// Heartbeat implements carobrock.JobControl.
func (l *Locator) Heartbeat(ctx context.Context, r *carobrock.WorkerReport) (response *carobrock.HeartbeatResponse, err error) {
	err = l.callLeader(ctx, methodHeartbeat, r, &response)
	return response, err
}

// RemoveWorker implements carobrock.JobControl.
func (l *Locator) RemoveWorker(ctx context.Context, worker string) error {
	var none any
	return l.callLeader(ctx, methodLeave, worker, &none)
}

// StartWave implements carobrock.JobControl.
func (l *Locator) StartWave(ctx context.Context, w *carobrock.MaintenanceWave) error {
	var none any
	return l.callLeader(ctx, methodStartWave, w, &none)
}

// IsWaveDone implements carobrock.JobControl.
func (l *Locator) IsWaveDone(ctx context.Context, number int64) (ok bool, err error) {
	err = l.callLeader(ctx, methodWaveDone, number, &ok)
	return ok, err
}

// Accounts implements carobrock.JobControl.
func (l *Locator) Accounts(ctx context.Context) (out []carobrock.AccountStatus, err error) {
	err = l.callLeader(ctx, methodAccounts, nil, &out)
	return out, err
}
