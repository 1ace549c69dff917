package raft

import "slices"

// progressMode says how the leader sends entries to a follower.
type progressMode uint8

const (
	// probing sends one message at a time, since the follower's last matching index is not known.
	probing progressMode = iota
	// replicating pipelines messages without waiting for responses.
	replicating
	// installing sends a snapshot, chunk by chunk.
	installing
)

// progress is the leader's view of the log of another member.
type progress struct {
	match uint64
	next  uint64
	mode  progressMode
	// awaitingResponse is set while a probe or a snapshot chunk is unanswered.
	awaitingResponse bool
	// inflight holds the last index of each unanswered Append, oldest first.
	inflight []uint64
	// ackedRound is the last heartbeat round that the member answered.
	ackedRound uint64
	// lastAckTick is the time of the last answer of the member while its storage was not failing.
	lastAckTick uint64
	// storageFails is set while the member answers that its storage is failing. It is sent no entries.
	storageFails bool
	// lastProgressTick is when the member last acknowledged new data, or when entries were last sent with none in
	// flight.
	lastProgressTick uint64
	// commitSent is the commit index of the last Append.
	commitSent uint64
	snapshot   *Snapshot
	offset     uint64
}

// stalledHeartbeats is the number of heartbeat intervals without progress after which a message is considered lost.
const stalledHeartbeats = 2

// round is one heartbeat broadcast.
type round struct {
	sequence uint64
	tick     uint64
}

// leaderState is the volatile state of a leader.
type leaderState struct {
	members map[ID]*progress
	// sequence is the number of the last round; rounds are those that no quorum has answered yet.
	sequence uint64
	rounds   []round
	// heartbeatElapsed is the number of ticks since the last round.
	heartbeatElapsed uint64
	// successor is the voter to which leadership is being transferred; successorElapsed is the number of ticks since
	// the transfer was requested.
	successor        ID
	successorElapsed uint64
	timeoutNowSent   bool
}

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.config.ID
	r.leaderTerm = r.hard.Term
	r.record(ReasonElectionWon)
	r.starting = false
	r.votes = nil
	r.quorumTick = r.now
	r.leading = leaderState{members: map[ID]*progress{}}
	r.syncMembers()
	r.appendEntry(Entry{Kind: Barrier})
	r.broadcastHeartbeat()
}

// syncMembers adds and removes progress records so that they match the configuration.
func (r *Replica) syncMembers() {
	configuration := r.log.configuration()
	for _, member := range configuration.Members {
		if r.leading.members[member.ID] == nil && member.ID != r.config.ID {
			r.leading.members[member.ID] = &progress{next: r.log.last() + 1, lastAckTick: r.now}
		}
	}
	for id := range r.leading.members {
		if _, found := configuration.Find(id); !found {
			delete(r.leading.members, id)
		}
	}
}

func (r *Replica) appendEntry(entry Entry) uint64 {
	entry.Index = r.log.last() + 1
	entry.Term = r.hard.Term
	r.log.append(entry)
	if entry.Kind == Membership {
		r.syncMembers()
	}
	return entry.Index
}

func (r *Replica) tickLeader() {
	r.leading.heartbeatElapsed++
	if r.leading.heartbeatElapsed >= r.config.HeartbeatTicks {
		r.broadcastHeartbeat()
	}
	if !r.config.withoutCheckQuorum && r.now-r.quorumTick >= r.config.ElectionTicks {
		r.becomeFollower(r.hard.Term, None, ReasonQuorumSilent)
		return
	}
	r.handOver()
	if r.role != Leader {
		return
	}
	r.tickTransfer()
	r.promoteLearners()
}

func (r *Replica) broadcastHeartbeat() {
	r.leading.heartbeatElapsed = 0
	r.leading.sequence++
	r.leading.rounds = append(r.leading.rounds, round{r.leading.sequence, r.now})
	for _, member := range r.others() {
		r.send(Message{
			Type: Heartbeat, To: member, Sequence: r.leading.sequence,
			Commit:    min(r.leading.members[member].match, r.log.committed),
			QuorumAge: r.now - r.quorumTick,
		})
	}
	r.advanceRounds()
}

