package replicator_test

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/journaler"
)

// syncDuration is the duration of a sync in virtual time.
const syncDuration = time.Millisecond

// memoryDirectory is an in-memory data directory. The files survive the end of a
// process as they are. A power loss keeps the writes that a sync of their file
// covers and the renames that a sync of the directory covers; later ones may be
// kept, torn or lost, each for itself.
type memoryDirectory struct {
	mu           sync.Mutex
	names        map[string]*memoryFile
	durableNames map[string]*memoryFile
	crashed      bool  // the process that uses the directory has ended
	syncError    error // if not nil, every sync fails
	// capacity limits the size of all files in bytes if it is not negative. A write
	// that does not fit is made in part and fails, or, if failsAtSync is set, succeeds
	// and the sync fails; the changes are then visible and not durable, and the next
	// sync does not write them.
	capacity    int
	failsAtSync bool
	// fullFor is the name of a file that cannot be replaced for lack of space; probes
	// fail then, too. Empty: none.
	fullFor string
	// failedRename is the name of the file whose next replacement fails for lack of
	// space after the rename. Later syncs of the directory do not make this rename
	// durable; lostRename is the file. Empty: none.
	failedRename string
	lostRename   *memoryFile
	// isInstant makes syncs take no time.
	isInstant bool
	// fullFailures counts the operations that failed for lack of space.
	fullFailures int
}

// memoryFile is the content of a file.
type memoryFile struct {
	data     []byte
	durable  []byte
	unsynced []memoryWrite // the changes from durable to data
}

// memoryWrite is a write at an offset, or a truncation to it if data is nil.
type memoryWrite struct {
	offset int
	data   []byte
	// isOverwrite is set if the file had data at all offsets. The old data remains
	// where the write is lost.
	isOverwrite bool
}

// memoryHandle is a file that is open for appending.
type memoryHandle struct {
	directory *memoryDirectory
	name      string
	file      *memoryFile
}

var _ journaler.Directory = (*memoryDirectory)(nil)

func newMemoryDirectory() *memoryDirectory {
	return &memoryDirectory{names: map[string]*memoryFile{}, durableNames: map[string]*memoryFile{}, capacity: -1}
}

// setFree leaves the given number of bytes free. If it is negative, the space is not
// limited.
func (m *memoryDirectory) setFree(bytes int, failsAtSync bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failsAtSync = failsAtSync
	m.capacity = -1
	if bytes >= 0 {
		m.capacity = m.used() + bytes
	}
}

// used returns the size of all files.
func (m *memoryDirectory) used() (n int) {
	for _, f := range m.names {
		n += len(f.data)
	}
	return n
}

// size returns the size of all files.
func (m *memoryDirectory) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used()
}

// free returns the number of bytes that can be written.
func (m *memoryDirectory) free() int {
	if m.capacity < 0 {
		return 1 << 30
	}
	return max(0, m.capacity-m.used())
}

func (m *memoryDirectory) failFull() error {
	m.fullFailures++
	return syscall.ENOSPC
}

// countFullFailures returns the number of operations that failed for lack of space.
func (m *memoryDirectory) countFullFailures() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fullFailures
}

// setFullFor sets the name of the file that cannot be replaced.
func (m *memoryDirectory) setFullFor(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fullFor = name
}

// durableState returns what a replica reads after a power loss that loses everything
// that is not durable.
func (m *memoryDirectory) durableState(name string) (*carobrock.JournalState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	durable := newMemoryDirectory()
	durable.isInstant = true
	for file, f := range m.durableNames {
		durable.names[file] = &memoryFile{data: f.durable, durable: f.durable}
	}
	j := &journaler.Journal{Directory: durable, Name: name, NewIncarnation: func() uint64 { return 1 }}
	return j.Open()
}

// Probe implements journaler.Directory.
func (m *memoryDirectory) Probe(size int) error {
	fits := false
	if err := m.waitSynced(func() { fits = size <= m.free() && m.fullFor == "" }); err != nil {
		return err
	}
	if !fits {
		return syscall.ENOSPC
	}
	return nil
}

// Lock implements journaler.Directory. It begins the use by a new process.
func (m *memoryDirectory) Lock() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = false
	return nil
}

func (m *memoryDirectory) Close() error { return nil }

func (m *memoryDirectory) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

// waitSynced takes the time of a sync and calls finish if the process still runs
// and the disk works.
func (m *memoryDirectory) waitSynced(finish func()) error {
	if !m.isInstant {
		time.Sleep(syncDuration)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.crashed:
		return fs.ErrClosed
	case m.syncError != nil:
		return m.syncError
	}
	finish()
	return nil
}

