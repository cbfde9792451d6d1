package dispatcher_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/dispatcher"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/sleeper"
)

// slowPeriod is the period of heartbeats at a leader under load.
const slowPeriod = 900 * time.Millisecond

// pauseAfterEnd is the longest time from the end of a run, or from the response to
// the heartbeat before it, to the heartbeat that lists the end.
const pauseAfterEnd = 50 * time.Millisecond

// forwardingNode is an RPCClient that delivers calls to the dispatcher after a
// delay.
type forwardingNode struct {
	d     *dispatcher.Dispatcher
	delay time.Duration
}

func (n forwardingNode) Call(ctx context.Context, _, method string, body []byte) ([]byte, error) {
	if err := sleeper.Sleep(ctx, n.delay); err != nil {
		return nil, err
	}
	return locator.Handlers(n.d)[method](ctx, body)
}

// controlThrough returns the JobControl of a process without a replica that
// forwards its calls with the given delay.
func (h *harness) controlThrough(delay time.Duration) carobrock.JobControl {
	l := &locator.Locator{RPCClient: forwardingNode{d: h.d, delay: delay}, Logger: zerolog.Nop()}
	l.SetSeeds([]string{"leader"})
	return l
}

// newLeavingWorker returns a worker that is leaving while it runs the only task of
// a job, and another worker with room for that task.
func (h *harness) newLeavingWorker(job string) (leaving, other *fakeWorker) {
	h.t.Helper()
	leaving = h.newWorker("a", 4)
	h.must(leaving.sendHeartbeat())
	h.submitJob(job, oneCoreStep(1))
	leaving.sendHeartbeatsFor(300 * time.Millisecond)
	if len(leaving.runNames()) != 1 {
		h.t.Fatalf("runs %v, want one", leaving.runNames())
	}
	leaving.report.Leaving, leaving.report.RemainingMillis = true, 300
	h.must(leaving.sendHeartbeat())
	other = h.newWorker("b", 4)
	h.must(other.sendHeartbeat())
	return leaving, other
}

// nextReport returns the report of the worker's next heartbeat.
func (v *fakeWorker) nextReport() *carobrock.WorkerReport {
	v.report.Sequence++
	r := v.report
	r.Running, r.Ends = slices.Clone(r.Running), slices.Clone(r.Ends)
	return &r
}

// Guards against holding the response to a leaving worker: the worker listed the
// end of a run only after it, and left before that.
func TestTaskRanAgainBecauseALeavingWorkerWaitedForItsResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		// endAfter is the time from a heartbeat to the end of the run, leaveAfter the
		// time from the end to the removal.
		endAfter, leaveAfter time.Duration
	}{
		{"end right after the heartbeat", time.Millisecond, 60 * time.Millisecond},
		{"as on the day of the report", 30 * time.Millisecond, 220 * time.Millisecond},
		{"end long after the heartbeat", 200 * time.Millisecond, 60 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newLeavingWorker("job")
				h.d.SetPeriod(slowPeriod)
				calls := conc.NewWaitGroup()
				responded := make(chan struct{})
				first := a.nextReport()
				calls.Go(func() {
					defer close(responded)
					_, _ = h.d.Heartbeat(context.Background(), first)
				})
				time.Sleep(test.endAfter)
				a.endRun(a.report.Running[0].Run, carobrock.EndSucceeded)
				last, left := a.nextReport(), make(chan struct{})
				calls.Go(func() {
					<-responded
					select {
					case <-left:
					case <-time.After(pauseAfterEnd):
						_, _ = h.d.Heartbeat(context.Background(), last)
					}
				})
				time.Sleep(test.leaveAfter)
				close(left)
				h.must(h.d.RemoveWorker(context.Background(), "a"))
				b.sendHeartbeatsFor(3 * time.Second)
				calls.Wait()
				if got := b.runNames(); len(got) > 0 || h.jobState("job") != carobrock.JobSucceeded {
					t.Errorf("runs %v on the other worker and job state %q, want none and %q", got, h.jobState("job"), carobrock.JobSucceeded)
				}
			})
		})
	}
}

