package bookkeeper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

const (
	restoreSeeds    = 24
	restoreCommands = 250
	// jobIDs is the number of IDs of jobs, which are used again after jobs expired.
	jobIDs = 8
	// maxDrawnOccurrence bounds the occurrences that get tasks, so that some are done.
	maxDrawnOccurrence = 3
	// compareEvery is the number of commands between comparisons of the states.
	compareEvery = 50
	// restoreRetentionMillis is short, so that jobs expire within a history.
	restoreRetentionMillis = 4000
)

// commandGenerator draws commands that mostly fit the state of a state machine.
type commandGenerator struct {
	*rand.Rand
	stateMachine *bookkeeper.StateMachine
	nowMillis    int64
	nextEnd      map[carobrock.WorkerIncarnation]uint64
	clockJumps   bool
	// accounts are the client accounts that submit jobs, nil if there are none.
	accounts []string
	// repetitions replaces the number of repetitions of repeated jobs unless it is zero.
	repetitions int
}

func (g *commandGenerator) incarnation() carobrock.WorkerIncarnation {
	return carobrock.WorkerIncarnation{Name: string(rune('a' + g.IntN(4))), Started: int64(1 + g.IntN(2))}
}

func (g *commandGenerator) jobID() string { return fmt.Sprint("job", g.IntN(jobIDs)) }

func (g *commandGenerator) flip(oneIn int) bool { return g.IntN(oneIn) == 0 }

func (g *commandGenerator) spec() carobrock.JobSpec {
	spec := carobrock.JobSpec{ID: g.jobID(), Queue: queue, Repetitions: g.IntN(3), Payload: "payload"}
	if spec.Repetitions > 0 && g.repetitions > 0 {
		spec.Repetitions = g.repetitions
	}
	if g.accounts != nil {
		spec.Account = g.accounts[g.IntN(len(g.accounts))]
	}
	for i := range 1 + g.IntN(3) {
		step := carobrock.Step{
			Count: 1 + g.IntN(3), Size: carobrock.Capacity{MilliCPU: int64(100 * i)},
			Gang: g.flip(4), Speculative: g.flip(4), Service: g.flip(8),
		}
		if i > 0 && g.flip(2) {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// run draws a run that is recorded at a worker, or a run that does not exist.
func (g *commandGenerator) run() (carobrock.WorkerIncarnation, carobrock.Run) {
	w := g.incarnation()
	run := carobrock.Run{Task: carobrock.TaskRef{Job: g.jobID(), Step: g.IntN(3), Index: g.IntN(3)}, Attempt: uint64(g.IntN(4))}
	if g.flip(6) {
		return w, run
	}
	g.stateMachine.View(func(s *bookkeeper.State) {
		for _, j := range s.Open {
			for _, o := range j.Started {
				for _, st := range o.Steps {
					for n := range st.Count {
						if st.Tasks[n] == nil {
							continue
						}
						for _, r := range st.Tasks[n].Runs {
							if g.flip(3) {
								w, run = r.Incarnation, carobrock.Run{Task: carobrock.TaskRef{Job: j.Spec.ID, Occurrence: o.Number, Step: st.Number, Index: n}, Attempt: r.Attempt}
							}
						}
					}
				}
			}
		}
	})
	return w, run
}

// assignment draws the next attempt of a task, which may not be ready.
func (g *commandGenerator) assignment() carobrock.TaskAssignment {
	a := carobrock.TaskAssignment{Incarnation: g.incarnation(), Attempt: 1, Ticket: fmt.Sprint(g.IntN(3))}
	g.stateMachine.View(func(s *bookkeeper.State) {
		if len(s.Open) == 0 {
			return
		}
		j := s.Open[g.IntN(len(s.Open))]
		a.Task = carobrock.TaskRef{Job: j.Spec.ID, Occurrence: g.IntN(min(j.Spec.Occurrences(), maxDrawnOccurrence)), Step: g.IntN(len(j.Spec.Steps)), Index: g.IntN(3)}
		if _, _, t := s.Task(a.Task); t != nil {
			a.Attempt = t.Attempt + 1
		}
	})
	return a
}

func (g *commandGenerator) end() carobrock.WorkerEnds {
	kinds := []carobrock.EndKind{carobrock.EndSucceeded, carobrock.EndSucceeded, carobrock.EndFailed, carobrock.EndStopped, carobrock.EndLeaseExpired, carobrock.EndRefused}
	w, run := g.run()
	if !g.flip(8) { // else the last end is reported again
		g.nextEnd[w]++
	}
	e := carobrock.RunEnd{Number: g.nextEnd[w], Task: run.Task, Attempt: run.Attempt, Kind: kinds[g.IntN(len(kinds))]}
	if g.flip(2) {
		e.Checkpoint = fmt.Sprint("c", g.IntN(100))
	}
	return carobrock.WorkerEnds{Incarnation: w, Ends: []carobrock.RunEnd{e}}
}

func (g *commandGenerator) command() *carobrock.JobCommand {
	g.nowMillis += int64(g.IntN(200))
	if g.clockJumps && g.flip(20) {
		g.nowMillis += int64(g.IntN(4000)) - 2000
	}
	c := &carobrock.JobCommand{AtUnixMillis: g.nowMillis}
	for range 1 + g.IntN(3) {
		switch g.IntN(12) {
		case 0, 1:
			c.Submit = append(c.Submit, g.spec())
		case 2:
			c.Cancel = append(c.Cancel, carobrock.JobKey{ID: g.jobID(), Queue: queue})
		case 3, 4, 5:
			c.Ends = append(c.Ends, g.end())
		case 6:
			w, run := g.run()
			lost := carobrock.LostWorker{Incarnation: w, IncarnationEnded: g.flip(2)}
			if g.flip(2) {
				lost.Checkpoints = []carobrock.RunCheckpoint{{Task: run.Task, Attempt: run.Attempt, Checkpoint: "lost"}}
			}
			c.Lost = append(c.Lost, lost)
		case 7:
			w, run := g.run()
			c.Withdrawn = append(c.Withdrawn, carobrock.WithdrawnRun{Incarnation: w, Task: run.Task, Attempt: run.Attempt})
		case 8:
			_, run := g.run()
			c.Checkpoints = append(c.Checkpoints, carobrock.RunCheckpoint{Task: run.Task, Attempt: run.Attempt, Checkpoint: fmt.Sprint("k", g.IntN(100))})
		case 9:
			g.addOperatorChange(c)
		default:
			c.Assign = append(c.Assign, g.assignment(), g.assignment(), g.assignment())
		}
	}
	return c
}

func (g *commandGenerator) addOperatorChange(c *carobrock.JobCommand) {
	switch g.IntN(4) {
	case 0:
		c.Zones = append(c.Zones, carobrock.ZoneChange{Name: fmt.Sprint("az", g.IntN(3)), OutOfService: g.flip(2), BaseVersion: uint64(g.nowMillis % 6)})
	case 1:
		c.Configuration = &carobrock.Configuration{
			Version: int64(g.IntN(30)), Pools: []carobrock.WorkerPool{{Name: "pool"}},
			Queues: []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 1 + g.IntN(4), TimeoutMillis: 1000}},
		}
		if g.accounts != nil {
			c.Configuration.Accounts = []carobrock.ClientAccount{{Name: "x", Weight: float64(g.IntN(4))}, {Name: "y", Weight: 0.5}}
		}
	case 2:
		c.Waves = append(c.Waves, carobrock.MaintenanceWave{Number: int64(g.IntN(4)), Machines: []string{"m1", "m2"}, MaxDown: 1})
	case 3:
		c.StartedMaintenance = append(c.StartedMaintenance, carobrock.MachineMaintenance{Wave: int64(g.IntN(4)), Machine: fmt.Sprint("m", 1+g.IntN(2))})
	}
}

// TestRestoredStateMachineBehavesLikeTheOriginal applies random commands to a state
// machine and to a second one that is replaced by its own snapshot at random
// points, and compares results and states.
func TestRestoredStateMachineBehavesLikeTheOriginal(t *testing.T) {
	for seed := uint64(1); seed <= restoreSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRestore(t, seed, 0) })
	}
}

