package dispatcher_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock"
)

// Guards against a return to service that a suspended process carries out after the
// zone was taken out again, also by way of a later leader.
func TestHeldUpReturnToServiceStartsNothing(t *testing.T) {
	for _, test := range []struct {
		name    string
		newTerm bool
		delay   time.Duration // of calls of the process that holds the order up
	}{
		{"at the leader", false, 0},
		{"at the next leader", true, 0},
		{"through another process", false, time.Millisecond},
		{"through another process at the next leader", true, time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				control := carobrock.JobControl(h.d)
				if test.delay > 0 {
					control = h.controlThrough(test.delay)
				}
				setZone := func(outOfService bool) carobrock.ZoneChange {
					version, err := control.ZoneVersion(ctx, "az1")
					h.must(err)
					z := carobrock.ZoneChange{Name: "az1", OutOfService: outOfService, BaseVersion: version}
					h.must(control.SetZone(ctx, z))
					return z
				}
				setZone(true)
				heldUp := setZone(false)
				if test.newTerm {
					h.log.setTerm(2)
				}
				setZone(true)
				if err := control.SetZone(ctx, heldUp); !errors.Is(err, carobrock.ErrVersionConflict) {
					t.Errorf("error %v, want ErrVersionConflict", err)
				}
				worker := h.newWorker("a", 4)
				h.submitJob("job", oneCoreStep(1))
				if started := h.sendHeartbeats(50, worker); len(started) > 0 {
					t.Errorf("%v started in a zone that is out of service", started)
				}
			})
		})
	}
}
