package journaler

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
)

func newJournal(dir string) *Journal {
	return &Journal{Directory: &DiskDirectory{Path: dir}, Name: "c1", NewIncarnation: func() uint64 { return 7 }}
}

func newEntry(index, term uint64) *encoder.Entry {
	return &encoder.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "command %d of term %d", index, term)}
}

// openJournal opens a journal and closes it at the end of the test.
func openJournal(t *testing.T, dir string) (*Journal, *carobrock.JournalState) {
	t.Helper()
	j := newJournal(dir)
	state, err := j.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j, state
}

func mustAppend(t *testing.T, j *Journal, hs *encoder.HardState, entries ...*encoder.Entry) {
	t.Helper()
	if err := j.Append(hs, entries); err != nil {
		t.Fatal(err)
	}
}

func TestReopenRestoresState(t *testing.T) {
	dir := t.TempDir()
	j, state := openJournal(t, dir)
	if state.Incarnation != 7 || len(state.Entries) != 0 {
		t.Fatalf("state of a new directory: %+v", state)
	}
	mustAppend(t, j, &encoder.HardState{Term: 2, Vote: 9}, newEntry(1, 1), newEntry(2, 1), newEntry(3, 1))
	mustAppend(t, j, nil, newEntry(2, 2), newEntry(3, 2), newEntry(4, 2)) // replaces 2 and 3
	if err := j.SaveSnapshot(&encoder.Snapshot{Index: 2, Term: 2, Data: []byte("state")}, &encoder.HardState{Term: 3}, []*encoder.Entry{newEntry(3, 2), newEntry(4, 2)}); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, j, nil, newEntry(5, 3))
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	_, state = openJournal(t, dir)
	want := &carobrock.JournalState{
		Incarnation: 7, HardState: &encoder.HardState{Term: 3}, Snapshot: &encoder.Snapshot{Index: 2, Term: 2, Data: []byte("state")},
		Entries: []*encoder.Entry{newEntry(3, 2), newEntry(4, 2), newEntry(5, 3)},
	}
	if diff := cmp.Diff(want, state, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

// TestDamage damages the files of a closed journal in every way that a crash or a
// faulty disk can.
func TestDamage(t *testing.T) {
	tests := []struct {
		name        string
		file        string
		damage      func(data []byte) []byte
		wantErr     error
		wantEntries int // number of entries read after the damage
	}{
		{"no damage", logFileName, func(d []byte) []byte { return d }, nil, 3},
		{"last record truncated", logFileName, func(d []byte) []byte { return d[:len(d)-5] }, nil, 2},
		{"last record truncated to its header", logFileName, func(d []byte) []byte { return d[:2*len(d)/3+4] }, nil, 2},
		{"last record's payload lost", logFileName, func(d []byte) []byte { clear(d[len(d)-10:]); return d }, nil, 2},
		{"zeros after the end", logFileName, func(d []byte) []byte { return append(d, make([]byte, 4096)...) }, nil, 3},
		{"garbage after the end", logFileName, func(d []byte) []byte { return append(d, "garbage, no record"...) }, nil, 3},
		{"first record damaged", logFileName, func(d []byte) []byte { d[recordHeaderSize+3] ^= 1; return d }, ErrCorrupt, 0},
		{"first record's length damaged", logFileName, func(d []byte) []byte { d[5] ^= 1; return d }, ErrCorrupt, 0},
		{"first record's magic damaged", logFileName, func(d []byte) []byte { d[0] = 0; return d }, ErrCorrupt, 0},
		{"record missing in the middle", logFileName, func(d []byte) []byte { n := len(d) / 3; return append(d[:n:n], d[2*n:]...) }, ErrCorrupt, 0},
		{"identity damaged", identityFileName, func([]byte) []byte { return []byte("{") }, ErrCorrupt, 0},
		{"identity of another replica", identityFileName, func([]byte) []byte { return []byte(`{"name":"c2","incarnation":"5"}`) }, ErrOtherReplica, 0},
		{"identity lost", identityFileName, nil, ErrCorrupt, 0},
		{"snapshot damaged", snapshotFileName, func([]byte) []byte { return []byte("no snapshot") }, ErrCorrupt, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			j, _ := openJournal(t, dir)
			for i := uint64(1); i <= 3; i++ {
				mustAppend(t, j, nil, newEntry(i, 1))
			}
			if err := j.Close(); err != nil {
				t.Fatal(err)
			}
			damageFile(t, filepath.Join(dir, tt.file), tt.damage)
			reopened := newJournal(dir)
			state, err := reopened.Open()
			if !errors.Is(err, tt.wantErr) || (err == nil) != (tt.wantErr == nil) {
				t.Fatalf("Open: %v, want %v", err, tt.wantErr)
			}
			if err != nil {
				return
			}
			defer func() { _ = reopened.Close() }()
			if len(state.Entries) != tt.wantEntries {
				t.Fatalf("%d entries, want %d", len(state.Entries), tt.wantEntries)
			}
			// Entries appended after a truncated tail are present after the next
			// start.
			mustAppend(t, reopened, nil, newEntry(uint64(tt.wantEntries)+1, 2))
			_ = reopened.Close()
			_, state = openJournal(t, dir)
			if len(state.Entries) != tt.wantEntries+1 {
				t.Errorf("%d entries after an append and a restart, want %d", len(state.Entries), tt.wantEntries+1)
			}
		})
	}
}

