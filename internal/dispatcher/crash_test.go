package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a new leader that waits for the longest lease of a worker although
// a newer one has replaced it: it did not know the machine of the earlier one.
func TestNewLeaderRecognizesARestartOnTheMachine(t *testing.T) {
	for _, test := range []struct {
		name    string
		newName string
	}{
		{name: "new name", newName: "b"},
		{name: "same name", newName: "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a := h.newWorker("a", 4)
				h.must(a.sendHeartbeat())
				h.submitJob("job", oneCoreStep(1))
				a.sendHeartbeatsFor(300 * time.Millisecond)
				h.log.setTerm(2)
				b := h.newWorker(test.newName, 4)
				b.report.Machine, b.report.Started = "m-a", 2
				b.sendHeartbeatsFor(time.Second)
				if diff := cmp.Diff([]string{"job.0#2"}, b.runNames()); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
			})
		})
	}
}
