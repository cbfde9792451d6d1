package journaler

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
)

// fullDirectory makes a number of operations in a row fail, from operation failFrom
// on. A write that fails is made in part. A sync that fails has no effect.
type fullDirectory struct {
	DiskDirectory
	count, failFrom, failures int
	err                       error
}

func (f *fullDirectory) countOperation() error {
	f.count++
	if f.count >= f.failFrom && f.count < f.failFrom+f.failures {
		return f.err
	}
	return nil
}

func (f *fullDirectory) WriteFile(name string, data []byte) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	if err := f.DiskDirectory.WriteFile(name, data); err != nil {
		return err
	}
	return f.countOperation() // of the sync of the directory
}

func (f *fullDirectory) OpenAppend(name string, size int64) (File, error) {
	if err := f.countOperation(); err != nil {
		return nil, err
	}
	file, err := f.DiskDirectory.OpenAppend(name, size)
	return &fullFile{file, f}, err
}

func (f *fullDirectory) Sync() error {
	if err := f.countOperation(); err != nil {
		return err
	}
	return f.DiskDirectory.Sync()
}

func (f *fullDirectory) Probe(size int) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	return f.DiskDirectory.Probe(size)
}

type fullFile struct {
	File
	directory *fullDirectory
}

func (f *fullFile) Write(p []byte) (int, error) {
	if err := f.directory.countOperation(); err != nil {
		n, _ := f.File.Write(p[:len(p)-3])
		return n, err
	}
	return f.File.Write(p)
}

func (f *fullFile) WriteAt(p []byte, offset int64) (int, error) {
	if err := f.directory.countOperation(); err != nil {
		return 0, err
	}
	return f.File.WriteAt(p, offset)
}

func (f *fullFile) Sync() error {
	if err := f.directory.countOperation(); err != nil {
		return err
	}
	return f.File.Sync()
}

// Guards against a full disk that is taken for a broken one, and the other way round.
func TestFullDiskIsToldFromOtherErrors(t *testing.T) {
	for _, tt := range []struct {
		err  error
		want error
	}{
		{syscall.ENOSPC, ErrFull},
		{syscall.EDQUOT, ErrFull},
		{&fs.PathError{Op: "write", Path: "log", Err: syscall.ENOSPC}, ErrFull},
		{errors.Join(syscall.EDQUOT, os.ErrClosed), ErrFull},
		{syscall.EIO, ErrDisk},
		{syscall.EROFS, ErrDisk},
		{syscall.EFBIG, ErrDisk},
		{errors.New("no space left on device"), ErrDisk},
	} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			directory := &fullDirectory{DiskDirectory: DiskDirectory{Path: t.TempDir()}, failures: 1, err: tt.err}
			j := &Journal{Directory: directory, Name: "c1", NewIncarnation: func() uint64 { return 7 }}
			if _, err := j.Open(); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = j.Close() }()
			directory.failFrom = directory.count + 1
			if err := j.Append(nil, []*encoder.Entry{newEntry(1, 1)}); !errors.Is(err, tt.want) {
				t.Fatalf("Append: %v, want %v", err, tt.want)
			}
			if err := j.Append(nil, []*encoder.Entry{newEntry(1, 1)}); !errors.Is(err, tt.want) {
				t.Errorf("second Append: %v, want %v", err, tt.want)
			}
			_, reopenErr := j.Reopen()
			if err := j.Append(nil, []*encoder.Entry{newEntry(1, 1)}); !errors.Is(err, tt.want) {
				t.Errorf("Append before a probe has succeeded: %v, want %v", err, tt.want)
			}
			probeErr := j.Probe()
			if wantUsable := errors.Is(tt.want, ErrFull); (reopenErr == nil) != wantUsable || (probeErr == nil) != wantUsable {
				t.Errorf("Reopen: %v, Probe: %v, want success: %v", reopenErr, probeErr, wantUsable)
			}
		})
	}
}

// Guards against a tail of a failed write that is read as valid or makes the log
// unreadable, and a snapshot without space that damages the old one or the log. It
// makes a number of operations in a row fail, beginning with each in turn.
func TestNothingButAcknowledgedWritesSurvivesAFullDisk(t *testing.T) {
	for _, failures := range []int{1, 2, 3, 7} {
		t.Run(fmt.Sprint(failures), func(t *testing.T) {
			for failFrom := 1; ; failFrom++ {
				h := &fullDiskHistory{t: t, directory: &fullDirectory{DiskDirectory: DiskDirectory{Path: t.TempDir()}, failFrom: failFrom, failures: failures, err: syscall.ENOSPC}}
				h.run()
				if t.Failed() {
					t.Fatalf("with failures from operation %d on", failFrom)
				}
				if h.directory.count < failFrom {
					if failFrom < 30 {
						t.Errorf("only %d operations were reached", failFrom)
					}
					return
				}
			}
		})
	}
}