func (m *memoryDirectory) WriteFile(name string, data []byte) error {
	f := &memoryFile{data: slices.Clone(data), durable: slices.Clone(data)}
	fits := true
	if err := m.waitSynced(func() {
		// The old file exists until the new one is complete.
		if fits = len(data) <= m.free() && m.fullFor != name; fits {
			m.names[name] = f
		} else {
			m.fullFailures++
		}
	}); err != nil {
		return err
	}
	if !fits {
		return syscall.ENOSPC
	}
	m.mu.Lock()
	lost := m.failedRename == name
	if lost {
		m.failedRename, m.lostRename = "", f
	}
	m.mu.Unlock()
	if err := m.Sync(); err != nil || !lost {
		return err
	}
	return syscall.ENOSPC
}

// Sync makes the names of all files durable.
func (m *memoryDirectory) Sync() error {
	return m.waitSynced(func() {
		durable := maps.Clone(m.names)
		for name, f := range durable {
			if f == m.lostRename {
				durable[name] = m.durableNames[name]
			}
		}
		m.durableNames = durable
	})
}

func (m *memoryDirectory) OpenAppend(name string, size int64) (journaler.File, error) {
	m.mu.Lock()
	f, ok := m.names[name]
	if !ok {
		f = &memoryFile{}
		m.names[name] = f
	}
	m.mu.Unlock()
	if !ok {
		if err := m.Sync(); err != nil {
			return nil, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if int(size) != len(f.data) {
		f.change(memoryWrite{offset: int(size)})
	}
	return &memoryHandle{directory: m, name: name, file: f}, nil
}

func (f *memoryFile) change(w memoryWrite) {
	f.data = w.applyTo(f.data)
	f.unsynced = append(f.unsynced, w)
}

// applyTo returns content with the change. A gap before the offset reads as zeros.
func (w memoryWrite) applyTo(content []byte) []byte {
	out := slices.Clone(content)
	if len(out) < w.offset+len(w.data) {
		out = append(out, make([]byte, w.offset+len(w.data)-len(out))...)
	}
	if w.data == nil {
		return out[:w.offset]
	}
	copy(out[w.offset:], w.data)
	return out
}

func (h *memoryHandle) Write(p []byte) (int, error) {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	if h.directory.crashed {
		return 0, fs.ErrClosed
	}
	free := h.directory.free()
	if len(p) > free && !h.directory.failsAtSync {
		h.file.change(memoryWrite{offset: len(h.file.data), data: slices.Clone(p[:free])})
		return free, h.directory.failFull()
	}
	h.file.change(memoryWrite{offset: len(h.file.data), data: slices.Clone(p)})
	return len(p), nil
}

// WriteAt implements journaler.File for data that the file has.
func (h *memoryHandle) WriteAt(p []byte, offset int64) (int, error) {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	if h.directory.crashed {
		return 0, fs.ErrClosed
	}
	h.file.change(memoryWrite{offset: int(offset), data: slices.Clone(p), isOverwrite: true})
	return len(p), nil
}

func (h *memoryHandle) Sync() error {
	full := false
	err := h.directory.waitSynced(func() {
		unsynced := h.file.unsynced
		h.file.unsynced = nil
		if full = h.directory.capacity >= 0 && h.directory.used() > h.directory.capacity; full {
			h.directory.fullFailures++
			return
		}
		for _, w := range unsynced {
			h.file.durable = w.applyTo(h.file.durable)
		}
		if h.directory.durableNames[h.name] == nil {
			h.directory.durableNames[h.name] = h.file
		}
	})
	if err == nil && full {
		return syscall.ENOSPC
	}
	return err
}

func (h *memoryHandle) Close() error { return nil }

// crash ends the use by the current process. Its operations in progress fail.
func (m *memoryDirectory) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
}

// losePower reverts the files to a state that a power loss may leave. If rnd is
// nil, everything that is not durable is lost.
func (m *memoryDirectory) losePower(rnd *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	kept := maps.Clone(m.durableNames)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		if rnd != nil && rnd.IntN(2) == 0 {
			kept[name] = m.names[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		kept[name].losePower(rnd)
	}
	m.names, m.durableNames = kept, maps.Clone(kept)
}

func (f *memoryFile) losePower(rnd *rand.Rand) {
	content := f.durable
	for _, w := range f.unsynced {
		if rnd == nil {
			break
		}
		switch rnd.IntN(3) {
		case 0:
			content = w.applyTo(content)
		case 1:
			if len(w.data) > 0 {
				content = w.torn(rnd).applyTo(content)
			}
		}
	}
	f.data, f.durable, f.unsynced = content, content, nil
}

// torn returns a part of a write: a prefix, or all of it with a gap of zeros.
func (w memoryWrite) torn(rnd *rand.Rand) memoryWrite {
	data := slices.Clone(w.data)
	from := rnd.IntN(len(data))
	if w.isOverwrite || rnd.IntN(2) == 0 {
		return memoryWrite{offset: w.offset, data: data[:from]}
	}
	clear(data[from : from+rnd.IntN(len(data)-from)+1])
	return memoryWrite{offset: w.offset, data: data}
}
