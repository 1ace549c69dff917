package raft

import (
	"math/rand/v2"

	"github.com/go-faster/errors"
)

// Role is the role of a replica in its current term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors of New, proposals and reads.
var (
	// ErrNotLeader means that this replica is not the leader.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrTransferInProgress means that the leader accepts no proposals because it is transferring leadership.
	ErrTransferInProgress = errors.New("a leadership transfer is in progress")
	// ErrChangePending means that an earlier membership change, or the leader's first entry, is not committed yet.
	ErrChangePending = errors.New("an earlier membership change is not committed yet")
	// ErrNotMember means that there is no such member, or for Transfer no such other voter.
	ErrNotMember = errors.New("no such member")
	// ErrLastVoter means that the group would be left without voters.
	ErrLastVoter = errors.New("the last voter can't be removed")
	// ErrNoStorage means that no quorum of the voters answers and can store entries.
	ErrNoStorage = errors.New("the storage of a quorum takes no writes")
	// ErrInvalidConfig means that a Config has no ID or inconsistent tick counts.
	ErrInvalidConfig = errors.New("raft config: ID must be set and ElectionTicks larger than HeartbeatTicks")
)

// Config holds the parameters of a replica.
type Config struct {
	ID ID
	// ElectionTicks is the minimum election timeout; the maximum is twice as long.
	ElectionTicks uint64
	// HeartbeatTicks is the interval between heartbeat rounds.
	HeartbeatTicks uint64
	// Seed makes the election timeouts differ between replicas.
	Seed uint64
	// MaxAppendBytes limits the size of the entries in one message.
	MaxAppendBytes int
	// MaxInflight limits the unanswered Append messages to one follower.
	MaxInflight int
	// ChunkBytes is the size of a snapshot chunk.
	ChunkBytes int
	// KeepEntries is the number of entries before a snapshot that stay in the log, so that a follower that is a
	// little behind needs no snapshot.
	KeepEntries uint64
	// KeepBytes limits the size of these entries.
	KeepBytes int

	// Voters is the number of voters up to which learners are promoted; 0 means no limit.
	Voters int
	// SilentTicks is how long a voter may go without answering before it is removed in favour of a learner, if the group
	// already has as many voters as Voters allows.
	SilentTicks uint64

	// Tests disable these safeguards to show that each of them is needed.
	withoutPreVote     bool
	withoutCheckQuorum bool
	withoutOwnTermRule bool
	withoutSyncedVote  bool
}

// Restart is the state read from storage at startup. It is empty for a new replica.
type Restart struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Replica is one member of a Raft group. It is not safe for concurrent use.
type Replica struct {
	config Config
	random *rand.Rand
	hard   HardState
	// submittedHard is the hard state last passed to storage.
	submittedHard HardState
	storage       StorageState
	role          Role
	leader        ID
	log           replicaLog
	snapshot      *Snapshot
	// now is the number of ticks since New.
	now uint64
	// elapsed is the number of ticks since the replica last heard from its leader, granted a vote or started an
	// election.
	elapsed uint64
	// starting is true until the replica first hears from a leader or becomes one.
	starting        bool
	electionTimeout uint64
	// leaderTerm is the last term in which this replica knew a leader, or its term at the start.
	leaderTerm uint64
	// quorumTick is the start time of the last heartbeat round that a quorum is known to have answered.
	quorumTick uint64

	votes    map[ID]bool
	leading  leaderState
	incoming *Snapshot
	reads    readQueue

	number    uint64
	unsynced  []pendingSync
	immediate []Message
	messages  []Message
	toSave    *Snapshot
	discard   bool
	toRestore *Snapshot
	// transitions are the changes of the role since the last Ready.
	transitions []Transition
}

// pendingSync records what a Ready submitted to storage: the log up to index, whose term is term.
type pendingSync struct {
	number uint64
	index  uint64
	term   uint64
	// hard is the hard state submitted before this Ready.
	hard     HardState
	snapshot *Snapshot
	restore  bool
}

// New returns a replica that continues from the stored state. The error is ErrInvalidConfig.
func New(config Config, stored Restart) (*Replica, error) {
	if config.ID == None || config.ElectionTicks <= config.HeartbeatTicks || config.HeartbeatTicks == 0 {
		return nil, ErrInvalidConfig
	}
	r := &Replica{
		config:        config,
		random:        rand.New(rand.NewPCG(config.Seed, uint64(config.ID))), //nolint:gosec // Timeouts need no secrecy.
		hard:          stored.HardState,
		submittedHard: stored.HardState,
	}
	if stored.Snapshot != nil {
		r.snapshot = stored.Snapshot
		r.log.reset(stored.Snapshot)
		if stored.Snapshot.Term > r.hard.Term {
			r.hard.Term, r.hard.Vote = stored.Snapshot.Term, None
		}
	}
	r.log.append(stored.Entries...)
	r.log.submitted = r.log.last()
	r.log.stable = r.log.last()
	r.log.committed = max(r.log.committed, min(stored.HardState.Commit, r.log.last()))
	r.leaderTerm = r.hard.Term
	r.becomeFollower(r.hard.Term, None, ReasonStarted)
	r.starting = true
	r.resetElectionTimer()
	return r, nil
}

