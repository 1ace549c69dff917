// Package raftwire converts between the types of core/raft and their protobuf messages, which are sent over the network
// and stored in the data folder.
package raftwire

import (
	"flamingohall.example/core/raft"
	"flamingohall.example/node/rpc"
)

// Message returns the protobuf form of a message.
func Message(m *raft.Message) *rpc.ReplicaMessage {
	wire := &rpc.ReplicaMessage{
		Type: uint32(m.Type), Group: m.Group, From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Entries: Entries(m.Entries), Commit: m.Commit,
		Sequence: m.Sequence, QuorumAge: m.QuorumAge, Reject: m.Reject,
		Hint: m.Hint, HintTerm: m.HintTerm, Transfer: m.Transfer,
	}
	if m.Chunk != nil {
		wire.Chunk = &rpc.ReplicaSnapshot{
			Index: m.Chunk.Index, Term: m.Chunk.Term,
			Configuration: Configuration(m.Chunk.Configuration), Data: m.Chunk.Data,
		}
		wire.Offset = m.Chunk.Offset
		wire.Total = m.Chunk.Total
	}
	return wire
}

// ToMessage is the inverse of Message.
func ToMessage(wire *rpc.ReplicaMessage) raft.Message {
	m := raft.Message{
		Type: raft.MessageType(wire.GetType()), Group: wire.GetGroup(),
		From: raft.ID(wire.GetFrom()), To: raft.ID(wire.GetTo()), Term: wire.GetTerm(),
		Index: wire.GetIndex(), LogTerm: wire.GetLogTerm(), Entries: ToEntries(wire.GetEntries()),
		Commit: wire.GetCommit(), Sequence: wire.GetSequence(), QuorumAge: wire.GetQuorumAge(),
		Reject: wire.GetReject(), Hint: wire.GetHint(), HintTerm: wire.GetHintTerm(), Transfer: wire.GetTransfer(),
	}
	if chunk := wire.GetChunk(); chunk != nil {
		m.Chunk = &raft.Chunk{
			Index: chunk.GetIndex(), Term: chunk.GetTerm(),
			Configuration: ToConfiguration(chunk.GetConfiguration()), Data: chunk.GetData(),
			Offset: wire.GetOffset(), Total: wire.GetTotal(),
		}
	}
	return m
}

// Entries returns the protobuf form of log entries.
func Entries(entries []raft.Entry) []*rpc.ReplicaEntry {
	wire := make([]*rpc.ReplicaEntry, 0, len(entries))
	for _, entry := range entries {
		wireEntry := &rpc.ReplicaEntry{Index: entry.Index, Term: entry.Term, Kind: uint32(entry.Kind), Data: entry.Data}
		if entry.Configuration != nil {
			wireEntry.Configuration = Configuration(*entry.Configuration)
		}
		wire = append(wire, wireEntry)
	}
	return wire
}

// ToEntries is the inverse of Entries.
func ToEntries(wire []*rpc.ReplicaEntry) []raft.Entry {
	entries := make([]raft.Entry, 0, len(wire))
	for _, wireEntry := range wire {
		entry := raft.Entry{
			Index: wireEntry.GetIndex(), Term: wireEntry.GetTerm(),
			Kind: raft.EntryKind(wireEntry.GetKind()), Data: wireEntry.GetData(),
		}
		if entry.Kind == raft.Membership {
			configuration := ToConfiguration(wireEntry.GetConfiguration())
			entry.Configuration = &configuration
		}
		entries = append(entries, entry)
	}
	return entries
}

// Member returns the protobuf form of a member.
func Member(member raft.Member) *rpc.ReplicaMember {
	return &rpc.ReplicaMember{
		Replica: uint64(member.ID), Name: member.Name, Address: member.Address,
		DataCentre: member.DataCentre, Learner: member.Learner,
	}
}

// ToMember is the inverse of Member.
func ToMember(wire *rpc.ReplicaMember) raft.Member {
	return raft.Member{
		ID: raft.ID(wire.GetReplica()), Name: wire.GetName(), Address: wire.GetAddress(),
		DataCentre: wire.GetDataCentre(), Learner: wire.GetLearner(),
	}
}

// Configuration returns the protobuf form of a configuration.
func Configuration(configuration raft.Configuration) *rpc.ReplicaConfiguration {
	wire := &rpc.ReplicaConfiguration{}
	for _, member := range configuration.Members {
		wire.Members = append(wire.Members, Member(member))
	}
	return wire
}

// ToConfiguration is the inverse of Configuration.
func ToConfiguration(wire *rpc.ReplicaConfiguration) raft.Configuration {
	var configuration raft.Configuration
	for _, member := range wire.GetMembers() {
		configuration.Members = append(configuration.Members, ToMember(member))
	}
	return configuration
}

// HardState returns the protobuf form of a hard state.
func HardState(hard raft.HardState) *rpc.ReplicaHardState {
	return &rpc.ReplicaHardState{Group: hard.Group, Term: hard.Term, Vote: uint64(hard.Vote), Commit: hard.Commit}
}

// ToHardState is the inverse of HardState.
func ToHardState(wire *rpc.ReplicaHardState) raft.HardState {
	return raft.HardState{
		Group: wire.GetGroup(), Term: wire.GetTerm(), Vote: raft.ID(wire.GetVote()), Commit: wire.GetCommit(),
	}
}

// Snapshot returns the protobuf form of a complete snapshot.
func Snapshot(snapshot *raft.Snapshot) *rpc.ReplicaSnapshot {
	return &rpc.ReplicaSnapshot{
		Index: snapshot.Index, Term: snapshot.Term,
		Configuration: Configuration(snapshot.Configuration), Data: snapshot.Data,
	}
}

// ToSnapshot is the inverse of Snapshot.
func ToSnapshot(wire *rpc.ReplicaSnapshot) *raft.Snapshot {
	return &raft.Snapshot{
		Index: wire.GetIndex(), Term: wire.GetTerm(),
		Configuration: ToConfiguration(wire.GetConfiguration()), Data: wire.GetData(),
	}
}
