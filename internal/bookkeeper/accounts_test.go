package bookkeeper_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

var accountNames = []string{"", "x", "y", "z"}

// accountReference derives the usage of accounts from scratch: it looks at all
// recorded runs after every command, and remembers to whom those belong whose jobs are
// forgotten.
type accountReference struct {
	owners map[carobrock.WorkerIncarnation]map[carobrock.Run]ownedRun
}

type ownedRun struct {
	step    *carobrock.Step
	account string
}

func (a *accountReference) usage(s *bookkeeper.State) map[string]bookkeeper.AccountUsage {
	owners, out := map[carobrock.WorkerIncarnation]map[carobrock.Run]ownedRun{}, map[string]bookkeeper.AccountUsage{}
	for incarnation, rec := range s.Workers {
		owners[incarnation] = map[carobrock.Run]ownedRun{}
		for run, step := range rec.Runs {
			o, ok := a.owners[incarnation][run]
			if !ok || o.step != step { // not recorded before, or for a later job with the ID
				o = ownedRun{step, s.Jobs[run.Task.Job].Spec.Account}
			}
			owners[incarnation][run] = o
			u := out[o.account]
			u.Size = carobrock.Capacity{
				MilliCPU: u.Size.MilliCPU + step.Size.MilliCPU, MemoryMB: u.Size.MemoryMB + step.Size.MemoryMB, Accelerators: u.Size.Accelerators + step.Size.Accelerators,
			}
			u.Runs++
			out[o.account] = u
		}
	}
	a.owners = owners
	return out
}

// usageByAccount returns the usage that the state keeps of the accounts with runs.
func usageByAccount(s *bookkeeper.State) map[string]bookkeeper.AccountUsage {
	out := map[string]bookkeeper.AccountUsage{}
	for _, name := range accountNames {
		if u := s.AccountUsage(name); u.Runs != 0 || u.Size != (carobrock.Capacity{}) {
			out[name] = u
		}
	}
	return out
}

// Guards against a usage that drifts away from the recorded runs, also of jobs that
// have ended or are forgotten, and after a snapshot.
func TestUsageFollowsTheRecordedRuns(t *testing.T) {
	seeds := 0 // histories in which two accounts have runs at the same time
	for seed := uint64(1); seed <= restoreSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if checkUsage(t, seed) {
				seeds++
			}
		})
	}
	if seeds < restoreSeeds/2 {
		t.Errorf("runs of several accounts in %d of %d histories only", seeds, restoreSeeds)
	}
}

// checkUsage reports whether two accounts had runs at the same time.
func checkUsage(t *testing.T, seed uint64) (seen bool) {
	newMachine := func() *bookkeeper.StateMachine {
		m := &bookkeeper.StateMachine{RetentionMillis: restoreRetentionMillis}
		m.Prepare()
		return m
	}
	original, restored := newMachine(), newMachine()
	g := &commandGenerator{
		Rand: rand.New(rand.NewPCG(seed, 7)), stateMachine: original, nowMillis: 1_000_000,
		nextEnd: map[carobrock.WorkerIncarnation]uint64{}, clockJumps: seed%2 == 0, accounts: accountNames,
	}
	reference := &accountReference{}
	for index := uint64(1); index <= 2*restoreCommands; index++ {
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
		original.Apply(index, data)
		restored.Apply(index, data)
		var want, got, afterRestore map[string]bookkeeper.AccountUsage
		original.View(func(s *bookkeeper.State) { want, got = reference.usage(s), usageByAccount(s) })
		restored.View(func(s *bookkeeper.State) { afterRestore = usageByAccount(s) })
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("command %d: usage (-naive +kept):\n%s", index, diff)
		}
		if diff := cmp.Diff(want, afterRestore); diff != "" {
			t.Fatalf("command %d: usage after snapshots (-naive +kept):\n%s", index, diff)
		}
		seen = seen || len(want) > 1
	}
	return seen
}

// accountsCommand returns a command with a configuration of one account.
func accountsCommand(version int64, weight float64) *carobrock.JobCommand {
	return &carobrock.JobCommand{Configuration: &carobrock.Configuration{
		Version: version, Pools: []carobrock.WorkerPool{{Name: "pool"}},
		Queues:       []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 2, TimeoutMillis: 1000}},
		RequiresKeys: true, Accounts: []carobrock.ClientAccount{{Name: "x", Weight: weight}},
	}}
}

