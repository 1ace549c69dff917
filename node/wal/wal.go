// Package wal keeps a replica's log, hard state, snapshots and identity in files under one data folder.
//
// The log is a sequence of segments, each a sequence of checksummed frames, each of them one batch that was synced
// whole. What can go wrong has these answers:
//
//   - The file ends within the last frame, or is zero from there on: the write was cut before its sync, nothing in it
//     was acknowledged, and the tail is dropped.
//   - Bytes changed anywhere else: Open refuses with fault.Storage, as an acknowledged entry may be gone. The VM is
//     replaced under a new identity; the group holds its entries.
//   - A write or sync fails, also for a full disk: the file is not used again, and every later call fails. At the next
//     start the last segment is written anew before it is trusted, since memory may show bytes that the disk lost.
//   - A snapshot is written beside its place, synced and renamed. Half of one is removed at the next start. One that is
//     damaged later gives way to the previous one, which is kept with the log behind it.
package wal

import (
	"fmt"
	"path/filepath"
	"sync"

	"google.golang.org/protobuf/proto"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/raftwire"
	"flamingohall.example/node/rpc"
)

// DefaultSegmentBytes is the size from which a segment is closed.
const DefaultSegmentBytes = 16 << 20

const (
	identityFile    = "identity"
	lockFile        = "lock"
	temporarySuffix = ".tmp"
	segmentSuffix   = ".wal"
	snapshotSuffix  = ".snapshot"
	keptSnapshots   = 2
	remedyReplace   = "replace this VM under a new identity: empty its data folder and start it again"
	remedyDisk      = "mend or replace the disk; if its contents are in doubt, " + remedyReplace
	remedySettings  = "give each control VM a data folder of its own"
)

// Options say where the log lives.
type Options struct {
	Folder string
	// Files is the operating system's when nil.
	Files Files
	// SegmentBytes is DefaultSegmentBytes when 0.
	SegmentBytes int
}

// Identity names a data folder.
type Identity struct {
	// Name is the node id of the VM.
	Name string
	ID   raft.ID
}

// Contents is what a data folder held.
type Contents struct {
	// Identity is nil in a new folder.
	Identity *Identity
	Restart  raft.Restart
	// TornBytes is the length of a tail that was dropped.
	TornBytes int
	// IgnoredSnapshots are the names of snapshots that could not be used.
	IgnoredSnapshots []string
}

// Batch is what is written and synced together.
type Batch struct {
	HardState *raft.HardState
	Entries   []raft.Entry
	// ResetTo drops everything stored before in favour of the snapshot of this index; 0 for none.
	ResetTo uint64
}

// segment is one file of the log.
type segment struct {
	number uint64
	// lastIndex is the highest index of an entry in it.
	lastIndex uint64
}

// Log is the open data folder. Its methods are safe for concurrent use.
type Log struct {
	options Options
	files   Files
	lock    Unlocker

	mutex       sync.Mutex
	failure     error
	segments    []segment
	file        File
	segmentSize int
	hard        raft.HardState
	snapshots   []uint64
}

