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

// ErrUnreachable reports that no address responded.
var ErrUnreachable = eris.New("client: no carobrock process can be reached")

// StatusError is a response with an HTTP status other than 200.
type StatusError struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code classifies the error: conflict, invalid, notFound, nameTaken,
	// notDone, undecided or unauthorized.
	Code string `json:"code"`
	// Text is a description for the user.
	Text string `json:"error"`
	// Version is the current version of the table after a conflict.
	Version uint64 `json:"version"`
}

// Error implements error.
func (e *StatusError) Error() string { return e.Text }

// Client sends requests to the HTTP API of the operations listeners. Its fields must
// not change after the first use. It is safe for concurrent use.
type Client struct {
	// Addresses are the operations addresses (IP:PORT) of gateways or replicas.
	Addresses []string
	// Token is the bearer token. Empty: requests are sent without one.
	Token string
	// HTTP is the underlying HTTP client. Nil: http.DefaultClient.
	HTTP *http.Client
}

const (
	// firstTryTimeout limits a try in the first round over the addresses. A
	// working process commits a change in tens of milliseconds, and an
	// unresponsive one must not use up the caller's time. Each further round
	// doubles the limit, up to maxTryTimeout.
	firstTryTimeout = time.Second
	maxTryTimeout   = 8 * time.Second
	// replaceTryTimeout limits a try to replace a replica in the first round. It
	// is longer because the new replica first receives the complete state.
	replaceTryTimeout = 5 * time.Second
	// retryInterval is the pause between two rounds over the addresses.
	retryInterval = 100 * time.Millisecond
)

// NewChangeID returns a new random change ID.
func NewChangeID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// doRequest sends a request to the addresses in turn until one gives a conclusive
// response or ctx ends. It may do so because every request of this package is
// idempotent. The response is decoded into out, or stored unchanged if out is a
// *[]byte.
func (c *Client) doRequest(ctx context.Context, method, path string, in, out any) error {
	return c.doRequestWithTimeout(ctx, firstTryTimeout, method, path, in, out)
}

// doRequestWithTimeout is doRequest with the given time limit for each try of the
// first round.
func (c *Client) doRequestWithTimeout(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	lastErr := ErrUnreachable
	for i := 0; ; i++ {
		if len(c.Addresses) == 0 {
			return lastErr
		}
		err := c.tryAddress(ctx, timeout, c.Addresses[i%len(c.Addresses)], method, path, body, out)
		if !isRetryable(err) {
			return err
		}
		lastErr = err
		if (i+1)%len(c.Addresses) > 0 {
			continue
		}
		if !waitToRetry(ctx) {
			return lastErr
		}
		timeout = min(2*timeout, maxTryTimeout)
	}
}

// waitToRetry pauses between two rounds and reports whether another one may
// start. If ctx has no deadline, there is only one round.
func waitToRetry(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	if !ok || time.Until(deadline) < retryInterval {
		return false
	}
	return sleeper.Sleep(ctx, retryInterval) == nil
}

// isRetryable reports whether the request is to be tried at the next address:
// there was no valid response, or its status was 503.
func isRetryable(err error) bool {
	if err == nil {
		return false
	}
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status == http.StatusServiceUnavailable
	}
	return true
}

