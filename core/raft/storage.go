package raft

// StorageState says whether the storage takes writes.
type StorageState uint8

const (
	// StorageWorks is the state of a new replica.
	StorageWorks StorageState = iota
	// StorageStalled means that a write has been in progress for so long that an election would have been faster. It may
	// still succeed.
	StorageStalled
	// StorageFailing means that a write has failed. The caller keeps it and repeats it.
	StorageFailing
)

// SetStorage tells the replica whether its storage takes writes. Until it does, the replica submits none, so that its
// memory doesn't grow: it drops entries, snapshots and requests for votes, which their senders repeat, and starts no
// election. It still answers heartbeats, which need no storage, and says in the answers that its storage is failing. A
// leader hands over to a voter that can store entries, if that voter has a quorum without this replica.
func (r *Replica) SetStorage(state StorageState) {
	r.storage = state
	switch {
	case state == StorageWorks && r.role != Leader && r.elapsed >= r.electionTimeout:
		// Voters whose storage works again at the same moment must not start their elections at the same moment.
		r.resetElectionTimer()
	case state == StorageFailing && (r.role == PreCandidate || r.role == Candidate):
		r.becomeFollower(r.hard.Term, None, ReasonStorage)
	}
	r.handOver()
}

// handOver makes a leader whose storage doesn't take writes step down in favour of a voter that can commit entries.
// Without such a voter it keeps leading, since heartbeats and reads need no storage.
func (r *Replica) handOver() {
	if r.role != Leader || r.storage == StorageWorks {
		return
	}
	best, able := None, 0
	voters := r.log.configuration().Voters()
	for _, id := range voters {
		if !r.canStore(id) {
			continue
		}
		able++
		if best == None || r.leading.members[id].match > r.leading.members[best].match {
			best = id
		}
	}
	if able <= len(voters)/2 {
		return
	}
	if r.storage == StorageStalled && r.leading.members[best].match <= r.log.stable {
		// The storage of the other voters is no faster, so one of them would serve no better.
		return
	}
	r.sendAppends()
	r.send(Message{Type: TimeoutNow, To: best})
	r.becomeFollower(r.hard.Term, None, ReasonStorage)
}

// canStore reports whether another member is active and its storage not known to fail.
func (r *Replica) canStore(id ID) bool {
	return id != r.config.ID && r.isActive(id) && !r.leading.members[id].storageFails
}

// canCommit reports whether a quorum may be able to store entries. A voter that doesn't answer may be one that can't store
// this term.
func (r *Replica) canCommit() bool {
	voters := r.log.configuration().Voters()
	able := 0
	for _, id := range voters {
		if id == r.config.ID && r.storage != StorageFailing || r.canStore(id) {
			able++
		}
	}
	return able > len(voters)/2
}
