package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

// Files is the interface to the file system. Tests use it to inject faults and crashes.
type Files interface {
	// MakeFolder creates the folder and its missing parents, and syncs the parent folder.
	MakeFolder(folder string) error
	// List returns the sorted names of the files in the folder.
	List(folder string) ([]string, error)
	Read(path string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(folder string) error
	// Lock acquires an exclusive lock until Unlock. It fails at once if another process holds the lock.
	Lock(path string) (Unlocker, error)
}

// File is an open file to which data is appended.
type File interface {
	Write(data []byte) (int, error)
	// Truncate drops everything after the size, in bytes, at which the next Write continues.
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Unlocker releases a lock.
type Unlocker interface {
	Unlock() error
}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// NewFiles returns the file system of an Open without Options.Files. Tests of whole processes replace it.
var NewFiles = func() Files { return Disk{} }

// Disk implements Files on the operating system's file system.
type Disk struct{}

// MakeFolder implements Files.
func (Disk) MakeFolder(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return Disk{}.SyncFolder(filepath.Dir(folder))
}

// List implements Files.
func (Disk) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Read implements Files.
func (Disk) Read(path string) ([]byte, error) {
	return os.ReadFile(path) //nolint:gosec // The path lies in the data folder.
}

// Create implements Files.
func (Disk) Create(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode) //nolint:gosec // As above.
	if err != nil {
		return nil, err
	}
	return diskFile{file}, nil
}

type diskFile struct {
	*os.File
}

// Truncate implements File.
func (f diskFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	_, err := f.Seek(size, io.SeekStart)
	return err
}

// Rename implements Files.
func (Disk) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements Files.
func (Disk) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder implements Files.
func (Disk) SyncFolder(folder string) error {
	directory, err := os.Open(folder) //nolint:gosec // As above.
	if err != nil {
		return err
	}
	err = directory.Sync()
	return errors.Join(err, directory.Close())
}

// Lock implements Files.
func (Disk) Lock(path string) (Unlocker, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode) //nolint:gosec // As above.
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return diskLock{file}, nil
}

type diskLock struct {
	file *os.File
}

// Unlock implements Unlocker.
func (l diskLock) Unlock() error {
	return l.file.Close()
}
