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
	// minCandidates is the minimum number of targets that a claim names, if the pool has that many.
	minCandidates = 16
	// awaitHold is how long the entry that holds a job may hold an Await.
	awaitHold = 2 * time.Second
	// claimBackoff is the pause before an unsettled claim is requested again.
	claimBackoff = 50 * time.Millisecond
	// storeTimeout limits storing an answer that callers already have.
	storeTimeout = time.Minute
	// claimRetryAfter is the retry delay for callers when control could not be reached.
	claimRetryAfter = time.Second
)

// startClaim selects the targets that the job may use and requests the claim from control.
func (l *loop) startClaim(r *record, now time.Time) {
	targets := l.moreCandidates(r, now)
	go l.claim(r, l.claimRequest(r, targets), targets, l.inDoubt.has(r.accepted.id))
}

// moreCandidates returns targets that a claim may add to the job's candidates. It makes r.candidates non-nil, so that the
// job may use only targets that a granted claim names.
func (l *loop) moreCandidates(r *record, now time.Time) []job.Target {
	if r.candidates == nil {
		r.candidates = map[string]bool{}
	}
	request := placement.Request{
		Pool: r.accepted.entry.Pool, Slots: r.accepted.entry.Slots, Allowed: r.candidates,
	}
	var targets []job.Target
	for _, state := range l.loadTable.Candidates(now, request, max(minCandidates, r.job.Tasks())) {
		targets = append(targets, state.Name())
	}
	return targets
}

// claim requests the claim until this entry holds the job, the answer of another holder is known, the claim fails, or
// the deadline passes.
func (l *loop) claim(r *record, request *rpc.ClaimRequest, targets []job.Target, mustSeal bool) {
	ctx, cancel := context.WithDeadline(l.loopCtx, r.deadline)
	defer cancel()
	pending := &pendingClaim{record: r, request: request, targets: targets, mustSeal: mustSeal}
	for ctx.Err() == nil {
		response, err := l.entry.follower.Control().Claim(ctx, request)
		if err != nil {
			l.claimFailed(pending, err)
			return
		}
		if l.claimSettled(ctx, pending, response) {
			return
		}
	}
}

// pendingClaim is a claim that is being requested.
type pendingClaim struct {
	record  *record
	request *rpc.ClaimRequest
	targets []job.Target
	// mustSeal is true if a grant may repeat the grant of an earlier request, so that targets of an earlier holder may be
	// in use.
	mustSeal bool
}

func (l *loop) claimRequest(r *record, targets []job.Target) *rpc.ClaimRequest {
	return &rpc.ClaimRequest{
		JobId: r.accepted.id, Holder: l.entry.file.Node.ID, HolderIncarnation: l.entry.incarnation,
		BodyDigest: r.accepted.digest[:], Targets: claimTargets(targets), Tasks: uint32(len(r.accepted.Tasks)),
		DeadlineMs: time.Until(r.deadline).Milliseconds(),
	}
}