// Guards against snapshots of jobs with many repetitions, which have another form, that
// lose a part of the state.
func TestRestoredStateOfWideJobs(t *testing.T) {
	for seed := uint64(1); seed <= restoreSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRestore(t, seed, 5000) })
	}
}

func checkRestore(t *testing.T, seed uint64, repetitions int) {
	newMachine := func() *bookkeeper.StateMachine {
		m := &bookkeeper.StateMachine{RetentionMillis: restoreRetentionMillis}
		m.Prepare()
		return m
	}
	original, restored := newMachine(), newMachine()
	g := &commandGenerator{
		Rand: rand.New(rand.NewPCG(seed, 3)), stateMachine: original, nowMillis: 1_000_000,
		nextEnd: map[carobrock.WorkerIncarnation]uint64{}, clockJumps: seed%2 == 0, repetitions: repetitions,
	}
	for index := uint64(1); index <= restoreCommands; index++ {
		if g.flip(5) {
			data, err := restored.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored = newMachine()
			if err := restored.Restore(index-1, data); err != nil {
				t.Fatal(err)
			}
		}
		data, err := g.command().Encode()
		if err != nil {
			t.Fatal(err)
		}
		want, got := original.Apply(index, data), restored.Apply(index, data)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("command %d: results differ (-original +restored):\n%s", index, diff)
		}
		for _, m := range []*bookkeeper.StateMachine{original, restored} {
			if diff := diffSummaries(m); diff != "" {
				t.Fatalf("command %d: summaries (-of the state +read):\n%s", index, diff)
			}
		}
		if index%compareEvery > 0 {
			continue
		}
		if diff := diffStates(original, restored); diff != "" {
			t.Fatalf("command %d: states differ (-original +restored):\n%s", index, diff)
		}
	}
}

func diffStates(a, b *bookkeeper.StateMachine) (diff string) {
	a.View(func(x *bookkeeper.State) {
		b.View(func(y *bookkeeper.State) {
			diff = cmp.Diff(x, y, cmpopts.IgnoreUnexported(bookkeeper.State{}, carobrock.TaskAssignment{}), cmpopts.EquateEmpty(),
				cmpopts.IgnoreFields(bookkeeper.WorkerRecord{}, "Version"), cmpopts.IgnoreFields(bookkeeper.TaskRun{}, "_"))
		})
	})
	return diff
}

// diffSummaries compares what is read of the generator's jobs with the state.
func diffSummaries(m *bookkeeper.StateMachine) string {
	want, got := map[string]bookkeeper.JobSummary{}, map[string]bookkeeper.JobSummary{}
	pending := 0
	m.View(func(s *bookkeeper.State) {
		for id, j := range s.Jobs {
			want[id] = bookkeeper.JobSummary{Queue: j.Spec.Queue, Account: j.Spec.Account, State: j.State}
			if j.State == carobrock.JobPending {
				pending++
			}
		}
	})
	for i := range jobIDs {
		if j, ok := m.JobSummary(fmt.Sprint("job", i)); ok {
			got[fmt.Sprint("job", i)] = j
		}
	}
	return cmp.Diff(want, got) + cmp.Diff(pending, m.PendingJobs(queue))
}
