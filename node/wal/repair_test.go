package wal

import (
	"errors"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
)

// crashHard crashes the disk so that it keeps nothing but what was synced.
func (m *memoryFiles) crashHard() {
	surviving := map[string]*inode{}
	for name, file := range m.durable {
		surviving[name] = &inode{data: file.data[:file.synced:file.synced], synced: file.synced}
	}
	m.live, m.durable = surviving, maps.Clone(surviving)
	m.recover()
}

// wantEntries reopens the folder after a crash that loses every unsynced byte, and checks the last index.
func (m *memoryFiles) wantEntries(t *testing.T, last uint64) {
	t.Helper()
	m.crashHard()
	_, contents, err := openMemory(m)
	if err != nil {
		t.Fatal(err)
	}
	found := uint64(0)
	if contents.Restart.Snapshot != nil {
		found = contents.Restart.Snapshot.Index
	}
	if entries := contents.Restart.Entries; len(entries) > 0 {
		found = entries[len(entries)-1].Index
	}
	if found != last {
		t.Errorf("after the crash the log ends at %d, want %d", found, last)
	}
}

func (m *memoryFiles) wantNoTemporaryFiles(t *testing.T) {
	t.Helper()
	for name := range m.live {
		if strings.HasSuffix(name, temporarySuffix) {
			t.Errorf("%s is left behind and takes space", name)
		}
	}
}

func entry(index uint64) []Batch {
	return []Batch{{HardState: &raft.HardState{Group: 1, Term: index}, Entries: entriesFrom(index, index, 1)}}
}

func mustWrite(t *testing.T, log *Log, batches []Batch) {
	t.Helper()
	if err := log.Write(batches); err != nil {
		t.Fatal(err)
	}
}

func wantStorageError(t *testing.T, err error) {
	t.Helper()
	if !fault.Is(err, fault.Storage) || fault.Of(err).Remedy == "" {
		t.Errorf("got error %v, want fault.Storage with a remedy", err)
	}
}

// TestLog_FileIsNeverUsedAfterAFailedSync guards against acknowledging batches in a file whose earlier bytes a failed sync
// has lost, although later syncs succeed.
func TestLog_FileIsNeverUsedAfterAFailedSync(t *testing.T) {
	for name, use := range map[string]func(*Log) error{
		"write":    func(log *Log) error { return log.Write(entry(2)) },
		"snapshot": func(log *Log) error { return log.SaveSnapshot(&raft.Snapshot{Index: 1, Term: 1}) },
		"prepare":  func(log *Log) error { return log.Prepare() },
	} {
		t.Run(name, func(t *testing.T) {
			files, log := newMemoryLog(t)
			mustWrite(t, log, entry(1))
			abandoned := files.live["/data/"+segmentFile(1)]
			files.failAfter = 2
			wantStorageError(t, log.Write(entry(2)))
			size := len(abandoned.data)
			files.recover()
			if err := use(log); err != nil {
				t.Fatal(err)
			}
			mustWrite(t, log, entry(2))
			mustWrite(t, log, entry(3))
			if len(abandoned.data) != size || files.live["/data/"+segmentFile(1)] == abandoned {
				t.Error("the file is used after its sync failed")
			}
			files.wantEntries(t, 3)
		})
	}
}

// TestLog_WritesAgainAfterTheDiskWasFull guards against a log that stays unusable after one failed write.
func TestLog_WritesAgainAfterTheDiskWasFull(t *testing.T) {
	files, log := newMemoryLog(t)
	mustWrite(t, log, entry(1))
	files.isFull = true
	for range 3 {
		wantStorageError(t, log.Write(entry(2)))
		wantStorageError(t, log.SaveSnapshot(&raft.Snapshot{Index: 1, Term: 1}))
		files.wantNoTemporaryFiles(t)
	}
	if log.hard.Term != 1 || log.segments[0].lastIndex != 1 {
		t.Errorf("the log takes a failed batch for written: hard state %+v, segments %+v", log.hard, log.segments)
	}
	files.isFull = false
	mustWrite(t, log, entry(2))
	files.wantEntries(t, 2)
}

// TestLog_DropsABatchWhoseSyncFailed guards against a batch that was refused and not repeated, and appears again later.
func TestLog_DropsABatchWhoseSyncFailed(t *testing.T) {
	files, log := newMemoryLog(t)
	mustWrite(t, log, entry(1))
	files.failAfter = 2
	wantStorageError(t, log.Write(entry(2)))
	files.recover()
	if err := log.Prepare(); err != nil {
		t.Fatal(err)
	}
	_, contents, err := openMemory(files)
	if err != nil || len(contents.Restart.Entries) != 1 || contents.Restart.HardState.Term != 1 {
		t.Errorf("found %+v, error %v; want the first batch only", contents, err)
	}
}

