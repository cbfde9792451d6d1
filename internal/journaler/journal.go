package journaler

import (
	"encoding/json"
	"errors"
	"io/fs"
	"syscall"

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
	// ErrDisk reports that reading, writing or syncing a file failed for another
	// reason than lack of space, or that its content could not be encoded.
	ErrDisk = eris.New("journaler: disk operation failed")
	// ErrFull reports that a write or a sync failed for lack of space: the file
	// system is full or the quota is used up.
	ErrFull = eris.New("journaler: no space left for the data directory")

	errDirectoryLocked = errors.New("data directory is locked")
)

const (
	identityFileName = "identity.json"
	logFileName      = "log"
	snapshotFileName = "snapshot"

	// minProbeSize is the minimum amount of data that Probe writes, in bytes, unless
	// the disk is small. It is the size of the largest append message of a leader, so
	// that a replica that has just returned does not fail at its first append.
	minProbeSize = 1 << 20
	// minProbeShare is the inverse of the largest share of the disk that this minimum
	// may be: a small disk may never have minProbeSize free.
	minProbeShare = 16
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
	// DiskBytes is the space for the data directory, in bytes. Zero: unknown.
	DiskBytes int64

	isOpen  bool
	logFile File
	// logSize is the size of the synced part of the log file, in bytes.
	// rewrittenLogSize is its size after the last snapshot or start.
	logSize          int64
	rewrittenLogSize int64
	snapshotSize     int64 // bytes
	// failure is the error of later writes, nil if the journal can be written to.
	failure error
	// tailUndefined is set after a failed append: what the log file holds after
	// logSize is undefined. logNameUndefined is set after a failed replacement of
	// the log file: it is undefined which file has its name after a power loss.
	tailUndefined    bool
	logNameUndefined bool
	// snapshotNameUndefined is set after a failed replacement of the snapshot, for the
	// same reason.
	snapshotNameUndefined bool
	failedWriteSize       int // bytes
}

var _ carobrock.Journal = (*Journal)(nil)

// diskError translates an error of the Directory.
func diskError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return eris.Wrap(ErrFull, err.Error())
	}
	return eris.Wrap(ErrDisk, err.Error())
}

// Open implements carobrock.Journal. It fails with ErrInUse, ErrOtherReplica,
// ErrCorrupt, ErrFull or ErrDisk, and then leaves no file open and no lock held.
func (j *Journal) Open() (*carobrock.JournalState, error) {
	if err := j.Directory.Lock(); err != nil {
		if errors.Is(err, errDirectoryLocked) {
			return nil, ErrInUse
		}
		return nil, diskError(err)
	}
	state, err := j.loadState()
	if err != nil {
		return nil, errors.Join(err, j.Directory.Close())
	}
	j.isOpen = true
	return state, nil
}

// Reopen implements carobrock.Journal. It discards what the failed write may have
// left in the log file. It does not sync that data again, because the kernel may
// have dropped the pages that it could not write, and reports success at the next
// sync.
func (j *Journal) Reopen() (*carobrock.JournalState, error) {
	if errors.Is(j.failure, ErrDisk) {
		return nil, j.failure
	}
	if !j.isOpen {
		return j.Open()
	}
	if j.logFile != nil {
		_ = j.logFile.Close() // the part of the file that counts is synced
		j.logFile = nil
	}
	return j.loadState()
}

// Probe implements carobrock.Journal. It tries to write as much as the write that
// failed. It fails with ErrFull or ErrDisk.
func (j *Journal) Probe() error {
	if errors.Is(j.failure, ErrDisk) {
		return j.failure
	}
	if err := j.Directory.Probe(max(j.minProbeSize(), j.failedWriteSize)); err != nil {
		return diskError(err)
	}
	j.failure = nil
	return nil
}

func (j *Journal) minProbeSize() int {
	if j.DiskBytes <= 0 {
		return minProbeSize
	}
	return int(min(minProbeSize, j.DiskBytes/minProbeShare))
}

