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

// ErrTarget reports that a target is not IP:PORT.
var ErrTarget = eris.New("loader: bad target")

// Load says what load to make.
type Load struct {
	// Targets are the IP:PORT addresses that take the requests in turn.
	Targets []string
	// Weights are the shares of the targets. Empty: equal shares.
	Weights []int
	// Method, Host and Path make up the request.
	Method string
	Host   string
	Path   string
	// BodyBytes is the size of the body.
	BodyBytes int
	// Rate is the number of requests a second.
	Rate float64
	// Duration is how long requests are sent.
	Duration time.Duration
	// Timeout bounds each request.
	Timeout time.Duration
	// MaxInFlight bounds the requests in flight; those above it are counted as
	// dropped.
	MaxInFlight int
}

// Report is the result.
type Report struct {
	// Sent counts the requests sent, Dropped those above MaxInFlight.
	Sent    int64 `json:"sent"`
	Dropped int64 `json:"dropped"`
	// Answered got an upstream's whole answer with a status below 500.
	Answered int64 `json:"answered"`
	// NotRun and Unknown were refused by carobrock with that outcome.
	NotRun  int64 `json:"notRun"`
	Unknown int64 `json:"unknown"`
	// ServerErrors are answers of an upstream with a status from 500.
	ServerErrors int64 `json:"serverErrors"`
	// Broken requests got no whole answer.
	Broken int64 `json:"broken"`
	// Seconds is how long the load ran.
	Seconds float64 `json:"seconds"`
	// Latency is of the answered requests, Refusal of those refused.
	Latency Percentiles `json:"latencyMicros"`
	Refusal Percentiles `json:"refusalMicros"`
}

// Percentiles are in microseconds.
type Percentiles struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

// Range and precision of the histograms.
const (
	lowestMicros    = 1
	highestMicros   = 600_000_000
	significantBits = 3
)

type collector struct {
	mu      sync.Mutex
	report  Report
	latency *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// Run makes the load and returns the report. It fails with ErrTarget before
// anything is sent.
func Run(ctx context.Context, l *Load) (*Report, error) {
	for _, t := range l.Targets {
		if _, _, err := net.SplitHostPort(t); err != nil {
			return nil, eris.Wrap(ErrTarget, t)
		}
	}
	c := &collector{
		latency: hdrhistogram.New(lowestMicros, highestMicros, significantBits),
		refusal: hdrhistogram.New(lowestMicros, highestMicros, significantBits),
	}
	client := &http.Client{Timeout: l.Timeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: l.MaxInFlight, MaxIdleConns: 0, Proxy: nil, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	start := time.Now()
	l.sendAll(ctx, start, c, client)
	c.report.Seconds = time.Since(start).Seconds()
	c.report.Latency, c.report.Refusal = percentiles(c.latency), percentiles(c.refusal)
	return &c.report, nil
}

// sendAll sends each request at its time and waits for all of them.
func (l *Load) sendAll(ctx context.Context, start time.Time, c *collector, client *http.Client) {
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
			c.drop()
			continue
		}
		target := order[i%len(order)]
		group.Go(func() {
			defer func() { <-inFlight }()
			l.sendOne(ctx, client, target, due, c)
		})
	}
}

// targetOrder returns the targets, each as often as its weight.
func (l *Load) targetOrder() []string {
	if len(l.Weights) != len(l.Targets) {
		return l.Targets
	}
	most := 0
	for _, w := range l.Weights {
		most = max(most, w)
	}
	var order []string
	for round := range most {
		for i, t := range l.Targets {
			if round < l.Weights[i] {
				order = append(order, t)
			}
		}
	}
	return order
}

func (l *Load) sendOne(ctx context.Context, client *http.Client, target string, due time.Time, c *collector) {
	req, err := http.NewRequestWithContext(ctx, l.Method, "http://"+target+l.Path, bytes.NewReader(make([]byte, l.BodyBytes)))
	if err != nil {
		c.add(due, 0, "", err)
		return
	}
	if l.Host != "" {
		req.Host = l.Host
	}
	res, err := client.Do(req)
	if err != nil {
		c.add(due, 0, "", err)
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	c.add(due, res.StatusCode, carobrock.Outcome(res.Header.Get(carobrock.HeaderOutcome)), err)
}

func (c *collector) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Dropped++
}

func (c *collector) add(due time.Time, status int, outcome carobrock.Outcome, err error) {
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
		_ = c.refusal.RecordValue(micros)
	case outcome == carobrock.OutcomeUnknown:
		r.Unknown++
		_ = c.refusal.RecordValue(micros)
	case status >= http.StatusInternalServerError:
		r.ServerErrors++
	default:
		r.Answered++
		_ = c.latency.RecordValue(micros)
	}
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "sent %d in %.1f s: answered %d, notRun %d, unknown %d, serverErrors %d, broken %d, dropped %d\n",
		r.Sent, r.Seconds, r.Answered, r.NotRun, r.Unknown, r.ServerErrors, r.Broken, r.Dropped)
	_, _ = fmt.Fprintf(w, "latency  p50 %s  p90 %s  p99 %s  p99.9 %s  max %s\n",
		millis(r.Latency.P50), millis(r.Latency.P90), millis(r.Latency.P99), millis(r.Latency.P999), millis(r.Latency.Max))
	if r.NotRun+r.Unknown > 0 {
		_, _ = fmt.Fprintf(w, "refusals p50 %s  p99 %s  max %s\n", millis(r.Refusal.P50), millis(r.Refusal.P99), millis(r.Refusal.Max))
	}
}

func millis(micros int64) string { return fmt.Sprintf("%.3f ms", float64(micros)/1000) }
