package raft

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

// ID identifies one data folder of one member. It is drawn at the folder's creation and never used again.
type ID uint64

// None is no replica.
const None ID = 0

// Member is one replica of the group.
type Member struct {
	ID ID
	// Name is the node id of the VM; it stays when the VM gets a new disk.
	Name string
	// Address is host:port.
	Address    string
	DataCentre string
	// Learner members receive the log and don't count.
	Learner bool
}

// Configuration is the membership of the group, ordered by ID. It is immutable: changes make a copy.
type Configuration struct {
	Members []Member
}

// Find returns the member of that ID.
func (c Configuration) Find(id ID) (Member, bool) {
	for _, member := range c.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the ID is a member that counts.
func (c Configuration) IsVoter(id ID) bool {
	member, found := c.Find(id)
	return found && !member.Learner
}

// voterNamed returns the voter of that name.
func (c Configuration) voterNamed(name string) (Member, bool) {
	for _, member := range c.Members {
		if member.Name == name && !member.Learner {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the IDs that count.
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

// Without returns a copy that lacks the ID.
func (c Configuration) Without(id ID) Configuration {
	members := make([]Member, 0, len(c.Members)+1)
	for _, member := range c.Members {
		if member.ID != id {
			members = append(members, member)
		}
	}
	return Configuration{Members: members}
}

// Names returns the members' names, for messages.
func (c Configuration) Names() string {
	names := make([]string, 0, len(c.Members))
	for _, member := range c.Members {
		names = append(names, member.Name)
	}
	return strings.Join(names, ", ")
}

// EntryKind says what an entry of the log carries.
type EntryKind uint8

const (
	// Command entries carry the application's data.
	Command EntryKind = iota
	// Barrier entries carry nothing: a new leader commits one to learn what is committed.
	Barrier
	// Membership entries carry a whole configuration.
	Membership
)

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
	// Configuration is set for Membership only.
	Configuration *Configuration
}

// entryOverheadBytes is what an entry costs beside its data, for bounds on batches.
const entryOverheadBytes = 32

func (e Entry) size() int {
	return len(e.Data) + entryOverheadBytes
}

// HardState is what a replica must find again after a restart.
type HardState struct {
	// Group is the identity of the group, 0 before the replica belongs to one.
	Group uint64
	Term  uint64
	// Vote is who got this replica's vote in Term.
	Vote ID
	// Commit may lag: it only saves work at a restart.
	Commit uint64
}

// Snapshot is the application's state with the log up to Index folded into it.
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

// GroupID returns the identity of the group that the members found together. It is never 0.
func GroupID(configuration Configuration) uint64 {
	hash := fnv.New64a()
	for _, member := range configuration.Members {
		var id [8]byte
		binary.BigEndian.PutUint64(id[:], uint64(member.ID))
		_, _ = hash.Write(id[:])
	}
	return hash.Sum64() | 1
}

// ReadState confirms a read: whoever has applied Index serves it truly.
type ReadState struct {
	// Request is the number given to Read.
	Request uint64
	Index   uint64
}

// Ready is what a replica wants done. See the package documentation for the order.
type Ready struct {
	// Number is handed back to Synced.
	Number uint64
	// HardState is to be synced; nil when unchanged.
	HardState *HardState
	// Entries are to be synced; they replace everything stored from the first one's index on.
	Entries []Entry
	// Snapshot is to be saved; nil when there is none. Saved entries up to its index are no longer needed, and when
	// Discard is set, those above it are void.
	Snapshot *Snapshot
	Discard  bool
	// Immediate messages may leave before the sync.
	Immediate []Message
	// Messages leave after the sync.
	Messages []Message
	// Restore replaces the application's state before Committed is applied.
	Restore *Snapshot
	// Committed is to be applied in order.
	Committed []Entry
	// Reads are confirmed.
	Reads []ReadState
	// FailedReads are requests that were not confirmed because this replica stopped leading.
	FailedReads []uint64
}

// NeedsSync reports whether storage has something to write.
func (r *Ready) NeedsSync() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil
}
