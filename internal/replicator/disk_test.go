package replicator_test

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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
}

// memoryHandle is a file that is open for appending.
type memoryHandle struct {
	directory *memoryDirectory
	name      string
	file      *memoryFile
}

var _ journaler.Directory = (*memoryDirectory)(nil)

func newMemoryDirectory() *memoryDirectory {
	return &memoryDirectory{names: map[string]*memoryFile{}, durableNames: map[string]*memoryFile{}}
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
	time.Sleep(syncDuration)
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
	if err := m.waitSynced(func() { m.names[name] = f }); err != nil {
		return err
	}
	return m.Sync()
}

// Sync makes the names of all files durable.
func (m *memoryDirectory) Sync() error {
	return m.waitSynced(func() { m.durableNames = maps.Clone(m.names) })
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
	h.file.change(memoryWrite{offset: len(h.file.data), data: slices.Clone(p)})
	return len(p), nil
}

func (h *memoryHandle) Sync() error {
	return h.directory.waitSynced(func() {
		h.file.durable, h.file.unsynced = h.file.data, nil
		if h.directory.durableNames[h.name] == nil {
			h.directory.durableNames[h.name] = h.file
		}
	})
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
	if rnd.IntN(2) == 0 {
		return memoryWrite{offset: w.offset, data: data[:from]}
	}
	clear(data[from : from+rnd.IntN(len(data)-from)+1])
	return memoryWrite{offset: w.offset, data: data}
}