// claimSettled handles a response and reports whether it settles the claim. If not, the request is updated for the next
// try.
func (l *loop) claimSettled(ctx context.Context, c *pendingClaim, response *rpc.ClaimResponse) bool {
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

// awaitHolder waits for the answer of a live holder and reports whether it came. The claim of a dead holder is taken
// over with the next request.
func (l *loop) awaitHolder(ctx context.Context, c *pendingClaim, held *rpc.ClaimResponse) bool {
	c.request.TakeOverEpoch, c.request.HolderGone = 0, false
	if held.GetHolderIncarnation() == l.entry.incarnation {
		// An earlier request of this process took the job over, and the response was lost.
		c.mustSeal = true
		return false
	}
	if !held.GetHolderLive() {
		c.request.TakeOverEpoch = held.GetEpoch()
		return false
	}
	l.entry.metrics.Add("wasted_resubmission", 1)
	await := &rpc.AwaitRequest{JobId: c.request.GetJobId(), HoldMs: awaitHold.Milliseconds()}
	response, err := link.Call(ctx, awaitHold+answerSlack, l.entry.links.Peer(held.GetHolderAddress()).Await, await)
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

// claimFailed rejects a job whose claim was certainly not committed. If that is unknown, the job stays in progress
// until its deadline.
func (l *loop) claimFailed(c *pendingClaim, err error) {
	claimErr := fault.Of(err)
	if claimErr.Kind == fault.Unknown {
		l.post(claimInDoubt{id: c.request.GetJobId()})
		return
	}
	if claimErr.RetryAfter == 0 && claimErr.Kind == fault.Unavailable {
		claimErr = claimErr.WithRetryAfter(claimRetryAfter)
	}
	l.post(claimRefused{record: c.record, failure: claimErr})
}

// inDoubtClaims records the jobs that this process may hold although the response to its claim was lost. A later grant
// may then repeat the earlier one, and the targets that it names have to be sealed first.
type inDoubtClaims struct {
	jobs map[string]bool
	// all is set once there were more than maxInDoubt jobs; every job then counts as in doubt.
	all bool
}

// maxInDoubt limits the number of jobs recorded by id.
const maxInDoubt = 10_000

func (d *inDoubtClaims) add(id string) {
	if len(d.jobs) >= maxInDoubt {
		d.all = true
		return
	}
	d.jobs[id] = true
}

func (d *inDoubtClaims) has(id string) bool {
	return d.all || d.jobs[id]
}

// claimInDoubt reports that a claim may have been granted.
type claimInDoubt struct{ id string }

func (m claimInDoubt) apply(l *loop, _ time.Time) {
	l.inDoubt.add(m.id)
}

// claimGranted makes this entry the holder of a job.
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

// claimRefused ends a job that was never claimed: nothing was started, and its record is dropped.
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

// answeredElsewhere ends a job that control or another entry reported as already answered.
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

// extendClaim requests further targets if none of those that the claim names is usable.
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
		ctx, cancel := context.WithDeadline(l.loopCtx, r.deadline)
		defer cancel()
		response, err := l.entry.follower.Control().Claim(ctx, request)
		isGranted := err == nil && response.GetStatus() == rpc.ClaimStatus_CLAIM_STATUS_GRANTED
		l.post(claimExtended{record: r, allowed: targets, isGranted: isGranted})
	}()
}

func (l *loop) hasUsableCandidate(r *record, now time.Time) bool {
	for id := range r.candidates {
		if state, known := l.loadTable.Target(id); known && state.IsUsable(now) {
			return true
		}
	}
	return false
}

// claimExtended adds targets to those that a job may use.
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

// startFinish stores the answer with control: before callers get it if it must not change afterwards, else right after.
func (l *loop) startFinish(r *record, now time.Time) {
	storeDeadline := r.deadline.Add(finishGrace)
	finalResult := r.result
	isAlreadyAnswered := finalResult != nil
	if !isAlreadyAnswered {
		finalResult = newResult(newAnswer(r, now).final(r.job.IsComplete()))
	} else {
		storeDeadline = now.Add(storeTimeout)
	}
	id, epoch := r.accepted.id, r.job.Epoch()
	go func() {
		ctx, cancel := context.WithDeadline(l.loopCtx, storeDeadline)
		defer cancel()
		request := &rpc.FinishRequest{JobId: id, Epoch: epoch, Answer: finalResult.bytes(), CanWait: isAlreadyAnswered}
		response, err := l.entry.follower.Control().Finish(ctx, request)
		if err != nil {
			events.FinishFailed.LogError(l.entry.logger, err, "job", id)
		}
		l.post(finishResult{record: r, status: response.GetStatus(), isFailed: err != nil})
	}()
}

// finishResult reports whether control stored an answer.
type finishResult struct {
	record   *record
	status   rpc.ClaimStatus
	isFailed bool
}

func (m finishResult) apply(l *loop, now time.Time) {
	r := m.record
	if r.isAnswered() {
		l.unpin(r)
		return
	}
	switch {
	case m.isFailed:
		// The job is answered when its timer fires.
		r.isStored = true
	case m.status == rpc.ClaimStatus_CLAIM_STATUS_FENCED || m.status == rpc.ClaimStatus_CLAIM_STATUS_CONFLICT:
		l.step(r, now, job.FinishFenced{})
		l.unpin(r)
	default:
		r.isStored = true
		l.step(r, now, job.Finished{})
	}
}

// unpin allows an answered record to be evicted when the store exceeds its limit.
func (l *loop) unpin(r *record) {
	if !r.isPinned {
		return
	}
	r.isPinned = false
	l.store.keep(r)
}
