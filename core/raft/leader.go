package raft

import "slices"

// progressMode says how the leader sends entries to a follower.
type progressMode uint8

const (
	// probing sends one message and waits for its answer, since the position is not known.
	probing progressMode = iota
	// replicating sends further messages before the answers to earlier ones.
	replicating
	// installing sends a snapshot, chunk by chunk.
	installing
)

// progress is what a leader knows of one other member.
type progress struct {
	match uint64
	next  uint64
	mode  progressMode
	// waiting is set while a probe or a chunk has no answer.
	waiting bool
	// inflight are the last indexes of unanswered messages, oldest first.
	inflight []uint64
	// acknowledged is the last round of heartbeats that the member answered, and ackedTick when.
	acknowledged uint64
	ackedTick    uint64
	// movedTick is when the member last made progress or got the first message after a pause.
	movedTick uint64
	// commitSent is the last commit index told in an Append.
	commitSent uint64
	snapshot   *Snapshot
	offset     uint64
}

// stalledRounds is how many pauses between heartbeats without progress show that a message was lost.
const stalledRounds = 2

// round is one broadcast of heartbeats.
type round struct {
	sequence uint64
	tick     uint64
}

// leaderState exists while a replica leads.
type leaderState struct {
	members map[ID]*progress
	// sequence is the last round, rounds those that no quorum has answered.
	sequence uint64
	rounds   []round
	// heartbeatElapsed counts ticks since the last round.
	heartbeatElapsed uint64
	// successor is who takes over, successorElapsed counts ticks since this was asked.
	successor        ID
	successorElapsed uint64
	successorTold    bool
}

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.config.ID
	r.votes = nil
	r.quorumTick = r.now
	r.leading = leaderState{members: map[ID]*progress{}}
	r.syncMembers()
	r.appendOwn(Entry{Kind: Barrier})
	r.broadcastHeartbeat()
}

// syncMembers makes the progress table follow the configuration.
func (r *Replica) syncMembers() {
	configuration := r.log.configuration()
	for _, member := range configuration.Members {
		if r.leading.members[member.ID] == nil && member.ID != r.config.ID {
			r.leading.members[member.ID] = &progress{next: r.log.last() + 1, ackedTick: r.now}
		}
	}
	for id := range r.leading.members {
		if _, found := configuration.Find(id); !found {
			delete(r.leading.members, id)
		}
	}
}

func (r *Replica) appendOwn(entry Entry) uint64 {
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
		r.becomeFollower(r.hard.Term, None)
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

// others returns the other members in a fixed order.
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

// advanceRounds confirms reads and the leader's own standing by the rounds that a quorum has answered.
func (r *Replica) advanceRounds() {
	answered := r.quorumValue(r.leading.sequence, func(p *progress) uint64 { return p.acknowledged })
	for len(r.leading.rounds) > 0 && r.leading.rounds[0].sequence <= answered {
		r.quorumTick = r.leading.rounds[0].tick
		r.leading.rounds = r.leading.rounds[1:]
	}
	r.reads.confirm(answered)
}

// advanceCommit commits what a quorum has synced. Only entries of the own term count: an older one on a quorum may
// still be overwritten by a leader that never saw it.
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
		r.resignRemoved()
	}
}

// resignRemoved ends the leadership of a replica whose own removal is committed.
func (r *Replica) resignRemoved() {
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
	r.becomeFollower(r.hard.Term, None)
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
	p.waiting = false
	if m.Index <= p.match && p.mode != probing {
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.movedTick = r.now
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
	isLate := m.Index <= p.match || (p.mode == probing && m.Index != p.next-1)
	if isLate || p.mode == installing {
		return
	}
	meeting := r.log.lastAtMost(m.Hint, m.HintTerm)
	p.probeFrom(max(p.match, min(meeting, m.Index-1)) + 1)
}

// probeFrom falls back to one message at a time.
func (p *progress) probeFrom(next uint64) {
	p.mode = probing
	p.next = next
	p.waiting = false
	p.inflight = nil
	p.snapshot = nil
}

func (r *Replica) handleHeartbeatResponse(m *Message, p *progress) {
	p.acknowledged = max(p.acknowledged, m.Sequence)
	p.ackedTick = r.now
	r.advanceRounds()
	if r.role != Leader {
		return
	}
	r.retransmit(p)
}

// retransmit sends again what seems lost, since the member answers heartbeats and nothing else.
func (r *Replica) retransmit(p *progress) {
	still := r.now - p.movedTick
	if p.mode == probing {
		p.waiting = p.waiting && still == 0
		return
	}
	isStalled := p.match < r.log.last() && still >= stalledRounds*r.config.HeartbeatTicks
	switch {
	case !isStalled:
	case p.mode == installing:
		p.waiting = false
	default:
		p.probeFrom(p.match + 1)
	}
}

func (r *Replica) handleChunkResponse(m *Message, p *progress) {
	if p.mode != installing || m.Index != p.snapshot.Index {
		return
	}
	p.offset = m.Hint
	p.waiting = false
	p.movedTick = r.now
}

// sendAppends sends each member what it lacks, within its window.
func (r *Replica) sendAppends() {
	for _, id := range r.others() {
		for r.sendAppend(id, r.leading.members[id]) {
			continue
		}
	}
}

// sendAppend sends one message and reports whether another may follow.
func (r *Replica) sendAppend(id ID, p *progress) bool {
	if p.waiting || (p.mode == replicating && !r.hasNews(p)) {
		return false
	}
	if len(p.inflight) == 0 {
		p.movedTick = r.now
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
		p.waiting = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
	return true
}

// hasNews reports whether the member lacks entries and its window has room, or nothing on the way tells it of the
// latest commit.
func (r *Replica) hasNews(p *progress) bool {
	if p.next <= r.log.last() {
		return len(p.inflight) < r.config.MaxInflight
	}
	return len(p.inflight) == 0 && p.commitSent < r.log.committed
}

// sendChunk sends the part of the snapshot that the member wants next.
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
	p.waiting = true
	r.send(Message{Type: InstallSnapshot, To: id, Chunk: &Chunk{
		Index: p.snapshot.Index, Term: p.snapshot.Term, Configuration: p.snapshot.Configuration,
		Offset: start, Total: total, Data: p.snapshot.Data[start:end],
	}})
}
