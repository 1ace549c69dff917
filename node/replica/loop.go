package replica

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/events"
	"flamingohall.example/node/wal"
)

// input is a request to the raft loop. Exactly one field is set.
type input struct {
	step        *stepRequest
	responses   []raft.Message
	proposal    *proposal
	read        *readRequest
	change      *changeRequest
	create      *createRequest
	unreachable raft.ID
	transfer    bool
}

// stepRequest is a Step call of another member.
type stepRequest struct {
	from     raft.ID
	messages []raft.Message
	// responses gets the messages that go back in the response to the call. It has a buffer for one list.
	responses chan []raft.Message
}

// proposal is a command to be appended to the log.
type proposal struct {
	command []byte
	result  chan outcome
}

// readRequest asks for a read index that a quorum has confirmed.
type readRequest struct {
	// result gets the index, or is closed if this VM is not the leader.
	result chan uint64
}

// changeRequest adds a member as a learner, or removes it.
type changeRequest struct {
	member raft.Member
	remove bool
	result chan error
}

// createRequest starts a group from its initial snapshot.
type createRequest struct {
	group    uint64
	snapshot raft.Snapshot
	result   chan error
}

// compaction is a snapshot of the application's state, up to which the log can be compacted.
type compaction struct {
	index uint64
	data  []byte
}

// applyJob tells the apply loop to restore a snapshot, if there is one, and then to apply the entries.
type applyJob struct {
	restore *raft.Snapshot
	entries []raft.Entry
}

// raftLoop owns the raft.Replica. It never blocks on the other loops: work that they can't accept yet is collected in
// toStore and toApply.
type raftLoop struct {
	group   *Group
	core    *raft.Replica
	toStore []raft.Ready
	toApply []applyJob
	// steps are the Step calls of this round, which get their responses at its end.
	steps      []*stepRequest
	reads      map[uint64]*readRequest
	nextRead   uint64
	lastStatus raft.Status
	// blockedSince is when this leader could no longer store or commit entries; zero while it can.
	blockedSince time.Time
}

func (g *Group) raftLoop(ctx context.Context) {
	loop := &raftLoop{group: g, core: g.core, reads: map[uint64]*readRequest{}, lastStatus: g.core.Status()}
	defer loop.failWaiting()
	if !loop.refuseUntilPrepared(ctx) {
		return
	}
	ticker := time.NewTicker(TickPeriod)
	defer ticker.Stop()
	for {
		store, apply := loop.outputs()
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			if delay := time.Since(due); delay > electionTimeout {
				events.ReplicaDelayed.Log(g.options.Logger, "delay", delay.String())
			}
			loop.core.Tick()
			loop.failBlocked()
		case in := <-g.inputs:
			loop.handle(in)
		case <-g.storage.changed:
			if loop.core.Status().Group != 0 {
				// Without a group only its creation has failed, which is repeated. The storage loop has nothing to repeat.
				loop.core.SetStorage(g.storage.state())
			}
		case <-g.synced:
			loop.core.Synced(g.syncedTo.Load())
		case snapshot := <-g.compactions:
			loop.core.Compact(snapshot.index, snapshot.data)
		case store <- loop.toStore:
			loop.toStore = nil
		case apply <- loop.toApply:
			loop.toApply = nil
		}
		loop.drain()
		loop.processReady()
		loop.publish()
	}
}

// refuseUntilPrepared refuses all inputs until the contents of the data folder are durable: what this VM says must not
// depend on state that a crash may still lose. It returns false if ctx ends before.
func (l *raftLoop) refuseUntilPrepared(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-l.group.prepared:
			return true
		case in := <-l.group.inputs:
			l.refuse(in)
		}
	}
}

func (l *raftLoop) refuse(in input) {
	switch {
	case in.step != nil:
		in.step.responses <- nil
	case in.proposal != nil:
		in.proposal.result <- outcome{err: errNotLeader}
	case in.read != nil:
		close(in.read.result)
	case in.change != nil:
		in.change.result <- raft.ErrNotLeader
	case in.create != nil:
		in.create.result <- nil
	}
}

