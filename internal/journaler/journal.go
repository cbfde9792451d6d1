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
	// ErrInUse reports that another process has the data folder.
	ErrInUse = eris.New("journaler: another process uses the data folder")
	// ErrOtherReplica reports that the data folder belongs to another replica.
	ErrOtherReplica = eris.New("journaler: the data folder belongs to another replica")
	// ErrDamaged reports that a file was damaged other than by a crash.
	ErrDamaged = eris.New("journaler: the data folder is damaged")
	// ErrDisk reports that the disk failed a read, a write or a sync.
	ErrDisk = eris.New("journaler: the disk failed")

	errFolderInUse = errors.New("folder is locked")
)

const (
	identityName = "identity.json"
	logName      = "log"
	snapshotName = "snapshot"
)

// identity is the content of the identity file.
type identity struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation,string"`
}

// Journal keeps a replica's durable state in a Folder.
type Journal struct {
	// Folder is where the files are.
	Folder Folder
	// Name is the replica's name. A folder made under another name is refused.
	Name string
	// NewIncarnation draws the identity of a new folder, never zero.
	NewIncarnation func() uint64

	log    File
	failed bool
}

var _ carobrock.Journal = (*Journal)(nil)

// Open implements carobrock.Journal. It fails with ErrInUse, ErrOtherReplica,
// ErrDamaged or ErrDisk and then holds nothing open.
func (j *Journal) Open() (*carobrock.JournalState, error) {
	if err := j.Folder.Lock(); err != nil {
		if errors.Is(err, errFolderInUse) {
			return nil, ErrInUse
		}
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	state, err := j.load()
	if err != nil {
		return nil, errors.Join(err, j.Folder.Close())
	}
	return state, nil
}

func (j *Journal) load() (*carobrock.JournalState, error) {
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
	j.log, err = j.Folder.OpenAppend(logName, size)
	if err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	return state, nil
}

func (j *Journal) loadIdentity() (*identity, error) {
	id := &identity{}
	data, err := j.Folder.ReadFile(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return j.makeIdentity()
	}
	if err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	if err := json.Unmarshal(data, id); err != nil || id.Incarnation == 0 {
		return nil, eris.Wrap(ErrDamaged, identityName)
	}
	if id.Name != j.Name {
		return nil, eris.Wrapf(ErrOtherReplica, "it is of %q, not %q", id.Name, j.Name)
	}
	return id, nil
}

func (j *Journal) makeIdentity() (*identity, error) {
	for _, name := range []string{logName, snapshotName} {
		if _, err := j.Folder.ReadFile(name); !errors.Is(err, fs.ErrNotExist) {
			return nil, eris.Wrapf(ErrDamaged, "%s without %s", name, identityName)
		}
	}
	id := &identity{Name: j.Name, Incarnation: j.NewIncarnation()}
	data, err := json.Marshal(id)
	if err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	if err := j.Folder.WriteFile(identityName, data); err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	return id, nil
}

func (j *Journal) loadSnapshot() (*encoder.Snapshot, error) {
	data, err := j.Folder.ReadFile(snapshotName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(ErrDisk, err.Error())
	}
	payload, size := cutRecord(data)
	if size == 0 || size != len(data) {
		return nil, eris.Wrap(ErrDamaged, snapshotName)
	}
	s := &encoder.Snapshot{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return nil, eris.Wrap(ErrDamaged, snapshotName)
	}
	return s, nil
}

// loadLog adds the log file's content to state and returns how many bytes of
// the file are valid.
func (j *Journal) loadLog(state *carobrock.JournalState) (int64, error) {
	data, err := j.Folder.ReadFile(logName)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrap(ErrDisk, err.Error())
	}
	offset := 0
	for offset < len(data) {
		payload, size := cutRecord(data[offset:])
		if size == 0 {
			break
		}
		if err := addBatch(state, payload); err != nil {
			return 0, eris.Wrapf(ErrDamaged, "%s at byte %d: %v", logName, offset, err)
		}
		offset += size
	}
	if hasRecord(data[offset:]) {
		return 0, eris.Wrapf(ErrDamaged, "%s at byte %d, before valid records", logName, offset)
	}
	return int64(offset), nil
}

var errGap = errors.New("entries are missing")

func addBatch(state *carobrock.JournalState, payload []byte) error {
	b := &encoder.Batch{}
	if err := proto.Unmarshal(payload, b); err != nil {
		return err
	}
	if b.GetHardState() != nil {
		state.HardState = b.GetHardState()
	}
	for _, e := range b.GetEntries() {
		if err := addEntry(state, e); err != nil {
			return err
		}
	}
	return nil
}

func addEntry(state *carobrock.JournalState, e *encoder.Entry) error {
	base := state.Snapshot.GetIndex()
	if e.GetIndex() <= base {
		return nil
	}
	at := e.GetIndex() - base - 1
	if at > uint64(len(state.Entries)) {
		return errGap
	}
	state.Entries = append(state.Entries[:at], e)
	return nil
}

// Append implements carobrock.Journal. It fails with ErrDisk; a failed sync is
// never repeated, because the kernel may have dropped the pages it failed on.
func (j *Journal) Append(hs *encoder.HardState, entries []*encoder.Entry) error {
	if j.failed {
		return ErrDisk
	}
	payload, err := proto.Marshal(&encoder.Batch{HardState: hs, Entries: entries})
	if err != nil {
		return eris.Wrap(ErrDisk, err.Error())
	}
	return j.guard(j.write(appendRecord(nil, payload)))
}

func (j *Journal) write(data []byte) error {
	if _, err := j.log.Write(data); err != nil {
		return err
	}
	return j.log.Sync()
}

// guard remembers a failure and translates it.
func (j *Journal) guard(err error) error {
	if err == nil {
		return nil
	}
	j.failed = true
	return eris.Wrap(ErrDisk, err.Error())
}

// SaveSnapshot implements carobrock.Journal. The snapshot is durable before
// the log is cut; a crash between the two leaves entries that Open skips.
func (j *Journal) SaveSnapshot(s *encoder.Snapshot, hs *encoder.HardState, keep []*encoder.Entry) error {
	if j.failed {
		return ErrDisk
	}
	return j.guard(j.replaceFiles(s, hs, keep))
}

func (j *Journal) replaceFiles(s *encoder.Snapshot, hs *encoder.HardState, keep []*encoder.Entry) error {
	data, err := proto.Marshal(s)
	if err != nil {
		return err
	}
	if err := j.Folder.WriteFile(snapshotName, appendRecord(nil, data)); err != nil {
		return err
	}
	payload, err := proto.Marshal(&encoder.Batch{HardState: hs, Entries: keep})
	if err != nil {
		return err
	}
	if err := j.log.Close(); err != nil {
		return err
	}
	record := appendRecord(nil, payload)
	if err := j.Folder.WriteFile(logName, record); err != nil {
		return err
	}
	j.log, err = j.Folder.OpenAppend(logName, int64(len(record)))
	return err
}

// Close implements carobrock.Journal.
func (j *Journal) Close() error {
	var err error
	if j.log != nil {
		err = j.log.Close()
	}
	return errors.Join(err, j.Folder.Close())
}
