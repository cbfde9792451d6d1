package journaler

import (
	"errors"
	"syscall"
	"testing"

	"github.com/carobrock/carobrock/internal/encoder"
)

// noSpaceDirectory has no space for the files named in full. A sync of the directory
// fails for lack of space if failSync is set.
type noSpaceDirectory struct {
	*DiskDirectory
	full     map[string]bool
	failSync bool
	written  map[string]int
}

func (d *noSpaceDirectory) WriteFile(name string, data []byte) error {
	if d.full[name] {
		return syscall.ENOSPC
	}
	d.written[name]++
	if err := d.DiskDirectory.WriteFile(name, data); err != nil {
		return err
	}
	if d.failSync {
		return syscall.ENOSPC
	}
	return nil
}

func newNoSpaceJournal(t *testing.T) (*Journal, *noSpaceDirectory) {
	t.Helper()
	d := &noSpaceDirectory{DiskDirectory: &DiskDirectory{Path: t.TempDir()}, full: map[string]bool{}, written: map[string]int{}}
	j := &Journal{Directory: d, Name: "c1", NewIncarnation: func() uint64 { return 7 }}
	if _, err := j.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j, d
}

func newEntries(from, to, term uint64) (out []*encoder.Entry) {
	for i := from; i <= to; i++ {
		out = append(out, newEntry(i, term))
	}
	return out
}

// Guards against entries that were removed and are back after a snapshot without its
// log: the log file then has entries up to the snapshot, which are skipped, but those
// had removed others after the snapshot. The replica would grant votes by the earlier
// term of these.
func TestRemovedEntriesStayRemovedBehindASnapshot(t *testing.T) {
	for _, test := range []struct {
		name     string
		entries  []*encoder.Entry // replace those of term 1
		snapshot *encoder.Snapshot
		want     int // entries after the snapshot
	}{
		{"of this replica", newEntries(5, 7, 2), &encoder.Snapshot{Index: 7, Term: 2}, 0},
		{"of this replica, followed by entries", newEntries(5, 9, 2), &encoder.Snapshot{Index: 7, Term: 2}, 2},
		{"from the leader of a later term", nil, &encoder.Snapshot{Index: 7, Term: 3}, 0},
		{"from the leader, of the same entries", nil, &encoder.Snapshot{Index: 7, Term: 1}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			j, d := newNoSpaceJournal(t)
			mustAppend(t, j, &encoder.HardState{Term: 1}, newEntries(1, 10, 1)...)
			mustAppend(t, j, &encoder.HardState{Term: 3}, test.entries...)
			d.full[logFileName] = true
			if err := j.SaveSnapshot(test.snapshot, &encoder.HardState{Term: 3}, nil); !errors.Is(err, ErrFull) {
				t.Fatalf("error %v, want ErrFull", err)
			}
			d.full[logFileName] = false
			reopened, err := j.Reopen()
			if err != nil {
				t.Fatal(err)
			}
			if err := j.Probe(); err != nil {
				t.Fatal(err)
			}
			mustAppend(t, j, nil, newEntry(8+uint64(test.want), 4))
			if err := j.Close(); err != nil {
				t.Fatal(err)
			}
			restarted, err := j.Open()
			if err != nil {
				t.Fatal(err)
			}
			if len(reopened.Entries) != test.want || len(restarted.Entries) != test.want+1 {
				t.Errorf("%d entries after the snapshot and %d after another one, want %d", len(reopened.Entries), len(restarted.Entries), test.want)
			}
		})
	}
}

// Guards against trusting a snapshot whose name may not be durable: a sync of a
// directory that failed for lack of space may succeed later without having written.
func TestSnapshotWithAFailedRenameIsWrittenAgain(t *testing.T) {
	j, d := newNoSpaceJournal(t)
	mustAppend(t, j, &encoder.HardState{Term: 1}, newEntries(1, 10, 1)...)
	d.failSync = true
	if err := j.SaveSnapshot(&encoder.Snapshot{Index: 12, Term: 1}, &encoder.HardState{Term: 1}, nil); !errors.Is(err, ErrFull) {
		t.Fatalf("error %v, want ErrFull", err)
	}
	if _, err := j.Reopen(); !errors.Is(err, ErrFull) {
		t.Fatalf("error %v while the name cannot be made durable, want ErrFull", err)
	}
	d.failSync = false
	before := d.written[snapshotFileName]
	state, err := j.Reopen()
	if err != nil || state.Snapshot.GetIndex() != 12 {
		t.Fatalf("snapshot at %d, error %v, want 12", state.Snapshot.GetIndex(), err)
	}
	if d.written[snapshotFileName] == before {
		t.Error("the snapshot was not written again")
	}
}
