package entry

import (
	"context"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/job"
	"flamingohall.example/core/placement"
	"flamingohall.example/node/events"
	"flamingohall.example/node/link"
	"flamingohall.example/node/rpc"
)

const (
	// minCandidates is how many targets a claim names at the least, where a pool has as many.
	minCandidates = 16
	// awaitHold is how long the holder of a job may hold an Await.
	awaitHold = 2 * time.Second
	// claimBackoff is the pause before a claim that could not be settled is asked for again.
	claimBackoff = 50 * time.Millisecond
	// storeTimeout bounds the storing of an answer that was given already.
	storeTimeout = time.Minute
	// claimRetryAfter is when a caller may come back after control could not be reached.
	claimRetryAfter = time.Second
)

// startClaim names the targets that the job may use and asks control for the claim.
func (l *loop) startClaim(r *record, now time.Time) {
	targets := l.moreCandidates(r, now)
	go l.claim(r, l.claimRequest(r, targets), targets, l.doubtful.has(r.accepted.id))
}

// moreCandidates adds targets to those that the job may use.
func (l *loop) moreCandidates(r *record, now time.Time) []job.Target {
	if r.candidates == nil {
		r.candidates = map[string]bool{}
	}
	request := placement.Request{
		Pool: r.accepted.entry.Pool, Slots: r.accepted.entry.Slots, Allowed: r.candidates,
	}
	var targets []job.Target
	for _, state := range l.board.Candidates(now, request, max(minCandidates, r.job.Tasks())) {
		targets = append(targets, state.Name())
	}
	return targets
}

// claim asks until the job has a holder: this entry, or another one whose answer is then awaited.
func (l *loop) claim(r *record, request *rpc.ClaimRequest, targets []job.Target, mustSeal bool) {
	ctx, cancel := context.WithDeadline(l.life, r.deadline)
	defer cancel()
	asked := &claiming{record: r, request: request, targets: targets, mustSeal: mustSeal}
	for ctx.Err() == nil {
		response, err := l.entry.follower.Control().Claim(ctx, request)
		if err != nil {
			l.claimFailed(asked, err)
			return
		}
		if l.claimSettled(ctx, asked, response) {
			return
		}
	}
}

// claiming is a claim that is being asked for.
type claiming struct {
	record  *record
	request *rpc.ClaimRequest
	targets []job.Target
	// mustSeal is true when a grant may be that of an earlier try, so that targets of an earlier holder may be in use.
	mustSeal bool
}

func (l *loop) claimRequest(r *record, targets []job.Target) *rpc.ClaimRequest {
	return &rpc.ClaimRequest{
		JobId: r.accepted.id, Holder: l.entry.file.Node.ID, HolderIncarnation: l.entry.incarnation,
		BodyDigest: r.accepted.digest[:], Targets: claimTargets(targets), Tasks: uint32(len(r.accepted.Tasks)),
		DeadlineMs: time.Until(r.deadline).Milliseconds(),
	}
}

// claimSettled reports whether the answer ends the asking; otherwise the request is ready for the next try.
func (l *loop) claimSettled(ctx context.Context, c *claiming, response *rpc.ClaimResponse) bool {
	switch response.GetStatus() {
	case rpc.ClaimStatus_CLAIM_STATUS_GRANTED:
		granted := claimGranted{
			record: c.record, epoch: response.GetEpoch(), firstEpoch: response.GetFirstEpoch(), allowed: c.targets,
		}
		if c.mustSeal || c.request.GetTakeOverEpoch() > 0 {
			granted.earlier = jobTargets(response.GetTargets())
		}
		l.post(granted)
		return true
	case rpc.ClaimStatus_CLAIM_STATUS_FINISHED:
		l.post(answeredElsewhere{record: c.record, encoded: response.GetAnswer()})
		return true
	case rpc.ClaimStatus_CLAIM_STATUS_CONFLICT:
		l.post(claimRefused{record: c.record, failure: keyReused()})
		return true
	case rpc.ClaimStatus_CLAIM_STATUS_HELD:
		return l.awaitHolder(ctx, c, response)
	default:
		c.request.TakeOverEpoch = 0
		sleep(ctx, claimBackoff)
		return false
	}
}

