package emulator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carobrock/carobrock"
)

// attempt is one attempt of a task on the stand-in. Its work is a number of
// milliseconds; a checkpoint names how many are done.
type attempt struct {
	ref      carobrock.AttemptRef
	spec     carobrock.TaskSpec
	state    carobrock.ReportState
	reason   string
	progress time.Duration
	began    time.Time
	// checkpoint is the newest checkpoint; the work pauses behind it.
	checkpoint string
	throttle   float64 // share of the full speed
}

const checkpointPrefix = "progressMillis:"

func newAttempt(o *carobrock.StartOrder, now time.Time) *attempt {
	a := &attempt{
		ref: carobrock.AttemptRef{ID: o.Spec.ID, Attempt: o.Attempt}, spec: o.Spec,
		state: carobrock.ReportRunning, began: now, throttle: 1,
	}
	if done, ok := strings.CutPrefix(o.Checkpoint, checkpointPrefix); ok {
		if millis, err := strconv.ParseInt(done, 10, 64); err == nil {
			a.progress = time.Duration(millis) * time.Millisecond
		}
	}
	return a
}

func (a *attempt) isOver() bool {
	return a.state != carobrock.ReportRunning && a.state != carobrock.ReportCheckpointed
}

// end ends the attempt, unless it has ended before.
func (a *attempt) end(state carobrock.ReportState, reason string) {
	if !a.isOver() {
		a.state, a.reason = state, reason
	}
}

func (a *attempt) advance(step time.Duration) {
	if a.state != carobrock.ReportRunning {
		return
	}
	a.progress += time.Duration(float64(step) * a.throttle)
	if a.progress >= time.Duration(a.spec.RunMillis)*time.Millisecond {
		a.end(carobrock.ReportSucceeded, "")
	}
}

// save takes a checkpoint and pauses the work.
func (a *attempt) save() {
	if a.state == carobrock.ReportRunning {
		a.checkpoint = fmt.Sprintf("%s%d", checkpointPrefix, a.progress.Milliseconds())
		a.state = carobrock.ReportCheckpointed
	}
}

// report describes the attempt; its usage is as of a time in the past.
func (a *attempt) report(usageAt time.Time) carobrock.TaskReport {
	r := carobrock.TaskReport{
		ID: a.ref.ID, Attempt: a.ref.Attempt, State: a.state, Checkpoint: a.checkpoint, Reason: a.reason,
	}
	if a.state == carobrock.ReportRunning && a.began.Before(usageAt) {
		r.Usage = a.spec.Size
	}
	return r
}
