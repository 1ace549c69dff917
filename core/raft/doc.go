// Package raft implements the Raft consensus algorithm as a deterministic state machine. It uses no clock, network,
// disk, logger or global random source: ticks, messages, proposals and storage acknowledgements come in as method
// calls, and the work to be done is returned as a Ready.
//
// # Event loop
//
// The caller owns one Replica and calls it from a single goroutine:
//
//	for {
//		// wait for a tick, a message, a proposal, a read or a completed sync, and pass it to the replica
//		replica.Tick() / Step(m) / Propose(data) / Read(id) / Synced(number) / Compact(index, data) / SetStorage(state)
//		if replica.HasReady() {
//			ready := replica.Ready()
//			// send ready.Immediate at once
//			// write HardState, Entries and Snapshot to storage; when they are synced, send ready.Messages
//			// and call Synced(ready.Number)
//			// apply ready.Restore and then ready.Committed to the application
//		}
//	}
//
// Batches must be written in order, and several of them may share one sync. A Replica does not wait for storage: a
// leader replicates entries that it has not synced itself, and counts its own copy only once Synced covers it.
//
// # Safety rules
//
//   - A vote or an acknowledgement is sent only after the state that it depends on is synced. Such messages are in
//     Ready.Messages; Ready.Immediate holds only messages that don't depend on unsynced state.
//   - A leader commits by counting replicas only for entries of its own term. Earlier entries are committed with them.
//   - A configuration takes effect as soon as it is in the log, committed or not, and is reverted when its entry is
//     truncated. Configurations change by at most one voter at a time. The next change may be proposed once the previous
//     one is committed and the leader has committed an entry of its own term.
//   - A replica is identified by a random ID that is created with its data folder. A VM that lost its disk gets a new
//     ID, so it is not bound by votes and acknowledgements of the old one, and its votes don't count until it has been
//     added and promoted to voter.
//   - A read is confirmed by a round of heartbeats that starts after the request. It is not confirmed until the leader
//     has committed an entry of its own term.
//
// # Liveness rules
//
//   - Pre-vote: a replica checks that it could win an election before it raises its term, so a replica that reconnects
//     does not disrupt a working leader.
//   - Check quorum: a leader that has not heard from a quorum for an election timeout steps down, and a follower that
//     hears from its leader does not vote. Only a leadership transfer overrides this.
//   - A leader whose storage takes no writes hands over to a voter that can commit entries without it. Without one it keeps
//     leading: it confirms reads, and refuses proposals if no quorum can store them. Other replicas whose storage takes no
//     writes start no election, vote for none, and drop what they can't store.
//   - A replica that has just started uses a shorter election timeout until it hears from a leader.
//   - A learner receives the log but counts towards no quorum. The leader proposes its promotion once it has caught up.
//     If there is a voter of the same name, which the learner replaces, the leader first proposes the removal of that
//     voter.
package raft
