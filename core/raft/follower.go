package raft

func (r *Replica) handleAppend(m *Message) {
	if m.Index < r.log.committed {
		// Committed entries are the same in the leader's log.
		r.send(Message{Type: AppendResponse, To: m.From, Index: r.log.committed})
		return
	}
	if !r.log.matches(m.Index, m.LogTerm) {
		hint := r.log.lastAtMost(m.Index, m.LogTerm)
		term, _ := r.log.term(hint)
		r.send(Message{
			Type: AppendResponse, To: m.From, Index: m.Index, Reject: true,
			Hint: hint, HintTerm: term,
		})
		return
	}
	if r.storage != StorageWorks {
		return
	}
	r.log.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, last))
	r.send(Message{Type: AppendResponse, To: m.From, Index: last})
}

func (r *Replica) handleHeartbeat(m *Message) {
	r.quorumTick = r.now - min(r.now, m.QuorumAge)
	r.commitTo(min(m.Commit, r.log.last()))
	r.send(Message{Type: HeartbeatResponse, To: m.From, Sequence: m.Sequence, Reject: r.storage == StorageFailing})
}

func (r *Replica) commitTo(index uint64) {
	r.log.committed = max(r.log.committed, index)
}

// handleChunk collects the chunks of a snapshot and installs it once it is complete.
func (r *Replica) handleChunk(m *Message) {
	chunk := m.Chunk
	if chunk.Index <= r.log.committed {
		r.send(Message{Type: AppendResponse, To: m.From, Index: r.log.committed})
		return
	}
	if r.log.matches(chunk.Index, chunk.Term) {
		// The log contains everything in the snapshot, and possibly acknowledged entries after it, which must be kept.
		r.commitTo(chunk.Index)
		r.send(Message{Type: AppendResponse, To: m.From, Index: chunk.Index})
		return
	}
	if r.storage != StorageWorks {
		return
	}
	if r.incoming == nil || r.incoming.Index != chunk.Index || r.incoming.Term != chunk.Term {
		r.incoming = &Snapshot{Index: chunk.Index, Term: chunk.Term, Configuration: chunk.Configuration}
	}
	if chunk.Offset == uint64(len(r.incoming.Data)) {
		r.incoming.Data = append(r.incoming.Data, chunk.Data...)
	}
	if uint64(len(r.incoming.Data)) < chunk.Total {
		r.send(Message{
			Type: InstallSnapshotResponse, To: m.From, Index: chunk.Index, Hint: uint64(len(r.incoming.Data)),
		})
		return
	}
	r.install(r.incoming)
	r.incoming = nil
	r.send(Message{Type: AppendResponse, To: m.From, Index: r.log.committed})
}

// install replaces the log, which does not contain the snapshot's last entry, by the snapshot.
func (r *Replica) install(snapshot *Snapshot) {
	r.toSave = snapshot
	r.toRestore = snapshot
	r.snapshot = snapshot
	r.discard = true
	r.log.reset(snapshot)
}
