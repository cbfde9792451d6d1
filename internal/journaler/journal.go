package journaler

import (
	"encoding/json"
	"errors"
	"io/fs"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
)

// Errors of the package.
var (
	// ErrInUse reports that another process has locked the data directory.
	ErrInUse = eris.New("journaler: data directory is in use by another process")
	// ErrOtherReplica reports that the data directory belongs to another replica.
	ErrOtherReplica = eris.New("journaler: data directory belongs to another replica")
	// ErrCorrupt reports corruption of a file that a crash cannot cause.
	ErrCorrupt = eris.New("journaler: data directory is corrupted")
	// ErrDisk reports that reading, writing or syncing a file failed, or that its
	// content could not be encoded.
	ErrDisk = eris.New("journaler: disk operation failed")

	errDirectoryLocked = errors.New("data directory is locked")
)

const (
	identityFileName = "identity.json"
	logFileName      = "log"
	snapshotFileName = "snapshot"
)

// identity is the content of the identity file.
type identity struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation,string"`
}

// Journal stores a replica's durable state in a Directory. It implements
// carobrock.Journal.
type Journal struct {
	// Directory holds the files.
	Directory Directory
	// Name is the replica's name. Open rejects a data directory of another name.
	Name string
	// NewIncarnation returns a random identity for a new data directory, never zero.
	NewIncarnation func() uint64

	logFile File
	failed  bool
}

var _ carobrock.Journal = (*Journal)(nil)