// Tick advances the replica's logical clock by one unit.
func (r *Replica) Tick() {
	r.now++
	r.elapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.elapsed < r.electionTimeout || !r.isVoter() {
		return
	}
	if r.storage != StorageWorks {
		r.leader = None
		return
	}
	r.elapsed = 0
	r.campaign(r.timeoutReason())
}

func (r *Replica) isVoter() bool {
	return r.log.configuration().IsVoter(r.config.ID)
}

// timeoutReason says why this replica's election timeout has passed.
func (r *Replica) timeoutReason() Reason {
	switch {
	case r.role == Candidate:
		return ReasonElectionFailed
	case r.starting:
		return ReasonNoLeader
	}
	return ReasonLeaderSilent
}

func (r *Replica) becomeFollower(term uint64, leader ID, reason Reason) {
	if term > r.hard.Term {
		r.hard.Term = term
		r.hard.Vote = None
	}
	if r.role == Leader {
		r.reads.fail()
	}
	if r.role != Follower {
		defer r.record(reason)
	}
	if leader != None {
		r.leaderTerm = term
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.leading = leaderState{}
	r.resetElectionTimer()
}

func (r *Replica) resetElectionTimer() {
	r.elapsed = 0
	factor := r.backoff()
	if r.starting && factor < 1<<maxBackoffShift {
		// Without a leader, as after a power loss of the whole group, a full timeout only delays the election. If there
		// is a leader, the pre-vote keeps an early candidate from disrupting it.
		r.electionTimeout = factor * (1 + r.random.Uint64N((r.config.ElectionTicks+1)/2))
		return
	}
	r.electionTimeout = r.config.ElectionTicks + r.random.Uint64N(factor*r.config.ElectionTicks)
}

// send fills in the common fields and queues the message. Messages that depend on unsynced state wait for the sync.
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
	if r.storage != StorageWorks {
		// The message can't be sent for now and would be outdated later.
		return
	}
	r.messages = append(r.messages, m)
}

// isImmediate reports whether a message may be sent before this replica's state is synced. A leader's messages and
// heartbeat responses depend only on the term. A leader whose group has several voters has synced its term before it
// requested their votes; a sole voter leads at once.
func (r *Replica) isImmediate(m *Message) bool {
	if m.fromLeader() || m.Type == HeartbeatResponse {
		return r.syncedTerm() == r.hard.Term
	}
	return m.Type == VoteResponse && r.config.withoutSyncedVote
}

// syncedTerm returns the latest term that is known to be synced.
func (r *Replica) syncedTerm() uint64 {
	if len(r.unsynced) > 0 {
		return r.unsynced[0].hard.Term
	}
	return r.submittedHard.Term
}

// Step processes a message from another replica.
func (r *Replica) Step(m Message) {
	if m.To != r.config.ID || !r.admitGroup(&m) {
		return
	}
	if r.storage != StorageWorks && (m.Type == PreVote || m.Type == Vote || m.Type == TimeoutNow) {
		// This replica can store neither a vote nor the term.
		return
	}
	switch {
	case m.Term > r.hard.Term:
		if !r.observeTerm(&m) {
			return
		}
	case m.Term < r.hard.Term:
		r.rejectStaleTerm(&m)
		return
	}
	r.dispatch(&m)
}

// admitGroup reports whether the message belongs to this replica's group. A replica without a group joins that of the
// first leader that contacts it.
func (r *Replica) admitGroup(m *Message) bool {
	if r.hard.Group == 0 && m.Group != 0 && m.fromLeader() {
		r.hard.Group = m.Group
	}
	return m.Group == r.hard.Group && m.Group != 0
}

// observeTerm handles a message with a higher term, adopts the term where the rules allow it, and reports whether to
// process the message.
func (r *Replica) observeTerm(m *Message) bool {
	switch {
	case m.Type == PreVote:
		return true
	case m.Type == PreVoteResponse && !m.Reject:
		return true
	case m.Type == Vote && !m.Transfer && r.hasActiveLeader():
		// A replica that can't reach the leader must not depose it.
		return false
	case m.fromLeader():
		r.becomeFollower(m.Term, m.From, ReasonLeaderFound)
	default:
		r.becomeFollower(m.Term, None, ReasonHigherTerm)
	}
	return true
}

// hasActiveLeader reports whether this replica is the leader or heard from one within the minimum election timeout.
func (r *Replica) hasActiveLeader() bool {
	if r.config.withoutCheckQuorum {
		return false
	}
	isFresh := r.leader != None && r.elapsed < r.config.ElectionTicks
	return r.role == Leader || isFresh
}

// rejectStaleTerm answers a message with an older term, so that its sender learns the current one.
func (r *Replica) rejectStaleTerm(m *Message) {
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

// followLeader records the sender as leader of the current term. It returns false if this replica is the leader.
func (r *Replica) followLeader(m *Message) bool {
	if r.role == Leader {
		return false
	}
	wasStarting := r.starting
	r.starting = false
	if wasStarting || r.role != Follower || r.leader != m.From {
		// The shorter timeout after startup must not be used once there is a leader.
		r.becomeFollower(m.Term, m.From, ReasonLeaderFound)
	}
	r.elapsed = 0
	return true
}
