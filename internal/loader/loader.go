package loader

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock"
)

// ErrInvalidTarget reports that a target is not IP:PORT.
var ErrInvalidTarget = eris.New("loader: invalid target")

// Load describes the load to generate.
type Load struct {
	// Targets are the addresses (IP:PORT) that receive the requests in turn.
	Targets []string
	// Weights are the relative numbers of requests to the targets, in the same
	// order. Requests are distributed equally unless there is one weight for each
	// target.
	Weights []int
	// Method, Host and Path are the request's method, Host header and URL path.
	// Empty Host: the target address.
	Method string
	Host   string
	Path   string
	// BodyBytes is the size of the request body in bytes.
	BodyBytes int
	// Rate is the number of requests per second.
	Rate float64
	// Duration is the period during which requests are sent.
	Duration time.Duration
	// Timeout is the time limit of each request.
	Timeout time.Duration
	// MaxInFlight is the maximum number of requests in flight. A request that
	// would exceed it is not sent and counts as dropped.
	MaxInFlight int
}

// Report is the result of a load run.
type Report struct {
	// Sent counts the requests that were sent, Dropped those that were not sent
	// because of MaxInFlight.
	Sent    int64 `json:"sent"`
	Dropped int64 `json:"dropped"`
	// Answered counts complete responses of an upstream with a status below 500.
	Answered int64 `json:"answered"`
	// NotRun and Unknown count the requests that carobrock refused with that
	// outcome.
	NotRun  int64 `json:"notRun"`
	Unknown int64 `json:"unknown"`
	// ServerErrors counts responses of an upstream with a status of 500 or above.
	ServerErrors int64 `json:"serverErrors"`
	// Broken counts the requests without a complete response.
	Broken int64 `json:"broken"`
	// Seconds is the duration of the run in seconds, including the wait for the
	// last responses.
	Seconds float64 `json:"seconds"`
	// Latency is the latency of answered requests, RefusalLatency that of refused ones.
	Latency        Percentiles `json:"latencyMicros"`
	RefusalLatency Percentiles `json:"refusalMicros"`
}

// Percentiles are latency percentiles in microseconds.
type Percentiles struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

// Range in microseconds and precision in significant decimal figures of the
// histograms.
const (
	lowestMicros       = 1
	highestMicros      = 600_000_000
	significantFigures = 3
)

// collector accumulates the results of concurrent requests.
type collector struct {
	mu             sync.Mutex
	report         Report
	latency        *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
}

// percentiles returns the percentiles of a histogram.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// Run generates the load and returns the report. If a target is not IP:PORT, it
// fails with ErrInvalidTarget before sending any request.
func Run(ctx context.Context, l *Load) (*Report, error) {
	for _, t := range l.Targets {
		if _, _, err := net.SplitHostPort(t); err != nil {
			return nil, eris.Wrap(ErrInvalidTarget, t)
		}
	}
	c := &collector{
		latency:        hdrhistogram.New(lowestMicros, highestMicros, significantFigures),
		refusalLatency: hdrhistogram.New(lowestMicros, highestMicros, significantFigures),
	}
	client := &http.Client{Timeout: l.Timeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: l.MaxInFlight, MaxIdleConns: 0, Proxy: nil, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	start := time.Now()
	l.sendRequests(ctx, start, c, client)
	c.report.Seconds = time.Since(start).Seconds()
	c.report.Latency, c.report.RefusalLatency = percentiles(c.latency), percentiles(c.refusalLatency)
	return &c.report, nil
}

// sendRequests sends each request at its scheduled time until l.Duration has
// elapsed or ctx ends, and waits for all requests in flight.
func (l *Load) sendRequests(ctx context.Context, start time.Time, c *collector, client *http.Client) {
	inFlight := make(chan struct{}, l.MaxInFlight)
	group := pool.New()
	defer group.Wait()
	interval := time.Duration(float64(time.Second) / l.Rate)
	order := l.targetOrder()
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= l.Duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(due))
		select {
		case inFlight <- struct{}{}:
		default:
			c.recordDropped()
			continue
		}
		target := order[i%len(order)]
		group.Go(func() {
			defer func() { <-inFlight }()
			l.sendRequest(ctx, client, target, due, c)
		})
	}
}

// targetOrder returns the sequence of targets for one cycle of requests. It
// contains each target as many times as its weight.
func (l *Load) targetOrder() []string {
	if len(l.Weights) != len(l.Targets) {
		return l.Targets
	}
	maxWeight := 0
	for _, w := range l.Weights {
		maxWeight = max(maxWeight, w)
	}
	var order []string
	for round := range maxWeight {
		for i, t := range l.Targets {
			if round < l.Weights[i] {
				order = append(order, t)
			}
		}
	}
	return order
}

// sendRequest sends one request that was scheduled for the time due and records
// its result.
func (l *Load) sendRequest(ctx context.Context, client *http.Client, target string, due time.Time, c *collector) {
	req, err := http.NewRequestWithContext(ctx, l.Method, "http://"+target+l.Path, bytes.NewReader(make([]byte, l.BodyBytes)))
	if err != nil {
		c.recordResult(due, 0, "", err)
		return
	}
	if l.Host != "" {
		req.Host = l.Host
	}
	res, err := client.Do(req)
	if err != nil {
		c.recordResult(due, 0, "", err)
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	c.recordResult(due, res.StatusCode, carobrock.Outcome(res.Header.Get(carobrock.HeaderOutcome)), err)
}

// recordDropped counts a request that was not sent.
func (c *collector) recordDropped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Dropped++
}

// recordResult counts a completed request by its result, and records the latency
// since due for a response or a refusal.
func (c *collector) recordResult(due time.Time, status int, outcome carobrock.Outcome, err error) {
	micros := max(lowestMicros, time.Since(due).Microseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.report
	r.Sent++
	switch {
	case err != nil:
		r.Broken++
	case outcome == carobrock.OutcomeNotRun:
		r.NotRun++
		_ = c.refusalLatency.RecordValue(micros)
	case outcome == carobrock.OutcomeUnknown:
		r.Unknown++
		_ = c.refusalLatency.RecordValue(micros)
	case status >= http.StatusInternalServerError:
		r.ServerErrors++
	default:
		r.Answered++
		_ = c.latency.RecordValue(micros)
	}
}

// WriteText writes the report as text to w.
func (r *Report) WriteText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "sent %d in %.1f s: answered %d, notRun %d, unknown %d, serverErrors %d, broken %d, dropped %d\n",
		r.Sent, r.Seconds, r.Answered, r.NotRun, r.Unknown, r.ServerErrors, r.Broken, r.Dropped)
	_, _ = fmt.Fprintf(w, "latency  p50 %s  p90 %s  p99 %s  p99.9 %s  max %s\n",
		formatMillis(r.Latency.P50), formatMillis(r.Latency.P90), formatMillis(r.Latency.P99), formatMillis(r.Latency.P999), formatMillis(r.Latency.Max))
	if r.NotRun+r.Unknown > 0 {
		_, _ = fmt.Fprintf(w, "refusals p50 %s  p99 %s  max %s\n", formatMillis(r.RefusalLatency.P50), formatMillis(r.RefusalLatency.P99), formatMillis(r.RefusalLatency.Max))
	}
}

// formatMillis formats a duration in microseconds as milliseconds.
func formatMillis(micros int64) string { return fmt.Sprintf("%.3f ms", float64(micros)/1000) }
