package raft

// Reason says why a replica changed its role.
type Reason string

// Reasons of a Transition.
const (
	ReasonStarted        Reason = "started"
	ReasonLeaderSilent   Reason = "no message from a leader within the election timeout"
	ReasonNoLeader       Reason = "no leader found since the start"
	ReasonElectionFailed Reason = "the previous election had no result"
	ReasonPreVoteWon     Reason = "a quorum would grant its votes"
	ReasonElectionWon    Reason = "a quorum granted its votes"
	ReasonElectionLost   Reason = "a quorum refused its votes"
	ReasonTransfer       Reason = "the leader transferred leadership"
	ReasonQuorumSilent   Reason = "no quorum answered within the election timeout"
	ReasonStorage        Reason = "the storage takes no writes"
	ReasonRemoved        Reason = "removed from the group"
	ReasonHigherTerm     Reason = "a message with a higher term arrived"
	ReasonLeaderFound    Reason = "a message from a leader arrived"
)

// String returns the role as it is shown in logs.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "unknown"
}

// Transition is a change of a replica's role.
type Transition struct {
	Role   Role
	Term   uint64
	Reason Reason
}

func (r *Replica) record(reason Reason) {
	r.transitions = append(r.transitions, Transition{Role: r.role, Term: r.hard.Term, Reason: reason})
}

// maxBackoffShift limits the random part of the election timeout to 4 times its normal range. If the minimum grew too, a
// group that recovers from long faults could be without a leader for more than 20 minimum timeouts.
const maxBackoffShift = 2

// backoff returns the factor by which elections without a result extend the random part of the election timeout. If messages or syncs take
// longer than the timeout, each candidate would otherwise be superseded before its votes arrive, and no leader would
// ever be elected. The factor depends on the term, so all voters that saw the same elections wait alike.
func (r *Replica) backoff() uint64 {
	failed := uint64(0)
	if r.hard.Term > r.leaderTerm {
		failed = r.hard.Term - r.leaderTerm - 1
	}
	return 1 << min(failed, maxBackoffShift)
}
