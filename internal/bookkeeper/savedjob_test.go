package bookkeeper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// The form of jobs in the snapshots of releases that store all occurrences and tasks.
type (
	earlierJob struct {
		Spec                carobrock.JobSpec    `cbor:"1,keyasint"`
		Queue               carobrock.Queue      `cbor:"2,keyasint"`
		SubmitNumber        uint64               `cbor:"3,keyasint"`
		State               carobrock.JobState   `cbor:"4,keyasint"`
		SubmittedUnixMillis int64                `cbor:"5,keyasint"`
		EndedUnixMillis     int64                `cbor:"6,keyasint,omitempty"`
		Occurrences         []*earlierOccurrence `cbor:"7,keyasint"`
		OpenOccurrences     int                  `cbor:"8,keyasint"`
		ExceedsRate         bool                 `cbor:"9,keyasint,omitempty"`
	}
	earlierOccurrence struct {
		Steps     []earlierStep `cbor:"1,keyasint"`
		OpenSteps int           `cbor:"2,keyasint"`
	}
	earlierStep struct {
		Tasks         []bookkeeper.Task `cbor:"1,keyasint"`
		DoneCount     int               `cbor:"2,keyasint,omitempty"`
		ActiveCount   int               `cbor:"3,keyasint,omitempty"`
		FailedAttempt uint64            `cbor:"4,keyasint,omitempty"`
	}
)

// earlierJobOf returns a job as an earlier release stores it. If isDoneKept is set, tasks
// that are done have an attempt, as they do there.
func earlierJobOf(s *bookkeeper.State, j *bookkeeper.Job, isDoneKept bool) *earlierJob {
	out := &earlierJob{
		Spec: j.Spec, Queue: j.Queue, SubmitNumber: j.SubmitNumber, State: j.State, SubmittedUnixMillis: j.SubmittedUnixMillis, EndedUnixMillis: j.EndedUnixMillis,
		OpenOccurrences: j.OpenOccurrences, ExceedsRate: j.ExceedsRate,
	}
	if !j.IsOpen() {
		return out
	}
	out.Occurrences = make([]*earlierOccurrence, j.Spec.Occurrences())
	for k := range out.Occurrences {
		if !j.Touched.Has(k) {
			continue
		}
		o := &earlierOccurrence{Steps: make([]earlierStep, len(j.Spec.Steps))}
		for i := range o.Steps {
			x := &o.Steps[i]
			for n := range j.Spec.Steps[i].Count {
				_, _, t := s.Task(carobrock.TaskRef{Job: j.Spec.ID, Occurrence: k, Step: i, Index: n})
				task := *t
				if task.Done {
					x.DoneCount++
					if isDoneKept {
						task.Attempt = 3
					}
				}
				if len(task.Runs) > 0 {
					x.ActiveCount++
				}
				x.Tasks = append(x.Tasks, task)
			}
			if x.DoneCount < len(x.Tasks) {
				o.OpenSteps++
			}
			if st := j.Occurrence(k).Step(i); st != nil {
				x.FailedAttempt = st.FailedAttempt
			}
		}
		out.Occurrences[k] = o
	}
	return out
}

// withoutDoneSteps returns j without the tasks of the steps that are done, of which an
// earlier release reads nothing but that none is left.
func (j *earlierJob) withoutDoneSteps() *earlierJob {
	for _, o := range j.Occurrences {
		for i := 0; o != nil && i < len(o.Steps); i++ {
			if x := &o.Steps[i]; x.DoneCount == len(x.Tasks) {
				*x = earlierStep{}
			}
		}
	}
	return j
}

// decodeSnapshot returns the parts of a snapshot of a state, and of those its fields.
func decodeSnapshot(t *testing.T, data []byte) (snapshot, state map[int]cbor.RawMessage) {
	t.Helper()
	if err := cbor.Unmarshal(data, &snapshot); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(snapshot[1], &state); err != nil {
		t.Fatal(err)
	}
	return snapshot, state
}

// jobsField is the key of the jobs in the encoding of a state.
const jobsField = 3

// Guards against snapshots that replicas of earlier releases cannot read, and against
// snapshots of theirs that are not read: during an upgrade both are members of a group.
func TestSnapshotsAreThoseOfEarlierReleases(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := &bookkeeper.StateMachine{RetentionMillis: restoreRetentionMillis}
			m.Prepare()
			g := &commandGenerator{
				Rand: rand.New(rand.NewPCG(seed, 11)), stateMachine: m, nowMillis: 1_000_000, nextEnd: map[carobrock.WorkerIncarnation]uint64{},
			}
			for index := uint64(1); index <= restoreCommands; index++ {
				data, err := g.command().Encode()
				if err != nil {
					t.Fatal(err)
				}
				m.Apply(index, data)
				if index%compareEvery == 0 {
					checkEarlierForm(t, m)
				}
			}
		})
	}
}

// checkEarlierForm compares the jobs of a snapshot with those that an earlier release
// stores, and the state with one restored from its snapshot.
func checkEarlierForm(t *testing.T, m *bookkeeper.StateMachine) {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	snapshot, state := decodeSnapshot(t, data)
	got := map[string]*earlierJob{}
	if err := cbor.Unmarshal(state[jobsField], &got); err != nil {
		t.Fatalf("an earlier release cannot decode the jobs: %v", err)
	}
	want, stored := map[string]*earlierJob{}, map[string]*earlierJob{}
	m.View(func(s *bookkeeper.State) {
		for id, j := range s.Jobs {
			want[id], stored[id] = earlierJobOf(s, j, false).withoutDoneSteps(), earlierJobOf(s, j, true)
		}
	})
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty(), cmpopts.IgnoreFields(bookkeeper.TaskRun{}, "_")); diff != "" {
		t.Fatalf("jobs in the snapshot (-as stored by an earlier release +got):\n%s", diff)
	}
	if state[jobsField], err = cbor.Marshal(stored); err != nil {
		t.Fatal(err)
	}
	if snapshot[1], err = cbor.Marshal(state); err != nil {
		t.Fatal(err)
	}
	if data, err = cbor.Marshal(snapshot); err != nil {
		t.Fatal(err)
	}
	restored := &bookkeeper.StateMachine{}
	restored.Prepare()
	if err := restored.Restore(1, data); err != nil {
		t.Fatal(err)
	}
	if diff := diffStates(m, restored); diff != "" {
		t.Fatalf("state after the snapshot of an earlier release (-original +restored):\n%s", diff)
	}
}