// awaitHolder waits for the holder's answer while it lives; a dead holder's claim is taken over with the next try.
func (l *loop) awaitHolder(ctx context.Context, c *claiming, held *rpc.ClaimResponse) bool {
	c.request.TakeOverEpoch, c.request.HolderGone = 0, false
	if held.GetHolderIncarnation() == l.entry.incarnation {
		// An earlier try of this process took the job over, and its answer was lost.
		c.mustSeal = true
		return false
	}
	if !held.GetHolderLive() {
		c.request.TakeOverEpoch = held.GetEpoch()
		return false
	}
	l.entry.metrics.Add("wasted_resubmission", 1)
	call := &rpc.AwaitRequest{JobId: c.request.GetJobId(), HoldMs: awaitHold.Milliseconds()}
	response, err := link.Call(ctx, awaitHold+answerSlack, l.entry.links.Peer(held.GetHolderAddress()).Await, call)
	if err == nil && response.GetFinished() {
		l.post(answeredElsewhere{record: c.record, encoded: response.GetAnswer()})
		return true
	}
	if err != nil {
		l.entry.links.Retire(held.GetHolderAddress())
	}
	if link.IsRefused(err) {
		c.request.TakeOverEpoch, c.request.HolderGone = held.GetEpoch(), true
		return false
	}
	if err != nil || !response.GetKnown() {
		sleep(ctx, claimBackoff)
	}
	return false
}

// claimFailed ends a job whose claim was certainly not committed. Otherwise the job's deadline settles it.
func (l *loop) claimFailed(c *claiming, err error) {
	found := fault.Of(err)
	if found.Kind == fault.Unknown {
		l.post(claimInDoubt{id: c.request.GetJobId()})
		return
	}
	if found.RetryAfter == 0 && found.Kind == fault.Unavailable {
		found = found.WithRetryAfter(claimRetryAfter)
	}
	l.post(claimRefused{record: c.record, failure: found})
}

// doubt remembers the jobs whose claim this process may hold without knowing. A later grant may then be the earlier
// one, and the targets that it names have to be sealed first.
type doubt struct {
	jobs map[string]bool
	// all is set once there were too many to tell apart.
	all bool
}

// maxDoubtful bounds the jobs remembered by id.
const maxDoubtful = 10_000

func (d *doubt) add(id string) {
	if len(d.jobs) >= maxDoubtful {
		d.all = true
		return
	}
	d.jobs[id] = true
}

func (d *doubt) has(id string) bool {
	return d.all || d.jobs[id]
}

// claimInDoubt says that a claim may have been granted.
type claimInDoubt struct{ id string }

func (m claimInDoubt) apply(l *loop, _ time.Time) {
	l.doubtful.add(m.id)
}

// claimGranted makes this entry the holder.
type claimGranted struct {
	record     *record
	epoch      uint64
	firstEpoch uint64
	allowed    []job.Target
	earlier    []job.Target
}

func (m claimGranted) apply(l *loop, now time.Time) {
	r := m.record
	if r.isAnswered() {
		return
	}
	r.claimTime = now.Sub(r.createdAt)
	r.isExtending = false
	r.firstEpoch = m.firstEpoch
	allowed := m.allowed
	if len(m.earlier) > 0 {
		events.JobTakenOver.Log(l.entry.logger, "job", r.accepted.id, "epoch", m.epoch)
		allowed = append(allowed, m.earlier...)
	}
	for _, target := range allowed {
		r.candidates[target.ID] = true
	}
	l.step(r, now, job.ClaimGranted{Epoch: m.epoch, Earlier: m.earlier})
	l.dirty[r.accepted.entry.Pool] = true
}

// claimRefused ends a job that was never claimed: nothing was started, and nothing is remembered.
type claimRefused struct {
	record  *record
	failure *fault.Error
}

func (m claimRefused) apply(l *loop, now time.Time) {
	if m.record.isAnswered() {
		return
	}
	l.unqueue(m.record)
	l.burn.Record(now, m.record.accepted.Entry, m.record.accepted.Owner, false)
	l.conclude(m.record, nil, m.failure)
}

