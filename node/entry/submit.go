package entry

import (
	"context"
	"time"

	"flamingohall.example/core/admission"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/job"
	"flamingohall.example/core/placement"
)

// noTargetRetryAfter is the retry delay for callers while no target serves a pool or this entry is not ready.
const noTargetRetryAfter = time.Second

func keyReused() *fault.Error {
	return fault.New(fault.Conflict, "use a key of its own for each submission",
		"the key stands for a submission with another body")
}

// submit requests a new job, or the record of the existing one under the same key.
type submit struct {
	accepted *accepted
	reply    chan submitResult
}

type submitResult struct {
	record *record
	err    *fault.Error
}

func (m submit) apply(l *loop, now time.Time) {
	r, err := l.attachOrBegin(m.accepted, now)
	m.reply <- submitResult{record: r, err: err}
}

func (l *loop) attachOrBegin(a *accepted, now time.Time) (*record, *fault.Error) {
	if known := l.store.byID[a.id]; known != nil {
		if !known.sameBody(a.digest) {
			return nil, keyReused()
		}
		l.entry.metrics.Add("wasted_resubmission", 1)
		return known, nil
	}
	if refusal := l.admit(a, now); refusal != nil {
		l.burn.Record(now, a.Entry, a.Owner, false)
		return nil, refusal
	}
	return l.begin(a, now), nil
}

func (l *loop) begin(a *accepted, now time.Time) *record {
	r := &record{
		accepted: a, createdAt: now, deadline: now.Add(a.deadline), done: make(chan struct{}),
	}
	r.job = job.New(job.Spec{
		ID: a.id, Repeatable: a.isRepeatable(), Attempts: a.entry.Attempts, Deadline: r.deadline,
		SealMargin: min(sealMargin, a.deadline/10), FinishGrace: finishGrace, Tasks: a.taskSpecs(),
		Budget: l.retries,
	})
	r.waiting = &placement.Waiting{
		Job: r.job, Owner: a.Owner, Weight: a.owner.Weight, Cost: l.taskCost(a),
		Arrived: now, Slots: l.loadTable.Slots(a.entry.Pool),
	}
	l.store.add(r)
	l.step(r, now, job.Begin{})
	return r
}

// admit returns a refusal if a submission cannot be served, else nil.
func (l *loop) admit(a *accepted, now time.Time) *fault.Error {
	if l.entry.refusing.Load() {
		return fault.New(fault.Unavailable, "send it again: the balancer knows another entry",
			"this entry is stopping; nothing was started").WithRetryAfter(noTargetRetryAfter)
	}
	if l.loadTable.Targets(a.entry.Pool) == 0 {
		return fault.New(fault.Unavailable, "start targets of that pool, or come back later",
			"no target serves pool %q; nothing was started", a.entry.Pool).WithRetryAfter(noTargetRetryAfter)
	}
	if widest := l.loadTable.LargestTarget(a.entry.Pool); a.entry.Slots > widest {
		return fault.New(fault.Invalid, "have an operator mend the entry's slots",
			"a task needs %d slots and the largest target of pool %q has %d", a.entry.Slots, a.entry.Pool, widest)
	}
	if refusal := admission.Admit(l.admissionRequest(a)); refusal != nil {
		return refusal
	}
	perSecond := a.owner.StartsPerSecond / float64(l.entryCount)
	if wait := l.quotas.TakeStarts(now, a.Owner, len(a.Tasks), perSecond); wait > 0 {
		return admission.OverQuota(wait)
	}
	return nil
}

// admissionRequest returns the input of the admission decision. Each entry counts on an equal share of the slots.
func (l *loop) admissionRequest(a *accepted) admission.Request {
	queue := l.queue(a.entry.Pool)
	ownerWaiting, waiting := queue.Tasks(a.Owner)
	work := time.Duration(len(a.Tasks)) * l.taskCost(a)
	slots := float64(l.loadTable.Slots(a.entry.Pool)) / float64(l.entryCount)
	if quota := admission.EntryShare(a.owner.Running, l.entryCount); quota > 0 {
		slots = min(slots, float64(quota*a.entry.Slots))
	}
	return admission.Request{
		Owner: a.Owner, Tasks: len(a.Tasks), Work: work, Run: l.taskTime(a, medianQuantile), TimeLeft: a.deadline,
		Ahead: queue.Ahead(a.Owner, a.owner.Weight, work), Slots: slots,
		Waiting: waiting, OwnerWaiting: ownerWaiting, MaxWaiting: l.entry.file.Entry.MaxWaiting,
	}
}

// submit posts a submission to the loop and returns its record or a refusal.
func (l *loop) submit(ctx context.Context, a *accepted) (*record, *fault.Error) {
	reply := make(chan submitResult, 1)
	l.post(submit{accepted: a, reply: reply})
	select {
	case outcome := <-reply:
		return outcome.record, outcome.err
	case <-ctx.Done():
		return nil, fault.New(fault.Unknown, "resubmit it under the same key", "the caller went away")
	case <-l.loopCtx.Done():
		return nil, fault.New(fault.Unavailable, "send it again", "this entry has stopped").WithRetryAfter(noTargetRetryAfter)
	}
}

// lookup requests the state of a job.
type lookup struct {
	id    string
	reply chan lookupResult
}

// lookupResult is the state of a job. The record is nil if this entry does not know the job; the answer holds the state
// so far and is nil if the job is answered.
type lookupResult struct {
	record *record
	answer *answer
}

func (m lookup) apply(l *loop, now time.Time) {
	r := l.store.byID[m.id]
	state := lookupResult{record: r}
	if r != nil && !r.isAnswered() {
		state.answer = newAnswer(r, now)
	}
	m.reply <- state
}

func (l *loop) lookup(ctx context.Context, id string) lookupResult {
	reply := make(chan lookupResult, 1)
	l.post(lookup{id: id, reply: reply})
	select {
	case state := <-reply:
		return state
	case <-ctx.Done():
	case <-l.loopCtx.Done():
	}
	return lookupResult{}
}

// cancel requests the cancellation of a job.
type cancel struct {
	id    string
	reply chan *record
}

func (m cancel) apply(l *loop, now time.Time) {
	r := l.store.byID[m.id]
	if r != nil && !r.isAnswered() {
		l.step(r, now, job.Cancel{Reason: "cancelled by the caller"})
	}
	m.reply <- r
}

func (l *loop) cancel(ctx context.Context, id string) *record {
	reply := make(chan *record, 1)
	l.post(cancel{id: id, reply: reply})
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
	case <-l.loopCtx.Done():
	}
	return nil
}
