package replica

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/events"
	"flamingohall.example/node/wal"
)

// storageMonitor records whether calls of the log succeed.
type storageMonitor struct {
	group *Group
	// changed tells the raft loop that state has changed.
	changed chan struct{}

	mutex sync.Mutex
	// error is that of the last call; nil if it succeeded.
	error *fault.Error
	// call counts the calls; calling is set during one, stalled if it has lasted for longer than stallTimeout.
	call             uint64
	calling, stalled bool
	// since is when the first of the calls failed or stalled that have not succeeded since.
	since time.Time
}

func (m *storageMonitor) init(g *Group) {
	m.group = g
	m.changed = make(chan struct{}, 1)
}

// run makes a call of the log and records its result.
func (m *storageMonitor) run(call func() error) error {
	m.mutex.Lock()
	m.call++
	number := m.call
	m.calling = true
	m.mutex.Unlock()
	timer := time.AfterFunc(stallTimeout, func() { m.stall(number) })
	err := call()
	timer.Stop()
	m.finish(err)
	return err
}

// stall records that a call has not returned for stallTimeout.
func (m *storageMonitor) stall(number uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.calling || m.call != number || m.error != nil {
		return
	}
	m.stalled, m.since = true, time.Now().Add(-stallTimeout)
	events.ReplicaStorageStalled.Log(m.group.options.Logger)
	m.signal()
}

func (m *storageMonitor) finish(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	logger := m.group.options.Logger
	wasImpaired := m.stalled || m.error != nil
	hadError := m.error != nil
	m.calling, m.stalled, m.error = false, false, nil
	if err != nil {
		m.error = fault.Of(err)
		m.group.options.Metrics.Add("replica_storage_failures", 1)
		if !hadError {
			events.ReplicaStorageFailed.LogError(logger, m.error)
		}
		if !wasImpaired {
			m.since = time.Now()
		}
	} else if wasImpaired {
		events.ReplicaStorageWorks.Log(logger, "duration", time.Since(m.since).String())
	}
	if wasImpaired || err != nil {
		m.signal()
	}
}

func (m *storageMonitor) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
	// Reads may wait for entries that can't be stored for now.
	m.group.applied.signal.fire()
}

func (m *storageMonitor) state() raft.StorageState {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case m.error != nil:
		return raft.StorageFailing
	case m.stalled:
		return raft.StorageStalled
	}
	return raft.StorageWorks
}

// failure returns the error of the last call, or nil if it succeeded.
func (m *storageMonitor) failure() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.error == nil {
		return nil
	}
	return m.error
}

// message describes the failure or the stall, or is empty.
func (m *storageMonitor) message() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case m.error != nil:
		return m.error.Message
	case m.stalled:
		return "a write has not returned since " + m.since.UTC().Format(time.RFC3339)
	}
	return ""
}

// storageLoop makes the contents of the data folder durable. Then it writes and syncs all work that was collected while
// it was busy, and sends the messages that must not be sent before the sync, as they acknowledge what was stored. Work
// whose write failed is kept and written again.
func (g *Group) storageLoop(ctx context.Context) {
	if !g.repeat(ctx, g.log.Prepare) {
		return
	}
	close(g.prepared)
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-g.store:
			if !g.repeat(ctx, newStoreCall(g, batch)) {
				return
			}
			g.finishStore(batch)
		}
	}
}

// repeat makes a call until it succeeds. It returns false if ctx ends before, or if the log can't be used any more; the
// loops then end.
func (g *Group) repeat(ctx context.Context, call func() error) bool {
	for wait := firstRetry; ; wait = min(2*wait, lastRetry) {
		err := g.storage.run(call)
		if err == nil {
			return true
		}
		if permanent := g.log.Failure(); permanent != nil || !fault.Is(err, fault.Storage) {
			g.failWith(err)
			return false
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
}

// newStoreCall returns a call that stores the batch. If it is repeated, it doesn't store the same snapshots again.
func newStoreCall(g *Group, batch []raft.Ready) func() error {
	var pending []wal.Batch
	next := 0
	return func() error {
		for ; next < len(batch); next++ {
			ready := &batch[next]
			if !ready.NeedsSync() {
				continue
			}
			if ready.Snapshot != nil {
				if err := g.log.SaveSnapshot(ready.Snapshot); err != nil {
					return err
				}
				events.ReplicaSnapshot.Log(g.options.Logger, "index", ready.Snapshot.Index, "bytes", len(ready.Snapshot.Data))
			}
			pending = append(pending, walBatch(ready))
		}
		if len(pending) == 0 {
			return nil
		}
		start := time.Now()
		if err := g.log.Write(pending); err != nil {
			return err
		}
		if duration := time.Since(start); duration > electionTimeout {
			events.ReplicaSyncSlow.Log(g.options.Logger, "duration", duration.String())
		}
		g.options.Metrics.Add("replica_syncs", 1)
		return nil
	}
}

// finishStore sends the messages of a batch that is synced, and tells the raft loop.
func (g *Group) finishStore(batch []raft.Ready) {
	for i := range batch {
		g.peers.send(batch[i].Messages)
	}
	g.syncedTo.Store(batch[len(batch)-1].Number)
	select {
	case g.synced <- struct{}{}:
	default:
	}
}

// walBatch returns the part of a Ready that goes into the log.
func walBatch(ready *raft.Ready) wal.Batch {
	batch := wal.Batch{HardState: ready.HardState, Entries: ready.Entries}
	if ready.Discard {
		batch.ResetTo = ready.Snapshot.Index
	}
	return batch
}
