package replica

import (
	"context"
	"sync"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/events"
)

// outcome is the result of a proposal: its index and the application's result, or an error.
type outcome struct {
	index  uint64
	result []byte
	err    error
}

// applier applies committed entries to the application's state.
type applier struct {
	group *Group
	// entriesSinceSnapshot and bytesSinceSnapshot are the number and size of the entries applied since the last snapshot.
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
}

// applyLoop applies committed entries and snapshots. Once it runs, only it calls the application.
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
		return fault.New(fault.Internal, "report it with the log around this time", "take a snapshot of the state: %v", err)
	}
	select {
	case a.group.compactions <- compaction{index: a.group.applied.load(), data: data}:
		a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	default:
		// The raft loop has not handled the previous snapshot yet. The next entries cause another attempt.
	}
	return nil
}

// restore replaces the application's state by that of a snapshot. The initial snapshot of a group has no data.
func (g *Group) restore(snapshot *raft.Snapshot) error {
	if len(snapshot.Data) > 0 {
		if err := g.options.Machine.Restore(snapshot.Index, snapshot.Data); err != nil {
			return fault.New(fault.Storage, "run the version that wrote the snapshot, or replace this VM",
				"restore the snapshot of index %d: %v", snapshot.Index, err)
		}
		events.ReplicaRestored.Log(g.options.Logger, "index", snapshot.Index, "bytes", len(snapshot.Data))
	}
	g.applied.advance(snapshot.Index)
	g.waiters.failUpTo(snapshot.Index)
	return nil
}

// waiter is a proposal that waits for its entry to be applied. An entry of another term at its index means that its own
// was overwritten.
type waiter struct {
	term   uint64
	result chan outcome
}

// waiterTable holds the proposals of this VM that are not applied yet. Each result channel has a buffer for the one
// outcome that it gets.
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
		// The entry proposed earlier at this index was overwritten.
		earlier.result <- outcome{err: errOverwritten()}
	}
	t.byIndex[index] = waiter{term, result}
}

func (t *waiterTable) finish(index, term uint64, result []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	w, ok := t.byIndex[index]
	if !ok {
		return
	}
	delete(t.byIndex, index)
	if w.term != term {
		w.result <- outcome{err: errOverwritten()}
		return
	}
	w.result <- outcome{index: index, result: result}
}

// failAbove fails the proposals above the index, as this VM may not learn soon whether their entries are committed.
func (t *waiterTable) failAbove(known uint64, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for index, w := range t.byIndex {
		if index > known {
			w.result <- outcome{err: err}
			delete(t.byIndex, index)
		}
	}
}

// failUpTo fails the proposals that a restored snapshot includes with fault.Unknown, as a snapshot holds no results.
func (t *waiterTable) failUpTo(to uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for index, w := range t.byIndex {
		if index <= to {
			w.result <- outcome{err: errOutcomeUnknown()}
			delete(t.byIndex, index)
		}
	}
}

func (t *waiterTable) failAll() {
	t.failAbove(0, errOutcomeUnknown())
}
