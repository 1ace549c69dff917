package raft

// pendingRead is confirmed when a quorum has answered the heartbeat round of this sequence number, which started after
// the request.
type pendingRead struct {
	request  uint64
	index    uint64
	sequence uint64
}

// readQueue holds the reads of a leader in order of arrival.
type readQueue struct {
	// waiting holds reads that belong to no heartbeat round yet.
	waiting   []uint64
	pending   []pendingRead
	confirmed []ReadState
	failed    []uint64
}

// Read requests a linearizable read. The result is in Ready.Reads or Ready.FailedReads, under the same request number.
// The error is ErrNotLeader.
func (r *Replica) Read(request uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	r.reads.waiting = append(r.reads.waiting, request)
	return nil
}

// startReads starts one heartbeat round for all waiting reads. A new leader doesn't know the latest commit index until
// an entry of its own term is committed.
func (r *Replica) startReads() {
	if len(r.reads.waiting) == 0 {
		return
	}
	if !r.hasCommittedOwnTerm() {
		if !r.canCommit() {
			r.reads.fail()
		}
		return
	}
	for _, request := range r.reads.waiting {
		r.reads.pending = append(r.reads.pending, pendingRead{request, r.log.committed, r.leading.sequence + 1})
	}
	r.reads.waiting = nil
	r.broadcastHeartbeat()
}

func (q *readQueue) confirm(answered uint64) {
	for len(q.pending) > 0 && q.pending[0].sequence <= answered {
		q.confirmed = append(q.confirmed, ReadState{Request: q.pending[0].request, Index: q.pending[0].index})
		q.pending = q.pending[1:]
	}
}

func (q *readQueue) fail() {
	q.failed = append(q.failed, q.waiting...)
	for _, read := range q.pending {
		q.failed = append(q.failed, read.request)
	}
	q.waiting = nil
	q.pending = nil
}
