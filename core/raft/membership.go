package raft

// AddLearner proposes to add a non-voting member. The leader promotes it to voter once it has caught up.
// Errors: ErrNotLeader, ErrTransferInProgress, ErrNoStorage, ErrChangePending.
func (r *Replica) AddLearner(member Member) (index, term uint64, err error) {
	member.Learner = true
	next := r.log.configuration()
	for _, old := range next.Members {
		// A learner of the same name lost its disk again. Learners don't vote, so dropping it affects no quorum.
		if old.Learner && old.Name == member.Name {
			next = next.Without(old.ID)
		}
	}
	return r.proposeConfiguration(next.With(member))
}

// Remove proposes to remove a member. Errors: as AddLearner, ErrNotMember and ErrLastVoter.
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

// proposeConfiguration appends a configuration. It must differ from the current one by at most one voter.
func (r *Replica) proposeConfiguration(next Configuration) (index, term uint64, err error) {
	if err := r.canPropose(); err != nil {
		return 0, 0, err
	}
	// Until a leader has committed an entry of its own term, it may not know of a change by an earlier leader, and
	// two concurrent changes can have disjoint quorums.
	if r.log.configurationIndex() > r.log.committed || !r.hasCommittedOwnTerm() {
		return 0, 0, ErrChangePending
	}
	index = r.appendEntry(Entry{Kind: Membership, Configuration: &next})
	return index, r.hard.Term, nil
}

func (r *Replica) hasCommittedOwnTerm() bool {
	term, _ := r.log.term(r.log.committed)
	return term == r.hard.Term
}

// promoteLearners promotes the first learner that holds all committed entries. A voter of the same name, whose data
// folder the learner replaces, is removed first, once it no longer answers: the group then tolerates the loss of the
// learner. A proposal that is rejected, as while another change is pending, is repeated at the next tick.
func (r *Replica) promoteLearners() {
	current := r.log.configuration()
	for _, member := range current.Members {
		if !member.Learner || !r.hasCaughtUp(member.ID) {
			continue
		}
		if old, found := current.voterNamed(member.Name); found {
			if !r.isActive(old.ID) {
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

// removeSilentVoter removes a voter that has not answered for SilentTicks, so that a learner can take its place.
func (r *Replica) removeSilentVoter() {
	for _, id := range r.log.configuration().Voters() {
		p := r.leading.members[id]
		if id != r.config.ID && p != nil && r.now-p.lastAckTick >= r.config.SilentTicks {
			// If the removal is rejected, the next tick tries again.
			_, _, _ = r.Remove(id)
			return
		}
	}
}

// isActive reports whether the member answered within an election timeout that its storage is not failing.
func (r *Replica) isActive(id ID) bool {
	if id == r.config.ID {
		return true
	}
	p := r.leading.members[id]
	return p != nil && r.now-p.lastAckTick < r.config.ElectionTicks
}

func (r *Replica) hasCaughtUp(id ID) bool {
	p := r.leading.members[id]
	return r.canStore(id) && p.mode == replicating && p.match >= r.log.committed
}

// Transfer starts to transfer leadership to a voter. Proposals are rejected until the voter has become leader or an
// election timeout has passed. Errors: ErrNotLeader, ErrNotMember.
func (r *Replica) Transfer(to ID) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if to == r.config.ID || !r.log.configuration().IsVoter(to) {
		return ErrNotMember
	}
	r.leading.successor = to
	r.leading.successorElapsed = 0
	r.leading.timeoutNowSent = false
	return nil
}

// Successor returns the other active voter with the longest matching log whose storage is not failing, or None if there
// is none.
func (r *Replica) Successor() ID {
	best := None
	for _, id := range r.others() {
		p := r.leading.members[id]
		if !r.log.configuration().IsVoter(id) || !r.canStore(id) {
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

// sendTimeoutNow tells the successor to start an election once it has the whole log.
func (r *Replica) sendTimeoutNow() {
	id := r.leading.successor
	if id == None || r.leading.timeoutNowSent || r.leading.members[id] == nil {
		return
	}
	if r.leading.members[id].match == r.log.last() {
		r.leading.timeoutNowSent = true
		r.send(Message{Type: TimeoutNow, To: id})
	}
}
