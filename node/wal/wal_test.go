package wal

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
)

func TestMain(m *testing.M) {
	flag.Parse()
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == "rapid.seed" })
	if !isSet {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

// model is what the log must hold.
type model struct {
	hard     raft.HardState
	snapshot uint64
	entries  []raft.Entry
}

func (m model) last() uint64 {
	return m.snapshot + uint64(len(m.entries))
}

func (m model) apply(batch Batch) model {
	if batch.HardState != nil {
		m.hard = *batch.HardState
	}
	if batch.ResetTo != 0 {
		m.snapshot, m.entries = batch.ResetTo, nil
	}
	if len(batch.Entries) > 0 {
		keep := batch.Entries[0].Index - m.snapshot - 1
		m.entries = append(slices.Clone(m.entries[:keep]), batch.Entries...)
	}
	return m
}

// equals compares what was found. An older snapshot with the log behind it stands for a newer one.
func (m model) equals(found *Contents) bool {
	entries := found.Restart.Entries
	base := uint64(0)
	if found.Restart.Snapshot != nil {
		base = found.Restart.Snapshot.Index
	}
	if base > m.snapshot || base+uint64(len(entries)) != m.last() || found.Restart.HardState != m.hard {
		return false
	}
	tail := entries[m.snapshot-base:]
	return len(tail) == 0 && len(m.entries) == 0 || reflect.DeepEqual(tail, m.entries)
}

func entriesFrom(index, term uint64, count int) []raft.Entry {
	entries := make([]raft.Entry, 0, count)
	for i := range uint64(count) {
		entries = append(entries, raft.Entry{Index: index + i, Term: term, Data: fmt.Appendf(nil, "entry %d", index+i)})
	}
	return entries
}

const testSegmentBytes = 300

func openMemory(files *memoryFiles) (*Log, *Contents, error) {
	return Open(Options{Folder: "/data", Files: files, SegmentBytes: testSegmentBytes})
}

// newMemoryLog opens a new data folder in memory.
func newMemoryLog(t interface{ Fatal(...any) }) (*memoryFiles, *Log) {
	files := newMemoryFiles()
	log, _, err := openMemory(files)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.SetIdentity(Identity{Name: "control-1", ID: 7}); err != nil {
		t.Fatal(err)
	}
	return files, log
}

// TestLog_KeepsWhatWasSynced runs histories of writes, snapshots, failed operations, full disks, crashes that lose or
// tear what was not synced, and restarts: each restart finds all that was acknowledged, and nothing that was not begun.
func TestLog_KeepsWhatWasSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		files, log := newMemoryLog(t)
		var held model
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if random.IntN(4) == 0 {
				files.failAfter = 1 + random.IntN(8)
			}
			var possible []model
			var err error
			held, possible, err = randomStep(log, held, random)
			if err == nil && random.IntN(10) > 0 {
				continue
			}
			if err != nil && !fault.Is(err, fault.Storage) {
				t.Fatalf("untyped error %v", err)
			}
			files.crash(random)
			held, log = reopen(t, files, append(possible, held))
		}
	})
}

// randomStep carries out one operation and returns what the log holds then. After an error it holds that or one of
// the possible states.
func randomStep(log *Log, held model, random *rand.Rand) (next model, possible []model, err error) {
	term := held.hard.Term + uint64(random.IntN(2))
	if random.IntN(4) == 0 && len(held.entries) > 0 {
		index := held.snapshot + 1 + uint64(random.IntN(len(held.entries)))
		next = held
		next.snapshot, next.entries = index, held.entries[index-held.snapshot:]
		snapshot := &raft.Snapshot{Index: index, Term: held.entries[index-held.snapshot-1].Term, Data: []byte("state")}
		return next, []model{held}, log.SaveSnapshot(snapshot)
	}
	if random.IntN(8) == 0 {
		return installSnapshot(log, held, term)
	}
	var batches []Batch
	next = held
	for range 1 + random.IntN(3) {
		from := next.snapshot + 1 + uint64(random.IntN(len(next.entries)+1))
		batch := Batch{
			HardState: &raft.HardState{Group: 1, Term: term, Vote: raft.ID(random.IntN(3))},
			Entries:   entriesFrom(from, term, random.IntN(4)),
		}
		batches = append(batches, batch)
		possible = append(possible, next)
		next = next.apply(batch)
	}
	return next, possible, log.Write(batches)
}

