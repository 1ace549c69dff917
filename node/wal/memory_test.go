package wal

import (
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
)

var errInjected = errors.New("injected fault")

// memoryFiles implements Files in memory. It can make operations fail, and simulate a crash that loses unsynced data
// completely or from some byte on. Bytes that a failed sync did not make durable stay readable but are never synced
// later, as in a page cache that takes them for clean.
type memoryFiles struct {
	live    map[string]*inode
	durable map[string]*inode
	// failAfter counts down with each operation. The operation at which it reaches 0 fails, and so do all later ones.
	failAfter int
	failed    bool
	// isFull makes all writes fail. With capacity, those fail that would make the files larger than that in all.
	isFull   bool
	capacity int
	// random, if set, lets half of the failing operations take effect nevertheless.
	random *rand.Rand
}

type inode struct {
	data   []byte
	synced int
	// isLost is set when a sync has failed: later ones succeed without an effect.
	isLost bool
}

func newMemoryFiles() *memoryFiles {
	return &memoryFiles{live: map[string]*inode{}, durable: map[string]*inode{}}
}

// injectFault counts an operation and returns an error if it is to fail.
func (m *memoryFiles) injectFault() error {
	if m.failAfter > 0 {
		m.failAfter--
		m.failed = m.failed || m.failAfter == 0
	}
	if m.failed {
		return errInjected
	}
	return nil
}

// tookEffect reports whether an operation that failed took effect.
func (m *memoryFiles) tookEffect() bool {
	return m.random != nil && m.random.IntN(2) == 0
}

// crash drops unsynced data. Created, renamed and removed names may be durable without a sync, and unsynced bytes may
// be cut off or zero.
func (m *memoryFiles) crash(random *rand.Rand) {
	names := m.durable
	if random.IntN(2) == 0 {
		names = m.live
	}
	surviving := map[string]*inode{}
	for name, file := range names {
		kept := file.synced + random.IntN(len(file.data)-file.synced+1)
		data := slices.Clone(file.data[:kept])
		if random.IntN(3) == 0 {
			data = append(data, make([]byte, len(file.data)-kept)...)
		}
		surviving[name] = &inode{data: data, synced: len(data)}
	}
	m.live = surviving
	m.durable = maps.Clone(surviving)
	m.recover()
}

// recover ends the injected faults.
func (m *memoryFiles) recover() {
	m.failed, m.failAfter, m.isFull = false, 0, false
}

func (m *memoryFiles) MakeFolder(string) error { return m.injectFault() }

func (m *memoryFiles) List(folder string) ([]string, error) {
	var names []string
	for _, path := range slices.Sorted(maps.Keys(m.live)) {
		if name, inside := strings.CutPrefix(path, folder+"/"); inside {
			names = append(names, name)
		}
	}
	return names, m.injectFault()
}

func (m *memoryFiles) Read(path string) ([]byte, error) {
	return slices.Clone(m.live[filepath.Clean(path)].data), m.injectFault()
}

func (m *memoryFiles) Create(path string) (File, error) {
	if err := m.injectFault(); err != nil {
		return nil, err
	}
	file := &inode{}
	m.live[path] = file
	return &memoryFile{m, file}, nil
}

func (m *memoryFiles) Rename(from, to string) error {
	err := m.injectFault()
	if err == nil || m.tookEffect() {
		m.live[to] = m.live[from]
		delete(m.live, from)
	}
	return err
}

func (m *memoryFiles) Remove(path string) error {
	if m.live[path] == nil {
		return os.ErrNotExist
	}
	err := m.injectFault()
	if err == nil || m.tookEffect() {
		delete(m.live, path)
	}
	return err
}

func (m *memoryFiles) SyncFolder(string) error {
	err := m.injectFault()
	if err == nil || m.tookEffect() {
		m.durable = maps.Clone(m.live)
	}
	return err
}

// used returns the size of all files, in bytes.
func (m *memoryFiles) used() int {
	used := 0
	for _, file := range m.live {
		used += len(file.data)
	}
	return used
}

func (m *memoryFiles) Lock(string) (Unlocker, error) { return m, nil }

func (m *memoryFiles) Unlock() error { return nil }

type memoryFile struct {
	disk *memoryFiles
	file *inode
}

// Write stores half of the data if it fails, like a full disk.
func (f *memoryFile) Write(data []byte) (int, error) {
	err := f.disk.injectFault()
	if err == nil && (f.disk.isFull || f.disk.capacity > 0 && f.disk.used()+len(data) > f.disk.capacity) {
		err = syscall.ENOSPC
	}
	if err != nil {
		f.file.data = append(f.file.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	f.file.data = append(f.file.data, data...)
	return len(data), nil
}

// Truncate panics if it would drop synced bytes.
func (f *memoryFile) Truncate(size int64) error {
	if int(size) < f.file.synced {
		panic("synced bytes are truncated")
	}
	err := f.disk.injectFault()
	if err == nil || f.disk.tookEffect() {
		f.file.data = f.file.data[:size]
	}
	return err
}

func (f *memoryFile) Sync() error {
	err := f.disk.injectFault()
	f.file.isLost = f.file.isLost || err != nil && !f.disk.tookEffect()
	if !f.file.isLost {
		f.file.synced = len(f.file.data)
	}
	return err
}

func (f *memoryFile) Close() error { return nil }
