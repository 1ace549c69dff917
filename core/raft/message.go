package raft

// MessageType says what a message asks or answers.
type MessageType uint8

// Types of messages. The comments name the fields that each one uses beside From, To, Group and Term.
const (
	// PreVote asks for a vote without changing terms. Term is the one wanted; Index and LogTerm are the last entry's.
	PreVote MessageType = iota + 1
	// PreVoteResponse answers; Reject.
	PreVoteResponse
	// Vote asks for a vote. Index and LogTerm are the last entry's; Transfer overrides the leader's lease.
	Vote
	// VoteResponse answers; Reject.
	VoteResponse
	// Append carries entries after Index, whose term is LogTerm; Commit.
	Append
	// AppendResponse acknowledges all up to Index, or rejects Index and hints at where the logs may meet.
	AppendResponse
	// Heartbeat carries Commit, Sequence and QuorumAge.
	Heartbeat
	// HeartbeatResponse returns Sequence.
	HeartbeatResponse
	// InstallSnapshot carries a chunk.
	InstallSnapshot
	// InstallSnapshotResponse tells in Index the snapshot and in Hint the next offset wanted.
	InstallSnapshotResponse
	// TimeoutNow tells the receiver to stand for election at once: its leader hands over.
	TimeoutNow
)

// Message goes from one replica to another. It may be lost, late, doubled or reordered.
type Message struct {
	Type  MessageType
	Group uint64
	From  ID
	To    ID
	Term  uint64
	// Index and LogTerm name a log position; the type says which.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Sequence numbers the rounds of heartbeats of a leader.
	Sequence uint64
	// QuorumAge is how many ticks ago the leader started the last round that a quorum answered.
	QuorumAge uint64
	Reject    bool
	// Hint and HintTerm name the last position at which the rejecting log may agree.
	Hint     uint64
	HintTerm uint64
	Transfer bool
	Chunk    *Chunk
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	// Offset is where Data starts; Total is the size of the whole, in bytes.
	Offset uint64
	Total  uint64
	Data   []byte
}

// fromLeader reports whether only a leader of its term sends such messages.
func (m *Message) fromLeader() bool {
	switch m.Type {
	case Append, Heartbeat, InstallSnapshot, TimeoutNow:
		return true
	default:
		return false
	}
}