// failBlocked answers the proposals that this leader can neither store nor commit, once that has lasted for stallTimeout.
// Their entries stay in the log, so they may still take effect. A stalled write may return at any time, so it doesn't
// count.
func (l *raftLoop) failBlocked() {
	status := l.core.Status()
	isBlocked := status.Role == raft.Leader && (!status.CanCommit || l.group.storage.state() == raft.StorageFailing)
	switch {
	case !isBlocked:
		l.blockedSince = time.Time{}
	case l.blockedSince.IsZero():
		l.blockedSince = time.Now()
	case time.Since(l.blockedSince) >= stallTimeout:
		l.group.waiters.failAbove(status.Applied, errNotStored())
	}
}

// outputs returns the channels of the storage and apply loops. A channel is nil, and so never ready, if there is no
// work for it.
func (l *raftLoop) outputs() (chan<- []raft.Ready, chan<- []applyJob) {
	var store chan<- []raft.Ready
	var apply chan<- []applyJob
	if len(l.toStore) > 0 {
		store = l.group.store
	}
	if len(l.toApply) > 0 {
		apply = l.group.applyJobs
	}
	return store, apply
}

// drain handles further queued inputs, so that many proposals and reads share one sync and one heartbeat round.
func (l *raftLoop) drain() {
	for range maxInputBatch {
		select {
		case in := <-l.group.inputs:
			l.handle(in)
		default:
			return
		}
	}
}

func (l *raftLoop) handle(in input) {
	switch {
	case in.step != nil:
		l.steps = append(l.steps, in.step)
		l.stepAll(in.step.messages)
	case in.responses != nil:
		l.stepAll(in.responses)
	case in.proposal != nil:
		l.propose(in.proposal)
	case in.read != nil:
		l.read(in.read)
	case in.change != nil:
		in.change.result <- l.change(in.change)
	case in.create != nil:
		in.create.result <- l.create(in.create)
	case in.transfer:
		if successor := l.core.Successor(); successor != raft.None {
			// The successor is another voter, so this fails only when this VM no longer leads.
			_ = l.core.Transfer(successor)
		}
	case in.unreachable != raft.None:
		l.core.Unreachable(in.unreachable)
	}
}

func (l *raftLoop) stepAll(messages []raft.Message) {
	for _, message := range messages {
		l.core.Step(message)
	}
}

func (l *raftLoop) propose(p *proposal) {
	index, term, err := l.core.Propose(p.command)
	if errors.Is(err, raft.ErrNoStorage) {
		p.result <- outcome{err: errNoStorage()}
		return
	}
	if err != nil {
		p.result <- outcome{err: errNotLeader}
		return
	}
	l.group.waiters.add(index, term, p.result)
}

func (l *raftLoop) read(request *readRequest) {
	l.nextRead++
	if err := l.core.Read(l.nextRead); err != nil {
		close(request.result)
		return
	}
	l.reads[l.nextRead] = request
}

func (l *raftLoop) change(request *changeRequest) error {
	var err error
	if request.remove {
		_, _, err = l.core.Remove(request.member.ID)
	} else {
		_, _, err = l.core.AddLearner(request.member)
	}
	return err
}

// processReady passes the work that the raft.Replica has produced to the other loops, the peers and the callers.
func (l *raftLoop) processReady() {
	responses := map[raft.ID][]raft.Message{}
	for l.core.HasReady() {
		ready := l.core.Ready()
		l.logTransitions(ready.Transitions)
		l.group.peers.send(l.collectResponses(ready.Immediate, responses))
		if ready.NeedsSync() || len(ready.Messages) > 0 {
			l.toStore = append(l.toStore, ready)
		}
		if ready.Restore != nil || len(ready.Committed) > 0 {
			l.toApply = append(l.toApply, applyJob{restore: ready.Restore, entries: ready.Committed})
		}
		l.answerReads(&ready)
	}
	for _, step := range l.steps {
		step.responses <- responses[step.from]
		delete(responses, step.from)
	}
	l.steps = nil
}

// collectResponses adds the heartbeat responses that can go back in the response to a Step call to responses, and
// returns the other messages.
func (l *raftLoop) collectResponses(messages []raft.Message, responses map[raft.ID][]raft.Message) []raft.Message {
	var others []raft.Message
	for i := range messages {
		if messages[i].Type == raft.HeartbeatResponse && l.hasStepFrom(messages[i].To) {
			responses[messages[i].To] = append(responses[messages[i].To], messages[i])
			continue
		}
		others = append(others, messages[i])
	}
	return others
}

