package journaler

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file of the data folder.
type File interface {
	io.Writer
	io.Closer
	// Sync returns when everything written is durable.
	Sync() error
}

// Folder is the data folder. All names are plain file names inside it.
type Folder interface {
	// Lock takes the folder for this process. It fails if another process has
	// it.
	Lock() error
	// ReadFile returns the content of a file, or an error that is fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// WriteFile replaces a file and makes the new content durable.
	WriteFile(name string, data []byte) error
	// OpenAppend opens a file for appending behind its first size bytes; what
	// is behind them is cut off.
	OpenAppend(name string, size int64) (File, error)
	// Close releases the lock.
	Close() error
}

// DiskFolder is a Folder in the file system.
type DiskFolder struct {
	// Path is the folder. It is made if it does not exist.
	Path string

	lock *os.File
}

var _ Folder = (*DiskFolder)(nil)

const (
	lockName   = "lock"
	folderMode = 0o750
	fileMode   = 0o640
)

// Lock implements Folder with a lock on a file, which ends with the process.
func (d *DiskFolder) Lock() error {
	if err := os.MkdirAll(d.Path, folderMode); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(d.Path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.Join(errFolderInUse, f.Close())
	}
	d.lock = f
	return nil
}

// ReadFile implements Folder.
func (d *DiskFolder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.Path, name))
}

// WriteFile implements Folder: it writes a new file, syncs it, renames it over
// the old one and syncs the folder.
func (d *DiskFolder) WriteFile(name string, data []byte) error {
	path := filepath.Join(d.Path, name)
	tmp := path + ".tmp"
	if err := writeSynced(tmp, data); err != nil {
		return err
	}
	if err := os.Rename(tmp, path); err != nil {
		return err
	}
	return d.syncFolder()
}

func writeSynced(path string, data []byte) error {
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

// OpenAppend implements Folder.
func (d *DiskFolder) OpenAppend(name string, size int64) (File, error) {
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
		if err := d.syncFolder(); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, nil
}

func (d *DiskFolder) syncFolder() error {
	f, err := os.Open(d.Path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Close implements Folder.
func (d *DiskFolder) Close() error {
	if d.lock == nil {
		return nil
	}
	err := d.lock.Close()
	d.lock = nil
	return err
}
