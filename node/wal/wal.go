// Package wal stores a replica's write-ahead log, hard state, snapshots and identity in files in one data folder.
//
// The log is a sequence of segments. A segment is a sequence of checksummed frames, each with one batch. Faults are
// handled as follows:
//
//   - The last segment ends within a frame, or is zero from there on: the write was interrupted before its sync, so
//     nothing in it was acknowledged. Open drops the tail.
//   - Bytes have changed anywhere else: an acknowledged entry may be lost, so Open fails with fault.Storage. The VM has
//     to be replaced under a new identity; the other members of the group have its entries.
//   - A write fails, for example because the disk is full: the file is truncated to the part that an earlier sync covers.
//   - A sync or that truncation fails: the file is not used again, since the page cache may hold bytes that the disk has
//     lost. The next call first writes the part of the segment that an earlier sync covers to a new file, which needs space
//     for up to one segment.
//   - In both cases what failed is absent after the next successful call; only a crash before that may find it. A call that
//     fails may be repeated.
//   - The disk is full, or fails, at Open: Open only reads, and removes temporary files. The last segment is rewritten by
//     Prepare, since the page cache may hold bytes that the disk has lost. Until then the contents must not be acted on.
//   - A snapshot is written to a temporary file, synced and renamed. Open removes unfinished ones. If a snapshot is
//     corrupted later, Open uses the previous one, which is kept together with the log after it.
package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
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

	mutex sync.Mutex
	// failure is the error of every later call.
	failure  error
	segments []segment
	// file is the last segment; nil if it must be repaired before it is used, or if there is none yet.
	file File
	// segmentSize is the size of the part of the last segment that is synced, in bytes.
	segmentSize int
	// unprepared holds the last segment as it is to be written by Prepare; nil once it is.
	unprepared []byte
	// hard and the last index of each segment are those of the synced batches.
	hard      raft.HardState
	snapshots []uint64
	// abandoned is the index of a snapshot that may be on the disk although SaveSnapshot failed; 0 for none.
	abandoned uint64
}

// Open locks the data folder, creating it if needed, and reads it. The contents must not be acted on before Prepare has
// succeeded. The error is a *fault.Error of kind Storage.
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
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil, fault.New(fault.Storage, remedySettings, "data folder %s is in use: %v", options.Folder, err)
	}
	if err != nil {
		return nil, nil, log.fail("lock", err)
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

// Prepare makes everything durable that Open has read. The first call after Open does the same. After an error it may be
// called again, unless Failure returns an error. The error is a *fault.Error of kind Storage.
func (l *Log) Prepare() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.repair()
}

// Failure returns the error that every later call returns, or nil while calls may succeed.
func (l *Log) Failure() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failure
}

// Write appends the batches with one write and one sync. After an error none of them takes effect, except after a crash
// before the next successful call: then the first ones may. The call may be repeated, unless Failure returns an error.
// The error is a *fault.Error of kind Storage, or Internal if the folder has no identity.
func (l *Log) Write(batches []Batch) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.repair(); err != nil {
		return err
	}
	if l.file == nil {
		return fault.New(fault.Internal, "set the identity first", "data folder %s has no identity", l.options.Folder)
	}
	if l.segmentSize >= l.options.SegmentBytes {
		if err := l.rotate(); err != nil {
			return l.fail("start a new segment", err)
		}
	}
	data, hard, lastIndex, err := l.encode(batches)
	if err != nil {
		return l.fail("encode a batch", err)
	}
	if _, err := l.file.Write(data); err != nil {
		l.dropTail()
		return l.fail("write", err)
	}
	if err := l.file.Sync(); err != nil {
		l.closeFile()
		return l.fail("sync", err)
	}
	l.segmentSize += len(data)
	l.hard = hard
	l.segments[len(l.segments)-1].lastIndex = lastIndex
	return nil
}

// encode returns one frame for each batch, and the hard state and the last index that the segment will hold.
func (l *Log) encode(batches []Batch) (data []byte, hard raft.HardState, lastIndex uint64, err error) {
	hard, lastIndex = l.hard, l.segments[len(l.segments)-1].lastIndex
	for _, batch := range batches {
		record := &rpc.StoredBatch{Entries: raftwire.Entries(batch.Entries), ResetIndex: batch.ResetTo}
		if batch.HardState != nil {
			hard = *batch.HardState
			record.HardState = raftwire.HardState(hard)
		}
		if count := len(batch.Entries); count > 0 {
			lastIndex = max(lastIndex, batch.Entries[count-1].Index)
		}
		payload, err := proto.Marshal(record)
		if err != nil {
			return nil, hard, 0, err
		}
		data = appendFrame(data, payload)
	}
	return data, hard, lastIndex, nil
}

// dropTail removes what a failed write has left in the file. What comes before is synced, and no sync has failed, so the
// file can be used further; on a full disk there may be no space for a copy of it.
func (l *Log) dropTail() {
	if err := l.file.Truncate(int64(l.segmentSize)); err != nil {
		l.closeFile()
	}
}

// closeFile abandons the file of the last segment. An error is of no interest: what counts in the file is synced.
func (l *Log) closeFile() {
	_ = l.file.Close()
	l.file = nil
}

