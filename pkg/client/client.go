package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/sleeper"
)

// ErrUnreachable reports that no address answered.
var ErrUnreachable = eris.New("client: no carobrock process can be reached")

// StatusError is an answer that refuses the request.
type StatusError struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code classifies the refusal: conflict, invalid, notFound, nameTaken,
	// notDone, undecided or unauthorized.
	Code string `json:"code"`
	// Text is for people.
	Text string `json:"error"`
	// Version is the current version after a conflict.
	Version uint64 `json:"version"`
}

// Error implements error.
func (e *StatusError) Error() string { return e.Text }

// Client makes requests. Its fields are set before use and not changed after.
// It is safe for concurrent use.
type Client struct {
	// Addresses are the operations addresses of gateways or replicas.
	Addresses []string
	// Token is the bearer token, if one is needed.
	Token string
	// HTTP makes the requests. Nil: http.DefaultClient.
	HTTP *http.Client
}

const (
	// firstTryTimeout bounds a try in the first round over the addresses: a
	// process that is up commits a change in tens of milliseconds, a frozen one
	// must not use up the caller's time. Each further round doubles it, up to
	// maxTryTimeout.
	firstTryTimeout = time.Second
	maxTryTimeout   = 8 * time.Second
	// replaceTimeout bounds a try to replace a replica: the newcomer first takes
	// over the whole state.
	replaceTimeout = 5 * time.Second
	retryPause     = 100 * time.Millisecond
)

// NewChangeID returns a new random change ID.
func NewChangeID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// do makes a request at one address after the other until one answers for good
// or ctx ends. Every request of this package may be repeated.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	return c.doWithin(ctx, firstTryTimeout, method, path, in, out)
}

// doWithin is do with the time that a try of the first round may take.
func (c *Client) doWithin(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	last := ErrUnreachable
	for i := 0; ; i++ {
		if len(c.Addresses) == 0 {
			return last
		}
		err := c.try(ctx, timeout, c.Addresses[i%len(c.Addresses)], method, path, body, out)
		if !isRepeatable(err) {
			return err
		}
		last = err
		if (i+1)%len(c.Addresses) > 0 {
			continue
		}
		if !waitToRetry(ctx) {
			return last
		}
		timeout = min(2*timeout, maxTryTimeout)
	}
}

// waitToRetry pauses between rounds. Without a deadline in ctx there is only one
// round.
func waitToRetry(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	if !ok || time.Until(deadline) < retryPause {
		return false
	}
	return sleeper.Sleep(ctx, retryPause) == nil
}

func isRepeatable(err error) bool {
	if err == nil {
		return false
	}
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status == http.StatusServiceUnavailable
	}
	return true
}

func (c *Client) try(ctx context.Context, timeout time.Duration, address, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	hc := c.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	res, err := hc.Do(req)
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	if res.StatusCode != http.StatusOK {
		return decodeError(res.StatusCode, data)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	return json.Unmarshal(data, out)
}

func decodeError(status int, data []byte) error {
	e := &StatusError{Status: status}
	if err := json.Unmarshal(data, e); err != nil || e.Text == "" {
		e.Text = fmt.Sprintf("the answer is %d %s", status, http.StatusText(status))
	}
	return e
}

// Get returns the JSON form of routes, pools, zones, upstreams, tasks, gateways,
// grants, replicas or status.
func (c *Client) Get(ctx context.Context, what string) ([]byte, error) {
	path := "/v1/" + what
	if what == string(carobrock.TableRoutes) || what == string(carobrock.TablePools) {
		path = "/v1/tables/" + what
	}
	var data []byte
	err := c.do(ctx, http.MethodGet, path, nil, &data)
	return data, err
}

// Dump returns the state of the one process at the first address.
func (c *Client) Dump(ctx context.Context) ([]byte, error) {
	var data []byte
	err := c.do(ctx, http.MethodGet, "/debug/dump", nil, &data)
	return data, err
}

// Version returns the version of a table.
func (c *Client) Version(ctx context.Context, table carobrock.Table) (uint64, error) {
	var out struct {
		Version uint64 `json:"version"`
	}
	err := c.do(ctx, http.MethodGet, "/v1/tables/"+string(table), nil, &out)
	return out.Version, err
}

// PutRoutes replaces the table of routes if its version is still base.
func (c *Client) PutRoutes(ctx context.Context, changeID string, base uint64, rows []carobrock.Route) (*carobrock.Result, error) {
	res := &carobrock.Result{}
	err := c.do(ctx, http.MethodPut, "/v1/tables/routes", map[string]any{"changeId": changeID, "baseVersion": base, "routes": rows}, res)
	return res, err
}

// PutPools replaces the table of pools if its version is still base.
func (c *Client) PutPools(ctx context.Context, changeID string, base uint64, rows []carobrock.Pool) (*carobrock.Result, error) {
	res := &carobrock.Result{}
	err := c.do(ctx, http.MethodPut, "/v1/tables/pools", map[string]any{"changeId": changeID, "baseVersion": base, "pools": rows}, res)
	return res, err
}

// SetZone takes an availability zone out of service or back.
func (c *Client) SetZone(ctx context.Context, changeID, az string, outOfService bool) (*carobrock.Result, error) {
	res := &carobrock.Result{}
	err := c.do(ctx, http.MethodPut, "/v1/zones/"+url.PathEscape(az), map[string]any{"changeId": changeID, "outOfService": outOfService}, res)
	return res, err
}

// SubmitTask submits a task. Submitting the same task again changes nothing.
func (c *Client) SubmitTask(ctx context.Context, spec *carobrock.TaskSpec) error {
	return c.do(ctx, http.MethodPost, "/v1/tasks", map[string]any{"task": spec}, &carobrock.Result{})
}

// Task returns the JSON form of a task.
func (c *Client) Task(ctx context.Context, id string) ([]byte, error) {
	var data []byte
	err := c.do(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(id), nil, &data)
	return data, err
}

// CancelTasks cancels tasks. It returns those that could not be cancelled.
func (c *Client) CancelTasks(ctx context.Context, changeID string, ids []string) ([]carobrock.TaskRejection, error) {
	res := &carobrock.Result{}
	err := c.do(ctx, http.MethodPost, "/v1/cancel", map[string]any{"changeId": changeID, "tasks": ids}, res)
	return res.Rejected, err
}

// Announce passes on a worker's announcement.
func (c *Client) Announce(ctx context.Context, a *carobrock.Announcement) (*carobrock.Renewal, error) {
	renewal := &carobrock.Renewal{}
	err := c.do(ctx, http.MethodPost, "/v1/announce", a, renewal)
	return renewal, err
}

// PutVerdicts passes on the monitoring group's verdicts.
func (c *Client) PutVerdicts(ctx context.Context, verdicts []carobrock.Verdict) error {
	return c.do(ctx, http.MethodPost, "/v1/verdicts", map[string]any{"verdicts": verdicts}, &carobrock.Result{})
}

// ReplaceReplica swaps the member called name for the replica at address. It
// returns when the newcomer holds everything committed.
func (c *Client) ReplaceReplica(ctx context.Context, name, address string) error {
	return c.doWithin(ctx, replaceTimeout, http.MethodPost, "/v1/replicas/"+url.PathEscape(name)+"/replace", map[string]any{"address": address}, &struct{}{})
}
