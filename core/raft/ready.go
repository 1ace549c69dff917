package raft

// Propose appends a command to the leader's log and returns its index and term. It is committed if the entry with this
// index in Ready.Committed has this term. Errors: ErrNotLeader, ErrTransferInProgress, ErrNoStorage.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if err := r.canPropose(); err != nil {
		return 0, 0, err
	}
	index = r.appendEntry(Entry{Kind: Command, Data: data})
	return index, r.hard.Term, nil
}

func (r *Replica) canPropose() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.canCommit() {
		return ErrNoStorage
	}
	if r.leading.successor != None {
		return ErrTransferInProgress
	}
	return nil
}

// flush turns the input since the last Ready into messages, in one batch.
func (r *Replica) flush() {
	if r.role != Leader {
		return
	}
	r.advanceCommit()
	if r.role != Leader {
		return
	}
	r.startReads()
	r.sendAppends()
	r.sendTimeoutNow()
}

// HasReady reports whether there is work for Ready to return.
func (r *Replica) HasReady() bool {
	r.flush()
	return r.hasWrites() ||
		len(r.immediate) > 0 || len(r.messages) > 0 || r.canApply() || r.canRestore() ||
		len(r.reads.confirmed) > 0 || len(r.reads.failed) > 0 || len(r.transitions) > 0
}

// hasWrites reports whether there is anything to submit to storage, and storage takes it.
func (r *Replica) hasWrites() bool {
	return r.storage == StorageWorks && (r.needsHardState() || r.log.submitted < r.log.last() || r.toSave != nil)
}

// needsHardState ignores the commit index, which is not written on its own.
func (r *Replica) needsHardState() bool {
	hard := r.hard
	hard.Commit = r.submittedHard.Commit
	return hard != r.submittedHard
}

func (r *Replica) canApply() bool {
	return r.toRestore == nil && r.applicable() > r.log.applied
}

// applicable returns the last index that is committed and that this replica has synced itself. A snapshot therefore
// never contains entries that are missing from the replica's own storage.
func (r *Replica) applicable() uint64 {
	return min(r.log.committed, r.log.stable)
}

// canRestore reports whether there is a snapshot to restore and it has been saved.
func (r *Replica) canRestore() bool {
	if r.toRestore == nil || r.toSave != nil {
		return false
	}
	for _, pending := range r.unsynced {
		if pending.restore {
			return false
		}
	}
	return true
}

// Ready returns the work to be done. The caller must carry out all of it.
func (r *Replica) Ready() Ready {
	r.flush()
	r.number++
	ready := Ready{
		Number: r.number, Immediate: r.immediate, Messages: r.messages,
		Reads: r.reads.confirmed, FailedReads: r.reads.failed,
		Transitions: r.transitions,
	}
	r.transitions = nil
	r.immediate, r.messages = nil, nil
	r.reads.confirmed, r.reads.failed = nil, nil
	if r.canRestore() {
		ready.Restore = r.toRestore
		r.toRestore = nil
	}
	if r.canApply() {
		ready.Committed = r.log.slice(r.log.applied+1, r.applicable(), r.config.MaxAppendBytes)
		r.log.applied += uint64(len(ready.Committed))
	}
	r.submitToStorage(&ready)
	return ready
}

func (r *Replica) submitToStorage(ready *Ready) {
	if !r.hasWrites() {
		return
	}
	ready.Snapshot, ready.Discard = r.toSave, r.discard
	r.toSave, r.discard = nil, false
	if r.log.submitted < r.log.last() {
		ready.Entries = r.log.slice(r.log.submitted+1, r.log.last(), int(^uint(0)>>1))
		r.log.submitted = r.log.last()
	}
	previous := r.submittedHard
	r.hard.Commit = r.log.committed
	r.submittedHard = r.hard
	hard := r.hard
	ready.HardState = &hard
	r.unsynced = append(r.unsynced, pendingSync{
		number: r.number, index: r.log.last(), term: r.log.lastTerm(),
		hard: previous, snapshot: ready.Snapshot, restore: ready.Discard,
	})
}

