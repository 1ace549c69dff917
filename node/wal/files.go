package wal

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

// Files are the file operations that the log needs. Tests inject faults and crashes here.
type Files interface {
	// MakeFolder creates the folder and its parents and syncs the parent.
	MakeFolder(folder string) error
	// List returns the names of the files in the folder, in order.
	List(folder string) ([]string, error)
	Read(path string) ([]byte, error)
	// Create makes an empty file or empties an existing one.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes created, renamed and removed names last.
	SyncFolder(folder string) error
	// Lock keeps other processes out until Unlock.
	Lock(path string) (Unlocker, error)
}

// File is an open file that is written at its end.
type File interface {
	Write(data []byte) (int, error)
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

// Disk is the operating system's file system.
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
	found, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(found))
	for _, one := range found {
		names = append(names, one.Name())
	}
	return names, nil
}

// Read implements Files.
func (Disk) Read(path string) ([]byte, error) {
	return os.ReadFile(path) //nolint:gosec // The path lies in the data folder.
}

// Create implements Files.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode) //nolint:gosec // As above.
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
	opened, err := os.Open(folder) //nolint:gosec // As above.
	if err != nil {
		return err
	}
	err = opened.Sync()
	return errors.Join(err, opened.Close())
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
