package raft

// AddLearner proposes a new member that receives the log without counting. The leader promotes it once it has caught
// up. Errors: ErrNotLeader, ErrHandingOver, ErrChangePending.
func (r *Replica) AddLearner(member Member) (index, term uint64, err error) {
	member.Learner = true
	next := r.log.configuration()
	for _, old := range next.Members {
		// A learner of the same name lost its disk again. It counted for nothing.
		if old.Learner && old.Name == member.Name {
			next = next.Without(old.ID)
		}
	}
	return r.proposeConfiguration(next.With(member))
}

// Remove proposes to end a member's part in the group. Errors: as AddLearner, ErrNotMember and ErrLastVoter.
func (r *Replica) Remove(id ID) (index, term uint64, err error) {
	current := r.log.configuration()
	if _, found := current.Find(id); !found {
		return 0, 0, ErrNotMember
	}
	next := current.Without(id)
	if len(next.Voters()) == 0 {
		return 0, 0, ErrLastVoter
	}
	return r.proposeConfiguration(next)
}

// proposeConfiguration appends a configuration that differs from the present one by one member.
func (r *Replica) proposeConfiguration(next Configuration) (index, term uint64, err error) {
	if err := r.canPropose(); err != nil {
		return 0, 0, err
	}
	// Without an entry of its own term committed, a leader may not know of a change by an earlier one, and two
	// changes in flight can have disjoint quorums.
	if r.log.configurationIndex() > r.log.committed || !r.hasCommittedOwnTerm() {
		return 0, 0, ErrChangePending
	}
	index = r.appendOwn(Entry{Kind: Membership, Configuration: &next})
	return index, r.hard.Term, nil
}

func (r *Replica) hasCommittedOwnTerm() bool {
	term, _ := r.log.term(r.log.committed)
	return term == r.hard.Term
}

// promoteLearners makes a voter of the first learner that holds everything committed. A voter of the same name, whose
// data folder the learner replaces, goes first, as the group can then lose the learner and still go on.
func (r *Replica) promoteLearners() {
	current := r.log.configuration()
	for _, member := range current.Members {
		if !member.Learner || !r.hasCaughtUp(member.ID) {
			continue
		}
		if old, found := current.voterNamed(member.Name); found {
			if !r.isHeard(old.ID) {
				_, _, _ = r.Remove(old.ID)
			}
			return
		}
		if r.config.Voters > 0 && len(current.Voters()) >= r.config.Voters {
			r.removeSilentVoter()
			return
		}
		member.Learner = false
		_, _, _ = r.proposeConfiguration(current.With(member))
		return
	}
}

// removeSilentVoter makes room for a learner that has caught up.
func (r *Replica) removeSilentVoter() {
	for _, id := range r.log.configuration().Voters() {
		p := r.leading.members[id]
		if id != r.config.ID && p != nil && r.now-p.ackedTick >= r.config.SilentTicks {
			_, _, _ = r.Remove(id)
			return
		}
	}
}

// isHeard reports whether the member answered within an election timeout.
func (r *Replica) isHeard(id ID) bool {
	if id == r.config.ID {
		return true
	}
	p := r.leading.members[id]
	return p != nil && r.now-p.ackedTick < r.config.ElectionTicks
}

func (r *Replica) hasCaughtUp(id ID) bool {
	p := r.leading.members[id]
	return r.isHeard(id) && p.mode == replicating && p.match >= r.log.committed
}

// Transfer hands leadership to a voter: proposals are refused until it has taken over or an election timeout has
// passed. Errors: ErrNotLeader, ErrNotMember.
func (r *Replica) Transfer(to ID) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if to == r.config.ID || !r.log.configuration().IsVoter(to) {
		return ErrNotMember
	}
	r.leading.successor = to
	r.leading.successorElapsed = 0
	r.leading.successorTold = false
	return nil
}

// Successor returns the voter that is best placed to take over, None when there is none.
func (r *Replica) Successor() ID {
	best := None
	for _, id := range r.others() {
		p := r.leading.members[id]
		if !r.log.configuration().IsVoter(id) || !r.isHeard(id) {
			continue
		}
		if best == None || p.match > r.leading.members[best].match {
			best = id
		}
	}
	return best
}

func (r *Replica) tickTransfer() {
	if r.leading.successor == None {
		return
	}
	r.leading.successorElapsed++
	if r.leading.successorElapsed >= r.config.ElectionTicks {
		r.leading.successor = None
	}
}

// tellSuccessor starts the successor's election once it holds the whole log.
func (r *Replica) tellSuccessor() {
	id := r.leading.successor
	if id == None || r.leading.successorTold || r.leading.members[id] == nil {
		return
	}
	if r.leading.members[id].match == r.log.last() {
		r.leading.successorTold = true
		r.send(Message{Type: TimeoutNow, To: id})
	}
}