// Synced reports that storage has synced every Ready up to that number.
func (r *Replica) Synced(number uint64) {
	for len(r.unsynced) > 0 && r.unsynced[0].number <= number {
		pending := r.unsynced[0]
		r.unsynced = r.unsynced[1:]
		// If the term differs, the entry was truncated after it was submitted, so the stored one is not part of this log.
		if r.log.matches(pending.index, pending.term) {
			r.log.stable = max(r.log.stable, pending.index)
		}
		if pending.snapshot != nil && pending.snapshot == r.snapshot {
			r.compactBehind(pending.snapshot.Index)
		}
	}
}

// Compact sets a snapshot of the application's state after applying all entries up to the index. The log is compacted
// once the snapshot is saved. An index that can't be used now is ignored.
func (r *Replica) Compact(index uint64, data []byte) {
	isOld := r.snapshot != nil && index <= r.snapshot.Index
	if isOld || index > r.log.applied || r.toSave != nil || r.toRestore != nil {
		return
	}
	term, found := r.log.term(index)
	if !found {
		return
	}
	r.snapshot = &Snapshot{Index: index, Term: term, Configuration: r.log.configurationAt(index), Data: data}
	r.toSave = r.snapshot
}

func (r *Replica) compactBehind(index uint64) {
	to := min(index, r.log.applied)
	r.log.compact(r.log.tailStart(to, r.config.KeepEntries, r.config.KeepBytes))
}

// Unreachable reports that messages to the member were lost.
func (r *Replica) Unreachable(id ID) {
	if r.role != Leader {
		return
	}
	p := r.leading.members[id]
	if p != nil && p.mode == replicating {
		p.probeFrom(p.match + 1)
		p.awaitingResponse = true
	}
}

// MemberStatus is the leader's view of a member.
type MemberStatus struct {
	Member
	// MatchIndex is the last index known to be synced by the member; 0 if this replica is not the leader.
	MatchIndex uint64
	// IsActive is true if the member answered within an election timeout.
	IsActive bool
}

// Status is a replica's view of the group.
type Status struct {
	ID     ID
	Group  uint64
	Role   Role
	Leader ID
	Term   uint64
	Commit uint64
	// Applied is the last index passed to the application.
	Applied uint64
	// Synced is the last index that this replica has synced.
	Synced uint64
	// CanCommit is set on a leader unless it knows that no quorum can store entries.
	CanCommit bool
	// FirstIndex and LastIndex are the indexes of the first and last entry in the log.
	FirstIndex uint64
	LastIndex  uint64
	// QuorumAge is the number of ticks since the start of the last heartbeat round that a quorum answered.
	QuorumAge uint64
	Members   []MemberStatus
	// ConfigurationIndex is the log index of the configuration in Members, which is committed once Commit reaches it.
	ConfigurationIndex uint64
}

// Status returns the replica's current view of the group.
func (r *Replica) Status() Status {
	status := Status{
		ID: r.config.ID, Group: r.hard.Group, Role: r.role, Leader: r.leader, Term: r.hard.Term,
		Commit: r.log.committed, Applied: r.log.applied,
		FirstIndex: r.log.base + 1, LastIndex: r.log.last(), QuorumAge: r.now - r.quorumTick,
		ConfigurationIndex: r.log.configurationIndex(), Synced: r.log.stable,
		CanCommit: r.role == Leader && r.canCommit(),
	}
	for _, member := range r.log.configuration().Members {
		status.Members = append(status.Members, r.memberStatus(member))
	}
	return status
}

func (r *Replica) memberStatus(member Member) MemberStatus {
	view := MemberStatus{Member: member}
	if r.role != Leader {
		return view
	}
	if member.ID == r.config.ID {
		view.MatchIndex, view.IsActive = r.log.stable, true
		return view
	}
	view.MatchIndex = r.leading.members[member.ID].match
	view.IsActive = r.isActive(member.ID)
	return view
}