// loadState reads the files. What it returns is durable: before it reads, it syncs
// the directory, because a killed process may have renamed files without a sync.
func (j *Journal) loadState() (*carobrock.JournalState, error) {
	if err := j.Directory.Sync(); err != nil {
		return nil, diskError(err)
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
	content, err := j.loadLog(state)
	if err != nil {
		return nil, err
	}
	if err := j.openLog(content); err != nil {
		return nil, diskError(err)
	}
	return state, nil
}

// logContent is the valid part of a log file.
type logContent struct {
	data []byte
	// lastRecord is the offset of the last record.
	lastRecord int
}

// openLog opens the log file for appending and makes its content durable, because
// a killed process may have written records that it did not sync. At the start of a
// process it writes the last record again before it syncs: if a sync by an earlier
// process has failed, the kernel takes the pages of that record for clean, and a
// sync alone would not write them. Earlier records were synced before the last one
// was written.
func (j *Journal) openLog(content *logContent) error {
	if j.logNameUndefined {
		if err := j.Directory.WriteFile(logFileName, content.data); err != nil {
			return err
		}
	}
	f, err := j.Directory.OpenAppend(logFileName, int64(len(content.data)))
	if err != nil {
		return err
	}
	if last := content.data[content.lastRecord:]; !j.isOpen && len(last) > 0 {
		if _, err := f.WriteAt(last, int64(content.lastRecord)); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	j.logFile = f
	j.logSize, j.rewrittenLogSize = int64(len(content.data)), int64(len(content.data))
	j.tailUndefined, j.logNameUndefined = false, false
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
		return nil, diskError(err)
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
	if j.snapshotNameUndefined {
		if err := j.Directory.WriteFile(snapshotFileName, data); err != nil {
			return nil, diskError(err)
		}
		j.snapshotNameUndefined = false
	}
	j.snapshotSize = int64(size)
	return s, nil
}

// loadLog adds the content of the log file to state and returns the valid part of
// the file.
func (j *Journal) loadLog(state *carobrock.JournalState) (*logContent, error) {
	data, err := j.Directory.ReadFile(logFileName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	if j.tailUndefined {
		data = data[:min(int64(len(data)), j.logSize)]
	}
	content := &logContent{}
	offset := 0
	for offset < len(data) {
		payload, size := decodeRecord(data[offset:])
		if size == 0 {
			break
		}
		if err := applyBatch(state, payload); err != nil {
			return nil, eris.Wrapf(ErrCorrupt, "%s: record at byte %d: %v", logFileName, offset, err)
		}
		content.lastRecord = offset
		offset += size
	}
	if j.tailUndefined && int64(offset) != j.logSize {
		return nil, eris.Wrapf(ErrCorrupt, "%s: invalid record at byte %d, but %d bytes were synced", logFileName, offset, j.logSize)
	}
	if containsRecord(data[offset:]) {
		return nil, eris.Wrapf(ErrCorrupt, "%s: invalid record at byte %d, followed by valid records", logFileName, offset)
	}
	content.data = data[:offset]
	return content, nil
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

// applyEntry adds an entry. Also one that the snapshot covers replaces all earlier
// entries with a higher index. An entry of an earlier term than the snapshot does not
// follow it: the snapshot came from a leader, and the log was not replaced.
func applyEntry(state *carobrock.JournalState, e *encoder.Entry) error {
	base := state.Snapshot.GetIndex()
	if e.GetIndex() <= base {
		state.Entries = nil
		return nil
	}
	if e.GetTerm() < state.Snapshot.GetTerm() {
		return nil
	}
	position := e.GetIndex() - base - 1
	if position > uint64(len(state.Entries)) {
		return errMissingEntries
	}
	state.Entries = append(state.Entries[:position], e)
	return nil
}

// Append implements carobrock.Journal. It fails with ErrFull or ErrDisk. After
// ErrDisk all later writes fail, after ErrFull those before Reopen and Probe: a
// sync is never retried, because the kernel may have dropped the dirty pages that it
// could not write.
func (j *Journal) Append(hs *encoder.HardState, entries []*encoder.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	payload, err := proto.Marshal(&encoder.Batch{HardState: hs, Entries: entries})
	if err != nil {
		return j.fail(err, 0)
	}
	record := appendRecord(nil, payload)
	if err := j.writeRecord(record); err != nil {
		j.tailUndefined = true
		return j.fail(err, len(record))
	}
	j.logSize += int64(len(record))
	return nil
}

func (j *Journal) writeRecord(data []byte) error {
	if _, err := j.logFile.Write(data); err != nil {
		return err
	}
	return j.logFile.Sync()
}

// fail makes all later writes fail with the translation of err, and returns it.
// size is the size of the failed write in bytes.
func (j *Journal) fail(err error, size int) error {
	j.failure = diskError(err)
	j.failedWriteSize = size
	return j.failure
}

// SaveSnapshot implements carobrock.Journal. It fails with ErrFull or ErrDisk. The
// snapshot becomes durable before the log file is replaced, so a crash between the
// two leaves covered entries in the log, which Open skips. If there is no space for
// the snapshot, the log file is untouched and the journal can still be appended to.
func (j *Journal) SaveSnapshot(s *encoder.Snapshot, hs *encoder.HardState, remaining []*encoder.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	snapshotData, err := proto.Marshal(s)
	if err != nil {
		return j.fail(err, 0)
	}
	logData, err := proto.Marshal(&encoder.Batch{HardState: hs, Entries: remaining})
	if err != nil {
		return j.fail(err, 0)
	}
	snapshotRecord, logRecord := appendRecord(nil, snapshotData), appendRecord(nil, logData)
	if err := j.Directory.WriteFile(snapshotFileName, snapshotRecord); err != nil {
		failure := j.fail(err, len(snapshotRecord)+len(logRecord))
		if errors.Is(failure, ErrFull) {
			j.failure, j.snapshotNameUndefined = nil, true
		}
		return failure
	}
	j.snapshotSize, j.snapshotNameUndefined = int64(len(snapshotRecord)), false
	if err := j.replaceLog(logRecord); err != nil {
		return j.fail(err, len(logRecord))
	}
	return nil
}

func (j *Journal) replaceLog(record []byte) error {
	j.logNameUndefined = true
	err := j.logFile.Close()
	j.logFile = nil
	if err != nil {
		return err
	}
	if err := j.Directory.WriteFile(logFileName, record); err != nil {
		return err
	}
	f, err := j.Directory.OpenAppend(logFileName, int64(len(record)))
	if err != nil {
		return err
	}
	j.logFile = f
	j.logNameUndefined = false
	j.logSize, j.rewrittenLogSize = int64(len(record)), int64(len(record))
	return nil
}

// IsSnapshotDue implements carobrock.Journal.
func (j *Journal) IsSnapshotDue() bool {
	return isSnapshotDue(j.DiskBytes, j.snapshotSize, j.logSize, j.logSize-j.rewrittenLogSize)
}

// isSnapshotDue reports whether a snapshot has to be taken while log, snapshot and
// the temporary file of the new snapshot still fit on the disk. All sizes are in
// bytes; grownBytes is the growth of the log since its last replacement.
//
// The new snapshot is at most about as large as the old one and the log together, so
// all files together take up to twice the size of log and snapshot. A quarter of the
// disk is left for appends while the snapshot is being taken and for the probe file.
// If the state fills most of the disk, a snapshot is due for each sixteenth of the
// disk, as otherwise each append would be followed by a snapshot.
func isSnapshotDue(diskBytes, snapshotBytes, logBytes, grownBytes int64) bool {
	if diskBytes <= 0 || grownBytes < diskBytes/16 {
		return false
	}
	return 2*(logBytes+snapshotBytes) >= diskBytes*3/4
}

// Close implements carobrock.Journal.
func (j *Journal) Close() error {
	var err error
	if j.logFile != nil {
		err = j.logFile.Close()
		j.logFile = nil
	}
	j.isOpen = false
	return errors.Join(err, j.Directory.Close())
}