// repair makes the folder usable after Open or a failed call.
func (l *Log) repair() error {
	if l.failure != nil {
		return l.failure
	}
	if l.abandoned != 0 {
		if err := l.removeAbandoned(); err != nil {
			return l.fail("remove a snapshot that was not completed", err)
		}
	}
	if l.unprepared == nil {
		// After Open a snapshot may not be durable yet, so nothing is removed that it replaces.
		if err := l.prune(); err != nil {
			return l.fail("remove old snapshots and segments", err)
		}
	}
	if l.file != nil || len(l.segments) == 0 {
		return nil
	}
	name := segmentFile(l.segments[len(l.segments)-1].number)
	data := l.unprepared
	if data == nil {
		var err error
		if data, err = l.syncedPart(name); err != nil {
			return err
		}
	}
	file, err := l.replaceFile(name, data)
	if err != nil {
		return l.fail("rewrite "+name, err)
	}
	l.file, l.segmentSize, l.unprepared = file, len(data), nil
	return nil
}

// syncedPart reads the part of the last segment that is synced. If that has changed, all later calls fail.
func (l *Log) syncedPart(name string) ([]byte, error) {
	data, err := l.files.Read(l.path(name))
	if err != nil {
		return nil, l.fail("read "+name, err)
	}
	rest := data[:min(len(data), l.segmentSize)]
	for len(rest) > 0 && err == nil {
		_, rest, err = nextFrame(rest)
	}
	if err != nil || len(data) < l.segmentSize {
		l.failure = l.corruptError(name, "bytes that were synced have changed")
		return nil, l.failure
	}
	return data[:l.segmentSize], nil
}

// removeAbandoned removes a snapshot that the log knows nothing of. At the next Open it could replace the entries that
// were written after SaveSnapshot failed.
func (l *Log) removeAbandoned() error {
	if err := l.remove(snapshotFile(l.abandoned)); err != nil {
		return err
	}
	if err := l.files.SyncFolder(l.options.Folder); err != nil {
		return err
	}
	l.abandoned = 0
	return nil
}

// remove removes a file, which may be missing because an earlier call failed after it had removed it.
func (l *Log) remove(name string) error {
	if err := l.files.Remove(l.path(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// rotate starts the next segment. If that fails, the current one, which is synced, stays the last one and gets no more
// batches; the file of the next one may exist.
func (l *Log) rotate() error {
	full := l.file
	if err := l.startSegment(l.segments[len(l.segments)-1].number + 1); err != nil {
		return err
	}
	// An error is of no interest, as everything is synced.
	_ = full.Close()
	return nil
}

// startSegment writes a segment that holds only its first record. The segment stays open for appends.
func (l *Log) startSegment(number uint64) error {
	data, err := l.firstFrame(number)
	if err != nil {
		return err
	}
	file, err := l.replaceFile(segmentFile(number), data)
	if err != nil {
		return err
	}
	l.file = file
	l.segmentSize = len(data)
	l.segments = append(l.segments, segment{number: number})
	return nil
}

// firstFrame returns the frame with the first record of a segment, which holds the hard state.
func (l *Log) firstFrame(number uint64) ([]byte, error) {
	payload, err := proto.Marshal(&rpc.StoredBatch{Segment: number, HardState: raftwire.HardState(l.hard)})
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, payload), nil
}

// replaceFile atomically replaces a file: it writes and syncs a temporary file, renames it and syncs the folder. The
// file stays open. If replaceFile fails, it removes the temporary file if it can, as that takes space.
func (l *Log) replaceFile(name string, data []byte) (File, error) {
	temporary := l.path(name + temporarySuffix)
	file, err := l.files.Create(temporary)
	if err != nil {
		return nil, err
	}
	if err := l.fillAndRename(file, temporary, name, data); err != nil {
		_ = file.Close()
		_ = l.files.Remove(temporary)
		return nil, err
	}
	return file, nil
}

func (l *Log) fillAndRename(file File, temporary, name string, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := l.files.Rename(temporary, l.path(name)); err != nil {
		return err
	}
	return l.files.SyncFolder(l.options.Folder)
}

func (l *Log) fail(step string, err error) error {
	return fault.New(fault.Storage, remedyDisk, "data folder %s: %s: %v", l.options.Folder, step, err)
}

// SetIdentity stores the identity of a new data folder. Write requires it. After an error it may be called again.
func (l *Log) SetIdentity(identity Identity) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.repair(); err != nil {
		return err
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
	if err := l.startSegment(1); err != nil {
		return l.fail("store the identity", err)
	}
	return nil
}

// SaveSnapshot stores a snapshot, and removes the snapshots and segments that it and the previous one make redundant.
// The call may be repeated after an error, unless Failure returns one.
func (l *Log) SaveSnapshot(snapshot *raft.Snapshot) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.repair(); err != nil {
		return err
	}
	payload, err := proto.Marshal(raftwire.Snapshot(snapshot))
	if err != nil {
		return l.fail("store a snapshot", err)
	}
	isKnown := slices.Contains(l.snapshots, snapshot.Index)
	file, err := l.replaceFile(snapshotFile(snapshot.Index), appendFrame(nil, payload))
	if err != nil {
		if !isKnown {
			l.abandoned = snapshot.Index
		}
		return l.fail("store a snapshot", err)
	}
	// An error is of no interest, as everything is synced.
	_ = file.Close()
	if !isKnown {
		l.snapshots = append(l.snapshots, snapshot.Index)
	}
	// The snapshot is stored, so the call has succeeded. The next one prunes again, and reports an error.
	_ = l.prune()
	return nil
}

// prune removes all but the latest two snapshots, and the segments that the older of these two covers, oldest first.
func (l *Log) prune() error {
	for len(l.snapshots) > keptSnapshots {
		if err := l.remove(snapshotFile(l.snapshots[0])); err != nil {
			return err
		}
		l.snapshots = l.snapshots[1:]
	}
	if len(l.snapshots) < keptSnapshots {
		return nil
	}
	for len(l.segments) > 1 && l.segments[0].lastIndex <= l.snapshots[0] {
		if err := l.remove(segmentFile(l.segments[0].number)); err != nil {
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
