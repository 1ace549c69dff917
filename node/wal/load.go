package wal

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/raftwire"
	"flamingohall.example/node/rpc"
)

// loader gathers what the segments say.
type loader struct {
	entries []raft.Entry
	hard    raft.HardState
	// resetIndex is the index of the snapshot that last replaced everything.
	resetIndex uint64
	// needsReset is set when the snapshot replaces all entries and no record says so yet.
	needsReset bool
}

// corruptError is the error for contents that can't be trusted.
func (l *Log) corruptError(name, format string, args ...any) error {
	err := fault.New(fault.Storage, remedyReplace, format, args...)
	err.Message = "data folder " + l.options.Folder + ": " + name + ": " + err.Message
	return err
}

// load reads everything, removes leftovers and begins a new last segment.
func (l *Log) load() (*Contents, error) {
	names, err := l.files.List(l.options.Folder)
	if err != nil {
		return nil, fault.New(fault.Storage, remedyDisk, "data folder %s: %v", l.options.Folder, err)
	}
	found := &Contents{}
	if err := l.loadIdentity(names, found); err != nil {
		return nil, err
	}
	if err := l.loadSnapshot(names, found); err != nil {
		return nil, err
	}
	state := &loader{}
	tail, err := l.loadSegments(names, state, found)
	if err != nil {
		return nil, err
	}
	if err := l.matchSnapshot(state, found); err != nil {
		return nil, err
	}
	l.hard = state.hard
	if state.needsReset {
		reset, err := proto.Marshal(&rpc.StoredBatch{ResetIndex: found.Restart.Snapshot.Index})
		if err != nil {
			return nil, l.fail("open", err)
		}
		tail = appendFrame(slices.Clone(tail), reset)
	}
	if err := l.prepareForWriting(names, tail); err != nil {
		return nil, l.fail("open", err)
	}
	return found, nil
}

func (l *Log) loadIdentity(names []string, found *Contents) error {
	if !slices.Contains(names, identityFile) {
		for _, name := range names {
			if strings.HasSuffix(name, segmentSuffix) || strings.HasSuffix(name, snapshotSuffix) {
				return l.corruptError(identityFile, "the file is missing beside %s", name)
			}
		}
		return nil
	}
	stored := &rpc.StoredIdentity{}
	if err := l.readFrameFile(identityFile, stored); err != nil {
		return l.corruptError(identityFile, "%v", err)
	}
	found.Identity = &Identity{Name: stored.GetName(), ID: raft.ID(stored.GetReplica())}
	return nil
}

// readFrameFile reads a file that holds one frame.
func (l *Log) readFrameFile(name string, into proto.Message) error {
	data, err := l.files.Read(l.path(name))
	if err != nil {
		return err
	}
	payload, rest, err := nextFrame(data)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errCorrupt
	}
	return proto.Unmarshal(payload, into)
}

// fileNumbers returns the numbers of the files with the ending, in order.
func fileNumbers(names []string, end string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		stem, isOne := strings.CutSuffix(name, end)
		number, err := strconv.ParseUint(stem, 10, 64)
		if isOne && err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// loadSnapshot takes the latest snapshot that can be read.
func (l *Log) loadSnapshot(names []string, found *Contents) error {
	indexes := fileNumbers(names, snapshotSuffix)
	for _, index := range slices.Backward(indexes) {
		stored := &rpc.ReplicaSnapshot{}
		if err := l.readFrameFile(snapshotFile(index), stored); err != nil {
			found.IgnoredSnapshots = append(found.IgnoredSnapshots, snapshotFile(index))
			continue
		}
		if found.Restart.Snapshot == nil {
			found.Restart.Snapshot = raftwire.ToSnapshot(stored)
		}
		l.snapshots = append([]uint64{index}, l.snapshots...)
	}
	if len(indexes) > 0 && found.Restart.Snapshot == nil {
		return l.corruptError(snapshotFile(indexes[len(indexes)-1]), "no snapshot can be read")
	}
	return nil
}

// loadSegments replays all segments and returns the good frames of the last one behind its first record.
func (l *Log) loadSegments(names []string, state *loader, found *Contents) ([]byte, error) {
	numbers := fileNumbers(names, segmentSuffix)
	var tail []byte
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return nil, l.corruptError(segmentFile(number), "the segment before it is missing")
		}
		data, err := l.files.Read(l.path(segmentFile(number)))
		if err != nil {
			return nil, l.corruptError(segmentFile(number), "%v", err)
		}
		isLast := i == len(numbers)-1
		good, err := l.replaySegment(number, data, isLast, state)
		if err != nil {
			return nil, err
		}
		tail = data[:good]
		found.TornBytes += len(data) - good
	}
	return tail, nil
}

