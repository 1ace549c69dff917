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

// model is the state that the log is expected to hold.
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

// equals compares the model with the state that Open read. An older snapshot with the entries after it is equivalent to
// a newer one.
func (m model) equals(contents *Contents) bool {
	entries := contents.Restart.Entries
	base := uint64(0)
	if contents.Restart.Snapshot != nil {
		base = contents.Restart.Snapshot.Index
	}
	if base > m.snapshot || base+uint64(len(entries)) != m.last() || contents.Restart.HardState != m.hard {
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

// TestLog_KeepsWhatWasSynced runs random sequences of writes, snapshots, failed operations that are repeated or not, full
// disks that have space again, crashes that lose or tear unsynced data, and restarts with and without a crash. It checks
// that each restart finds everything that was acknowledged, and nothing that was never written.
func TestLog_KeepsWhatWasSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		files, log := newMemoryLog(t)
		files.random = random
		h := &history{files: files, log: log, random: random}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch random.IntN(8) {
			case 0, 1:
				files.failAfter = 1 + random.IntN(8)
			case 2:
				files.isFull = true
			}
			err := h.step()
			switch {
			case err == nil && random.IntN(10) > 0, err != nil && random.IntN(4) == 0:
				continue
			case err != nil && !fault.Is(err, fault.Storage):
				t.Fatalf("got error %v, want fault.Storage", err)
			case err != nil && random.IntN(2) == 0:
				files.recover()
				continue
			case random.IntN(4) > 0:
				files.crash(random)
			}
			files.recover()
			h.reopen(t)
		}
	})
}

// history is the log of a test with the states that it may hold.
type history struct {
	files  *memoryFiles
	log    *Log
	random *rand.Rand
	state  model
	// uncertain are further states that a restart may find, because a call failed and none has succeeded since.
	uncertain []model
	// reset is the batch that has to follow a snapshot that replaces the whole log.
	reset *Batch
}

// step executes one operation.
func (h *history) step() error {
	term := h.state.hard.Term + uint64(h.random.IntN(2))
	switch {
	case h.reset != nil:
		next := h.state.apply(*h.reset)
		err := h.finish(next, nil, h.log.Write([]Batch{*h.reset}))
		if err == nil {
			h.reset = nil
		}
		return err
	case h.random.IntN(4) == 0 && len(h.state.entries) > 0:
		index := h.state.snapshot + 1 + uint64(h.random.IntN(len(h.state.entries)))
		next := h.state
		next.snapshot, next.entries = index, h.state.entries[index-h.state.snapshot:]
		snapshot := &raft.Snapshot{
			Index: index, Term: h.state.entries[index-h.state.snapshot-1].Term, Data: []byte("state"),
		}
		return h.finish(next, nil, h.log.SaveSnapshot(snapshot))
	case h.random.IntN(8) == 0:
		return h.installSnapshot(term)
	case h.random.IntN(16) == 0:
		return h.finish(h.state, nil, h.log.Prepare())
	}
	var batches []Batch
	var partial []model
	next := h.state
	for range 1 + h.random.IntN(3) {
		from := next.snapshot + 1 + uint64(h.random.IntN(len(next.entries)+1))
		batch := Batch{
			HardState: &raft.HardState{Group: 1, Term: term, Vote: raft.ID(h.random.IntN(3))},
			Entries:   entriesFrom(from, term, h.random.IntN(4)),
		}
		if h.random.IntN(4) == 0 {
			batch.HardState = nil
		}
		batches = append(batches, batch)
		next = next.apply(batch)
		partial = append(partial, next)
	}
	return h.finish(next, partial, h.log.Write(batches))
}

// finish records the result of an operation that leads to the state next, through the partial ones.
func (h *history) finish(next model, partial []model, err error) error {
	if err != nil {
		h.uncertain = append(append(h.uncertain, partial...), next)
		return err
	}
	h.state, h.uncertain = next, nil
	return nil
}

