package dispatcher_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const (
	// paceDelay is the time that a pace order takes to have effect on the fake
	// worker. A repeated order restarts the delay.
	paceDelay = 300 * time.Millisecond
	// idleTailMillis is the tail latency of an idle service, targetMillis its
	// target.
	idleTailMillis = 25.0
	targetMillis   = 150
	// maxTimeOverTarget is how long the platform tolerates a service being above its
	// target because of fillers.
	maxTimeOverTarget = 5500 * time.Millisecond
	// pressure is the load that fillers add to a service per unit of processor share
	// that they use on its worker.
	pressure = 2.0
)

// colocatedWorker is a fake worker on which fillers slow a service.
type colocatedWorker struct {
	*fakeWorker
	load             float64 // load of the service without fillers
	paces            map[carobrock.Run]int
	pendingPaces     map[carobrock.Run]int
	effectiveAt      map[carobrock.Run]time.Time
	paceOrders       int // number of pace orders received
	supersededOrders int // orders that arrived before the previous order for the run took effect
	// timeOverTarget is the total time that the tail latency has been above its
	// target, overTargetStreak the current uninterrupted time, longestStreak the
	// longest.
	timeOverTarget   time.Duration
	overTargetStreak time.Duration
	longestStreak    time.Duration
}

func (h *harness) newColocatedWorker(name string, cores int64, load float64) *colocatedWorker {
	v := h.newWorker(name, cores)
	v.isStalled = true // sendHeartbeatsFor sets the progress of its runs
	return &colocatedWorker{
		fakeWorker: v, load: load,
		paces: map[carobrock.Run]int{}, pendingPaces: map[carobrock.Run]int{}, effectiveAt: map[carobrock.Run]time.Time{},
	}
}

// isService reports whether a run belongs to a service: the IDs of service jobs
// begin with s.
func isService(run carobrock.Run) bool { return run.Task.Job[0] == 's' }

// tailMillis returns the current tail latency of the service in milliseconds.
func (s *colocatedWorker) tailMillis() float64 {
	load := s.load
	for _, x := range s.report.Running {
		if !isService(x.Run) {
			load += pressure * float64(s.effectivePace(x.Run)) / 100 * 2000 / float64(s.report.Capacity.MilliCPU)
		}
	}
	return idleTailMillis / math.Max(0.02, 1-load)
}

func (s *colocatedWorker) effectivePace(run carobrock.Run) int {
	if at, ok := s.effectiveAt[run]; ok && !time.Now().Before(at) {
		s.paces[run] = s.pendingPaces[run]
		delete(s.effectiveAt, run)
	}
	if p, ok := s.paces[run]; ok {
		return p
	}
	return 100
}

// sendHeartbeatsFor sends heartbeats for d and applies the pace orders in the
// responses.
func (s *colocatedWorker) sendHeartbeatsFor(d time.Duration) {
	s.h.t.Helper()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(40 * time.Millisecond) {
		for i := range s.report.Running {
			x := &s.report.Running[i]
			if isService(x.Run) {
				x.Percent, x.TailMillis = 100, int64(s.tailMillis())
				continue
			}
			x.Percent, x.TailMillis = (x.Percent+1)%100, int64(2000*s.effectivePace(x.Run)/100)
		}
		at := time.Now()
		s.h.must(s.fakeWorker.sendHeartbeat())
		if s.tailMillis() > targetMillis {
			s.timeOverTarget += time.Since(at) + 40*time.Millisecond
			s.overTargetStreak += time.Since(at) + 40*time.Millisecond
			s.longestStreak = max(s.longestStreak, s.overTargetStreak)
		} else {
			s.overTargetStreak = 0
		}
		for _, p := range s.fakeWorker.lastResponse.Pace {
			s.paceOrders++
			if at, ok := s.effectiveAt[p.Run]; ok && time.Now().Before(at) {
				s.supersededOrders++
			}
			s.pendingPaces[p.Run], s.effectiveAt[p.Run] = p.Percent, time.Now().Add(paceDelay)
		}
	}
}

func serviceStep() carobrock.Step {
	return carobrock.Step{
		Count: 1, Service: true, Image: "svc", TailTargetMillis: targetMillis, Size: carobrock.Capacity{MilliCPU: 4000, MemoryMB: 100},
	}
}