// Guards against losing the end of a run that is on its way when the leader learns
// that the worker is gone.
func TestTaskRanAgainAfterItsWorkerLeft(t *testing.T) {
	leave := func(h *harness) { h.must(h.d.RemoveWorker(context.Background(), "a")) }
	restart := func(h *harness) {
		v := h.newWorker("a", 4)
		v.report.Started = 2
		v.sendHeartbeatsFor(80 * time.Millisecond)
	}
	replace := func(h *harness) {
		v := h.newWorker("c", 4)
		v.report.Started, v.report.Machine = 2, "m-a"
		v.sendHeartbeatsFor(80 * time.Millisecond)
	}
	withdrawZone := func(h *harness) {
		h.must(h.d.SetZone(context.Background(), carobrock.ZoneChange{Name: "az9", OutOfService: true}))
		leave(h)
	}
	changeTerm := func(h *harness) {
		leave(h)
		h.log.setTerm(2)
	}
	for _, test := range []struct {
		name string
		// event ends the worker incarnation after eventAfter.
		event      func(h *harness)
		eventAfter time.Duration
		// heartbeatDelay is the time that the last heartbeat takes to the leader,
		// commitDelay is added to the next commit.
		heartbeatDelay, commitDelay time.Duration
		// forwarded is set if another process forwards the heartbeat.
		forwarded bool
		// callerLeavesAfter is when the caller of the heartbeat gives up, if not zero.
		callerLeavesAfter time.Duration
	}{
		{name: "removal after the commit", event: leave, eventAfter: 100 * time.Millisecond},
		{name: "removal during the commit", event: leave, eventAfter: 5 * time.Millisecond},
		{name: "removal during a long commit", event: leave, eventAfter: 5 * time.Millisecond, commitDelay: 800 * time.Millisecond},
		{name: "removal during a longer commit", event: leave, eventAfter: 5 * time.Millisecond, commitDelay: 2 * time.Second},
		{name: "removal overtakes the heartbeat", event: leave, heartbeatDelay: 5 * time.Millisecond},
		{name: "removal overtakes by a commit", event: leave, heartbeatDelay: 25 * time.Millisecond},
		{name: "removal overtakes by far", event: leave, heartbeatDelay: 700 * time.Millisecond},
		{name: "removal overtakes, long commit", event: leave, heartbeatDelay: 700 * time.Millisecond, commitDelay: 800 * time.Millisecond},
		{name: "forwarded", event: leave, eventAfter: 5 * time.Millisecond, heartbeatDelay: time.Millisecond, forwarded: true},
		{name: "forwarded, removal overtakes", event: leave, heartbeatDelay: 300 * time.Millisecond, forwarded: true},
		{name: "caller leaves during the commit", event: leave, eventAfter: 5 * time.Millisecond, commitDelay: 300 * time.Millisecond, callerLeavesAfter: 6 * time.Millisecond},
		{name: "restart during the commit", event: restart, eventAfter: 5 * time.Millisecond, commitDelay: 800 * time.Millisecond},
		{name: "restart overtakes the heartbeat", event: restart, heartbeatDelay: 300 * time.Millisecond},
		{name: "newer worker during the commit", event: replace, eventAfter: 5 * time.Millisecond, commitDelay: 800 * time.Millisecond},
		{name: "newer worker overtakes the heartbeat", event: replace, heartbeatDelay: 300 * time.Millisecond},
		{name: "zone change at the removal", event: withdrawZone, heartbeatDelay: 300 * time.Millisecond},
		{name: "new leader after the removal", event: changeTerm, heartbeatDelay: 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newLeavingWorker("job")
				a.endRun(a.report.Running[0].Run, carobrock.EndSucceeded)
				r := a.nextReport()
				calls := conc.NewWaitGroup()
				if test.commitDelay > 0 {
					// The commit of another command holds up that of the end.
					h.log.delayNextCommit(test.commitDelay)
					calls.Go(func() { h.cancelJob("other") })
					time.Sleep(time.Millisecond)
				}
				calls.Go(func() {
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if test.callerLeavesAfter > 0 {
						defer time.AfterFunc(test.callerLeavesAfter, cancel).Stop()
					}
					if test.forwarded {
						_, _ = h.controlThrough(test.heartbeatDelay).Heartbeat(ctx, r)
						return
					}
					time.Sleep(test.heartbeatDelay)
					_, _ = h.d.Heartbeat(ctx, r)
				})
				calls.Go(func() {
					time.Sleep(test.eventAfter)
					test.event(h)
				})
				b.sendHeartbeatsFor(8 * time.Second)
				calls.Wait()
				if got := b.runNames(); len(got) > 0 || h.jobState("job") != carobrock.JobSucceeded {
					t.Errorf("runs %v on the other worker and job state %q, want none and %q", got, h.jobState("job"), carobrock.JobSucceeded)
				}
			})
		})
	}
}