// installSnapshot replaces the whole log by a snapshot, as a follower does that is far behind.
func (h *history) installSnapshot(term uint64) error {
	index := h.state.last() + 5
	saved := model{hard: h.state.hard, snapshot: index}
	err := h.finish(saved, nil, h.log.SaveSnapshot(&raft.Snapshot{Index: index, Term: term, Data: []byte("state")}))
	if err != nil {
		return err
	}
	hard := h.state.hard
	hard.Term = term
	h.reset = &Batch{HardState: &hard, ResetTo: index}
	return h.step()
}

func (h *history) reopen(t *rapid.T) {
	log, contents, err := openMemory(h.files)
	if err != nil {
		t.Fatalf("reopen: %v", err)
	}
	if contents.Identity == nil || contents.Identity.ID != 7 {
		t.Fatalf("identity %v", contents.Identity)
	}
	possible := append([]model{h.state}, h.uncertain...)
	for _, candidate := range slices.Backward(possible) {
		if candidate.equals(contents) {
			// Until a call succeeds, a crash may still lose what was found but was never synced.
			h.log, h.state, h.uncertain, h.reset = log, candidate, possible, nil
			return
		}
	}
	t.Fatalf("found %+v, want one of %+v", contents.Restart, possible)
}

// TestLog_DetectsFlippedBits flips one bit of each byte of each file in turn. It checks that Open either fails with the
// remedy or finds everything that was acknowledged.
func TestLog_DetectsFlippedBits(t *testing.T) {
	files, want := filledFiles(t)
	detected, survived := 0, 0
	for path, file := range files.durable {
		for offset := range file.data {
			damaged := newMemoryFiles()
			for name, original := range files.durable {
				damaged.live[name] = &inode{data: slices.Clone(original.data)}
			}
			damaged.live[path].data[offset] ^= 1 << (offset % 8)
			_, contents, err := openMemory(damaged)
			switch {
			case err == nil && want.equals(contents):
				survived++
			case fault.Is(err, fault.Storage) && fault.Of(err).Remedy == remedyReplace:
				detected++
			default:
				t.Fatalf("%s byte %d: found %+v, error %v", path, offset, contents, err)
			}
		}
	}
	t.Logf("%d detected, %d without loss", detected, survived)
	if detected == 0 || survived == 0 {
		t.Error("the flipped bits did not produce both results")
	}
}

// filledFiles returns files with several segments and two snapshots, and the expected state.
func filledFiles(t *testing.T) (*memoryFiles, model) {
	t.Helper()
	files, log := newMemoryLog(t)
	var state model
	for index := uint64(1); index <= 30; index++ {
		batch := Batch{HardState: &raft.HardState{Group: 1, Term: 2, Commit: index}, Entries: entriesFrom(index, 2, 1)}
		state = state.apply(batch)
		if err := log.Write([]Batch{batch}); err != nil {
			t.Fatal(err)
		}
		if index%10 == 0 && index < 30 {
			if err := log.SaveSnapshot(&raft.Snapshot{Index: index, Term: 2, Data: []byte("state")}); err != nil {
				t.Fatal(err)
			}
			state.snapshot, state.entries = index, nil
		}
	}
	files.durable = files.live
	return files, state
}

// TestLog_RewritesTheLastSegment checks that data that a failed sync left in the page cache only is synced by the first
// call after a restart.
func TestLog_RewritesTheLastSegment(t *testing.T) {
	files, log := newMemoryLog(t)
	files.failAfter = 2
	_ = log.Write([]Batch{{Entries: entriesFrom(1, 1, 1)}})
	files.recover()
	reopened, contents, err := openMemory(files)
	if err != nil || len(contents.Restart.Entries) != 1 {
		t.Fatalf("found %+v, error %v", contents, err)
	}
	if err := reopened.Prepare(); err != nil {
		t.Fatal(err)
	}
	for name, file := range files.live {
		if files.durable[name] != file || file.synced != len(file.data) {
			t.Errorf("%s is in use but not synced", name)
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
		t.Errorf("Open of a folder in use: got error %v, want fault.Storage", err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	reopened, _, err := Open(Options{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	_ = reopened.Close()
}