// others returns the IDs of the other members in ascending order.
func (r *Replica) others() []ID {
	ids := make([]ID, 0, len(r.leading.members))
	for id := range r.leading.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// quorumValue returns the largest value that a quorum of voters has reached.
func (r *Replica) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	voters := r.log.configuration().Voters()
	values := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		if voter == r.config.ID {
			values = append(values, own)
		} else {
			values = append(values, of(r.leading.members[voter]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// advanceRounds updates the time of the last quorum contact and confirms reads, from the rounds that a quorum has
// answered.
func (r *Replica) advanceRounds() {
	answered := r.quorumValue(r.leading.sequence, func(p *progress) uint64 { return p.ackedRound })
	for len(r.leading.rounds) > 0 && r.leading.rounds[0].sequence <= answered {
		r.quorumTick = r.leading.rounds[0].tick
		r.leading.rounds = r.leading.rounds[1:]
	}
	r.reads.confirm(answered)
}

// advanceCommit commits entries that a quorum has synced. Only entries of the leader's own term count: an entry of an
// earlier term may be on a quorum and still be overwritten by a later leader that doesn't have it.
func (r *Replica) advanceCommit() {
	index := r.quorumValue(r.log.stable, func(p *progress) uint64 { return p.match })
	if index <= r.log.committed {
		return
	}
	term, found := r.log.term(index)
	if !found || (term != r.hard.Term && !r.config.withoutOwnTermRule) {
		return
	}
	r.log.committed = index
	if !r.isVoter() && r.log.configurationIndex() <= index {
		r.stepDownRemoved()
	}
}

// stepDownRemoved makes a leader whose own removal is committed step down, and starts an election on the voter with
// the longest log.
func (r *Replica) stepDownRemoved() {
	best := None
	for _, id := range r.others() {
		isBetter := best == None || r.leading.members[id].match > r.leading.members[best].match
		if r.log.configuration().IsVoter(id) && isBetter {
			best = id
		}
	}
	r.sendAppends()
	if best != None {
		r.send(Message{Type: TimeoutNow, To: best})
	}
	r.becomeFollower(r.hard.Term, None, ReasonRemoved)
}

func (r *Replica) handleProgress(m *Message) {
	if r.role != Leader {
		return
	}
	p := r.leading.members[m.From]
	if p == nil {
		return
	}
	switch m.Type {
	case AppendResponse:
		r.handleAppendResponse(m, p)
	case HeartbeatResponse:
		r.handleHeartbeatResponse(m, p)
	case InstallSnapshotResponse:
		r.handleChunkResponse(m, p)
	}
}

func (r *Replica) handleAppendResponse(m *Message, p *progress) {
	if m.Reject {
		r.handleReject(m, p)
		return
	}
	p.awaitingResponse = false
	if m.Index <= p.match && p.mode != probing {
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.lastProgressTick = r.now
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.mode == probing || (p.mode == installing && p.match >= p.snapshot.Index) {
		p.mode = replicating
		p.snapshot = nil
		p.next = p.match + 1
		p.inflight = nil
	}
	r.advanceCommit()
}

func (r *Replica) handleReject(m *Message, p *progress) {
	isStale := m.Index <= p.match || (p.mode == probing && m.Index != p.next-1)
	if isStale || p.mode == installing {
		return
	}
	agreed := r.log.lastAtMost(m.Hint, m.HintTerm)
	p.probeFrom(max(p.match, min(agreed, m.Index-1)) + 1)
}

// probeFrom switches to probing, beginning at index next.
func (p *progress) probeFrom(next uint64) {
	p.mode = probing
	p.next = next
	p.awaitingResponse = false
	p.inflight = nil
	p.snapshot = nil
}

func (r *Replica) handleHeartbeatResponse(m *Message, p *progress) {
	if m.Sequence < p.ackedRound {
		return
	}
	p.ackedRound = m.Sequence
	p.storageFails = m.Reject
	if !p.storageFails {
		p.lastAckTick = r.now
	}
	r.advanceRounds()
	if r.role != Leader || p.storageFails {
		return
	}
	r.retransmit(p)
}

// retransmit resumes sending to a member that answers heartbeats but has not acknowledged data for some time: a
// message was probably lost.
func (r *Replica) retransmit(p *progress) {
	idleTicks := r.now - p.lastProgressTick
	if p.mode == probing {
		p.awaitingResponse = p.awaitingResponse && idleTicks == 0
		return
	}
	isStalled := p.match < r.log.last() && idleTicks >= stalledHeartbeats*r.config.HeartbeatTicks
	switch {
	case !isStalled:
	case p.mode == installing:
		p.awaitingResponse = false
	default:
		p.probeFrom(p.match + 1)
	}
}

func (r *Replica) handleChunkResponse(m *Message, p *progress) {
	if p.mode != installing || m.Index != p.snapshot.Index {
		return
	}
	p.offset = m.Hint
	p.awaitingResponse = false
	p.lastProgressTick = r.now
}

// sendAppends sends each member the entries that it lacks, within the limit of messages in flight.
func (r *Replica) sendAppends() {
	for _, id := range r.others() {
		for r.sendAppend(id, r.leading.members[id]) {
			continue
		}
	}
}

// sendAppend sends one message and reports whether another may be sent at once.
func (r *Replica) sendAppend(id ID, p *progress) bool {
	if p.storageFails || p.awaitingResponse || (p.mode == replicating && !r.needsAppend(p)) {
		return false
	}
	if len(p.inflight) == 0 {
		p.lastProgressTick = r.now
	}
	term, found := r.log.term(p.next - 1)
	if p.mode == installing || !found {
		r.sendChunk(id, p)
		return false
	}
	entries := r.log.slice(p.next, r.log.last(), r.config.MaxAppendBytes)
	r.send(Message{
		Type: Append, To: id, Index: p.next - 1, LogTerm: term,
		Entries: entries, Commit: r.log.committed,
	})
	p.commitSent = r.log.committed
	if p.mode == probing {
		p.awaitingResponse = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
	return true
}

// needsAppend reports whether the member lacks entries and may be sent more, or has not been sent the latest commit
// index and has nothing in flight.
func (r *Replica) needsAppend(p *progress) bool {
	if p.next <= r.log.last() {
		return len(p.inflight) < r.config.MaxInflight
	}
	return len(p.inflight) == 0 && p.commitSent < r.log.committed
}

// sendChunk sends the chunk of the snapshot at the member's offset.
func (r *Replica) sendChunk(id ID, p *progress) {
	if p.mode != installing {
		p.probeFrom(p.next)
		p.mode = installing
		p.snapshot = r.snapshot
		p.offset = 0
	}
	total := uint64(len(p.snapshot.Data))
	start := min(p.offset, total)
	end := min(start+uint64(r.config.ChunkBytes), total)
	p.awaitingResponse = true
	r.send(Message{Type: InstallSnapshot, To: id, Chunk: &Chunk{
		Index: p.snapshot.Index, Term: p.snapshot.Term, Configuration: p.snapshot.Configuration,
		Offset: start, Total: total, Data: p.snapshot.Data[start:end],
	}})
}
