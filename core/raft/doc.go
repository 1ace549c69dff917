// Package raft is a replicated log as a pure state machine. It imports no clock, network, disk, logger or global
// randomness: ticks, messages, proposals and the storage's acknowledgements come in as method calls, and everything to
// be done goes out as a Ready.
//
// # The loop around it
//
// A runtime owns one Replica and calls it from one goroutine:
//
//	for {
//		// wait for a tick, a message, a proposal, a read or a finished sync, and hand it in
//		replica.Tick() / Step(m) / Propose(data) / Read(id) / Synced(number) / Compact(index, data)
//		if replica.HasReady() {
//			ready := replica.Ready()
//			// send ready.Immediate at once
//			// hand HardState, Entries and Snapshot to storage; when they are synced, send ready.Messages
//			// and call Synced(ready.Number)
//			// hand ready.Restore and ready.Committed to the application, in order
//		}
//	}
//
// Batches go to storage in order, and many of them may share one sync. A Replica does not wait for storage: a leader
// replicates entries that it has not synced itself, and counts its own copy only once Synced covers it.
//
// # Safety rules
//
//   - A vote or an acknowledgement leaves only after the state that it promises is synced. Such messages are in
//     Ready.Messages; Ready.Immediate holds only messages that promise nothing.
//   - A leader commits by counting copies only for entries of its own term. Earlier entries follow with them.
//   - A configuration is in force from the moment it is in the log, committed or not, and goes when it is truncated.
//     Configurations change by one member at a time, and the next change waits until the last is committed and the
//     leader has committed an entry of its own term.
//   - A replica is identified by an ID that is drawn with its data folder. A VM that lost its disk has a new ID, so
//     nothing that the old one promised is expected of it, and no vote of it counts until it is a voter again.
//   - A read is confirmed by a round of heartbeats that starts after the request. It is refused until the leader has
//     committed an entry of its own term.
//
// # Liveness rules
//
//   - Pre-vote: a replica asks whether it would win before it raises its term, so a returning one disturbs nobody.
//   - Check quorum: a leader that has heard no quorum for an election timeout steps down; a follower that hears its
//     leader refuses to vote. Only a leader that hands over may override this.
//   - A replica that has just started tries sooner than an election timeout, until it has heard a leader.
//   - A learner receives the log and counts for nothing. The leader proposes its promotion once it has caught up, and
//     first the removal of a voter of the same name, which the learner replaces.
package raft
