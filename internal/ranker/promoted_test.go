package ranker

import (
	"testing"

	"github.com/carobrock/carobrock"
)

// Guards against promoted requests that overtake another priority or come late in theirs.
func TestPromotedComesFirstInItsPriority(t *testing.T) {
	tooLate := UrgencyOf(newJob(1, carobrock.JobPending), nil, 0, 0, 1e6)
	higher := UrgencyOf(newJob(0, carobrock.JobPending), nil, 0, 0, 1e6)
	onTime := UrgencyOf(newJob(1, carobrock.JobRunning), nil, 0, 0, 0)
	if p := tooLate.Promoted(); tooLate.ClassName() != "1/tooLate" || higher.Compare(p) >= 0 || p.Compare(onTime) >= 0 {
		t.Errorf("%s, promoted: %+v, higher priority: %+v, on time: %+v", tooLate.ClassName(), p, higher, onTime)
	}
}
