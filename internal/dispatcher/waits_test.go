package dispatcher_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
)

// Guards against jobs that wait while neither status nor log tell why.
func TestStatusAndLogTellWhyJobsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := prepareHarness(t)
		var log bytes.Buffer
		h.d.Logger = zerolog.New(&log)
		h.start(nil)
		defer h.stop()
		v := h.newWorker("a", 4)
		gang, labeled, filler := oneCoreStep(3), oneCoreStep(1), fillerStep(1)
		gang.Gang, labeled.Label = true, "x"
		filler.Size.MemoryMB = 65000
		want := map[string]allocator.WaitReason{"room": allocator.NoRoom, "gang": allocator.GangDoesNotFit, "label": allocator.NoRoom, "filler": allocator.NoRoom}
		h.submitJob("running", oneCoreStep(2))
		v.sendHeartbeatsFor(200 * time.Millisecond)
		large := oneCoreStep(1)
		large.Size.MilliCPU = 3000
		for id, step := range map[string]carobrock.Step{"room": large, "gang": gang, "label": labeled, "filler": filler} {
			h.submitJob(id, step)
		}
		v.sendHeartbeatsFor(12 * time.Second)
		status := h.d.Waits()
		if status.Jobs != len(want) || len(status.Oldest) != len(want) {
			t.Errorf("%d jobs wait, %d are listed, want %d", status.Jobs, len(status.Oldest), len(want))
		}
		for _, x := range status.Oldest {
			if x.Reason != want[x.Job] || x.AgeSeconds < 10.5 || x.AgeSeconds > 12 {
				t.Errorf("job %s waits %.1f s because of %q, want %q", x.Job, x.AgeSeconds, x.Reason, want[x.Job])
			}
		}
		if n := strings.Count(log.String(), "jobs wait long past their objective"); n != 1 {
			t.Errorf("%d log lines on waiting jobs, want 1", n)
		}
		h.log.setLeader(false)
		if n := h.d.Waits().Jobs; n != 0 {
			t.Errorf("a replica that does not lead reports %d waiting jobs", n)
		}
	})
}
