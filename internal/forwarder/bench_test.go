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

// BenchmarkAddedLatency compares a direct call with one through a gateway's
// handler, over loopback, with several callers at a time.
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
						View:     &fixedView{catalog: newCatalog(64, strings.TrimPrefix(upstream.URL, "http://")), fresh: true, grants: true},
						Admitter: &admitter.Admitter{}, Logger: zerolog.Nop(), NewRequestID: func() string { return "id" },
					}
					f.Update(f.View.Current())
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

func benchmarkCalls(b *testing.B, url string, callers int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer c.CloseIdleConnections()
	var mu sync.Mutex
	took := make([]time.Duration, 0, b.N)
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
				took = append(took, time.Since(start))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	b.StopTimer()
	slices.Sort(took)
	at := func(share float64) float64 {
		return float64(took[min(len(took)-1, int(share*float64(len(took))))].Microseconds())
	}
	b.ReportMetric(at(0.5), "p50-us")
	b.ReportMetric(at(0.99), "p99-us")
	b.ReportMetric(at(0.999), "p999-us")
	b.ReportMetric(float64(len(took))/b.Elapsed().Seconds(), "requests/s")
}
