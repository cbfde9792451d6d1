package journaler

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file of the data directory that is open for appending.
type File interface {
	io.Writer
	// WriteAt overwrites a part of the file.
	io.WriterAt
	io.Closer
	// Sync returns when everything written is durable.
	Sync() error
}

// Directory is the data directory. All names are plain file names inside the
// directory.
type Directory interface {
	// Lock locks the directory for this process. It fails if another process holds
	// the lock.
	Lock() error
	// ReadFile returns the content of a file. If the file does not exist, the
	// error matches fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// WriteFile atomically replaces a file and returns when the new content is
	// durable. After an error the file has the old or the new content, and no part
	// of a temporary file remains.
	WriteFile(name string, data []byte) error
	// OpenAppend truncates a file to size bytes, creating it if necessary, and
	// opens it for appending. The name of a new file is durable when it returns.
	OpenAppend(name string, size int64) (File, error)
	// Sync returns when the names of all files are durable.
	Sync() error
	// Probe writes size bytes to a temporary file, syncs and removes it.
	Probe(size int) error
	// Close releases the lock.
	Close() error
}

// DiskDirectory is a Directory in the file system.
type DiskDirectory struct {
	// Path is the path of the directory. Lock creates the directory if it does not
	// exist.
	Path string

	lockFile *os.File
}

var _ Directory = (*DiskDirectory)(nil)

const (
	lockFileName  = "lock"
	probeFileName = "probe"
	tempSuffix    = ".tmp"
	directoryMode = 0o750
	fileMode      = 0o640
)

// Lock implements Directory with flock on a lock file. The operating system
// releases the lock when the process exits.
func (d *DiskDirectory) Lock() error {
	if err := os.MkdirAll(d.Path, directoryMode); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(d.Path, lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.Join(errDirectoryLocked, f.Close())
	}
	d.lockFile = f
	return d.removeTempFiles()
}

// removeTempFiles removes the temporary files of a killed process.
func (d *DiskDirectory) removeTempFiles() error {
	for _, name := range []string{identityFileName, logFileName, snapshotFileName, probeFileName} {
		if err := removeIfExists(filepath.Join(d.Path, name+tempSuffix)); err != nil {
			return errors.Join(err, d.Close())
		}
	}
	return nil
}

// ReadFile implements Directory.
func (d *DiskDirectory) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.Path, name))
}

// WriteFile implements Directory. It writes and syncs a temporary file, renames
// it to the target name and syncs the directory.
func (d *DiskDirectory) WriteFile(name string, data []byte) error {
	path := filepath.Join(d.Path, name)
	tmp := path + tempSuffix
	if err := writeAndSync(tmp, data); err != nil {
		return errors.Join(err, removeIfExists(tmp))
	}
	if err := os.Rename(tmp, path); err != nil {
		return errors.Join(err, removeIfExists(tmp))
	}
	return d.Sync()
}

func removeIfExists(path string) error {
	if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Probe implements Directory. The data is random, as a file system that compresses
// would need no space for zeros.
func (d *DiskDirectory) Probe(size int) error {
	data := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{}).Read(data) // never fails
	path := filepath.Join(d.Path, probeFileName+tempSuffix)
	return errors.Join(writeAndSync(path, data), removeIfExists(path))
}

func writeAndSync(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// OpenAppend implements Directory.
func (d *DiskDirectory) OpenAppend(name string, size int64) (File, error) {
	path := filepath.Join(d.Path, name)
	_, statErr := os.Stat(path)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if errors.Is(statErr, fs.ErrNotExist) {
		if err := d.Sync(); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, nil
}

// Sync implements Directory.
func (d *DiskDirectory) Sync() error {
	f, err := os.Open(d.Path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Close implements Directory.
func (d *DiskDirectory) Close() error {
	if d.lockFile == nil {
		return nil
	}
	err := d.lockFile.Close()
	d.lockFile = nil
	return err
}
