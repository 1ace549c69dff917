package raft

// campaign starts an election, with a pre-vote first.
func (r *Replica) campaign(reason Reason) {
	if r.config.withoutPreVote {
		r.startElection(false, reason)
		return
	}
	r.resetElectionTimer()
	r.role = PreCandidate
	r.leader = None
	r.votes = map[ID]bool{r.config.ID: true}
	r.record(reason)
	if r.wonVote() {
		r.startElection(false, ReasonPreVoteWon)
		return
	}
	r.requestVotes(Message{Type: PreVote, Term: r.hard.Term + 1})
}

// startElection raises the term and requests votes.
func (r *Replica) startElection(transfer bool, reason Reason) {
	r.role = Candidate
	r.leader = None
	r.hard.Term++
	r.hard.Vote = r.config.ID
	r.resetElectionTimer()
	r.record(reason)
	r.votes = map[ID]bool{r.config.ID: true}
	if r.wonVote() {
		r.becomeLeader()
		return
	}
	r.requestVotes(Message{Type: Vote, Transfer: transfer})
}

func (r *Replica) requestVotes(m Message) {
	m.Index = r.log.last()
	m.LogTerm = r.log.lastTerm()
	for _, voter := range r.log.configuration().Voters() {
		if voter != r.config.ID {
			m.To = voter
			r.send(m)
		}
	}
}

func (r *Replica) wonVote() bool {
	voters := r.log.configuration().Voters()
	granted := 0
	for _, voter := range voters {
		if r.votes[voter] {
			granted++
		}
	}
	return granted > len(voters)/2
}

func (r *Replica) lostVote() bool {
	voters := r.log.configuration().Voters()
	refused := 0
	for _, voter := range voters {
		if granted, answered := r.votes[voter]; answered && !granted {
			refused++
		}
	}
	return refused > (len(voters)-1)/2
}

func (r *Replica) handlePreVote(m *Message) {
	if r.hasActiveLeader() {
		return
	}
	if m.Term <= r.hard.Term || !r.log.isUpToDate(m.Index, m.LogTerm) {
		r.send(Message{Type: PreVoteResponse, To: m.From, Reject: true})
		return
	}
	r.send(Message{Type: PreVoteResponse, To: m.From, Term: m.Term})
}

func (r *Replica) handleVote(m *Message) {
	canVote := r.hard.Vote == m.From || (r.hard.Vote == None && r.leader == None)
	if !canVote || !r.log.isUpToDate(m.Index, m.LogTerm) {
		r.send(Message{Type: VoteResponse, To: m.From, Reject: true})
		return
	}
	r.hard.Vote = m.From
	r.elapsed = 0
	r.send(Message{Type: VoteResponse, To: m.From})
}

func (r *Replica) handleVoteResponse(m *Message) {
	switch {
	case r.role == PreCandidate && m.Type == PreVoteResponse:
		if !m.Reject && m.Term != r.hard.Term+1 || r.storage != StorageWorks {
			return
		}
	case r.role == Candidate && m.Type == VoteResponse:
	default:
		return
	}
	r.votes[m.From] = !m.Reject
	switch {
	case r.wonVote() && r.role == PreCandidate:
		r.startElection(false, ReasonPreVoteWon)
	case r.wonVote():
		r.becomeLeader()
	case r.lostVote():
		r.becomeFollower(r.hard.Term, None, ReasonElectionLost)
	}
}

// handleTimeoutNow starts an election at once: the leader is transferring leadership and accepts no more proposals.
func (r *Replica) handleTimeoutNow() {
	if r.isVoter() {
		r.startElection(true, ReasonTransfer)
	}
}