// The log tells whether an end arrived late, and whether it still counted.
func TestLateEndsAreLogged(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration
		want  []string
	}{
		{"before the loss is recorded", 500 * time.Millisecond, []string{`"overtaken":true`, `"superseded":false`, `"sinceWorkerEnded":500`}},
		{"after another run was assigned", 3 * time.Second, []string{`"overtaken":true`, `"superseded":true`, `"attempt":1`}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := prepareHarness(t)
				log := &bytes.Buffer{}
				h.d.Logger = zerolog.New(zerolog.SyncWriter(log))
				h.start(nil)
				a, b := h.newLeavingWorker("job")
				h.must(h.d.RemoveWorker(context.Background(), "a"))
				calls := conc.NewWaitGroup()
				calls.Go(func() { b.sendHeartbeatsFor(test.delay) })
				time.Sleep(test.delay)
				a.endRun(a.report.Running[0].Run, carobrock.EndSucceeded)
				h.must(a.sendHeartbeat())
				calls.Wait()
				h.stop()
				_, line, _ := strings.Cut(log.String(), "worker incarnation ended")
				for _, want := range append(test.want, "end of a run arrived late") {
					if !strings.Contains(line, want) {
						t.Errorf("log after the removal lacks %s:\n%s", want, line)
					}
				}
			})
		})
	}
}

// Guards against waiting for the ends of a departed worker for long.
func TestTaskOfADepartedWorkerRunsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		_, b := h.newLeavingWorker("job")
		h.must(h.d.RemoveWorker(context.Background(), "a"))
		b.sendHeartbeatsFor(1500 * time.Millisecond)
		if got := b.runNames(); len(got) != 1 || got[0] != "job.0#2" {
			t.Errorf("runs %v 1.5 s after the worker left, want the second attempt", got)
		}
	})
}

// Guards against keeping a departed worker whose heartbeat arrives after its loss was
// recorded: it took the place of a worker that is directed to the leader.
func TestLateHeartbeatOfADepartedWorkerTakesNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := prepareHarness(t)
		h.d.WorkerAddress, h.d.Settings.MaxDirectWorkers = "leader:1", 1
		h.start(nil)
		defer h.stop()
		a := h.newWorker("a", 4)
		a.report.Leaving = true
		h.must(a.sendHeartbeat())
		h.must(h.d.RemoveWorker(context.Background(), "a"))
		time.Sleep(2 * time.Second)
		h.must(a.sendHeartbeat())
		b := h.newWorker("b", 4)
		h.must(b.sendHeartbeat())
		if b.lastResponse.NextAddress == "" {
			t.Error("a worker was not directed to the leader although the one before has left")
		}
	})
}

// Guards against two runs of a task at once after a late removal from an earlier
// incarnation has ended a leaving worker.
func TestWorkerThatWasRemovedByMistakeStopsItsRuns(t *testing.T) {
	for _, test := range []struct {
		name   string
		period time.Duration
	}{
		{"idle leader", 140 * time.Millisecond},
		{"leader under load", 450 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a, b := h.newLeavingWorker("job")
				h.must(h.d.RemoveWorker(context.Background(), "a"))
				calls := conc.NewWaitGroup()
				calls.Go(func() { b.sendHeartbeatsFor(6 * time.Second) })
				for range int(6 * time.Second / test.period) {
					time.Sleep(test.period)
					runs := len(a.runNames())
					h.must(a.sendHeartbeat())
					h.stateMachine.View(func(s *bookkeeper.State) {
						if _, _, task := s.Task(carobrock.TaskRef{Job: "job"}); runs > 0 && task.Attempt > 1 {
							t.Errorf("attempt %d was assigned while the worker still had a run", task.Attempt)
						}
					})
				}
				calls.Wait()
				if got := b.runNames(); len(a.runNames()) > 0 || len(got) != 1 || got[0] != "job.0#2" {
					t.Errorf("runs %v on the removed worker and %v on the other, want none and the second attempt", a.runNames(), got)
				}
			})
		})
	}
}

// departureSeeds is the number of random orders of events that are tried.
const departureSeeds = 40

// reportedEnds is the naive reference: the times at which the heartbeats that list
// the successful end of a task were sent.
type reportedEnds map[carobrock.TaskRef]time.Time

// Guards against starting a task again after its end was reported, in random orders
// of heartbeats, removals, restarts, replacements, slow commits and new terms.
func TestNoTaskStartsAfterItsEndWasReported(t *testing.T) {
	for seed := range uint64(departureSeeds) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				newDepartureRun(h, seed).play()
			})
		})
	}
}

// departureRun plays random departures of workers.
type departureRun struct {
	h       *harness
	rnd     *rand.Rand
	reports reportedEnds
	calls   *conc.WaitGroup
}

