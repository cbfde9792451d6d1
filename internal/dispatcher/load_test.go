package dispatcher_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

// loadSizes are the numbers of workers for which TestLoad measures the processor
// time of the leader.
var loadSizes = flag.String("loadWorkers", "48", "numbers of workers for TestLoad, separated by commas")

// loadAccounts is the number of client accounts in TestLoad. Each is limited to a
// multiple of its part of the fleet.
var loadAccounts = flag.Int("loadAccounts", 0, "number of client accounts in TestLoad")

const (
	loadWarmup   = 5 * time.Second
	loadDuration = 10 * time.Second
	loadSeed     = 11
	// Arrival rates and run times follow a fleet in which every worker serves a few
	// service tasks and runs a few fillers.
	servicesPerWorker   = 4.5
	servicesPerJob      = 24
	fillerJobsPerWorker = 0.022 // per second
	fillersPerJob       = 39
	shortJobsPerWorker  = 0.026 // per second
	shortPerJob         = 9
	// maxCheckedWorkers is the size up to which the views of workers are compared
	// with views derived from scratch, once a second.
	maxCheckedWorkers = 100
	// cancelledJobs is the number of recent jobs that are cancelled before that.
	cancelledJobs = 5
	fillerRunTime = 2200 * time.Millisecond
	shortRunTime  = 800 * time.Millisecond
)

// loadWorker is a fake worker whose runs end by themselves.
type loadWorker struct {
	*fakeWorker
	rand   *rand.Rand
	endsAt map[carobrock.Run]time.Time
	starts int
}

// newLoadWorker returns the i-th worker of a fleet.
func (h *harness) newLoadWorker(i int, cores int64) *loadWorker {
	v := &loadWorker{fakeWorker: h.newWorker(fmt.Sprintf("w%04d", i), cores), rand: rand.New(rand.NewPCG(loadSeed, uint64(i))), endsAt: map[carobrock.Run]time.Time{}}
	v.isStalled = true // run sets the progress
	return v
}

// run sends heartbeats until ctx ends.
func (v *loadWorker) run(ctx context.Context) {
	time.Sleep(time.Duration(v.rand.IntN(100)) * time.Millisecond)
	for ctx.Err() == nil {
		now := time.Now()
		for i := len(v.report.Running) - 1; i >= 0; i-- {
			x := &v.report.Running[i]
			end, known := v.endsAt[x.Run]
			switch {
			case isService(x.Run):
				x.Percent, x.TailMillis = 100, 30+v.rand.Int64N(60)
			case !known:
				runTime := shortRunTime
				if x.Task.Job[0] == 'f' {
					runTime = fillerRunTime
				}
				v.endsAt[x.Run] = now.Add(runTime/2 + time.Duration(v.rand.Int64N(int64(runTime))))
				v.starts++
			case now.After(end):
				delete(v.endsAt, x.Run)
				v.endRun(x.Run, carobrock.EndSucceeded)
			default:
				x.MilliCPU, x.Percent = 1000, min(99, x.Percent+1) // advances, so that it doesn't count as stalled
			}
		}
		if v.sendHeartbeat() != nil {
			return
		}
		pause := time.Duration(v.lastResponse.RetryMillis) * time.Millisecond
		for _, end := range v.endsAt {
			pause = min(pause, max(0, time.Until(end))+50*time.Millisecond)
		}
		time.Sleep(pause)
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestLoad logs the processor time that a leader uses for fleets of several sizes
// under a load in proportion to the size, and checks that the load is served. The
// time includes that of the simulated workers.
func TestLoad(t *testing.T) {
	for _, size := range strings.Split(*loadSizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		t.Run("workers="+size, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { measureLoad(t, n) }) })
	}
}