// fullDiskHistory appends entries and saves snapshots, and repeats what fails for lack
// of space.
type fullDiskHistory struct {
	t         *testing.T
	directory *fullDirectory
	journal   *Journal
	want      *carobrock.JournalState
}

func (h *fullDiskHistory) run() {
	h.journal = &Journal{Directory: h.directory, Name: "c1", NewIncarnation: func() uint64 { return 7 }}
	defer func() { _ = h.journal.Close() }()
	h.want = &carobrock.JournalState{Incarnation: 7, HardState: &encoder.HardState{}}
	if _, err := h.journal.Open(); err != nil {
		h.waitUntilWritable(err)
	}
	for i := uint64(1); i <= 8 && !h.t.Failed(); i++ {
		h.append(i)
		if i%3 == 0 {
			h.saveSnapshot(i - 1)
		}
	}
	_ = h.journal.Close()
	j := newJournal(h.directory.Path)
	state, err := j.Open()
	if err != nil {
		h.t.Error(err)
		return
	}
	_ = j.Close()
	h.compare(state)
}

func (h *fullDiskHistory) compare(got *carobrock.JournalState) {
	h.t.Helper()
	options := []cmp.Option{protocmp.Transform(), cmp.Transformer("emptyIsNil", func(es []*encoder.Entry) []*encoder.Entry {
		if len(es) == 0 {
			return nil
		}
		return es
	})}
	if diff := cmp.Diff(h.want, got, options...); diff != "" {
		h.t.Errorf("state differs from what was acknowledged (-want +got):\n%s", diff)
	}
}

// append appends an entry until that succeeds. The first attempt has another term, so
// that what is left of it can be told from the second.
func (h *fullDiskHistory) append(index uint64) {
	for term := uint64(1); !h.t.Failed(); term++ {
		hs, e := &encoder.HardState{Term: term, Vote: index}, newEntry(index, term)
		err := h.journal.Append(hs, []*encoder.Entry{e})
		if err == nil {
			h.want.HardState = hs
			h.want.Entries = append(h.want.Entries, e)
			return
		}
		h.waitUntilWritable(err)
	}
}

func (h *fullDiskHistory) saveSnapshot(index uint64) {
	for !h.t.Failed() {
		keep := h.want.Entries[index-h.want.Snapshot.GetIndex():]
		s := &encoder.Snapshot{Index: index, Term: 1, Data: fmt.Appendf(nil, "state %d", index)}
		err := h.journal.SaveSnapshot(s, h.want.HardState, keep)
		if err == nil {
			h.want.Snapshot, h.want.Entries = s, keep
			return
		}
		// The snapshot may be there already, with the entries that follow it.
		if data, readErr := h.directory.ReadFile(snapshotFileName); readErr == nil {
			payload, _ := decodeRecord(data)
			if cmp.Equal(payload, mustMarshal(h.t, s)) {
				h.want.Snapshot, h.want.Entries = s, keep
			}
		}
		h.waitUntilWritable(err)
	}
}

func mustMarshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// waitUntilWritable checks the state after a failure and waits until the journal can write.
func (h *fullDiskHistory) waitUntilWritable(err error) {
	for range 100 {
		if !errors.Is(err, ErrFull) {
			h.t.Errorf("%v, want ErrFull", err)
			return
		}
		var state *carobrock.JournalState
		if state, err = h.journal.Reopen(); err != nil {
			continue
		}
		h.compare(state)
		if err = h.journal.Probe(); err == nil {
			return
		}
	}
	h.t.Error("the journal did not recover")
}

