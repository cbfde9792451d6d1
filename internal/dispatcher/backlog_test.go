package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// BenchmarkRoundWithBacklog measures placement rounds of a leader with waiting fillers
// beside services that leave little headroom: those that consider all tasks, and the
// others.
func BenchmarkRoundWithBacklog(b *testing.B) {
	for _, jobs := range []int{800, 2000} {
		for _, isFull := range []bool{true, false} {
			b.Run(fmt.Sprintf("jobs=%d/full=%t", jobs, isFull), func(b *testing.B) {
				h := newBacklog(b, 308, jobs)
				defer h.stop()
				b.ReportAllocs()
				assigned := 0
				for b.Loop() {
					assigned = h.d.PlanRound(isFull)
				}
				b.ReportMetric(float64(assigned), "assignments")
			})
		}
	}
}

// newBacklog returns a harness with workers that run services, and with waiting jobs of
// fillers of several sizes and images, most of which find no headroom.
func newBacklog(b *testing.B, workers, jobs int) *harness {
	h := newHarness(b)
	rnd := rand.New(rand.NewPCG(loadSeed, uint64(jobs)))
	fleet := make([]*fakeWorker, workers)
	beat := func(tailMillis int64) {
		beats := conc.NewWaitGroup()
		for _, v := range fleet {
			for i := range v.report.Running {
				v.report.Running[i].TailMillis, v.report.Running[i].Percent = tailMillis, 100
			}
			beats.Go(func() { h.must(v.sendHeartbeat()) })
		}
		beats.Wait()
	}
	for i := range fleet {
		fleet[i] = h.newWorker(fmt.Sprintf("w%04d", i), 16)
		fleet[i].isStalled = true
	}
	beat(0)
	for i := range 4 {
		step := serviceStep()
		step.Count, step.MaxPerWorker, step.Image, step.Size.MilliCPU = workers, 1, fmt.Sprint("svc", i), 2500
		h.submitJob(fmt.Sprint("s", i), step)
	}
	for i := range 20 {
		beat(targetMillis * int64(5+min(4, i)) / 10)
	}
	calls := conc.NewWaitGroup()
	for i := range jobs {
		step := fillerStep(4 + rnd.IntN(30))
		step.Image, step.EstimateMillis = fmt.Sprint("fill", i%30), fillerRunTime.Milliseconds()
		step.Size = carobrock.Capacity{MilliCPU: 4000 + 250*rnd.Int64N(16), MemoryMB: 4000 + rnd.Int64N(6000)}
		calls.Go(func() { h.submitJob(fmt.Sprint("f", i), step) })
	}
	calls.Wait()
	h.stop()
	h.d.PlanRound(true)
	return h
}