func (l *raftLoop) hasStepFrom(id raft.ID) bool {
	for _, step := range l.steps {
		if step.from == id {
			return true
		}
	}
	return false
}

func (l *raftLoop) answerReads(ready *raft.Ready) {
	for _, read := range ready.Reads {
		if request := l.reads[read.Request]; request != nil {
			request.result <- read.Index
			delete(l.reads, read.Request)
		}
	}
	for _, number := range ready.FailedReads {
		if request := l.reads[number]; request != nil {
			close(request.result)
			delete(l.reads, number)
		}
	}
}

// failWaiting fails the pending proposals and reads. Inputs that are still queued were not handled; their callers see
// that ended is closed.
func (l *raftLoop) failWaiting() {
	l.group.waiters.failAll()
	close(l.group.ended)
	for _, request := range l.reads {
		close(request.result)
	}
}

// publish publishes the new status and logs changes of the leader and the members.
func (l *raftLoop) publish() {
	status := l.core.Status()
	before := l.lastStatus
	l.lastStatus = status
	wasLeader := before.Role == raft.Leader
	if wasLeader && (status.Role != raft.Leader || status.Term != before.Term) {
		known := status.Commit
		if l.group.storage.state() != raft.StorageWorks {
			// This VM applies what is committed only once it has stored it.
			known = status.Applied
		}
		l.group.waiters.failAbove(known, errOutcomeUnknown())
	}
	l.group.publish()
	if before.Leader != status.Leader || before.Group != status.Group || !sameMembers(before, status) {
		l.logChange(before, status)
		l.group.changed.fire()
	}
}

func sameMembers(a, b raft.Status) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i].Member != b.Members[i].Member {
			return false
		}
	}
	return true
}

func (l *raftLoop) logChange(before, status raft.Status) {
	logger := l.group.options.Logger
	if !sameMembers(before, status) {
		var configuration raft.Configuration
		for _, member := range status.Members {
			configuration.Members = append(configuration.Members, member.Member)
		}
		events.ReplicaMembersChanged.Log(logger, "members", configuration.Names(), "learners", learnerCount(status))
	}
	if before.Leader == status.Leader {
		return
	}
	leader := l.group.Status().Leader
	switch {
	case status.Role == raft.Leader:
		events.ReplicaLeading.Log(logger, "term", status.Term)
	case before.Role == raft.Leader:
		events.ReplicaSteppedDown.Log(logger, "term", status.Term)
	case status.Leader == raft.None:
		events.ReplicaNoLeader.Log(logger, "term", status.Term)
	default:
		events.ReplicaFollowing.Log(logger, "leader", leader, "term", status.Term)
	}
}

func (l *raftLoop) logTransitions(transitions []raft.Transition) {
	for _, t := range transitions {
		events.ReplicaRole.Log(l.group.options.Logger, "role", t.Role.String(), "term", t.Term, "reason", string(t.Reason))
	}
}

func learnerCount(status raft.Status) int {
	count := 0
	for _, member := range status.Members {
		if member.Learner {
			count++
		}
	}
	return count
}

// put queues an input for the raft loop. It reports false if the raft loop or ctx ended before there was
// space in the queue.
func (g *Group) put(ctx context.Context, in input) bool {
	select {
	case g.inputs <- in:
		return true
	case <-g.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// create starts a group from its initial snapshot, unless a leader's message made this VM a member of a group in the
// meantime. Nothing has been stored before.
func (l *raftLoop) create(request *createRequest) error {
	if l.core.Status().Group != 0 {
		return nil
	}
	hard := raft.HardState{Group: request.group, Term: request.snapshot.Term}
	err := l.group.storage.run(func() error {
		if err := l.group.log.SaveSnapshot(&request.snapshot); err != nil {
			return err
		}
		return l.group.log.Write([]wal.Batch{{HardState: &hard}})
	})
	if fault.Is(err, fault.Storage) && l.group.log.Failure() == nil {
		// The bootstrap loop tries again.
		return nil
	}
	if err != nil {
		return err
	}
	if err := l.group.build(raft.Restart{HardState: hard, Snapshot: &request.snapshot}); err != nil {
		return err
	}
	l.core = l.group.core
	return nil
}