// tryAddress sends the request once, to the given address. It fails with
// ErrUnreachable, a *StatusError or a decoding error.
func (c *Client) tryAddress(ctx context.Context, timeout time.Duration, address, method, path string, body []byte, out any) error {
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
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	res, err := httpClient.Do(req)
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

// decodeError returns the StatusError for a response with the given status and
// body.
func decodeError(status int, data []byte) error {
	e := &StatusError{Status: status}
	if err := json.Unmarshal(data, e); err != nil || e.Text == "" {
		e.Text = fmt.Sprintf("server responded with status %d %s", status, http.StatusText(status))
	}
	return e
}

// Get returns a resource as JSON: routes, pools, zones, upstreams, tasks,
// gateways, grants, replicas or status.
func (c *Client) Get(ctx context.Context, resource string) ([]byte, error) {
	path := "/v1/" + resource
	if resource == string(carobrock.TableRoutes) || resource == string(carobrock.TablePools) {
		path = "/v1/tables/" + resource
	}
	var data []byte
	err := c.doRequest(ctx, http.MethodGet, path, nil, &data)
	return data, err
}

// Dump returns the state of the process at the first responding address as JSON.
func (c *Client) Dump(ctx context.Context) ([]byte, error) {
	var data []byte
	err := c.doRequest(ctx, http.MethodGet, "/debug/dump", nil, &data)
	return data, err
}

// TableVersion returns the current version of a table.
func (c *Client) TableVersion(ctx context.Context, table carobrock.Table) (uint64, error) {
	var out struct {
		Version uint64 `json:"version"`
	}
	err := c.doRequest(ctx, http.MethodGet, "/v1/tables/"+string(table), nil, &out)
	return out.Version, err
}

// PutRoutes replaces the routes table if its current version is base. Otherwise
// it fails with a *StatusError whose Code is conflict.
func (c *Client) PutRoutes(ctx context.Context, changeID string, base uint64, rows []carobrock.Route) (*carobrock.Result, error) {
	res := &carobrock.Result{}
	err := c.doRequest(ctx, http.MethodPut, "/v1/tables/routes", map[string]any{"changeId": changeID, "baseVersion": base, "routes": rows}, res)
	return res, err
}

// PutPools replaces the pools table if its current version is base. Otherwise it
// fails with a *StatusError whose Code is conflict.
func (c *Client) PutPools(ctx context.Context, changeID string, base uint64, rows []carobrock.Pool) (*carobrock.Result, error) {
	res := &carobrock.Result{}
	err := c.doRequest(ctx, http.MethodPut, "/v1/tables/pools", map[string]any{"changeId": changeID, "baseVersion": base, "pools": rows}, res)
	return res, err
}

// ZoneVersion returns the current version of an availability zone, zero if it was
// never changed.
func (c *Client) ZoneVersion(ctx context.Context, az string) (uint64, error) {
	var zones []carobrock.Zone
	if err := c.doRequest(ctx, http.MethodGet, "/v1/zones", nil, &zones); err != nil {
		return 0, err
	}
	for _, z := range zones {
		if z.Name == az {
			return z.Version, nil
		}
	}
	return 0, nil
}

// SetZoneAtVersion takes an availability zone out of service or returns it to service
// if its current version is base. Otherwise it fails with a *StatusError whose Code is
// conflict.
func (c *Client) SetZoneAtVersion(ctx context.Context, changeID, az string, base uint64, outOfService bool) (*carobrock.Result, error) {
	res := &carobrock.Result{}
	body := map[string]any{"changeId": changeID, "baseVersion": base, "outOfService": outOfService}
	err := c.doRequest(ctx, http.MethodPut, "/v1/zones/"+url.PathEscape(az), body, res)
	return res, err
}

// SetZone takes an availability zone out of service or returns it to service, whatever
// its version is. A call that was given up may still take effect after a later one.
func (c *Client) SetZone(ctx context.Context, changeID, az string, outOfService bool) (*carobrock.Result, error) {
	res := &carobrock.Result{}
	err := c.doRequest(ctx, http.MethodPut, "/v1/zones/"+url.PathEscape(az), map[string]any{"changeId": changeID, "outOfService": outOfService}, res)
	return res, err
}

// SubmitTask submits a task. Submitting the same task again has no effect.
func (c *Client) SubmitTask(ctx context.Context, spec *carobrock.TaskSpec) error {
	return c.doRequest(ctx, http.MethodPost, "/v1/tasks", map[string]any{"task": spec}, &carobrock.Result{})
}

// Task returns a task as JSON.
func (c *Client) Task(ctx context.Context, id string) ([]byte, error) {
	var data []byte
	err := c.doRequest(ctx, http.MethodGet, "/v1/tasks/"+url.PathEscape(id), nil, &data)
	return data, err
}

// CancelTasks cancels tasks. It returns a rejection for each task that cannot be
// cancelled.
func (c *Client) CancelTasks(ctx context.Context, changeID string, ids []string) ([]carobrock.TaskRejection, error) {
	res := &carobrock.Result{}
	err := c.doRequest(ctx, http.MethodPost, "/v1/cancel", map[string]any{"changeId": changeID, "tasks": ids}, res)
	return res.Rejected, err
}

// Announce sends a worker's announcement and returns the renewal of its lease.
func (c *Client) Announce(ctx context.Context, a *carobrock.Announcement) (*carobrock.Renewal, error) {
	renewal := &carobrock.Renewal{}
	err := c.doRequest(ctx, http.MethodPost, "/v1/announce", a, renewal)
	return renewal, err
}

// PutVerdicts sends the monitoring system's verdicts on VMs.
func (c *Client) PutVerdicts(ctx context.Context, verdicts []carobrock.Verdict) error {
	return c.doRequest(ctx, http.MethodPost, "/v1/verdicts", map[string]any{"verdicts": verdicts}, &carobrock.Result{})
}

// ReplaceReplica replaces the member of the given name by the replica at address.
// It returns when the new replica holds all committed entries.
func (c *Client) ReplaceReplica(ctx context.Context, name, address string) error {
	return c.doRequestWithTimeout(ctx, replaceTryTimeout, http.MethodPost, "/v1/replicas/"+url.PathEscape(name)+"/replace", map[string]any{"address": address}, &struct{}{})
}
