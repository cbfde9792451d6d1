package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/journaler"
)

// Guards against a replica that acknowledges entries which its killed predecessor
// had written but not synced, and that are gone after a power loss.
func TestWritesOfAKilledProcessSurvivePowerLoss(t *testing.T) {
	entry := func(index uint64) *encoder.Entry {
		return &encoder.Entry{Term: 1, Index: index, Data: []byte("command")}
	}
	hardState := &encoder.HardState{Term: 1, Vote: 5}
	snapshot := &encoder.Snapshot{Index: 1, Term: 1, Data: []byte("state")}
	for _, test := range []struct {
		name    string
		prepare func(j *journaler.Journal) error
		killed  func(j *journaler.Journal) error
	}{
		{
			name:    "first start",
			prepare: func(*journaler.Journal) error { return nil },
			killed:  func(*journaler.Journal) error { return nil },
		},
		{
			name:    "append",
			prepare: func(j *journaler.Journal) error { return j.Append(hardState, []*encoder.Entry{entry(1)}) },
			killed:  func(j *journaler.Journal) error { return j.Append(hardState, []*encoder.Entry{entry(2)}) },
		},
		{
			name:    "snapshot",
			prepare: func(j *journaler.Journal) error { return j.Append(hardState, []*encoder.Entry{entry(1), entry(2)}) },
			killed: func(j *journaler.Journal) error {
				return j.SaveSnapshot(snapshot, hardState, []*encoder.Entry{entry(2)})
			},
		},
	} {
		for killAfter := time.Duration(0); killAfter <= 6*syncDuration; killAfter += syncDuration / 2 {
			for seed := range uint64(8) {
				t.Run(fmt.Sprintf("%s, killed after %v, seed %d", test.name, killAfter, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						directory := newMemoryDirectory()
						openJournal := func() *journaler.Journal {
							return &journaler.Journal{Directory: directory, Name: "a", NewIncarnation: func() uint64 { return 7 }}
						}
						timer := time.AfterFunc(time.Hour, directory.crash)
						defer timer.Stop()
						first := openJournal()
						if test.name == "first start" {
							timer.Reset(killAfter)
						}
						if _, err := first.Open(); err == nil {
							if err := test.prepare(first); err != nil {
								t.Fatal(err)
							}
							timer.Reset(killAfter)
							_ = test.killed(first) // fails if the kill comes before its end
						}
						time.Sleep(10 * syncDuration)
						before, err := openJournal().Open()
						if err != nil {
							t.Fatal(err)
						}
						if seed == 0 {
							directory.losePower(nil)
						} else {
							directory.losePower(rand.New(rand.NewPCG(seed, 1)))
						}
						after, err := openJournal().Open()
						if err != nil {
							t.Fatalf("the data directory cannot be opened after the power loss: %v", err)
						}
						if diff := cmp.Diff(before, after, protocmp.Transform()); diff != "" {
							t.Errorf("state that was read before the power loss differs after it (-before +after):\n%s", diff)
						}
					})
				})
			}
		}
	}
}
