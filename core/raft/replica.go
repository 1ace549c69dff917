package raft

import (
	"math/rand/v2"

	"github.com/go-faster/errors"
)

// Role is what a replica does at the moment.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors of proposals and reads.
var (
	// ErrNotLeader means that another replica leads, or none does.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrTransferInProgress means that the leader is about to stop leading.
	ErrTransferInProgress = errors.New("this replica is handing leadership over")
	// ErrChangePending means that an earlier change of members is not committed yet.
	ErrChangePending = errors.New("an earlier change of members is not committed yet")
	// ErrNotMember means that the member to change does not exist.
	ErrNotMember = errors.New("no such member")
	// ErrLastVoter means that the group would be left without voters.
	ErrLastVoter = errors.New("the last voter can't be removed")
	// ErrInvalidConfig means that a Config breaks a rule.
	ErrInvalidConfig = errors.New("raft config: ID must be set and ElectionTicks larger than HeartbeatTicks")
)

// Config are the fixed parameters of a replica.
type Config struct {
	ID ID
	// ElectionTicks is the shortest election timeout; the longest is twice as long.
	ElectionTicks uint64
	// HeartbeatTicks is the pause between rounds of heartbeats.
	HeartbeatTicks uint64
	// Seed makes the election timeouts differ between replicas.
	Seed uint64
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// MaxInflight bounds the Append messages that await an answer from one follower.
	MaxInflight int
	// ChunkBytes is the size of one part of a snapshot.
	ChunkBytes int
	// KeepEntries is how many entries stay in the log behind a snapshot, for followers that lag a little.
	KeepEntries uint64
	// KeepBytes bounds the size of these entries.
	KeepBytes int

	// Voters is how many members are to count; 0 lets every learner that has caught up count.
	Voters int
	// SilentTicks is how long a voter may be silent before a learner takes its place, if there are Voters of them.
	SilentTicks uint64

	// Tests switch safeguards off to show that they are needed.
	withoutPreVote     bool
	withoutCheckQuorum bool
	withoutOwnTermRule bool
	withoutSyncedVote  bool
}

// Restart is what storage found. A new replica has none of it.
type Restart struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Replica is one member of the group. It is not safe for concurrent use.
type Replica struct {
	config Config
	random *rand.Rand
	hard   HardState
	// handedHard is the state last given to storage.
	handedHard HardState
	role       Role
	leader     ID
	log        replicaLog
	snapshot   *Snapshot
	// now counts ticks.
	now uint64
	// elapsed counts ticks since the replica last heard its leader or granted a vote.
	elapsed uint64
	// starting is true until the replica first hears a leader or leads.
	starting        bool
	electionTimeout uint64
	// quorumTick is when the last round started that a quorum is known to have answered.
	quorumTick uint64

	votes    map[ID]bool
	transfer bool
	leading  leaderState
	incoming *Snapshot
	reads    readQueue

	number    uint64
	unsynced  []syncMark
	immediate []Message
	messages  []Message
	toSave    *Snapshot
	discard   bool
	toRestore *Snapshot
}

// syncMark remembers what a Ready asked storage to sync.
type syncMark struct {
	number   uint64
	index    uint64
	term     uint64
	hard     HardState
	snapshot *Snapshot
	restore  bool
}

// New returns a replica that continues from what storage found. The error is ErrWrongConfig.
func New(config Config, restart Restart) (*Replica, error) {
	if config.ID == None || config.ElectionTicks <= config.HeartbeatTicks || config.HeartbeatTicks == 0 {
		return nil, ErrInvalidConfig
	}
	r := &Replica{
		config:     config,
		random:     rand.New(rand.NewPCG(config.Seed, uint64(config.ID))), //nolint:gosec // Timeouts need no secrecy.
		hard:       restart.HardState,
		handedHard: restart.HardState,
	}
	if restart.Snapshot != nil {
		r.snapshot = restart.Snapshot
		r.log.reset(restart.Snapshot)
		if restart.Snapshot.Term > r.hard.Term {
			r.hard.Term, r.hard.Vote = restart.Snapshot.Term, None
		}
	}
	r.log.append(restart.Entries...)
	r.log.handed = r.log.last()
	r.log.stable = r.log.last()
	r.log.committed = max(r.log.committed, min(restart.HardState.Commit, r.log.last()))
	r.becomeFollower(r.hard.Term, None)
	r.starting = true
	r.resetElectionTimer()
	return r, nil
}

// Tick tells that one unit of time has passed.
func (r *Replica) Tick() {
	r.now++
	r.elapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.elapsed >= r.electionTimeout && r.isVoter() {
		r.elapsed = 0
		r.campaign()
	}
}

func (r *Replica) isVoter() bool {
	return r.log.configuration().IsVoter(r.config.ID)
}

