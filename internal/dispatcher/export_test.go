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