// answeredElsewhere ends a job that another entry has answered.
type answeredElsewhere struct {
	record  *record
	encoded []byte
}

func (m answeredElsewhere) apply(l *loop, _ time.Time) {
	if m.record.isAnswered() {
		return
	}
	if len(m.encoded) == 0 {
		l.conclude(m.record, nil, fault.New(fault.Expired, "look the outcome up where the tasks left it",
			"the job was answered before, and its answer is not kept any more; nothing was started again"))
		return
	}
	l.conclude(m.record, encodedResult(m.encoded), nil)
}

// extendClaim asks for further targets when those that the claim names are all out of use.
func (l *loop) extendClaim(r *record, now time.Time) {
	if r.candidates == nil || r.isExtending || l.hasUsableCandidate(r, now) {
		return
	}
	targets := l.moreCandidates(r, now)
	if len(targets) == 0 {
		return
	}
	r.isExtending = true
	request := l.claimRequest(r, targets)
	request.ExtendEpoch = r.job.Epoch()
	go func() {
		ctx, cancel := context.WithDeadline(l.life, r.deadline)
		defer cancel()
		response, err := l.entry.follower.Control().Claim(ctx, request)
		isGranted := err == nil && response.GetStatus() == rpc.ClaimStatus_CLAIM_STATUS_GRANTED
		l.post(claimExtended{record: r, allowed: targets, isGranted: isGranted})
	}()
}

func (l *loop) hasUsableCandidate(r *record, now time.Time) bool {
	for id := range r.candidates {
		if state, known := l.board.Target(id); known && state.IsUsable(now) {
			return true
		}
	}
	return false
}

// claimExtended lets a job use further targets.
type claimExtended struct {
	record    *record
	allowed   []job.Target
	isGranted bool
}

func (m claimExtended) apply(l *loop, _ time.Time) {
	m.record.isExtending = false
	if !m.isGranted || m.record.isAnswered() {
		return
	}
	for _, target := range m.allowed {
		m.record.candidates[target.ID] = true
	}
	l.dirty[m.record.accepted.entry.Pool] = true
}

// startFinish stores the answer: before it is given when it must stay true, else right after.
func (l *loop) startFinish(r *record, now time.Time) {
	until := r.deadline.Add(finishGrace)
	found := r.result
	isGiven := found != nil
	if !isGiven {
		found = newResult(newAnswer(r, now).final(r.job.IsComplete()))
	} else {
		until = now.Add(storeTimeout)
	}
	id, epoch := r.accepted.id, r.job.Epoch()
	go func() {
		ctx, cancel := context.WithDeadline(l.life, until)
		defer cancel()
		request := &rpc.FinishRequest{JobId: id, Epoch: epoch, Answer: found.bytes(), CanWait: isGiven}
		response, err := l.entry.follower.Control().Finish(ctx, request)
		if err != nil {
			events.FinishFailed.LogError(l.entry.logger, err, "job", id)
		}
		l.post(finishEnded{record: r, status: response.GetStatus(), isFailed: err != nil})
	}()
}

// finishEnded tells how the storing of an answer went.
type finishEnded struct {
	record   *record
	status   rpc.ClaimStatus
	isFailed bool
}

func (m finishEnded) apply(l *loop, now time.Time) {
	r := m.record
	if r.isAnswered() {
		l.unpin(r)
		return
	}
	switch {
	case m.isFailed:
		// The job's own time ends the wait.
		r.isStored = true
	case m.status == rpc.ClaimStatus_CLAIM_STATUS_FENCED || m.status == rpc.ClaimStatus_CLAIM_STATUS_CONFLICT:
		l.step(r, now, job.FinishFenced{})
		l.unpin(r)
	default:
		r.isStored = true
		l.step(r, now, job.Finished{})
	}
}

// unpin lets an answered record be forgotten when memory is short.
func (l *loop) unpin(r *record) {
	if !r.isPinned {
		return
	}
	r.isPinned = false
	l.store.keep(r)
}
