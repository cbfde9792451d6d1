package emulator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carobrock/carobrock"
)

// attempt is an attempt of a task on an emulated worker. Its work is a duration;
// a checkpoint records the part of it that is done, in milliseconds.
type attempt struct {
	ref       carobrock.AttemptRef
	spec      carobrock.TaskSpec
	state     carobrock.ReportState
	reason    string
	progress  time.Duration
	startTime time.Time
	// checkpoint is the latest checkpoint, empty if there is none. The attempt pauses
	// after it has saved one.
	checkpoint string
	speedShare float64 // fraction of full speed, in (0, 1]
}

// checkpointPrefix precedes the progress in milliseconds in a checkpoint.
const checkpointPrefix = "progressMillis:"

// newAttempt returns a running attempt that continues from the request's
// checkpoint, if that is valid.
func newAttempt(request *carobrock.StartTaskRequest, now time.Time) *attempt {
	a := &attempt{
		ref: carobrock.AttemptRef{ID: request.Spec.ID, Attempt: request.Attempt}, spec: request.Spec,
		state: carobrock.ReportRunning, startTime: now, speedShare: 1,
	}
	if savedProgress, ok := strings.CutPrefix(request.Checkpoint, checkpointPrefix); ok {
		if millis, err := strconv.ParseInt(savedProgress, 10, 64); err == nil {
			a.progress = time.Duration(millis) * time.Millisecond
		}
	}
	return a
}

// hasEnded reports whether the attempt is neither running nor paused after a
// checkpoint.
func (a *attempt) hasEnded() bool {
	return a.state != carobrock.ReportRunning && a.state != carobrock.ReportCheckpointed
}

// end ends the attempt with the given state and reason. It has no effect on an
// attempt that has ended.
func (a *attempt) end(state carobrock.ReportState, reason string) {
	if !a.hasEnded() {
		a.state, a.reason = state, reason
	}
}

// advanceProgress adds the work of one step and ends the attempt when its work is
// done. It has no effect unless the attempt is running.
func (a *attempt) advanceProgress(step time.Duration) {
	if a.state != carobrock.ReportRunning {
		return
	}
	a.progress += time.Duration(float64(step) * a.speedShare)
	if a.progress >= time.Duration(a.spec.RunMillis)*time.Millisecond {
		a.end(carobrock.ReportSucceeded, "")
	}
}

// saveCheckpoint saves a checkpoint and pauses the work. It has no effect unless
// the attempt is running.
func (a *attempt) saveCheckpoint() {
	if a.state == carobrock.ReportRunning {
		a.checkpoint = fmt.Sprintf("%s%d", checkpointPrefix, a.progress.Milliseconds())
		a.state = carobrock.ReportCheckpointed
	}
}

// report returns the attempt's report. It gives the resource usage at the time
// usageAt, which is earlier than now to emulate a measurement delay.
func (a *attempt) report(usageAt time.Time) carobrock.TaskReport {
	r := carobrock.TaskReport{
		ID: a.ref.ID, Attempt: a.ref.Attempt, State: a.state, Checkpoint: a.checkpoint, Reason: a.reason,
	}
	if a.state == carobrock.ReportRunning && a.startTime.Before(usageAt) {
		r.Usage = a.spec.Size
	}
	return r
}