// Open reads the data folder and makes it ready for writing. The error is a *fault.Error of kind Storage.
func Open(options Options) (*Log, *Contents, error) {
	if options.Files == nil {
		options.Files = Disk{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	log := &Log{options: options, files: options.Files}
	if err := log.files.MakeFolder(options.Folder); err != nil {
		return nil, nil, fault.New(fault.Storage, remedyDisk, "data folder %s: %v", options.Folder, err)
	}
	lock, err := log.files.Lock(log.path(lockFile))
	if err != nil {
		return nil, nil, fault.New(fault.Storage, remedySettings, "data folder %s is in use: %v", options.Folder, err)
	}
	log.lock = lock
	found, err := log.load()
	if err != nil {
		_ = lock.Unlock()
		return nil, nil, err
	}
	return log, found, nil
}

func (l *Log) path(name string) string {
	return filepath.Join(l.options.Folder, name)
}

func segmentFile(number uint64) string {
	return fmt.Sprintf("%016d%s", number, segmentSuffix)
}

func snapshotFile(index uint64) string {
	return fmt.Sprintf("%016d%s", index, snapshotSuffix)
}

// Write appends the batches with one write and one sync. After an error the log is of no more use.
func (l *Log) Write(batches []Batch) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if l.file == nil {
		return fault.New(fault.Internal, "set the identity first", "data folder %s has no identity", l.options.Folder)
	}
	if l.segmentSize >= l.options.SegmentBytes {
		if err := l.rotate(); err != nil {
			return l.fail("new segment", err)
		}
	}
	data, err := l.encode(batches)
	if err != nil {
		return l.fail("encode", err)
	}
	if _, err := l.file.Write(data); err != nil {
		return l.fail("write", err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", err)
	}
	l.segmentSize += len(data)
	return nil
}

// encode makes one frame of the batches, and notes what the segment then holds.
func (l *Log) encode(batches []Batch) ([]byte, error) {
	var data []byte
	for _, batch := range batches {
		record := &rpc.StoredBatch{Entries: raftwire.Entries(batch.Entries), ResetIndex: batch.ResetTo}
		if batch.HardState != nil {
			l.hard = *batch.HardState
			record.HardState = raftwire.HardState(l.hard)
		}
		if count := len(batch.Entries); count > 0 {
			current := &l.segments[len(l.segments)-1]
			current.lastIndex = max(current.lastIndex, batch.Entries[count-1].Index)
		}
		payload, err := proto.Marshal(record)
		if err != nil {
			return nil, err
		}
		data = appendFrame(data, payload)
	}
	return data, nil
}

// rotate closes the segment, which is synced, and begins the next one.
func (l *Log) rotate() error {
	if err := l.file.Close(); err != nil {
		return err
	}
	l.file = nil
	return l.startSegment(l.segments[len(l.segments)-1].number+1, nil)
}

// startSegment writes a segment with the frames given behind its first record, and opens it for more.
func (l *Log) startSegment(number uint64, frames []byte) error {
	first := &rpc.StoredBatch{Segment: number, HardState: raftwire.HardState(l.hard)}
	payload, err := proto.Marshal(first)
	if err != nil {
		return err
	}
	data := append(appendFrame(nil, payload), frames...)
	name := segmentFile(number)
	file, err := l.replaceFile(name, data)
	if err != nil {
		return err
	}
	l.file = file
	l.segmentSize = len(data)
	l.segments = append(l.segments, segment{number: number})
	return nil
}

// replaceFile writes a file beside its place, syncs it, renames it and syncs the folder. The file stays open.
func (l *Log) replaceFile(name string, data []byte) (File, error) {
	temporary := l.path(name + temporarySuffix)
	file, err := l.files.Create(temporary)
	if err != nil {
		return nil, err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return nil, err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return nil, err
	}
	if err := l.files.Rename(temporary, l.path(name)); err != nil {
		_ = file.Close()
		return nil, err
	}
	if err := l.files.SyncFolder(l.options.Folder); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// fail makes every later call return the same error.
func (l *Log) fail(step string, err error) error {
	l.failure = fault.New(fault.Storage, remedyDisk, "data folder %s: %s: %v", l.options.Folder, step, err)
	return l.failure
}

// SetIdentity names a new data folder, which can be written from then on.
func (l *Log) SetIdentity(identity Identity) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	payload, err := proto.Marshal(&rpc.StoredIdentity{Name: identity.Name, Replica: uint64(identity.ID)})
	if err != nil {
		return l.fail("identity", err)
	}
	file, err := l.replaceFile(identityFile, appendFrame(nil, payload))
	if err != nil {
		return l.fail("identity", err)
	}
	if err := file.Close(); err != nil {
		return l.fail("identity", err)
	}
	if err := l.startSegment(1, nil); err != nil {
		return l.fail("identity", err)
	}
	return nil
}

// SaveSnapshot stores a snapshot and removes what it and its predecessor make needless.
func (l *Log) SaveSnapshot(snapshot *raft.Snapshot) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	payload, err := proto.Marshal(raftwire.Snapshot(snapshot))
	if err != nil {
		return l.fail("snapshot", err)
	}
	file, err := l.replaceFile(snapshotFile(snapshot.Index), appendFrame(nil, payload))
	if err != nil {
		return l.fail("snapshot", err)
	}
	if err := file.Close(); err != nil {
		return l.fail("snapshot", err)
	}
	l.snapshots = append(l.snapshots, snapshot.Index)
	if err := l.prune(); err != nil {
		return l.fail("remove", err)
	}
	return nil
}

// prune removes all snapshots but the last two, and the segments that the older of these covers, oldest first.
func (l *Log) prune() error {
	for len(l.snapshots) > keptSnapshots {
		if err := l.files.Remove(l.path(snapshotFile(l.snapshots[0]))); err != nil {
			return err
		}
		l.snapshots = l.snapshots[1:]
	}
	if len(l.snapshots) < keptSnapshots {
		return nil
	}
	for len(l.segments) > 1 && l.segments[0].lastIndex <= l.snapshots[0] {
		if err := l.files.Remove(l.path(segmentFile(l.segments[0].number))); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Close releases the folder.
func (l *Log) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure == nil {
		l.failure = fault.New(fault.Storage, "start the process again", "data folder %s is closed", l.options.Folder)
	}
	var err error
	if l.file != nil {
		err = l.file.Close()
		l.file = nil
	}
	if unlockErr := l.lock.Unlock(); err == nil {
		err = unlockErr
	}
	return err
}