// TestLog_RotatesAgainAfterAFailure lets each operation of a rotation fail. It guards against a segment that is written to
// although its successor exists.
func TestLog_RotatesAgainAfterAFailure(t *testing.T) {
	for failAt := 1; failAt <= 5; failAt++ {
		for _, tookEffect := range []bool{false, true} {
			files, log := newMemoryLog(t)
			index := uint64(0)
			for log.segmentSize < testSegmentBytes {
				index++
				mustWrite(t, log, entry(index))
			}
			if tookEffect {
				files.random = rand.New(alwaysZero{})
			}
			files.failAfter = failAt
			wantStorageError(t, log.Write(entry(index+1)))
			files.recover()
			mustWrite(t, log, entry(index+1))
			mustWrite(t, log, entry(index+2))
			if got := len(log.segments); got != 2 {
				t.Errorf("failure at operation %d: got %d segments, want 2", failAt, got)
			}
			files.wantNoTemporaryFiles(t)
			files.wantEntries(t, index+2)
		}
	}
}

// alwaysZero is a random source that makes every failing operation take effect.
type alwaysZero struct{}

func (alwaysZero) Uint64() uint64 { return 0 }

// TestLog_DropsASnapshotThatFailed guards against a snapshot that was refused and then replaces entries that were written
// after it.
func TestLog_DropsASnapshotThatFailed(t *testing.T) {
	for failAt := 1; failAt <= 5; failAt++ {
		files, log := newMemoryLog(t)
		mustWrite(t, log, entry(1))
		files.random = rand.New(alwaysZero{})
		files.failAfter = failAt
		wantStorageError(t, log.SaveSnapshot(&raft.Snapshot{Index: 9, Term: 9}))
		files.recover()
		mustWrite(t, log, entry(2))
		files.wantNoTemporaryFiles(t)
		files.wantEntries(t, 2)
	}
}

// TestLog_PrunesAgainAfterAFailure guards against a log that stays unusable because a file that it wants to
// remove is already gone.
func TestLog_PrunesAgainAfterAFailure(t *testing.T) {
	for _, tookEffect := range []bool{false, true} {
		files, log := newMemoryLog(t)
		for index := uint64(1); index <= 30; index++ {
			mustWrite(t, log, entry(index))
		}
		for _, index := range []uint64{10, 20} {
			if err := log.SaveSnapshot(&raft.Snapshot{Index: index, Term: index}); err != nil {
				t.Fatal(err)
			}
		}
		if tookEffect {
			files.random = rand.New(alwaysZero{})
		}
		// The first removal follows the five operations that store the snapshot.
		files.failAfter = 6
		if err := log.SaveSnapshot(&raft.Snapshot{Index: 30, Term: 30}); err != nil {
			t.Errorf("the snapshot is stored, but the call fails: %v", err)
		}
		files.recover()
		files.failAfter = 1
		wantStorageError(t, log.Prepare())
		files.recover()
		mustWrite(t, log, entry(31))
		if err := log.SaveSnapshot(&raft.Snapshot{Index: 30, Term: 30}); err != nil {
			t.Fatal(err)
		}
		names, _ := files.List("/data")
		if got := fileNumbers(names, snapshotSuffix); len(got) != keptSnapshots || got[0] != 20 {
			t.Errorf("the snapshots %v are left, want 20 and 30", got)
		}
		files.wantEntries(t, 31)
	}
}

// TestLog_OpensOnAFullDisk guards against a VM that can't start because the last segment can't be rewritten, and against
// taking what a failed sync left in the page cache for durable.
func TestLog_OpensOnAFullDisk(t *testing.T) {
	files, log := newMemoryLog(t)
	mustWrite(t, log, entry(1))
	files.failAfter = 2
	wantStorageError(t, log.Write(entry(2)))
	files.recover()
	files.isFull = true
	log, contents, err := openMemory(files)
	if err != nil {
		t.Fatalf("Open on a full disk: %v", err)
	}
	if len(contents.Restart.Entries) != 2 {
		t.Fatalf("found %+v, want both entries", contents.Restart)
	}
	wantStorageError(t, log.Prepare())
	wantStorageError(t, log.Write(entry(3)))
	files.wantNoTemporaryFiles(t)
	// The page cache loses what was never synced. What Open returned must become durable nevertheless.
	last := files.live["/data/"+segmentFile(1)]
	last.data = last.data[:last.synced]
	files.isFull = false
	if err := log.Prepare(); err != nil {
		t.Fatal(err)
	}
	files.wantEntries(t, 2)
}

