// Package replica runs one member of the control VMs' replicated log. core/raft implements the protocol, node/wal the
// storage, and messages between members are twirp calls.
//
// Each of these has its own goroutine:
//
//   - The raft loop owns the raft.Replica. It handles ticks, and messages, proposals and reads from a bounded queue.
//   - The storage loop writes all pending batches with one sync, and then sends the messages that depend on the sync. It
//     repeats a write that failed until it succeeds, and tells the raft loop.
//   - The apply loop applies committed entries to the application's state and takes its snapshots.
//   - The bootstrap loop creates or joins a group.
//   - One sender for each peer sends the messages of its bounded queue. When the queue is full, messages are dropped,
//     which the protocol tolerates.
//
// While the storage takes no writes, this VM submits none and hands over if it leads and another VM can commit changes;
// see raft.SetStorage. Changes and reads at this VM go through the other leader. They are refused at once if no
// other VM leads, or if this VM has not stored what a read would return. Before the contents of the data folder are
// durable after a start, it sends nothing.
package replica
