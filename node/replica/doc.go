// Package replica runs one member of the control VMs' replicated log. core/raft implements the protocol, node/wal the
// storage, and messages between members are twirp calls.
//
// Each of these has its own goroutine:
//
//   - The raft loop owns the raft.Replica. It handles ticks, and messages, proposals and reads from a bounded queue.
//   - The storage loop writes all pending batches with one sync, and then sends the messages that depend on the sync.
//   - The apply loop applies committed entries to the application's state and takes its snapshots.
//   - The bootstrap loop creates or joins a group.
//   - One sender for each peer sends the messages of its bounded queue. When the queue is full, messages are dropped,
//     which the protocol tolerates.
package replica