// installSnapshot puts a snapshot in the place of the whole log, as a follower that lags does.
func installSnapshot(log *Log, held model, term uint64) (next model, possible []model, err error) {
	index := held.last() + 5
	snapshot := &raft.Snapshot{Index: index, Term: term, Data: []byte("state")}
	saved := model{hard: held.hard, snapshot: index}
	if err := log.SaveSnapshot(snapshot); err != nil {
		return saved, []model{held}, err
	}
	hard := held.hard
	hard.Term = term
	batch := Batch{HardState: &hard, ResetTo: index}
	return saved.apply(batch), []model{saved}, log.Write([]Batch{batch})
}

func reopen(t *rapid.T, files *memoryFiles, possible []model) (model, *Log) {
	log, found, err := openMemory(files)
	if err != nil {
		t.Fatalf("reopen: %v", err)
	}
	if found.Identity == nil || found.Identity.ID != 7 {
		t.Fatalf("identity %v", found.Identity)
	}
	for _, one := range slices.Backward(possible) {
		if one.equals(found) {
			return one, log
		}
	}
	t.Fatalf("found %+v, want one of %+v", found.Restart, possible)
	return model{}, nil
}

// TestLog_DetectsFlippedBits flips each byte of each file in turn: either Open refuses with the remedy, or it finds
// everything that was acknowledged.
func TestLog_DetectsFlippedBits(t *testing.T) {
	files, want := filledFiles(t)
	refused, survived := 0, 0
	for path, file := range files.durable {
		for place := range file.data {
			damaged := newMemoryFiles()
			for name, one := range files.durable {
				damaged.live[name] = &inode{data: slices.Clone(one.data)}
			}
			damaged.live[path].data[place] ^= 1 << (place % 8)
			_, found, err := openMemory(damaged)
			switch {
			case err == nil && want.equals(found):
				survived++
			case fault.Is(err, fault.Storage) && fault.Of(err).Remedy == remedyReplace:
				refused++
			default:
				t.Fatalf("%s byte %d: found %+v, error %v", path, place, found, err)
			}
		}
	}
	t.Logf("%d refused, %d without loss", refused, survived)
	if refused == 0 || survived == 0 {
		t.Error("the files do not show both cases")
	}
}

// filledFiles makes several segments and two snapshots.
func filledFiles(t *testing.T) (*memoryFiles, model) {
	t.Helper()
	files, log := newMemoryLog(t)
	var held model
	for index := uint64(1); index <= 30; index++ {
		batch := Batch{HardState: &raft.HardState{Group: 1, Term: 2, Commit: index}, Entries: entriesFrom(index, 2, 1)}
		held = held.apply(batch)
		if err := log.Write([]Batch{batch}); err != nil {
			t.Fatal(err)
		}
		if index%10 == 0 && index < 30 {
			if err := log.SaveSnapshot(&raft.Snapshot{Index: index, Term: 2, Data: []byte("state")}); err != nil {
				t.Fatal(err)
			}
			held.snapshot, held.entries = index, nil
		}
	}
	files.durable = files.live
	return files, held
}

// TestLog_NeverUsedAfterAFailedSync shows that one failed sync ends the use of the file, though later ones would work.
func TestLog_NeverUsedAfterAFailedSync(t *testing.T) {
	files, log := newMemoryLog(t)
	batch := []Batch{{Entries: entriesFrom(1, 1, 1)}}
	files.failAfter = 2
	if err := log.Write(batch); !fault.Is(err, fault.Storage) {
		t.Fatalf("the failed sync gives %v", err)
	}
	files.failed = false
	if err := log.Write(batch); !fault.Is(err, fault.Storage) {
		t.Errorf("the write after it gives %v", err)
	}
	if err := log.SaveSnapshot(&raft.Snapshot{Index: 1}); !fault.Is(err, fault.Storage) {
		t.Errorf("the snapshot after it gives %v", err)
	}
}

// TestLog_RewritesTheLastSegment shows that what a failed sync left in memory only is on the disk after a restart.
func TestLog_RewritesTheLastSegment(t *testing.T) {
	files, log := newMemoryLog(t)
	files.failAfter = 2
	_ = log.Write([]Batch{{Entries: entriesFrom(1, 1, 1)}})
	files.failed = false
	_, found, err := openMemory(files)
	if err != nil || len(found.Restart.Entries) != 1 {
		t.Fatalf("found %+v, error %v", found, err)
	}
	for name, file := range files.live {
		if files.durable[name] != file || file.synced != len(file.data) {
			t.Errorf("%s is trusted and not synced", name)
		}
	}
}

func TestLog_LocksDataFolder(t *testing.T) {
	folder := t.TempDir()
	log, _, err := Open(Options{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(Options{Folder: folder}); !fault.Is(err, fault.Storage) {
		t.Errorf("the second use gives %v", err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	again, _, err := Open(Options{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	_ = again.Close()
}
