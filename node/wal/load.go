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

// loader collects the state that results from replaying the segments.
type loader struct {
	entries []raft.Entry
	hard    raft.HardState
	// resetIndex is the index of the last snapshot to which the log was reset; 0 if there was none.
	resetIndex uint64
	// needsReset is set when the snapshot replaces all entries but the log has no record of the reset yet.
	needsReset bool
}

// corruptError returns the error for a file with contents that can't be trusted.
func (l *Log) corruptError(name, format string, args ...any) error {
	err := fault.New(fault.Storage, remedyReplace, format, args...)
	err.Message = "data folder " + l.options.Folder + ": " + name + ": " + err.Message
	return err
}

// load reads all files and removes temporary ones.
func (l *Log) load() (*Contents, error) {
	names, err := l.files.List(l.options.Folder)
	if err != nil {
		return nil, fault.New(fault.Storage, remedyDisk, "data folder %s: %v", l.options.Folder, err)
	}
	contents := &Contents{}
	if err := l.loadIdentity(names, contents); err != nil {
		return nil, err
	}
	if err := l.loadSnapshot(names, contents); err != nil {
		return nil, err
	}
	state := &loader{}
	tail, err := l.loadSegments(names, state, contents)
	if err != nil {
		return nil, err
	}
	if err := l.matchSnapshot(state, contents); err != nil {
		return nil, err
	}
	l.hard = state.hard
	l.removeTemporary(names)
	if contents.Identity == nil {
		return contents, nil
	}
	if l.unprepared, err = l.lastSegment(state, tail, contents); err != nil {
		return nil, l.fail("open", err)
	}
	return contents, nil
}

func (l *Log) loadIdentity(names []string, contents *Contents) error {
	if !slices.Contains(names, identityFile) {
		for _, name := range names {
			if strings.HasSuffix(name, segmentSuffix) || strings.HasSuffix(name, snapshotSuffix) {
				return l.corruptError(identityFile, "the file is missing although %s exists", name)
			}
		}
		return nil
	}
	stored := &rpc.StoredIdentity{}
	if err := l.readFrameFile(identityFile, stored); err != nil {
		return l.corruptError(identityFile, "%v", err)
	}
	contents.Identity = &Identity{Name: stored.GetName(), ID: raft.ID(stored.GetReplica())}
	return nil
}

// readFrameFile reads a file that consists of one frame.
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

// fileNumbers returns the sorted numbers of the files with the suffix.
func fileNumbers(names []string, suffix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		stem, matches := strings.CutSuffix(name, suffix)
		number, err := strconv.ParseUint(stem, 10, 64)
		if matches && err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// loadSnapshot loads the latest readable snapshot.
func (l *Log) loadSnapshot(names []string, contents *Contents) error {
	indexes := fileNumbers(names, snapshotSuffix)
	for _, index := range slices.Backward(indexes) {
		stored := &rpc.ReplicaSnapshot{}
		if err := l.readFrameFile(snapshotFile(index), stored); err != nil {
			contents.IgnoredSnapshots = append(contents.IgnoredSnapshots, snapshotFile(index))
			continue
		}
		if contents.Restart.Snapshot == nil {
			contents.Restart.Snapshot = raftwire.ToSnapshot(stored)
		}
		l.snapshots = append([]uint64{index}, l.snapshots...)
	}
	if len(indexes) > 0 && contents.Restart.Snapshot == nil {
		return l.corruptError(snapshotFile(indexes[len(indexes)-1]), "none of the snapshots can be read")
	}
	return nil
}

// loadSegments replays all segments and returns the valid frames of the last one.
func (l *Log) loadSegments(names []string, state *loader, contents *Contents) ([]byte, error) {
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
		valid, err := l.replaySegment(number, data, isLast, state)
		if err != nil {
			return nil, err
		}
		tail = data[:valid]
		contents.TornBytes += len(data) - valid
	}
	return tail, nil
}

// replaySegment applies the records of one segment and returns the number of valid bytes.
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
		return errors.Errorf("the record belongs to segment %d", record.GetSegment())
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

// putEntry stores an entry. It replaces the entries from its index on.
func (s *loader) putEntry(entry raft.Entry) error {
	if len(s.entries) == 0 {
		s.entries = append(s.entries, entry)
		return nil
	}
	first := s.entries[0].Index
	if entry.Index > first+uint64(len(s.entries)) {
		return errors.Errorf("entry %d follows a gap in the log", entry.Index)
	}
	if entry.Index < first {
		s.entries = append(s.entries[:0], entry)
		return nil
	}
	s.entries = append(s.entries[:entry.Index-first], entry)
	return nil
}

// matchSnapshot sets Restart.Entries to the entries after the snapshot. It fails if the snapshot that the log was reset
// to or entries after the snapshot are missing.
func (l *Log) matchSnapshot(state *loader, contents *Contents) error {
	contents.Restart.HardState = state.hard
	var base raft.Snapshot
	if contents.Restart.Snapshot != nil {
		base = *contents.Restart.Snapshot
	}
	if state.resetIndex > base.Index {
		return l.corruptError(snapshotFile(state.resetIndex), "the log was reset to this snapshot, which is missing")
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
		// The process crashed after it saved a snapshot that the log does not agree with, and before it wrote the record
		// that resets the log.
		state.needsReset = true
		return nil
	}
	contents.Restart.Entries = state.entries[base.Index+1-first:]
	return nil
}

// removeTemporary removes the files of writes that were interrupted. An error is of no interest: they are never read.
func (l *Log) removeTemporary(names []string) {
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			_ = l.files.Remove(l.path(name))
		}
	}
}

// lastSegment returns the last segment as it is to be rewritten, since its last bytes may be in the page cache only if
// the previous process ended on a failed sync.
func (l *Log) lastSegment(state *loader, tail []byte, contents *Contents) ([]byte, error) {
	if len(l.segments) == 0 {
		// The process crashed between the identity and the first segment.
		l.segments = []segment{{number: 1}}
	}
	data, err := l.firstFrame(l.segments[len(l.segments)-1].number)
	if err != nil {
		return nil, err
	}
	data = append(data, tail...)
	if state.needsReset {
		record, err := proto.Marshal(&rpc.StoredBatch{ResetIndex: contents.Restart.Snapshot.Index})
		if err != nil {
			return nil, err
		}
		data = appendFrame(data, record)
	}
	return data, nil
}