// Guards against marks that depend on a clock that jumps, and against a rate that an
// account of weight zero or a job without an account does not have.
func TestJobsBeyondTheRateAreMarked(t *testing.T) {
	type submission struct {
		atMillis int64
		n        int
	}
	const start = 1_000_000
	for _, test := range []struct {
		name    string
		weight  float64
		account string
		jobs    []submission
		want    []int // number of marked jobs of each submission
	}{
		{name: "burst of two seconds", weight: 3, account: "x", jobs: []submission{{start, 10}}, want: []int{4}},
		{name: "burst of at least one job", weight: 0.1, account: "x", jobs: []submission{{start, 2}, {start + 9999, 1}, {start + 10000, 2}}, want: []int{1, 1, 1}},
		{name: "rate", weight: 2, account: "x", jobs: []submission{{start, 4}, {start + 499, 1}, {start + 500, 1}, {start + 1500, 3}}, want: []int{0, 1, 0, 1}},
		{name: "very low rate", weight: 1e-9, account: "x", jobs: []submission{{start, 2}}, want: []int{1}},
		{name: "very high rate", weight: 1 << 40, account: "x", jobs: []submission{{start, 50}, {start + 1, 50}}, want: []int{0, 0}},
		{name: "clock back, then on", weight: 1, account: "x", jobs: []submission{{start, 2}, {start - 500_000, 1}, {start - 499_000, 2}}, want: []int{0, 1, 1}},
		{name: "clock far ahead", weight: 1, account: "x", jobs: []submission{{start, 2}, {start * 1000, 5}}, want: []int{0, 3}},
		{name: "clock at its ends", weight: 1, account: "x", jobs: []submission{{0, 2}, {1 << 53, 3}, {0, 1}}, want: []int{0, 1, 1}},
		{name: "weight zero", weight: 0, account: "x", jobs: []submission{{start, 50}}, want: []int{0}},
		{name: "no account", weight: 1, jobs: []submission{{start, 50}}, want: []int{0}},
		{name: "unknown account", weight: 1, account: "y", jobs: []submission{{start, 50}}, want: []int{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newStateMachine(t)
			l.applyCommand(accountsCommand(4, test.weight))
			count := 0
			for k, x := range test.jobs {
				c := &carobrock.JobCommand{AtUnixMillis: x.atMillis}
				for range x.n {
					count++
					c.Submit = append(c.Submit, carobrock.JobSpec{ID: fmt.Sprint(count), Queue: queue, Account: test.account, Steps: []carobrock.Step{{Count: 1}}})
				}
				l.applyCommand(c)
				l.applyCommand(c) // a repeated submission takes nothing out of the bucket
				marked := 0
				l.View(func(s *bookkeeper.State) {
					for i := range c.Submit {
						if s.Jobs[c.Submit[i].ID].ExceedsRate {
							marked++
						}
					}
				})
				if marked != test.want[k] {
					t.Errorf("submission %d: %d jobs marked, want %d", k, marked, test.want[k])
				}
				data, err := l.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				l.Prepare()
				if err := l.Restore(l.index, data); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// The new weight of an account is its rate at once; the bucket of an account that is
// removed is forgotten.
func TestBucketsFollowTheConfiguration(t *testing.T) {
	l := newStateMachine(t)
	submit := func(id string, n int) (marked int) {
		c := &carobrock.JobCommand{AtUnixMillis: 1000}
		for i := range n {
			c.Submit = append(c.Submit, carobrock.JobSpec{ID: fmt.Sprint(id, i), Queue: queue, Account: "x", Steps: []carobrock.Step{{Count: 1}}})
		}
		l.applyCommand(c)
		l.View(func(s *bookkeeper.State) {
			for i := range c.Submit {
				if s.Jobs[c.Submit[i].ID].ExceedsRate {
					marked++
				}
			}
		})
		return marked
	}
	l.applyCommand(accountsCommand(4, 10))
	if got := submit("a", 1); got != 0 {
		t.Errorf("%d jobs marked, want none", got)
	}
	l.applyCommand(accountsCommand(5, 1))
	if got := submit("b", 5); got != 3 {
		t.Errorf("%d jobs marked after the weight was lowered, want 3", got)
	}
	l.applyCommand(accountsCommand(6, 0))
	l.View(func(s *bookkeeper.State) {
		if len(s.Buckets) != 0 {
			t.Errorf("%d buckets of accounts without a rate", len(s.Buckets))
		}
	})
}

// withoutAccounts is the snapshot of a state with a running and an ended job that the
// release before client accounts wrote.
const withoutAccounts = "a201a501a401030281a901617102616803632f712f0464706f6f6c0500060207fb00000000000000000800091903e80381a40164706f6f6c026003f404f404f602a003a1636a" +
	"6f62a801a301636a6f620264682f712f04f602a901617102616803632f712f0464706f6f6c0500060207fb00000000000000000800091903e80301046963616e63656c6c6564" +
	"051903e8061903ea07f6080104a005010281a3018261610102000381a30184636a6f62000000020103a2010102a3686d696c6c694350551903e8686d656d6f72794d42006c61" +
	"6363656c657261746f727300"

// Guards against bytes in the snapshots of deployments without accounts that earlier
// releases do not write.
func TestSnapshotWithoutAccountsIsUnchanged(t *testing.T) {
	l := newStateMachine(t)
	l.applyCommand(&carobrock.JobCommand{AtUnixMillis: 1000, Submit: []carobrock.JobSpec{{ID: "job", Queue: queue, Steps: []carobrock.Step{{Count: 1, Size: carobrock.Capacity{MilliCPU: 1000}}}}}})
	l.applyCommand(&carobrock.JobCommand{AtUnixMillis: 1001, Assign: []carobrock.TaskAssignment{newAssignment(0, 0, 1, workerA)}})
	l.applyCommand(&carobrock.JobCommand{AtUnixMillis: 1002, Cancel: []carobrock.JobKey{{ID: "job", Queue: queue}}})
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprintf("%x", data); !bytes.Equal([]byte(got), []byte(withoutAccounts)) {
		t.Errorf("snapshot\n%s, want\n%s", got, withoutAccounts)
	}
}
