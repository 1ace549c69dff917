// Package wal stores a replica's write-ahead log, hard state, snapshots and identity in files in one data folder.
//
// The log is a sequence of segments. A segment is a sequence of checksummed frames, each with one batch. Faults are
// handled as follows:
//
//   - The last segment ends within a frame, or is zero from there on: the write was interrupted before its sync, so
//     nothing in it was acknowledged. Open drops the tail.
//   - Bytes have changed anywhere else: an acknowledged entry may be lost, so Open fails with fault.Storage. The VM has
//     to be replaced under a new identity; the other members of the group have its entries.
//   - A write or sync fails, for example because the disk is full: the file is not used again, and every later call
//     fails. Open rewrites the last segment before it is used, since the page cache may hold bytes that the disk has
//     lost.
//   - A snapshot is written to a temporary file, synced and renamed. Open removes unfinished ones. If a snapshot is
//     corrupted later, Open uses the previous one, which is kept together with the log after it.
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

// DefaultSegmentBytes is the default size from which the log continues in a new segment.
const DefaultSegmentBytes = 16 << 20

const (
	identityFile    = "identity"
	lockFile        = "lock"
	temporarySuffix = ".tmp"
	segmentSuffix   = ".wal"
	snapshotSuffix  = ".snapshot"
	keptSnapshots   = 2
	remedyReplace   = "replace this VM under a new identity: empty its data folder and start it again"
	remedyDisk      = "repair or replace the disk; if its contents can't be trusted, " + remedyReplace
	remedySettings  = "give each control VM a data folder of its own"
)

// Options are the parameters of Open.
type Options struct {
	Folder string
	// Files is the result of NewFiles if nil.
	Files Files
	// SegmentBytes is DefaultSegmentBytes if 0.
	SegmentBytes int
}

// Identity identifies a data folder.
type Identity struct {
	// Name is the node id of the VM.
	Name string
	ID   raft.ID
}

// Contents is the state that Open read from a data folder.
type Contents struct {
	// Identity is nil in a new folder.
	Identity *Identity
	Restart  raft.Restart
	// TornBytes is the length of the dropped tail of the log, in bytes.
	TornBytes int
	// IgnoredSnapshots are the file names of snapshots that could not be read.
	IgnoredSnapshots []string
}

// Batch is one record of the log. Its parts take effect together or not at all.
type Batch struct {
	HardState *raft.HardState
	Entries   []raft.Entry
	// ResetTo drops all earlier entries, which the snapshot of this index replaces; 0 for none.
	ResetTo uint64
}

// segment is one file of the log.
type segment struct {
	number uint64
	// lastIndex is the highest index of an entry in the segment.
	lastIndex uint64
}

// Log is an open data folder. Its methods are safe for concurrent use.
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

// Open locks the data folder, creating it if needed, reads it and prepares it for writing. The error is a *fault.Error
// of kind Storage.
func Open(options Options) (*Log, *Contents, error) {
	if options.Files == nil {
		options.Files = NewFiles()
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
	contents, err := log.load()
	if err != nil {
		_ = lock.Unlock()
		return nil, nil, err
	}
	return log, contents, nil
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

// Write appends the batches with one write and one sync. After an error all later calls fail. The error is a
// *fault.Error of kind Storage, or Internal if the folder has no identity.
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
			return l.fail("start a new segment", err)
		}
	}
	data, err := l.encode(batches)
	if err != nil {
		return l.fail("encode a batch", err)
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

// encode returns one frame for each batch, and records the hard state and the last index that the segment will hold.
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

// rotate closes the current segment, which has been synced, and starts the next one.
func (l *Log) rotate() error {
	if err := l.file.Close(); err != nil {
		return err
	}
	l.file = nil
	return l.startSegment(l.segments[len(l.segments)-1].number+1, nil)
}

// startSegment writes a segment that holds a first record with the hard state, followed by the frames. The segment
// stays open for appends.
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

// replaceFile atomically replaces a file: it writes and syncs a temporary file, renames it and syncs the folder. The
// file stays open.
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

// fail records the error and returns it. Every later call returns the same error.
func (l *Log) fail(step string, err error) error {
	l.failure = fault.New(fault.Storage, remedyDisk, "data folder %s: %s: %v", l.options.Folder, step, err)
	return l.failure
}

// SetIdentity stores the identity of a new data folder. Write requires it.
func (l *Log) SetIdentity(identity Identity) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	payload, err := proto.Marshal(&rpc.StoredIdentity{Name: identity.Name, Replica: uint64(identity.ID)})
	if err != nil {
		return l.fail("store the identity", err)
	}
	file, err := l.replaceFile(identityFile, appendFrame(nil, payload))
	if err != nil {
		return l.fail("store the identity", err)
	}
	if err := file.Close(); err != nil {
		return l.fail("store the identity", err)
	}
	if err := l.startSegment(1, nil); err != nil {
		return l.fail("store the identity", err)
	}
	return nil
}

// SaveSnapshot stores a snapshot, and removes the snapshots and segments that it and the previous one make redundant.
func (l *Log) SaveSnapshot(snapshot *raft.Snapshot) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return l.failure
	}
	payload, err := proto.Marshal(raftwire.Snapshot(snapshot))
	if err != nil {
		return l.fail("store a snapshot", err)
	}
	file, err := l.replaceFile(snapshotFile(snapshot.Index), appendFrame(nil, payload))
	if err != nil {
		return l.fail("store a snapshot", err)
	}
	if err := file.Close(); err != nil {
		return l.fail("store a snapshot", err)
	}
	l.snapshots = append(l.snapshots, snapshot.Index)
	if err := l.prune(); err != nil {
		return l.fail("remove old snapshots and segments", err)
	}
	return nil
}

// prune removes all but the latest two snapshots, and the segments that the older of these two covers, oldest first.
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

// Close closes the current segment and unlocks the folder. Later calls fail.
func (l *Log) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure == nil {
		l.failure = fault.New(fault.Storage, "restart the process", "data folder %s is closed", l.options.Folder)
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
