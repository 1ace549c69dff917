package raft

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

// ID identifies a replica by its data folder. It is chosen at random when the folder is created and never reused.
type ID uint64

// None is the ID of no replica.
const None ID = 0

// Member is one replica of the group.
type Member struct {
	ID ID
	// Name is the node id of the VM. It stays the same when the VM gets a new disk.
	Name string
	// Address is host:port.
	Address    string
	DataCentre string
	// Learner members receive the log but don't vote and count towards no quorum.
	Learner bool
}

// Configuration is the membership of the group, ordered by ID. It is immutable: changes return a copy.
type Configuration struct {
	Members []Member
}

// Find returns the member with the ID.
func (c Configuration) Find(id ID) (Member, bool) {
	for _, member := range c.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the ID belongs to a voting member.
func (c Configuration) IsVoter(id ID) bool {
	member, found := c.Find(id)
	return found && !member.Learner
}

// voterNamed returns the voter with the name.
func (c Configuration) voterNamed(name string) (Member, bool) {
	for _, member := range c.Members {
		if member.Name == name && !member.Learner {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the IDs of the voting members.
func (c Configuration) Voters() []ID {
	voters := make([]ID, 0, len(c.Members))
	for _, member := range c.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// With returns a copy in which the member is added or replaced.
func (c Configuration) With(member Member) Configuration {
	next := c.Without(member.ID)
	next.Members = append(next.Members, member)
	slices.SortFunc(next.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return next
}

// Without returns a copy in which the member with the ID is removed.
func (c Configuration) Without(id ID) Configuration {
	members := make([]Member, 0, len(c.Members)+1)
	for _, member := range c.Members {
		if member.ID != id {
			members = append(members, member)
		}
	}
	return Configuration{Members: members}
}

// Names returns the members' names, separated by commas, for log and error messages.
func (c Configuration) Names() string {
	names := make([]string, 0, len(c.Members))
	for _, member := range c.Members {
		names = append(names, member.Name)
	}
	return strings.Join(names, ", ")
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

const (
	// Command entries carry application data.
	Command EntryKind = iota
	// Barrier entries are empty. A new leader appends one, since committing it also commits all earlier entries.
	Barrier
	// Membership entries carry a complete configuration.
	Membership
)

// Entry is a log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
	// Configuration is set for Membership only.
	Configuration *Configuration
}

// entryOverheadBytes estimates the size of an entry without its data, for limits on batches.
const entryOverheadBytes = 32

func (e Entry) size() int {
	return len(e.Data) + entryOverheadBytes
}

// HardState is the state, besides the log, that must survive a restart.
type HardState struct {
	// Group is the ID of the group; 0 before the replica belongs to one.
	Group uint64
	Term  uint64
	// Vote is the candidate that got this replica's vote in Term, or None.
	Vote ID
	// Commit may be behind the actual commit index. It only speeds up a restart.
	Commit uint64
}

// Snapshot is the application's state after applying the log up to Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}

// InitialSnapshot returns the snapshot from which every initial member of a group starts.
func InitialSnapshot(members []Member) Snapshot {
	var configuration Configuration
	for _, member := range members {
		configuration = configuration.With(member)
	}
	return Snapshot{Index: 1, Term: 1, Configuration: configuration}
}

// GroupID returns the ID of the group that has the configuration's members as its initial members. It is never 0.
func GroupID(configuration Configuration) uint64 {
	hash := fnv.New64a()
	for _, member := range configuration.Members {
		var id [8]byte
		binary.BigEndian.PutUint64(id[:], uint64(member.ID))
		// A hash never returns an error.
		_, _ = hash.Write(id[:])
	}
	return hash.Sum64() | 1
}

// ReadState confirms a read: a replica that has applied Index can serve it with linearizable consistency.
type ReadState struct {
	// Request is the number passed to Read.
	Request uint64
	Index   uint64
}

// Ready holds work for the caller. The package documentation gives the order.
type Ready struct {
	// Number is the argument of Synced.
	Number uint64
	// HardState is to be synced; nil if unchanged.
	HardState *HardState
	// Entries are to be synced. They replace all stored entries from the first one's index on.
	Entries []Entry
	// Snapshot is to be saved; nil if there is none. Stored entries up to its index are no longer needed. If Discard
	// is set, stored entries after its index are invalid.
	Snapshot *Snapshot
	Discard  bool
	// Immediate messages may be sent before the sync.
	Immediate []Message
	// Messages must be sent after the sync.
	Messages []Message
	// Restore replaces the application's state before Committed is applied; nil if there is none.
	Restore *Snapshot
	// Committed entries are to be applied in order.
	Committed []Entry
	// Reads are the confirmed reads.
	Reads []ReadState
	// FailedReads are the requests that were not confirmed because this replica is no longer the leader, or can't commit its
	// first entry because the storage of a quorum takes no writes.
	FailedReads []uint64
	// Transitions are the changes of this replica's role, oldest first.
	Transitions []Transition
}

// NeedsSync reports whether there is anything to write to storage.
func (r *Ready) NeedsSync() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil
}
