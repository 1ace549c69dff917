package raft

// pendingRead waits until a quorum has answered a round that started after it.
type pendingRead struct {
	request  uint64
	index    uint64
	sequence uint64
}

// readQueue holds the reads of a leader in the order in which they came.
type readQueue struct {
	// waiting reads belong to no round yet.
	waiting   []uint64
	asked     []pendingRead
	confirmed []ReadState
	failed    []uint64
}

// Read asks for a confirmed index; the answer comes in Ready.Reads or Ready.FailedReads. The error is ErrNotLeader.
func (r *Replica) Read(request uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	r.reads.waiting = append(r.reads.waiting, request)
	return nil
}

// startReads begins one round for all reads that wait for one. A new leader does not know what is committed before
// its first own entry is.
func (r *Replica) startReads() {
	if len(r.reads.waiting) == 0 || !r.hasCommittedOwnTerm() {
		return
	}
	for _, request := range r.reads.waiting {
		r.reads.asked = append(r.reads.asked, pendingRead{request, r.log.committed, r.leading.sequence + 1})
	}
	r.reads.waiting = nil
	r.broadcastHeartbeat()
}

func (q *readQueue) confirm(answered uint64) {
	for len(q.asked) > 0 && q.asked[0].sequence <= answered {
		q.confirmed = append(q.confirmed, ReadState{Request: q.asked[0].request, Index: q.asked[0].index})
		q.asked = q.asked[1:]
	}
}

func (q *readQueue) fail() {
	q.failed = append(q.failed, q.waiting...)
	for _, read := range q.asked {
		q.failed = append(q.failed, read.request)
	}
	q.waiting = nil
	q.asked = nil
}