func damageFile(t *testing.T, path string, damage func([]byte) []byte) {
	t.Helper()
	if damage == nil {
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		return
	}
	data, _ := os.ReadFile(path)
	if err := os.WriteFile(path, damage(data), fileMode); err != nil {
		t.Fatal(err)
	}
}

func TestDirectoryInUse(t *testing.T) {
	dir := t.TempDir()
	openJournal(t, dir)
	if _, err := newJournal(dir).Open(); !errors.Is(err, ErrInUse) {
		t.Errorf("second Open: %v, want ErrInUse", err)
	}
}

// faultyDirectory makes operation number failAt return an error. Later operations
// succeed, as on a kernel that has dropped the pages it could not write.
type faultyDirectory struct {
	DiskDirectory
	count, failAt int
}

var errNoSpace = errors.New("no space left on device")

func (f *faultyDirectory) countOperation() error {
	f.count++
	if f.count == f.failAt {
		return errNoSpace
	}
	return nil
}

func (f *faultyDirectory) WriteFile(name string, data []byte) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	return f.DiskDirectory.WriteFile(name, data)
}

func (f *faultyDirectory) OpenAppend(name string, size int64) (File, error) {
	if err := f.countOperation(); err != nil {
		return nil, err
	}
	file, err := f.DiskDirectory.OpenAppend(name, size)
	return &faultyFile{file, f}, err
}

type faultyFile struct {
	File
	directory *faultyDirectory
}

func (f *faultyFile) Sync() error {
	if err := f.directory.countOperation(); err != nil {
		return err
	}
	return f.File.Sync()
}

// TestDiskFaults makes each disk operation fail in turn. The journal must report
// ErrDisk and reject further appends, and all acknowledged entries must be present
// after a restart.
func TestDiskFaults(t *testing.T) {
	for failAt := 1; ; failAt++ {
		dir := t.TempDir()
		directory := &faultyDirectory{DiskDirectory: DiskDirectory{Path: dir}, failAt: failAt}
		acknowledged, err := runUntilFault(&Journal{Directory: directory, Name: "c1", NewIncarnation: func() uint64 { return 7 }})
		if err == nil {
			if failAt < 8 {
				t.Errorf("only %d operations were reached", failAt)
			}
			return
		}
		if !errors.Is(err, ErrDisk) {
			t.Fatalf("fault %d: %v, want ErrDisk", failAt, err)
		}
		_, state := openJournal(t, dir)
		last := state.Snapshot.GetIndex() + uint64(len(state.Entries))
		if last < acknowledged {
			t.Errorf("fault %d: last index is %d after a restart, want at least the acknowledged index %d", failAt, last, acknowledged)
		}
	}
}

// runUntilFault appends six entries and saves a snapshot after the third. It
// returns the index of the last acknowledged entry.
func runUntilFault(j *Journal) (acknowledged uint64, err error) {
	defer func() { _ = j.Close() }()
	if _, err := j.Open(); err != nil {
		return 0, err
	}
	for i := uint64(1); i <= 6; i++ {
		if err := j.Append(&encoder.HardState{Term: 1}, []*encoder.Entry{newEntry(i, 1)}); err != nil {
			if retryErr := j.Append(nil, []*encoder.Entry{newEntry(i, 1)}); !errors.Is(retryErr, ErrDisk) {
				return acknowledged, errors.New("the journal accepted an append after a fault")
			}
			return acknowledged, err
		}
		acknowledged = i
		if i == 3 {
			if err := j.SaveSnapshot(&encoder.Snapshot{Index: 2, Term: 1}, &encoder.HardState{Term: 1}, []*encoder.Entry{newEntry(3, 1)}); err != nil {
				return acknowledged, err
			}
		}
	}
	return acknowledged, nil
}

func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			j := newJournal(b.TempDir())
			if _, err := j.Open(); err != nil {
				b.Fatal(err)
			}
			defer func() { _ = j.Close() }()
			entries := make([]*encoder.Entry, batch)
			index := uint64(0)
			for b.Loop() {
				for i := range entries {
					index++
					entries[i] = &encoder.Entry{Index: index, Term: 1, Data: make([]byte, 200)}
				}
				if err := j.Append(nil, entries); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
