package raft

// Propose appends a command on the leader and returns its position. It is committed when the entry of this index in
// Ready.Committed has this term. Errors: ErrNotLeader, ErrHandingOver.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if err := r.canPropose(); err != nil {
		return 0, 0, err
	}
	index = r.appendOwn(Entry{Kind: Command, Data: data})
	return index, r.hard.Term, nil
}

func (r *Replica) canPropose() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.leading.successor != None {
		return ErrTransferInProgress
	}
	return nil
}

// flush turns what has gathered since the last Ready into messages, one batch for all of it.
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
	r.tellSuccessor()
}

// HasReady reports whether Ready has something to do.
func (r *Replica) HasReady() bool {
	r.flush()
	return r.needsHardState() || r.log.handed < r.log.last() || r.toSave != nil ||
		len(r.immediate) > 0 || len(r.messages) > 0 || r.canApply() || r.canRestore() ||
		len(r.reads.confirmed) > 0 || len(r.reads.failed) > 0
}

// needsHardState ignores the commit index, which is written only along with something else.
func (r *Replica) needsHardState() bool {
	hard := r.hard
	hard.Commit = r.handedHard.Commit
	return hard != r.handedHard
}

func (r *Replica) canApply() bool {
	return r.toRestore == nil && r.applicable() > r.log.applied
}

// applicable is the last index that is committed and that this replica has synced itself, so that a snapshot never
// runs ahead of its own log.
func (r *Replica) applicable() uint64 {
	return min(r.log.committed, r.log.stable)
}

// canRestore reports whether the snapshot that waits to be restored is saved.
func (r *Replica) canRestore() bool {
	if r.toRestore == nil || r.toSave != nil {
		return false
	}
	for _, mark := range r.unsynced {
		if mark.restore {
			return false
		}
	}
	return true
}

// Ready hands out everything to be done and assumes that it will be.
func (r *Replica) Ready() Ready {
	r.flush()
	r.number++
	ready := Ready{
		Number: r.number, Immediate: r.immediate, Messages: r.messages,
		Reads: r.reads.confirmed, FailedReads: r.reads.failed,
	}
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
	r.handToStorage(&ready)
	return ready
}

func (r *Replica) handToStorage(ready *Ready) {
	ready.Snapshot, ready.Discard = r.toSave, r.discard
	r.toSave, r.discard = nil, false
	if r.log.handed < r.log.last() {
		ready.Entries = r.log.slice(r.log.handed+1, r.log.last(), int(^uint(0)>>1))
		r.log.handed = r.log.last()
	}
	if r.needsHardState() || ready.NeedsSync() {
		hard := r.hard
		hard.Commit = r.log.committed
		ready.HardState = &hard
	}
	before := r.handedHard
	if ready.HardState != nil {
		r.handedHard = *ready.HardState
		r.hard.Commit = ready.HardState.Commit
	}
	if !ready.NeedsSync() {
		return
	}
	r.unsynced = append(r.unsynced, syncMark{
		number: r.number, index: r.log.last(), term: r.log.lastTerm(),
		hard: before, snapshot: ready.Snapshot, restore: ready.Discard,
	})
}

// Synced tells that storage has synced everything up to the Ready of that number.
func (r *Replica) Synced(number uint64) {
	for len(r.unsynced) > 0 && r.unsynced[0].number <= number {
		mark := r.unsynced[0]
		r.unsynced = r.unsynced[1:]
		// A position of another term was truncated since: what is stored there is not this log's.
		if r.log.matches(mark.index, mark.term) {
			r.log.stable = max(r.log.stable, mark.index)
		}
		if mark.snapshot != nil && mark.snapshot == r.snapshot {
			r.compactBehind(mark.snapshot.Index)
		}
	}
}

// Compact takes the application's state with everything up to the index applied. The log is cut once it is saved.
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

// Unreachable tells that messages to the member were lost.
func (r *Replica) Unreachable(id ID) {
	if r.role != Leader {
		return
	}
	p := r.leading.members[id]
	if p != nil && p.mode == replicating {
		p.probeFrom(p.match + 1)
		p.waiting = true
	}
}

// MemberStatus is a member as the leader sees it.
type MemberStatus struct {
	Member
	// MatchIndex is the last position known to be synced there; 0 when this replica does not lead.
	MatchIndex uint64
	// IsActive reports whether it answered within an election timeout.
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
	// Applied was handed to the application.
	Applied uint64
	// FirstIndex is the first entry still held, LastIndex the last.
	FirstIndex uint64
	LastIndex  uint64
	// QuorumAge is how many ticks ago the last round of heartbeats started that a quorum answered.
	QuorumAge uint64
	Members   []MemberStatus
	// ConfigurationIndex is where Members stand in the log; they are committed once Commit reaches it.
	ConfigurationIndex uint64
}

// Status returns the present view.
func (r *Replica) Status() Status {
	status := Status{
		ID: r.config.ID, Group: r.hard.Group, Role: r.role, Leader: r.leader, Term: r.hard.Term,
		Commit: r.log.committed, Applied: r.log.applied,
		FirstIndex: r.log.base + 1, LastIndex: r.log.last(), QuorumAge: r.now - r.quorumTick,
		ConfigurationIndex: r.log.configurationIndex(),
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
	view.IsActive = r.isHeard(member.ID)
	return view
}