// TestLog_FirstStartWorksAfterOneOnAFullDisk lets each operation of a first start fail. It guards against leftovers that
// make all later starts fail.
func TestLog_FirstStartWorksAfterOneOnAFullDisk(t *testing.T) {
	for failAt := 1; failAt <= 12; failAt++ {
		for _, isCrash := range []bool{false, true} {
			files := newMemoryFiles()
			files.failAfter = failAt
			if log, _, err := openMemory(files); err == nil {
				wantStorageError(t, log.SetIdentity(Identity{Name: "control-1", ID: 7}))
			}
			files.recover()
			if isCrash {
				files.crashHard()
			}
			log, contents, err := openMemory(files)
			if err != nil {
				t.Fatalf("failure at operation %d: the second start fails: %v", failAt, err)
			}
			if contents.Identity == nil {
				if err := log.SetIdentity(Identity{Name: "control-1", ID: 8}); err != nil {
					t.Fatal(err)
				}
			}
			mustWrite(t, log, entry(1))
			files.wantEntries(t, 1)
		}
	}
}

// TestLog_RefusesARepairFromChangedBytes guards against a repair that makes a corruption permanent and acknowledges batches
// after it.
func TestLog_RefusesARepairFromChangedBytes(t *testing.T) {
	files, log := newMemoryLog(t)
	mustWrite(t, log, entry(1))
	files.failAfter = 1
	wantStorageError(t, log.Write(entry(2)))
	files.recover()
	if log.Failure() != nil {
		t.Errorf("a failed write counts as permanent: %v", log.Failure())
	}
	files.live["/data/"+segmentFile(1)].data[20] ^= 1
	for range 2 {
		err := log.Write(entry(2))
		if !fault.Is(err, fault.Storage) || fault.Of(err).Remedy != remedyReplace {
			t.Errorf("got error %v, want fault.Storage with the remedy to replace the VM", err)
		}
	}
	if log.Failure() == nil {
		t.Error("a corruption does not count as permanent")
	}
}

// lockless is a disk that can't create the lock file.
type lockless struct{ *memoryFiles }

func (lockless) Lock(string) (Unlocker, error) { return nil, syscall.ENOSPC }

// TestLog_LockOnAFullDiskNamesTheDisk guards against an error that says that another process uses the folder.
func TestLog_LockOnAFullDiskNamesTheDisk(t *testing.T) {
	_, _, err := Open(Options{Folder: "/data", Files: lockless{newMemoryFiles()}})
	if !fault.Is(err, fault.Storage) || fault.Of(err).Remedy != remedyDisk {
		t.Errorf("got error %v, want fault.Storage with the remedy for disks", err)
	}
}

// TestDisk_RemoveOfAMissingFile checks the error by which a repeated prune recognises a file that is already gone.
func TestDisk_RemoveOfAMissingFile(t *testing.T) {
	log := &Log{files: Disk{}, options: Options{Folder: t.TempDir()}}
	if err := (Disk{}).Remove(filepath.Join(log.options.Folder, "missing")); err == nil || errors.Is(err, syscall.EIO) {
		t.Errorf("got error %v", err)
	}
	if err := log.remove("missing"); err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

// TestLog_DiskWithLittleSpaceTakesABatchThatFits guards against a log that stays unusable on a disk that has space for the
// next batch, but not for a copy of the whole segment.
func TestLog_DiskWithLittleSpaceTakesABatchThatFits(t *testing.T) {
	files, log := newMemoryLog(t)
	log.options.SegmentBytes = 1 << 20
	var state model
	write := func(batch Batch) error {
		err := log.Write([]Batch{batch})
		if err == nil {
			state = state.apply(batch)
		}
		return err
	}
	hard := raft.HardState{Group: 1, Term: 1}
	for index := uint64(1); index <= 40; index++ {
		if err := write(Batch{HardState: &hard, Entries: entriesFrom(index, 1, 1)}); err != nil {
			t.Fatal(err)
		}
	}
	files.capacity = files.used() + 200
	large := raft.Entry{Index: 41, Term: 1, Data: make([]byte, 1000)}
	if err := write(Batch{Entries: []raft.Entry{large}}); !fault.Is(err, fault.Storage) {
		t.Fatalf("write of a batch without space: got error %v, want fault.Storage", err)
	}
	if err := write(Batch{Entries: entriesFrom(41, 1, 1)}); err != nil {
		t.Fatalf("write of a batch that fits: %v", err)
	}
	files.capacity = 0
	_, contents, err := openMemory(files)
	if err != nil || !state.equals(contents) {
		t.Errorf("found %+v, error %v, want %+v", contents, err, state)
	}
}