// Open implements carobrock.Journal. It fails with ErrInUse, ErrOtherReplica,
// ErrCorrupt or ErrDisk, and then leaves no file open and no lock held.
func (j *Journal) Open() (*carobrock.JournalState, error) {
	if err := j.Directory.Lock(); err != nil {
		if errors.Is(err, errDirectoryLocked) {
			return nil, ErrInUse
		}
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	state, err := j.loadState()
	if err != nil {
		return nil, errors.Join(err, j.Directory.Close())
	}
	return state, nil
}

// loadState reads the files. What it returns is durable: before it reads, it syncs
// the directory, because a killed process may have renamed files without a sync.
func (j *Journal) loadState() (*carobrock.JournalState, error) {
	if err := j.Directory.Sync(); err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	id, err := j.loadIdentity()
	if err != nil {
		return nil, err
	}
	state := &carobrock.JournalState{Incarnation: id.Incarnation, HardState: &encoder.HardState{}}
	state.Snapshot, err = j.loadSnapshot()
	if err != nil {
		return nil, err
	}
	size, err := j.loadLog(state)
	if err != nil {
		return nil, err
	}
	if err := j.openLog(size); err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	return state, nil
}

// openLog opens the log file for appending and makes its content durable, because
// a killed process may have written records that it did not sync.
func (j *Journal) openLog(size int64) error {
	f, err := j.Directory.OpenAppend(logFileName, size)
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	j.logFile = f
	return nil
}

func (j *Journal) loadIdentity() (*identity, error) {
	id := &identity{}
	data, err := j.Directory.ReadFile(identityFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return j.createIdentity()
	}
	if err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	if err := json.Unmarshal(data, id); err != nil || id.Incarnation == 0 {
		return nil, eris.Wrap(ErrCorrupt, identityFileName)
	}
	if id.Name != j.Name {
		return nil, eris.Wrapf(ErrOtherReplica, "the identity file names replica %q, not %q", id.Name, j.Name)
	}
	return id, nil
}

func (j *Journal) createIdentity() (*identity, error) {
	for _, name := range []string{logFileName, snapshotFileName} {
		if _, err := j.Directory.ReadFile(name); !errors.Is(err, fs.ErrNotExist) {
			return nil, eris.Wrapf(ErrCorrupt, "%s exists without %s", name, identityFileName)
		}
	}
	id := &identity{Name: j.Name, Incarnation: j.NewIncarnation()}
	data, err := json.Marshal(id)
	if err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	if err := j.Directory.WriteFile(identityFileName, data); err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	return id, nil
}

func (j *Journal) loadSnapshot() (*encoder.Snapshot, error) {
	data, err := j.Directory.ReadFile(snapshotFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	payload, size := decodeRecord(data)
	if size == 0 || size != len(data) {
		return nil, eris.Wrap(ErrCorrupt, snapshotFileName)
	}
	s := &encoder.Snapshot{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return nil, eris.Wrap(ErrCorrupt, snapshotFileName)
	}
	return s, nil
}

// loadLog adds the content of the log file to state and returns the size in bytes
// of the valid part of the file.
func (j *Journal) loadLog(state *carobrock.JournalState) (int64, error) {
	data, err := j.Directory.ReadFile(logFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrap(ErrDisk, err.Error())
	}
	offset := 0
	for offset < len(data) {
		payload, size := decodeRecord(data[offset:])
		if size == 0 {
			break
		}
		if err := applyBatch(state, payload); err != nil {
			return 0, eris.Wrapf(ErrCorrupt, "%s: record at byte %d: %v", logFileName, offset, err)
		}
		offset += size
	}
	if containsRecord(data[offset:]) {
		return 0, eris.Wrapf(ErrCorrupt, "%s: invalid record at byte %d, followed by valid records", logFileName, offset)
	}
	return int64(offset), nil
}

var errMissingEntries = errors.New("gap in the entry indices")

func applyBatch(state *carobrock.JournalState, payload []byte) error {
	b := &encoder.Batch{}
	if err := proto.Unmarshal(payload, b); err != nil {
		return err
	}
	if b.GetHardState() != nil {
		state.HardState = b.GetHardState()
	}
	for _, e := range b.GetEntries() {
		if err := applyEntry(state, e); err != nil {
			return err
		}
	}
	return nil
}

func applyEntry(state *carobrock.JournalState, e *encoder.Entry) error {
	base := state.Snapshot.GetIndex()
	if e.GetIndex() <= base {
		return nil
	}
	position := e.GetIndex() - base - 1
	if position > uint64(len(state.Entries)) {
		return errMissingEntries
	}
	state.Entries = append(state.Entries[:position], e)
	return nil
}

// Append implements carobrock.Journal. It fails with ErrDisk. After a failure all
// later writes fail: a sync is never retried, because the kernel may have dropped
// the dirty pages that it could not write.
func (j *Journal) Append(hs *encoder.HardState, entries []*encoder.Entry) error {
	if j.failed {
		return ErrDisk
	}
	payload, err := proto.Marshal(&encoder.Batch{HardState: hs, Entries: entries})
	if err != nil {
		return eris.Wrap(ErrDisk, err.Error())
	}
	return j.checkWrite(j.writeRecord(appendRecord(nil, payload)))
}

func (j *Journal) writeRecord(data []byte) error {
	if _, err := j.logFile.Write(data); err != nil {
		return err
	}
	return j.logFile.Sync()
}

// checkWrite checks the result of a write: if err is not nil, it makes all later
// writes fail and wraps err as ErrDisk.
func (j *Journal) checkWrite(err error) error {
	if err == nil {
		return nil
	}
	j.failed = true
	return eris.Wrap(ErrDisk, err.Error())
}

// SaveSnapshot implements carobrock.Journal. It fails with ErrDisk. The snapshot
// becomes durable before the log file is replaced, so a crash between the two
// leaves covered entries in the log, which Open skips.
func (j *Journal) SaveSnapshot(s *encoder.Snapshot, hs *encoder.HardState, remaining []*encoder.Entry) error {
	if j.failed {
		return ErrDisk
	}
	return j.checkWrite(j.replaceFiles(s, hs, remaining))
}

func (j *Journal) replaceFiles(s *encoder.Snapshot, hs *encoder.HardState, remaining []*encoder.Entry) error {
	data, err := proto.Marshal(s)
	if err != nil {
		return err
	}
	if err := j.Directory.WriteFile(snapshotFileName, appendRecord(nil, data)); err != nil {
		return err
	}
	payload, err := proto.Marshal(&encoder.Batch{HardState: hs, Entries: remaining})
	if err != nil {
		return err
	}
	if err := j.logFile.Close(); err != nil {
		return err
	}
	record := appendRecord(nil, payload)
	if err := j.Directory.WriteFile(logFileName, record); err != nil {
		return err
	}
	j.logFile, err = j.Directory.OpenAppend(logFileName, int64(len(record)))
	return err
}

// Close implements carobrock.Journal.
func (j *Journal) Close() error {
	var err error
	if j.logFile != nil {
		err = j.logFile.Close()
	}
	return errors.Join(err, j.Directory.Close())
}
