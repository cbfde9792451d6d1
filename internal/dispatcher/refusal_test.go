package dispatcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
)

// incarnationAdvisor issues tickets that name the job, the worker and the incarnation of
// the worker that it knows.
type incarnationAdvisor struct {
	delay time.Duration // between the decision and the response

	mu      sync.Mutex
	started map[string]int64 // by name, of the eligible workers
	calls   int
}

func (a *incarnationAdvisor) Advise(_ context.Context, step carobrock.TaskRef, workers []string) (map[string]string, error) {
	out := a.issue(step, workers)
	time.Sleep(a.delay)
	return out, nil
}

func (a *incarnationAdvisor) issue(step carobrock.TaskRef, workers []string) map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	out := map[string]string{}
	for _, name := range workers {
		if started := a.started[name]; started > 0 {
			out[name] = ticketFor(step.Job, name, started)
		}
	}
	return out
}

// setStarted makes the advisor know an incarnation of a worker that may run all steps.
func (a *incarnationAdvisor) setStarted(name string, started int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started[name] = started
}

func (a *incarnationAdvisor) callCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

func ticketFor(job, name string, started int64) string {
	return fmt.Sprintf("%s/%s/%d", job, name, started)
}

// refusingWorker refuses to start runs of which the ticket was not issued for its
// incarnation, or all runs.
type refusingWorker struct {
	*fakeWorker
	refusesAll bool
	refused    int
}

func (h *harness) newRefusingWorker(name string, cores, started int64) *refusingWorker {
	v := &refusingWorker{fakeWorker: h.newWorker(name, cores)}
	v.report.Started = started
	return v
}

// sendHeartbeat sends a heartbeat, and refuses runs as soon as it is told to start them.
func (v *refusingWorker) sendHeartbeat() {
	v.h.t.Helper()
	v.h.must(v.fakeWorker.sendHeartbeat())
	for _, s := range v.lastResponse.Start {
		if v.refusesAll || s.Ticket != "" && s.Ticket != ticketFor(s.Run.Task.Job, v.report.Name, v.report.Started) {
			v.refused++
			v.endRun(s.Run, carobrock.EndRefused)
		}
	}
}

// joinAndSubmit sends the first heartbeat and submits a job of one service task.
func (v *refusingWorker) joinAndSubmit() {
	v.h.t.Helper()
	v.sendHeartbeat()
	v.h.submitJob("job", oneCoreService())
}

// sendHeartbeatsFor sends heartbeats of the workers in turn for d.
func sendHeartbeatsFor(d time.Duration, workers ...*refusingWorker) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(40 * time.Millisecond) {
		for _, v := range workers {
			v.sendHeartbeat()
		}
	}
}

// oneCoreService returns a step of one service task that requests one core.
func oneCoreService() carobrock.Step {
	step := oneCoreStep(1)
	step.Service = true
	return step
}

// refusalLine holds the fields of a log line about a refused start that the tests check.
type refusalLine struct {
	Worker, Job, Cause, Message string
	Started                     int64
	Index                       int
	Attempt                     uint64
	Delay                       float64 // milliseconds
}

// refusalLines returns the log lines about refused starts.
func refusalLines(t *testing.T, log string) (out []refusalLine) {
	t.Helper()
	for _, text := range strings.Split(log, "\n") {
		if !strings.Contains(text, "refused to start") {
			continue
		}
		line := refusalLine{}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatal(err)
		}
		line.Message = ""
		out = append(out, line)
	}
	return out
}

// A worker does not tell why it refuses a start, so the log has to.
func TestRefusedStartIsLoggedWithItsCause(t *testing.T) {
	const validity = 3 * time.Second
	for _, test := range []struct {
		name   string
		policy *carobrock.AdvisorPolicy
		// refuse makes v, which was told to start the run, refuse it.
		refuse func(v *refusingWorker, run carobrock.Run)
		want   refusalLine
	}{
		{
			name:   "ticket should be valid",
			policy: &carobrock.AdvisorPolicy{ValidityMillis: validity.Milliseconds()},
			refuse: func(v *refusingWorker, run carobrock.Run) { v.endRun(run, carobrock.EndRefused) },
			want:   refusalLine{Cause: "ticketRejected"},
		},
		{
			name:   "ticket has expired",
			policy: &carobrock.AdvisorPolicy{ValidityMillis: validity.Milliseconds()},
			refuse: func(v *refusingWorker, run carobrock.Run) {
				time.Sleep(validity)
				v.endRun(run, carobrock.EndRefused)
			},
			want: refusalLine{Cause: "ticketExpired"},
		},
		{
			name: "no room",
			refuse: func(v *refusingWorker, run carobrock.Run) {
				v.endRun(run, carobrock.EndRefused)
				v.report.Capacity.MilliCPU = 500
			},
			want: refusalLine{Cause: "noCapacity"},
		},
		{
			name: "cancelled before the start",
			refuse: func(v *refusingWorker, run carobrock.Run) {
				v.h.cancelJob(run.Task.Job)
				v.endRun(run, carobrock.EndRefused)
			},
			want: refusalLine{Cause: "notAssigned"},
		},
		{
			name:   "unknown",
			refuse: func(v *refusingWorker, run carobrock.Run) { v.endRun(run, carobrock.EndRefused) },
			want:   refusalLine{Cause: "unknown"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := prepareHarness(t)
				log := &bytes.Buffer{}
				h.d.Logger = zerolog.New(zerolog.SyncWriter(log))
				h.d.Advisor = &incarnationAdvisor{started: map[string]int64{"a": 7}}
				h.start(test.policy)
				v := h.newRefusingWorker("a", 4, 7)
				h.must(v.fakeWorker.sendHeartbeat())
				h.submitJob("job", oneCoreStep(1))
				for len(v.report.Running) == 0 {
					h.must(v.fakeWorker.sendHeartbeat())
				}
				test.refuse(v, v.report.Running[0].Run)
				h.must(v.fakeWorker.sendHeartbeat())
				refused := h.d.RefusedStarts()
				h.stop()
				test.want.Worker, test.want.Started, test.want.Job, test.want.Attempt = "a", 7, "job", 1
				if test.want.Cause != "notAssigned" {
					test.want.Delay = 250
				}
				if diff := cmp.Diff([]refusalLine{test.want}, refusalLines(t, log.String())); diff != "" {
					t.Errorf("log lines (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(map[string]int64{test.want.Cause: 1}, refused); diff != "" {
					t.Errorf("counters (-want +got):\n%s", diff)
				}
			})
		})
	}
}

