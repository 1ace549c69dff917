// Package replica runs one member of the control VMs' replicated log: core/raft decides, node/wal stores, and twirp
// carries the messages.
//
// Duties have a goroutine each. The raft loop owns the state machine and takes ticks, messages, proposals and reads
// from a bounded queue; the storage loop writes what has gathered with one sync; the apply loop feeds the application;
// a sender for each peer posts what its bounded queue holds. A full queue to a peer drops messages, which the protocol
// tolerates.
package replica