func (r *Replica) becomeFollower(term uint64, leader ID) {
	if term > r.hard.Term {
		r.hard.Term = term
		r.hard.Vote = None
	}
	if r.role == Leader {
		r.reads.fail()
	}
	r.role = Follower
	r.leader = leader
	r.transfer = false
	r.votes = nil
	r.leading = leaderState{}
	r.resetElectionTimer()
}

func (r *Replica) resetElectionTimer() {
	r.elapsed = 0
	if r.starting {
		// Where there is no leader, as after a loss of power everywhere, nobody gains from a full timeout. Where one
		// lives, pre-votes keep an early candidate from disturbing it.
		r.electionTimeout = 1 + r.random.Uint64N((r.config.ElectionTicks+1)/2)
		return
	}
	r.electionTimeout = r.config.ElectionTicks + r.random.Uint64N(r.config.ElectionTicks)
}

// send fills the common fields in. Messages that promise something wait for the sync.
func (r *Replica) send(m Message) {
	m.From = r.config.ID
	m.Group = r.hard.Group
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	if r.isImmediate(&m) {
		r.immediate = append(r.immediate, m)
		return
	}
	r.messages = append(r.messages, m)
}

// isImmediate reports whether a message may leave before this replica's state is synced. What a leader sends promises
// nothing: its term was synced before it asked for votes. A heartbeat's answer vouches only for the term.
func (r *Replica) isImmediate(m *Message) bool {
	if m.fromLeader() {
		return true
	}
	if m.Type == HeartbeatResponse {
		return r.syncedTerm() == r.hard.Term
	}
	return m.Type == VoteResponse && r.config.withoutSyncedVote
}

// syncedTerm returns the term that storage holds for sure.
func (r *Replica) syncedTerm() uint64 {
	if len(r.unsynced) > 0 {
		return r.unsynced[0].hard.Term
	}
	return r.handedHard.Term
}

// Step takes a message of another replica.
func (r *Replica) Step(m Message) {
	if m.To != r.config.ID || !r.admitGroup(&m) {
		return
	}
	switch {
	case m.Term > r.hard.Term:
		if !r.observeTerm(&m) {
			return
		}
	case m.Term < r.hard.Term:
		r.answerStale(&m)
		return
	}
	r.dispatch(&m)
}

// admitGroup drops messages of another group. A replica without a group joins that of the leader who writes to it.
func (r *Replica) admitGroup(m *Message) bool {
	if r.hard.Group == 0 && m.Group != 0 && m.fromLeader() {
		r.hard.Group = m.Group
	}
	return m.Group == r.hard.Group && m.Group != 0
}

// observeTerm adopts a higher term and reports whether the message still counts.
func (r *Replica) observeTerm(m *Message) bool {
	switch {
	case m.Type == PreVote:
		return true
	case m.Type == PreVoteResponse && !m.Reject:
		return true
	case m.Type == Vote && !m.Transfer && r.hearsLeader():
		// A replica that does not hear the leader must not depose it.
		return false
	case m.fromLeader():
		r.becomeFollower(m.Term, m.From)
	default:
		r.becomeFollower(m.Term, None)
	}
	return true
}

// hearsLeader reports whether a leader was heard within the shortest election timeout.
func (r *Replica) hearsLeader() bool {
	if r.config.withoutCheckQuorum {
		return false
	}
	isFresh := r.leader != None && r.elapsed < r.config.ElectionTicks
	return r.role == Leader || isFresh
}

// answerStale tells the sender of an older term which term it must catch up with.
func (r *Replica) answerStale(m *Message) {
	switch {
	case m.fromLeader():
		r.send(Message{Type: AppendResponse, To: m.From, Index: m.Index, Reject: true})
	case m.Type == PreVote:
		r.send(Message{Type: PreVoteResponse, To: m.From, Reject: true})
	}
}

func (r *Replica) dispatch(m *Message) {
	if m.fromLeader() && !r.followLeader(m) {
		return
	}
	switch m.Type {
	case PreVote:
		r.handlePreVote(m)
	case Vote:
		r.handleVote(m)
	case PreVoteResponse, VoteResponse:
		r.handleVoteResponse(m)
	case Append:
		r.handleAppend(m)
	case Heartbeat:
		r.handleHeartbeat(m)
	case InstallSnapshot:
		r.handleChunk(m)
	case TimeoutNow:
		r.handleTimeoutNow()
	case AppendResponse, HeartbeatResponse, InstallSnapshotResponse:
		r.handleProgress(m)
	}
}

// followLeader notes that the sender leads the present term.
func (r *Replica) followLeader(m *Message) bool {
	if r.role == Leader {
		return false
	}
	wasStarting := r.starting
	r.starting = false
	if wasStarting || r.role != Follower || r.leader != m.From {
		// The timeout of a start is too short for one that has a leader.
		r.becomeFollower(m.Term, m.From)
	}
	r.elapsed = 0
	return true
}
