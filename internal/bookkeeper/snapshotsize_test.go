package bookkeeper_test

import (
	"fmt"
	"testing"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// Guards against replicas that take a snapshot which none of them can decode, so that
// they do not start any more.
func TestSnapshotOfManyJobs(t *testing.T) {
	const (
		jobs  = 140_000 // more than the decoder takes by default
		batch = 1000
	)
	l := newStateMachine(t)
	for i := 0; i < jobs; i += batch {
		c := &carobrock.JobCommand{}
		for n := range batch {
			id := fmt.Sprint("job", i+n)
			c.Submit = append(c.Submit, carobrock.JobSpec{ID: id, Queue: queue, Steps: []carobrock.Step{{Count: 1}}})
			c.Cancel = append(c.Cancel, carobrock.JobKey{ID: id, Queue: queue})
		}
		l.applyCommand(c)
	}
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &bookkeeper.StateMachine{}
	restored.Prepare()
	if err := restored.Restore(1, data); err != nil {
		t.Fatal(err)
	}
	restored.View(func(s *bookkeeper.State) {
		if len(s.Jobs) != jobs {
			t.Errorf("%d jobs after the restore, want %d", len(s.Jobs), jobs)
		}
	})
}
