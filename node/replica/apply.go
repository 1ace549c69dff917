package replica

import (
	"context"
	"sync"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/events"
)

// outcome is what became of a proposal.
type outcome struct {
	index  uint64
	result []byte
	err    error
}

// applier feeds the application.
type applier struct {
	group *Group
	// entriesSinceSnapshot and bytesSinceSnapshot count what was applied since the last snapshot.
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
}

// applyLoop is the only caller of the application once the loops run.
func (g *Group) applyLoop(ctx context.Context) {
	a := &applier{group: g}
	for {
		select {
		case <-ctx.Done():
			return
		case jobs := <-g.applyJobs:
			for _, job := range jobs {
				if err := a.apply(job); err != nil {
					g.failWith(err)
					return
				}
			}
		}
	}
}

func (a *applier) apply(job applyJob) error {
	if job.restore != nil {
		if err := a.group.restore(job.restore); err != nil {
			return err
		}
		a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	}
	for _, entry := range job.entries {
		a.applyEntry(entry)
	}
	return a.snapshotIfDue()
}

func (a *applier) applyEntry(entry raft.Entry) {
	var result []byte
	if entry.Kind == raft.Command {
		result = a.group.options.Machine.Apply(entry.Index, entry.Data)
	}
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += len(entry.Data)
	a.group.applied.advance(entry.Index)
	a.group.waiters.finish(entry.Index, entry.Term, result)
}

func (a *applier) snapshotIfDue() error {
	if a.entriesSinceSnapshot < a.group.options.SnapshotEvery && a.bytesSinceSnapshot < maxLogBytes {
		return nil
	}
	data, err := a.group.options.Machine.Snapshot()
	if err != nil {
		return fault.New(fault.Internal, "report it with the log around this time", "snapshot: %v", err)
	}
	select {
	case a.group.compactions <- compaction{index: a.group.applied.load(), data: data}:
		a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	default:
		// The last one is still being taken in; the next entries bring another try.
	}
	return nil
}

// restore replaces the application's state. The first snapshot of a group has no data.
func (g *Group) restore(snapshot *raft.Snapshot) error {
	if len(snapshot.Data) > 0 {
		if err := g.options.Machine.Restore(snapshot.Index, snapshot.Data); err != nil {
			return fault.New(fault.Storage, "run the version that wrote the snapshot, or replace this VM",
				"snapshot of index %d: %v", snapshot.Index, err)
		}
		events.ReplicaRestored.Log(g.options.Logger, "index", snapshot.Index, "bytes", len(snapshot.Data))
	}
	g.applied.advance(snapshot.Index)
	g.waiters.failUpTo(snapshot.Index)
	return nil
}

// waiter waits for the entry at an index, which is its own only when the term agrees.
type waiter struct {
	term   uint64
	result chan outcome
}

// waiterTable holds the proposals of this VM that are not applied. Result channels have room for one outcome.
type waiterTable struct {
	mutex   sync.Mutex
	byIndex map[uint64]waiter
}

func (t *waiterTable) init() {
	t.byIndex = map[uint64]waiter{}
}

func (t *waiterTable) add(index, term uint64, result chan outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if earlier, found := t.byIndex[index]; found {
		// The entry that had this index was overwritten.
		earlier.result <- outcome{err: errOverwritten()}
	}
	t.byIndex[index] = waiter{term, result}
}

func (t *waiterTable) finish(index, term uint64, result []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found, waits := t.byIndex[index]
	if !waits {
		return
	}
	delete(t.byIndex, index)
	if found.term != term {
		found.result <- outcome{err: errOverwritten()}
		return
	}
	found.result <- outcome{index: index, result: result}
}

// failAbove ends waiting for entries of which nobody here will learn soon whether they are committed.
func (t *waiterTable) failAbove(commit uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for index, waits := range t.byIndex {
		if index > commit {
			waits.result <- outcome{err: errOutcomeUnknown()}
			delete(t.byIndex, index)
		}
	}
}

// failUpTo ends waiting for entries that a snapshot covers.
func (t *waiterTable) failUpTo(to uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for index, waits := range t.byIndex {
		if index <= to {
			waits.result <- outcome{err: errOutcomeUnknown()}
			delete(t.byIndex, index)
		}
	}
}

func (t *waiterTable) failAll() {
	t.failAbove(0)
}
