package raft

// MessageType is the kind of a message.
type MessageType uint8

// Message types. The comments name the fields that each type uses in addition to From, To, Group and Term.
const (
	// PreVote asks whether the receiver would vote for the sender, without changing terms. Term is the term of the
	// intended election; Index and LogTerm are those of the sender's last entry.
	PreVote MessageType = iota + 1
	// PreVoteResponse answers PreVote with Reject.
	PreVoteResponse
	// Vote requests a vote. Index and LogTerm are those of the sender's last entry. Transfer makes receivers vote
	// although they hear from their leader.
	Vote
	// VoteResponse answers Vote with Reject.
	VoteResponse
	// Append carries Commit and the Entries after Index, whose term is LogTerm.
	Append
	// AppendResponse acknowledges all entries up to Index, or rejects Index with Hint and HintTerm.
	AppendResponse
	// Heartbeat carries Commit, Sequence and QuorumAge.
	Heartbeat
	// HeartbeatResponse returns Sequence. Reject says that the sender's storage is failing.
	HeartbeatResponse
	// InstallSnapshot carries a Chunk.
	InstallSnapshot
	// InstallSnapshotResponse carries the snapshot's index in Index and the next expected offset in Hint.
	InstallSnapshotResponse
	// TimeoutNow tells the receiver to start an election at once, for a leadership transfer.
	TimeoutNow
)

// Message is sent from one replica to another. Messages may be lost, delayed, duplicated or reordered.
type Message struct {
	Type  MessageType
	Group uint64
	From  ID
	To    ID
	Term  uint64
	// Index and LogTerm identify a log entry; see the message types.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Sequence is the number of a leader's heartbeat round.
	Sequence uint64
	// QuorumAge is the number of ticks since the start of the last heartbeat round that a quorum answered.
	QuorumAge uint64
	Reject    bool
	// Hint and HintTerm are the index and term of the last entry at which the rejecting log may match the leader's.
	Hint     uint64
	HintTerm uint64
	Transfer bool
	Chunk    *Chunk
}

// Chunk is a contiguous part of a snapshot.
type Chunk struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	// Offset is the position of Data in the snapshot's data, and Total the size of all of it, in bytes.
	Offset uint64
	Total  uint64
	Data   []byte
}

// fromLeader reports whether the message type is sent only by the leader of its term.
func (m *Message) fromLeader() bool {
	switch m.Type {
	case Append, Heartbeat, InstallSnapshot, TimeoutNow:
		return true
	default:
		return false
	}
}
