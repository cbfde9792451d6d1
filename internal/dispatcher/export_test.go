package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/pacer"
	"github.com/carobrock/carobrock/internal/ranker"
)

// CheckViews compares the views of all workers with views that are derived from
// scratch. Loads and failure rates are not compared, since they change with time.
func (d *Dispatcher) CheckViews() (err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.StateMachine.View(func(s *bookkeeper.State) {
		for _, w := range d.workers {
			if err == nil {
				err = d.checkView(s, w)
			}
		}
	})
	if err == nil && len(d.sortedWorkers()) != len(d.workers) {
		err = fmt.Errorf("%d sorted workers of %d", len(d.sortedWorkers()), len(d.workers))
	}
	return err
}

func (d *Dispatcher) checkView(s *bookkeeper.State, w *worker) error {
	now := time.Now()
	cached := *d.candidate(s, w, now)
	unstarted, inactive := slices.Clone(w.view.unstarted), slices.Clone(w.view.inactive)
	excess, free := slices.Collect(maps.Keys(w.view.excess)), w.view.free
	w.view = workerView{}
	fresh := *d.candidate(s, w, now)
	for _, diff := range []string{
		cmp.Diff(fresh, cached, cmpopts.IgnoreFields(allocator.Worker{}, "FailureRate"), cmpopts.IgnoreFields(pacer.Service{}, "Load", "Limit", "OverTarget"),
			cmpopts.SortSlices(func(a, b pacer.Service) bool { return a.Image < b.Image }), cmpopts.EquateComparable(carobrock.WorkerIncarnation{})),
		diffRuns(w.view.unstarted, unstarted), diffRuns(w.view.inactive, inactive),
		diffRuns(slices.Collect(maps.Keys(w.view.excess)), excess), cmp.Diff(w.view.free, free),
	} {
		if diff != "" {
			return fmt.Errorf("view of worker %s (-fresh +cached):\n%s", w.report.Name, diff)
		}
	}
	return nil
}

func diffRuns(a, b []carobrock.Run) string {
	return cmp.Diff(a, b, cmpopts.EquateEmpty(), cmpopts.EquateComparable(carobrock.Run{}),
		cmpopts.SortSlices(func(a, b carobrock.Run) bool { return fmt.Sprint(a) < fmt.Sprint(b) }))
}

// SetPeriod makes the time between two heartbeats of a worker at least p until
// the rhythm is adjusted again.
func (d *Dispatcher) SetPeriod(p time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rhythm.period, d.rhythm.meanLateness = p, highLateness
}

// CompareRequestsWithoutAccounts compares the requests of a placement round with those
// that are derived in the simplest way: all waiting steps in the order of their urgency,
// whole and without rooms. The configuration must not list client accounts, and no task
// may be a suspect. Aged tasks are not promoted. It returns the number of requests.
func (d *Dispatcher) CompareRequestsWithoutAccounts() (n int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.StateMachine.View(func(s *bookkeeper.State) {
		now := time.Now()
		aging := d.aging
		defer func() { d.aging = aging }()
		d.aging = agingTable{}
		var want []rankedRequest
		for _, j := range s.Open {
			for k := range j.Spec.Occurrences() {
				o := j.Occurrence(k)
				if j.IsOccurrenceDone(k) {
					continue
				}
				for i := range j.Spec.Steps {
					if r, ok := d.newRequest(j, o, k, i, nil); ok {
						r.MinPaceFraction = minPaceFraction
						want = append(want, rankedRequest{Request: r, urgency: ranker.UrgencyOf(j, o, k, i, d.Now().UnixMilli())})
					}
				}
			}
		}
		slices.SortStableFunc(want, func(a, b rankedRequest) int { return a.urgency.Compare(b.urgency) })
		got := d.waitingRequests(s, d.newAccountRound(s), true, nil, d.candidateWorkers(s, now), now)
		if n = len(got); n != len(want) {
			err = fmt.Errorf("%d requests, want %d", n, len(want))
			return
		}
		for i := range got {
			if diff := cmp.Diff(want[i].Request, got[i], cmpopts.EquateComparable(carobrock.WorkerIncarnation{})); diff != "" {
				err = fmt.Errorf("request %d of %d (-want +got):\n%s", i, n, diff)
				return
			}
		}
	})
	return n, err
}

// EncodedLength is encodedLength.
func EncodedLength(s string) int { return encodedLength(s) }

// HoldRound calls fn while it holds what a placement round holds.
func (d *Dispatcher) HoldRound(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.StateMachine.View(func(*bookkeeper.State) { fn() })
}

// PlanRound plans a placement round without committing its command, and returns the
// number of assignments. The round considers all waiting tasks if isFull is set.
func (d *Dispatcher) PlanRound(isFull bool) int {
	now := time.Now()
	d.mu.Lock()
	if d.lastFullRound = now; isFull {
		d.lastFullRound = time.Time{}
	}
	for _, w := range d.workers {
		w.receivedAt, w.leaseExpiry = now, now.Add(time.Hour)
	}
	d.mu.Unlock()
	c, _ := d.planRound(now)
	if c == nil {
		return 0
	}
	return len(c.Assign)
}

// RecordHeartbeat stores a heartbeat in the worker table.
func (d *Dispatcher) RecordHeartbeat(r *carobrock.WorkerReport, now time.Time) {
	d.recordHeartbeat(r, now)
}

// RoundSize returns the number of requests and of tasks that a placement round considers.
func (d *Dispatcher) RoundSize() (requests, tasks int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.StateMachine.View(func(s *bookkeeper.State) {
		now := time.Now()
		d.resetAging()
		for _, r := range d.waitingRequests(s, d.newAccountRound(s), true, nil, d.candidateWorkers(s, now), now) {
			requests++
			tasks += len(r.Indices)
		}
	})
	return requests, tasks
}

// WaitingOfFirstAccount returns the numbers of waiting tasks of the first account as of the
// last round that considered all of them.
func (d *Dispatcher) WaitingOfFirstAccount() (total, limited int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.accounts.waiting) == 0 {
		return 0, 0
	}
	return d.accounts.waiting[0].total, d.accounts.waiting[0].limited
}

// AdviceSize returns the number of workers that must not run a step, and of delays after
// refused starts, that are kept.
func (d *Dispatcher) AdviceSize() (ineligible, delays int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.adviceByStep {
		ineligible += len(a.ineligible)
	}
	for _, x := range d.refusals.avoided {
		delays += len(x)
	}
	return ineligible, delays
}