func fillerStep(n int) carobrock.Step {
	return carobrock.Step{
		Count: n, Filler: true, Image: "heavy", EstimateMillis: 60_000, Size: carobrock.Capacity{MilliCPU: 2000, MemoryMB: 100},
	}
}

// Guards against repeating a pace order in every response: a worker restarts
// its delay with each order, so the pace never took effect.
func TestPaceTakesEffectThoughRepeatedOrdersDelayIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		v := h.newColocatedWorker("a", 16, 0.3)
		h.submitJob("s1", serviceStep())
		v.sendHeartbeatsFor(2 * time.Second)
		h.submitJob("f1", fillerStep(2))
		v.sendHeartbeatsFor(2 * time.Second)
		// The load rises as fast as the load of the platform's services at its
		// steepest: a sine with an amplitude of 0.24 and a period of 10 s.
		for range 20 {
			v.load += 0.015
			v.sendHeartbeatsFor(100 * time.Millisecond)
		}
		v.sendHeartbeatsFor(8 * time.Second)
		if v.tailMillis() > targetMillis || v.longestStreak > maxTimeOverTarget {
			t.Errorf("tail latency %.0f ms, above its target for up to %v", v.tailMillis(), v.longestStreak)
		}
		if v.supersededOrders > 0 || v.paceOrders == 0 {
			t.Errorf("%d of %d pace orders delayed the previous one", v.supersededOrders, v.paceOrders)
		}
	})
}

// Guards against a new leader losing the paces of fillers and the learned
// pressures: it assumed that all fillers ran at full pace and raised them all at
// once.
func TestNewLeaderKeepsPacesAndPressures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		v, other := h.newColocatedWorker("a", 16, 0.3), h.newColocatedWorker("b", 16, 0.3)
		v.report.Labels = []string{"fillers"}
		sendBothHeartbeatsFor := func(d time.Duration) {
			heartbeats := conc.NewWaitGroup()
			heartbeats.Go(func() { v.sendHeartbeatsFor(d) })
			heartbeats.Go(func() { other.sendHeartbeatsFor(d) })
			heartbeats.Wait()
		}
		service := serviceStep()
		service.Count, service.MaxPerWorker = 2, 1
		h.submitJob("s1", service)
		sendBothHeartbeatsFor(2 * time.Second)
		filler := fillerStep(2)
		filler.Label = "fillers"
		h.submitJob("f1", filler)
		sendBothHeartbeatsFor(2 * time.Second)
		v.load, other.load = 0.72, 0.72
		sendBothHeartbeatsFor(5 * time.Second)
		h.log.setTerm(2)
		v.timeOverTarget, v.paceOrders = 0, 0
		sendBothHeartbeatsFor(3 * time.Second)
		if v.timeOverTarget > 300*time.Millisecond {
			t.Errorf("tail latency %.0f ms, above its target for %v", v.tailMillis(), v.timeOverTarget)
		}
		if v.paceOrders == 0 {
			t.Error("the new leader sent no pace order")
		}
		if known := v.recordedPressure(); math.Abs(known-pressure) > 0.5*pressure {
			t.Errorf("the new leader recorded a pressure of %.2f, want about %.2f", known, pressure)
		}
	})
}

// recordedPressure returns the pressure in the replicated state, which the next
// leader imports.
func (s *colocatedWorker) recordedPressure() (p float64) {
	s.h.stateMachine.View(func(state *bookkeeper.State) {
		for _, x := range state.Interference.Services {
			if x.Image == "svc" && len(x.Pressure) > 0 {
				p = float64(x.Pressure[0])
			}
		}
	})
	return p
}

// Fillers that are slowed almost to a stop return to the queue, so that other
// tasks can use their memory.
func TestSlowedFillerIsRequeued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		v := h.newColocatedWorker("a", 16, 0.3)
		h.submitJob("s1", serviceStep())
		v.sendHeartbeatsFor(2 * time.Second)
		step := fillerStep(2)
		step.Checkpoints = true
		h.submitJob("f1", step)
		v.sendHeartbeatsFor(time.Second)
		v.load = 0.9
		v.sendHeartbeatsFor(6 * time.Second)
		if got := v.runNames(); len(got) != 1 {
			t.Errorf("runs %v, want only the service", got)
		}
	})
}