// Guards against a temporary file that stays on the full disk. A link to /dev/full in
// its place makes every write to it fail.
func TestFailedWriteLeavesNoTemporaryFile(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	mustAppend(t, j, nil, newEntry(1, 1), newEntry(2, 1))
	first := &encoder.Snapshot{Index: 1, Term: 1, Data: []byte("first")}
	if err := j.SaveSnapshot(first, nil, []*encoder.Entry{newEntry(2, 1)}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{snapshotFileName, probeFileName} {
		path := filepath.Join(dir, name+tempSuffix)
		if err := os.Symlink("/dev/full", path); err != nil {
			t.Fatal(err)
		}
		var err error
		if name == probeFileName {
			err = j.Probe()
		} else {
			err = j.SaveSnapshot(&encoder.Snapshot{Index: 2, Term: 1, Data: []byte("second")}, nil, nil)
		}
		if !errors.Is(err, ErrFull) {
			t.Errorf("%s: %v, want ErrFull", name, err)
		}
		if _, err := os.Lstat(path); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%s exists after the failure: %v", path, err)
		}
	}
	mustAppend(t, j, nil, newEntry(3, 1)) // the log is as it was
	if err := os.WriteFile(filepath.Join(dir, logFileName+tempSuffix), []byte("left by a killed process"), fileMode); err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	_, state := openJournal(t, dir)
	want := &carobrock.JournalState{Incarnation: 7, HardState: &encoder.HardState{}, Snapshot: first, Entries: []*encoder.Entry{newEntry(2, 1), newEntry(3, 1)}}
	if diff := cmp.Diff(want, state, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "*"+tempSuffix)); len(files) > 0 {
		t.Errorf("temporary files after the start: %v", files)
	}
}

// Guards against a log that grows until the snapshot does not fit beside it any more,
// and against a snapshot for each entry when the state fills the disk.
func TestIsSnapshotDue(t *testing.T) {
	const mb = 1 << 20
	for _, tt := range []struct {
		name                       string
		disk, snapshot, log, grown int64
		want                       bool
	}{
		{"size of the disk unknown", 0, 100 * mb, 100 * mb, 100 * mb, false},
		{"new log", 64 * mb, 0, 0, 0, false},
		{"log, snapshot and the new snapshot fit", 64 * mb, 8 * mb, 15 * mb, 15 * mb, false},
		{"they fill three quarters", 64 * mb, 8 * mb, 16 * mb, 16 * mb, true},
		{"log larger than the disk", 64 * mb, 8 * mb, 65 * mb, 65 * mb, true},
		{"large snapshot, log just replaced", 64 * mb, 40 * mb, mb, mb, false},
		{"large snapshot, log has grown", 64 * mb, 40 * mb, 4 * mb, 4 * mb, true},
		{"log is large without having grown", 64 * mb, 8 * mb, 40 * mb, mb, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := isSnapshotDue(tt.disk, tt.snapshot, tt.log, tt.grown); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
	// The pure rule sees the sizes of the files.
	j := newJournal(t.TempDir())
	j.DiskBytes = 64 << 10
	if _, err := j.Open(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = j.Close() }()
	entry := &encoder.Entry{Index: 1, Term: 1, Data: make([]byte, 30<<10)}
	mustAppend(t, j, nil, entry)
	if !j.IsSnapshotDue() {
		t.Error("no snapshot is due with a log of half the disk")
	}
	if err := j.SaveSnapshot(&encoder.Snapshot{Index: 1, Term: 1}, nil, nil); err != nil {
		t.Fatal(err)
	}
	if j.IsSnapshotDue() {
		t.Error("a snapshot is due after a snapshot")
	}
}

// Guards against a replica on a small disk that never returns because the probe is
// larger than what the disk ever has free.
func TestProbeFitsOnASmallDisk(t *testing.T) {
	for _, tt := range []struct {
		diskBytes   int64
		failedWrite int
		want        int
	}{
		{0, 100, 1 << 20},
		{1 << 30, 100, 1 << 20},
		{1 << 20, 100, 64 << 10},
		{1 << 20, 100 << 10, 100 << 10},
		{0, 3 << 20, 3 << 20},
	} {
		d := &sizeRecorder{}
		j := &Journal{Directory: d, DiskBytes: tt.diskBytes, failedWriteSize: tt.failedWrite}
		if err := j.Probe(); err != nil || d.size != tt.want {
			t.Errorf("disk of %d bytes, failed write of %d: probe of %d bytes, %v; want %d", tt.diskBytes, tt.failedWrite, d.size, err, tt.want)
		}
	}
}

// sizeRecorder records the size of a probe.
type sizeRecorder struct {
	DiskDirectory
	size int
}

func (r *sizeRecorder) Probe(size int) error {
	r.size = size
	return nil
}