func measureLoad(t *testing.T, workers int) {
	h := newHarness(t)
	defer h.stop()
	rnd := rand.New(rand.NewPCG(loadSeed, uint64(workers)))
	ctx, cancel := context.WithCancel(context.Background())
	group := conc.NewWaitGroup()
	fleet := make([]*loadWorker, workers)
	for i := range fleet {
		v := h.newLoadWorker(i, 16)
		if i%8 == 0 {
			v.report.AvailabilityZone = "az2"
		}
		fleet[i] = v
		group.Go(func() { v.run(ctx) })
	}
	if *loadAccounts > 0 {
		// A limit of three times an account's part of the fleet holds back the largest.
		limit := 3 * int64(workers) * 16000 / int64(*loadAccounts)
		var accounts []carobrock.ClientAccount
		for i := range *loadAccounts {
			accounts = append(accounts, carobrock.ClientAccount{Name: fmt.Sprint("x", i), Weight: float64(1 + i%5), Limit: carobrock.Capacity{MilliCPU: limit}})
		}
		h.configureAccounts(2, accounts...)
	}
	submitted := 0
	submit := func(kind string, step carobrock.Step) {
		submitted++
		id := fmt.Sprint(kind, submitted)
		account := ""
		if *loadAccounts > 0 {
			account = fmt.Sprint("x", rnd.IntN(*loadAccounts))
		}
		group.Go(func() { h.submitAccountJob(account, id, step) })
	}
	for range int(servicesPerWorker*float64(workers)) / servicesPerJob {
		step := serviceStep()
		step.Count, step.Image, step.Size.MilliCPU = servicesPerJob, fmt.Sprint("svc", rnd.IntN(16)), 2500
		submit("s", step)
	}
	var before time.Duration
	checkedAt := time.Now()
	for began := time.Now(); time.Since(began) < loadWarmup+loadDuration; time.Sleep(100 * time.Millisecond) {
		if before == 0 && time.Since(began) >= loadWarmup {
			before = processorTime(t)
		}
		if workers <= maxCheckedWorkers && time.Since(checkedAt) >= time.Second {
			checkedAt = time.Now()
			for i := range cancelledJobs {
				h.cancelJob(fmt.Sprint("f", submitted-i))
			}
			h.must(h.d.CheckViews())
			h.must(h.d.SetZone(ctx, carobrock.ZoneChange{Name: "az2", OutOfService: rnd.IntN(2) == 0}))
		}
		for range poisson(rnd, fillerJobsPerWorker*float64(workers)/10) {
			step := fillerStep(fillersPerJob)
			step.Image, step.EstimateMillis, step.Checkpoints = fmt.Sprint("fill", rnd.IntN(30)), fillerRunTime.Milliseconds(), true
			submit("f", step)
		}
		for range poisson(rnd, shortJobsPerWorker*float64(workers)/10) {
			step := oneCoreStep(shortPerJob)
			step.EstimateMillis = shortRunTime.Milliseconds()
			submit("j", step)
		}
	}
	used := processorTime(t) - before
	h.must(h.d.CheckViews())
	cancel()
	group.Wait()
	starts, beats := 0, uint64(0)
	for _, v := range fleet {
		starts += v.starts
		beats += v.report.Sequence
	}
	t.Logf("%d workers: %.3f s of processor time a second, %d starts, %d heartbeats a second", workers,
		used.Seconds()/loadDuration.Seconds(), starts, int(float64(beats)/(loadWarmup+loadDuration).Seconds()))
	expected := (loadWarmup + loadDuration).Seconds() * float64(workers) * (fillerJobsPerWorker*fillersPerJob + shortJobsPerWorker*shortPerJob)
	if float64(starts) < 0.7*expected {
		t.Errorf("%d starts, want about %.0f", starts, expected)
	}
}

// poisson returns a number drawn from the Poisson distribution with the given
// mean (Knuth's method).
func poisson(r *rand.Rand, mean float64) (n int) {
	for p := r.ExpFloat64(); p < mean; p += r.ExpFloat64() {
		n++
	}
	return n
}