func newDepartureRun(h *harness, seed uint64) *departureRun {
	return &departureRun{h: h, rnd: rand.New(rand.NewPCG(seed, 24)), reports: reportedEnds{}, calls: conc.NewWaitGroup()}
}

func (p *departureRun) play() {
	var fleet []*fakeWorker
	for _, name := range []string{"a", "b", "c", "d"} {
		fleet = append(fleet, p.h.newWorker(name, 2))
	}
	for round := range 8 {
		p.h.submitJob(fmt.Sprintf("job%d", round), oneCoreStep(4))
		for range 10 {
			p.step(fleet)
		}
		i := p.rnd.IntN(len(fleet))
		fleet[i] = p.depart(fleet[i], round)
		if p.rnd.IntN(3) == 0 {
			p.h.log.delayNextCommit(p.randomDelay(600))
		}
		if p.rnd.IntN(4) == 0 {
			p.h.log.setTerm(uint64(round) + 2)
		}
	}
	for range 60 {
		p.step(fleet)
	}
	p.calls.Wait()
	p.checkReportedTasks()
}

// checkReportedTasks checks that all tasks whose ends were reported are done.
func (p *departureRun) checkReportedTasks() {
	p.h.stateMachine.View(func(s *bookkeeper.State) {
		for ref := range p.reports {
			if _, _, t := s.Task(ref); t != nil && !t.Done {
				p.h.t.Errorf("task %v is not done although its end was reported", ref)
			}
		}
	})
}

func (p *departureRun) randomDelay(maxMillis int) time.Duration {
	return time.Duration(p.rnd.IntN(maxMillis)) * time.Millisecond
}

// step ends some runs and sends a heartbeat of each worker.
func (p *departureRun) step(fleet []*fakeWorker) {
	heartbeats := conc.NewWaitGroup()
	for _, v := range fleet {
		p.endSomeRuns(v)
		p.recordReport(v)
		v.lastResponse = &carobrock.HeartbeatResponse{}
		heartbeats.Go(func() { _ = v.sendHeartbeat() }) // it fails if the term ends during the commit
	}
	heartbeats.Wait()
	for _, v := range fleet {
		for _, s := range v.lastResponse.Start {
			if at, ok := p.reports[s.Run.Task]; ok {
				p.h.t.Errorf("run %v started on %s %s after the end of the task was reported", s.Run, v.report.Name, time.Since(at))
			}
		}
	}
	time.Sleep(p.randomDelay(40))
}

func (p *departureRun) endSomeRuns(v *fakeWorker) {
	for i := len(v.report.Running) - 1; i >= 0; i-- {
		if p.rnd.IntN(8) == 0 {
			v.endRun(v.report.Running[i].Run, carobrock.EndSucceeded)
		}
	}
}

func (p *departureRun) recordReport(v *fakeWorker) {
	for _, e := range v.report.Ends {
		if _, ok := p.reports[e.Task]; !ok && e.Kind == carobrock.EndSucceeded {
			p.reports[e.Task] = time.Now()
		}
	}
}

// depart ends a worker incarnation in a random way while its last heartbeat is on
// its way, and returns its successor.
func (p *departureRun) depart(v *fakeWorker, round int) *fakeWorker {
	successor := p.h.newWorker(v.report.Name, 2)
	successor.report.Started = v.report.Started + 1
	how := p.rnd.IntN(3)
	switch how {
	case 0: // the worker leaves as planned
		v.report.Leaving = true
		p.h.must(v.sendHeartbeat())
		successor.report.Name, successor.report.Machine = fmt.Sprintf("n%d", round), fmt.Sprintf("m-n%d", round)
	case 1: // the worker restarts under its name
	case 2: // another worker starts on the machine
		successor.report.Name, successor.report.Machine = fmt.Sprintf("n%d", round), v.report.Machine
	}
	p.endSomeRuns(v)
	p.recordReport(v)
	last, delay := v.nextReport(), p.randomDelay(950)
	p.calls.Go(func() {
		time.Sleep(delay)
		for {
			if _, err := p.h.d.Heartbeat(context.Background(), last); err == nil {
				return
			}
			time.Sleep(time.Millisecond) // the forwarding process finds the new leader
		}
	})
	if how == 0 {
		removalDelay, name := p.randomDelay(100), v.report.Name
		p.calls.Go(func() {
			time.Sleep(removalDelay)
			p.h.must(p.h.d.RemoveWorker(context.Background(), name))
		})
	}
	return successor
}
