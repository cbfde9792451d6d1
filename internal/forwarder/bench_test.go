package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock/internal/admitter"
)

// BenchmarkAddedLatency compares the latency of direct requests with that of
// requests through a Forwarder, over loopback, with 1 and 4 concurrent callers.
func BenchmarkAddedLatency(b *testing.B) {
	for _, callers := range []int{1, 4} {
		for _, via := range []string{"direct", "forwarded"} {
			b.Run(fmt.Sprintf("callers=%d/%s", callers, via), func(b *testing.B) {
				upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(w, "recorded")
				}))
				defer upstream.Close()
				url := upstream.URL
				if via == "forwarded" {
					f := &Forwarder{
						View:     &fixedView{catalog: newCatalog(64, strings.TrimPrefix(upstream.URL, "http://")), fresh: true, hasGrantLease: true},
						Admitter: &admitter.Admitter{}, Logger: zerolog.Nop(), NewRequestID: func() string { return "id" },
					}
					f.ApplyCatalog(f.View.Current())
					gateway := httptest.NewServer(f)
					defer gateway.Close()
					defer f.Close()
					url = gateway.URL
				}
				benchmarkCalls(b, url, callers)
			})
		}
	}
}

// benchmarkCalls sends b.N requests from concurrent callers and reports latency
// percentiles in microseconds and the throughput.
func benchmarkCalls(b *testing.B, url string, callers int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer c.CloseIdleConnections()
	var mu sync.Mutex
	latencies := make([]time.Duration, 0, b.N)
	group := conc.NewWaitGroup()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range callers {
		n := b.N / callers
		if i < b.N%callers {
			n++
		}
		group.Go(func() {
			for range n {
				start := time.Now()
				res, err := c.Post(url+"/x", "text/plain", strings.NewReader("tow"))
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				mu.Lock()
				latencies = append(latencies, time.Since(start))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	percentile := func(share float64) float64 {
		return float64(latencies[min(len(latencies)-1, int(share*float64(len(latencies))))].Microseconds())
	}
	b.ReportMetric(percentile(0.5), "p50-us")
	b.ReportMetric(percentile(0.99), "p99-us")
	b.ReportMetric(percentile(0.999), "p999-us")
	b.ReportMetric(float64(len(latencies))/b.Elapsed().Seconds(), "requests/s")
}
