package bookkeeper_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// Limits of what a stored job may take up. A process of 284 MB stores thousands of jobs.
const (
	maxJobBytes      = 16 << 10
	maxSnapshotBytes = 16 << 10
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	m := runtime.MemStats{}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// wideJob returns a job with the largest numbers that are accepted.
func wideJob(id string) carobrock.JobSpec {
	spec := carobrock.JobSpec{ID: id, Queue: queue, Repetitions: 10_000, IntervalMillis: 1000}
	for range 16 {
		spec.Steps = append(spec.Steps, carobrock.Step{Count: 1000})
	}
	return spec
}

func newWideAssignment(job string, occurrence, step, index int) carobrock.TaskAssignment {
	return carobrock.TaskAssignment{Task: carobrock.TaskRef{Job: job, Occurrence: occurrence, Step: step, Index: index}, Attempt: 1, Incarnation: workerA}
}

// Guards against a small accepted job that takes up the memory of a replica, or the
// space of its snapshot, by its numbers of repetitions, steps and tasks. What was read from
// a log or a snapshot counts as well.
func TestSizeOfAJobFollowsItsAssignedTasks(t *testing.T) {
	const jobs = 25
	for _, test := range []struct {
		name string
		// prepare applies commands for a job that was submitted.
		prepare func(l *testStateMachine, id string)
	}{
		{"submitted", func(*testStateMachine, string) {}},
		{"first task assigned", func(l *testStateMachine, id string) {
			l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newWideAssignment(id, 0, 0, 0)}})
		}},
		{"last task assigned", func(l *testStateMachine, id string) {
			l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newWideAssignment(id, 9999, 15, 999)}})
		}},
		{"a task in each of some occurrences", func(l *testStateMachine, id string) {
			c := &carobrock.JobCommand{}
			for k := range 10 {
				c.Assign = append(c.Assign, newWideAssignment(id, k, 0, 0))
			}
			l.applyCommand(c)
		}},
		{"report of a task that was never assigned", func(l *testStateMachine, id string) {
			l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newWideAssignment(id, 0, 0, 0)}})
			end := carobrock.RunEnd{Number: 1, Task: carobrock.TaskRef{Job: id, Step: 15, Index: 999}, Attempt: 7, Kind: carobrock.EndFailed}
			l.applyCommand(endsCommand(carobrock.WorkerIncarnation{Name: id}, end))
		}},
		{"cancelled", func(l *testStateMachine, id string) {
			l.applyCommand(&carobrock.JobCommand{Assign: []carobrock.TaskAssignment{newWideAssignment(id, 0, 0, 0)}})
			l.applyCommand(&carobrock.JobCommand{Cancel: []carobrock.JobKey{{ID: id, Queue: queue}}})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := heapBytes()
			l := newStateMachine(t)
			for i := range jobs {
				id := fmt.Sprint("job", i)
				l.applyCommand(&carobrock.JobCommand{Submit: []carobrock.JobSpec{wideJob(id)}})
				test.prepare(l, id)
			}
			if got := (heapBytes() - before) / jobs; got > maxJobBytes {
				t.Errorf("a job takes up %d bytes, want at most %d", got, maxJobBytes)
			}
			data, err := l.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if got := len(data) / jobs; got > maxSnapshotBytes {
				t.Errorf("a job takes up %d bytes of a snapshot, want at most %d", got, maxSnapshotBytes)
			}
			before = heapBytes()
			restored := &bookkeeper.StateMachine{}
			restored.Prepare()
			if err := restored.Restore(l.index, data); err != nil {
				t.Fatal(err)
			}
			if got := (heapBytes() - before) / jobs; got > maxJobBytes {
				t.Errorf("a restored job takes up %d bytes, want at most %d", got, maxJobBytes)
			}
			if diff := diffStates(l.StateMachine, restored); diff != "" {
				t.Errorf("states differ (-original +restored):\n%s", diff)
			}
		})
	}
}

// Guards against a state that keeps all tasks of the occurrences and steps that are done.
func TestDoneTasksTakeUpNoMemory(t *testing.T) {
	const occurrences, tasks = 200, 100
	l := newStateMachine(t)
	spec := carobrock.JobSpec{ID: "job", Queue: queue, Repetitions: 10_000, Steps: []carobrock.Step{{Count: tasks}, {Count: 1, After: []int{0}}}}
	l.applyCommand(&carobrock.JobCommand{Submit: []carobrock.JobSpec{spec}})
	before, number := heapBytes(), uint64(0)
	for k := range occurrences {
		c, ends := &carobrock.JobCommand{}, carobrock.WorkerEnds{Incarnation: workerA}
		for n := range tasks {
			c.Assign = append(c.Assign, newWideAssignment("job", k, 0, n))
			number++
			ends.Ends = append(ends.Ends, carobrock.RunEnd{Number: number, Task: carobrock.TaskRef{Job: "job", Occurrence: k, Index: n}, Attempt: 1, Kind: carobrock.EndSucceeded})
		}
		l.applyCommand(c)
		l.applyCommand(&carobrock.JobCommand{Ends: []carobrock.WorkerEnds{ends}})
	}
	// One step of each occurrence is left, so that all of them are stored.
	const maxOccurrenceBytes = 512
	if got := (heapBytes() - before) / occurrences; got > maxOccurrenceBytes {
		t.Errorf("an occurrence with a step that is done takes up %d bytes, want at most %d", got, maxOccurrenceBytes)
	}
	if data, err := l.Snapshot(); err != nil || len(data) > maxSnapshotBytes+occurrences*maxOccurrenceBytes {
		t.Errorf("the snapshot has %d bytes, error %v", len(data), err)
	}
	for i := range 2 {
		c := &carobrock.JobCommand{}
		for k := range occurrences {
			if i == 0 {
				c.Assign = append(c.Assign, newWideAssignment("job", k, 1, 0))
				continue
			}
			number++
			end := carobrock.RunEnd{Number: number, Task: carobrock.TaskRef{Job: "job", Occurrence: k, Step: 1}, Attempt: 1, Kind: carobrock.EndSucceeded}
			c.Ends = append(c.Ends, carobrock.WorkerEnds{Incarnation: workerA, Ends: []carobrock.RunEnd{end}})
		}
		l.applyCommand(c)
	}
	// The record of the worker has room for the runs that it had.
	const maxDoneBytes = 64 << 10
	if got := heapBytes() - before; got > maxDoneBytes {
		t.Errorf("a job of which %d occurrences are done takes up %d bytes, want at most %d", occurrences, got, maxDoneBytes)
	}
	l.View(func(s *bookkeeper.State) {
		if j := s.Jobs["job"]; j.OpenOccurrences != spec.Repetitions-occurrences || !j.IsOccurrenceDone(occurrences-1) || j.IsOccurrenceDone(occurrences) {
			t.Errorf("%d occurrences are open, want %d", j.OpenOccurrences, spec.Repetitions-occurrences)
		}
	})
}