// replaySegment applies the frames of one segment and returns how many bytes are good.
func (l *Log) replaySegment(number uint64, data []byte, isLast bool, state *loader) (int, error) {
	current := segment{number: number}
	rest := data
	for len(rest) > 0 {
		payload, next, err := nextFrame(rest)
		offset := len(data) - len(rest)
		if errors.Is(err, errTorn) && isLast {
			break
		}
		if err != nil {
			return 0, l.corruptError(segmentFile(number), "%v at byte %d", err, offset)
		}
		record := &rpc.StoredBatch{}
		if err := proto.Unmarshal(payload, record); err != nil {
			return 0, l.corruptError(segmentFile(number), "%v at byte %d", err, offset)
		}
		if err := state.apply(record, &current); err != nil {
			return 0, l.corruptError(segmentFile(number), "%v at byte %d", err, offset)
		}
		rest = next
	}
	l.segments = append(l.segments, current)
	return len(data) - len(rest), nil
}

func (s *loader) apply(record *rpc.StoredBatch, current *segment) error {
	if record.GetSegment() != 0 && record.GetSegment() != current.number {
		return errors.Errorf("it is segment %d", record.GetSegment())
	}
	if record.GetHardState() != nil {
		s.hard = raftwire.ToHardState(record.GetHardState())
	}
	if record.GetResetIndex() != 0 {
		s.resetIndex = record.GetResetIndex()
		s.entries = nil
	}
	for _, entry := range raftwire.ToEntries(record.GetEntries()) {
		if err := s.putEntry(entry); err != nil {
			return err
		}
		current.lastIndex = max(current.lastIndex, entry.Index)
	}
	return nil
}

// putEntry stores an entry in the place of all from its index on.
func (s *loader) putEntry(entry raft.Entry) error {
	if len(s.entries) == 0 {
		s.entries = append(s.entries, entry)
		return nil
	}
	first := s.entries[0].Index
	if entry.Index > first+uint64(len(s.entries)) {
		return errors.Errorf("entry %d follows a gap", entry.Index)
	}
	if entry.Index < first {
		s.entries = append(s.entries[:0], entry)
		return nil
	}
	s.entries = append(s.entries[:entry.Index-first], entry)
	return nil
}

// matchSnapshot joins the snapshot and the entries that follow it.
func (l *Log) matchSnapshot(state *loader, found *Contents) error {
	found.Restart.HardState = state.hard
	var base raft.Snapshot
	if found.Restart.Snapshot != nil {
		base = *found.Restart.Snapshot
	}
	if state.resetIndex > base.Index {
		return l.corruptError(snapshotFile(state.resetIndex), "the log needs this snapshot")
	}
	if len(state.entries) == 0 {
		return nil
	}
	first := state.entries[0].Index
	if first > base.Index+1 {
		return l.corruptError(segmentFile(l.segments[0].number), "entries from %d to %d are missing", base.Index+1, first-1)
	}
	last := state.entries[len(state.entries)-1].Index
	hasBase := first <= base.Index && base.Index <= last
	if last < base.Index || (hasBase && state.entries[base.Index-first].Term != base.Term) {
		// The snapshot was saved, and the crash came before the record that drops the log that differs from it.
		state.needsReset = true
		return nil
	}
	found.Restart.Entries = state.entries[base.Index+1-first:]
	return nil
}

// prepareForWriting removes leftovers and writes the last segment anew. Its last bytes may be in memory only, when the process
// ended on a failed sync.
func (l *Log) prepareForWriting(names []string, tail []byte) error {
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := l.files.Remove(l.path(name)); err != nil {
				return err
			}
		}
	}
	if !slices.Contains(names, identityFile) {
		return nil
	}
	if len(l.segments) == 0 {
		return l.startSegment(1, nil)
	}
	current := l.segments[len(l.segments)-1]
	l.segments = l.segments[:len(l.segments)-1]
	if err := l.startSegment(current.number, tail); err != nil {
		return err
	}
	l.segments[len(l.segments)-1].lastIndex = current.lastIndex
	return nil
}