var _ carobrock.Advisor = (*incarnationAdvisor)(nil)

// A worker that refused a start was sent the same start again at once, some 15 times a
// second, even if others could run the task.
func TestRefusedStartsAreRepeatedWithIncreasingDelay(t *testing.T) {
	const duration = 20 * time.Second
	// With delays of 0.25, 0.5, 1 and then 2 s there are 12 starts in that time.
	const maxStarts = 12
	for _, test := range []struct {
		name    string
		advised bool
	}{
		{name: "ticket", advised: true},
		{name: "other cause"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := prepareHarness(t)
				var policy *carobrock.AdvisorPolicy
				if test.advised {
					policy = &carobrock.AdvisorPolicy{ValidityMillis: 60_000}
				}
				h.d.Advisor = &incarnationAdvisor{started: map[string]int64{"a": 1, "b": 1}}
				h.start(policy)
				defer h.stop()
				v := h.newRefusingWorker("a", 8, 1)
				v.refusesAll = true
				v.joinAndSubmit()
				sendHeartbeatsFor(duration, v)
				if v.refused > maxStarts || v.refused < maxStarts/2 {
					t.Errorf("%d starts in %v, want at most %d", v.refused, duration, maxStarts)
				}
				other := h.newRefusingWorker("b", 1, 1)
				sendHeartbeatsFor(time.Second, v, other)
				if len(other.runNames()) != 1 {
					t.Errorf("runs %v on the other worker, want one", other.runNames())
				}
			})
		})
	}
}

// A worker with an outdated ticket for its incarnation, from an advisor that lags behind,
// must get a newer one.
func TestRefusedTicketIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, a := startWithAdvisor(t)
		defer h.stop()
		a.setStarted("a", 1)
		v := h.newRefusingWorker("a", 4, 2)
		v.sendHeartbeat()
		h.submitJob("job", oneCoreStep(4))
		sendHeartbeatsFor(time.Second, v)
		if v.refused == 0 || len(v.runNames()) > 0 {
			t.Fatalf("%d refusals of the outdated ticket, runs %v", v.refused, v.runNames())
		}
		a.setStarted("a", 2)
		sendHeartbeatsFor(3*time.Second, v)
		if len(v.runNames()) != 4 {
			t.Errorf("runs %v with the newer ticket, want 4", v.runNames())
		}
	})
}

// A worker that refuses all starts must not attract each new job because it is idle.
func TestWorkerThatRefusesAllStartsGetsFewOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		v, other := h.newRefusingWorker("a", 8, 1), h.newRefusingWorker("b", 8, 1)
		v.refusesAll = true
		sendHeartbeatsFor(time.Second, v, other)
		const jobs = 40
		for i := range jobs {
			h.submitJob(fmt.Sprintf("job%d", i), oneCoreStep(1))
			for range 4 {
				sendHeartbeatsFor(40*time.Millisecond, v, other)
				for len(other.report.Running) > 0 {
					other.endRun(other.report.Running[0].Run, carobrock.EndSucceeded)
				}
			}
		}
		if v.refused > jobs/4 {
			t.Errorf("%d of %d jobs were sent to the worker that refuses them, want at most %d", v.refused, jobs, jobs/4)
		}
	})
}

// Delays after refused starts are kept for a short time only.
func TestDelaysOfRefusedStartsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		v := h.newRefusingWorker("a", 8, 1)
		v.refusesAll = true
		for i := range 10 {
			h.submitJob(fmt.Sprintf("job%d", i), oneCoreStep(1))
		}
		sendHeartbeatsFor(time.Second, v)
		if _, delays := h.d.AdviceSize(); delays != 10 {
			t.Errorf("delays of %d steps are kept, want 10", delays)
		}
		time.Sleep(15 * time.Second)
		if _, delays := h.d.AdviceSize(); delays != 0 {
			t.Errorf("delays of %d steps are kept after their time, want none", delays)
		}
	})
}
