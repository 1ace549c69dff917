package entry

import (
	"context"
	"time"

	"flamingohall.example/core/admission"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/job"
	"flamingohall.example/core/placement"
)

// noTargetRetryAfter is when a caller may come back while no target serves a pool.
const noTargetRetryAfter = time.Second

func keyReused() *fault.Error {
	return fault.New(fault.Conflict, "use a key of its own for each submission",
		"the key stands for a submission with another body")
}

// submit asks the loop to take a submission, or to attach to the one under the same key.
type submit struct {
	accepted *accepted
	reply    chan submitted
}

type submitted struct {
	record *record
	err    *fault.Error
}

func (m submit) apply(l *loop, now time.Time) {
	r, err := l.take(m.accepted, now)
	m.reply <- submitted{record: r, err: err}
}

func (l *loop) take(a *accepted, now time.Time) (*record, *fault.Error) {
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
		Arrived: now, Slots: l.board.Slots(a.entry.Pool),
	}
	l.store.add(r)
	l.step(r, now, job.Begin{})
	return r
}

// admit refuses what can't be served.
func (l *loop) admit(a *accepted, now time.Time) *fault.Error {
	if l.entry.refusing.Load() {
		return fault.New(fault.Unavailable, "send it again: the balancer knows another entry",
			"this entry is stopping; nothing was started").WithRetryAfter(noTargetRetryAfter)
	}
	if l.board.Targets(a.entry.Pool) == 0 {
		return fault.New(fault.Unavailable, "start targets of that pool, or come back later",
			"no target serves pool %q; nothing was started", a.entry.Pool).WithRetryAfter(noTargetRetryAfter)
	}
	if widest := l.board.LargestTarget(a.entry.Pool); a.entry.Slots > widest {
		return fault.New(fault.Invalid, "have an operator mend the entry's slots",
			"a task needs %d slots and the largest target of pool %q has %d", a.entry.Slots, a.entry.Pool, widest)
	}
	if refusal := admission.Admit(l.admissionRequest(a)); refusal != nil {
		return refusal
	}
	perSecond := a.owner.StartsPerSecond / float64(l.entries)
	if wait := l.quotas.TakeStarts(now, a.Owner, len(a.Tasks), perSecond); wait > 0 {
		return admission.OverQuota(wait)
	}
	return nil
}

// admissionRequest gathers what admission goes by. Each entry reckons with its even part of the slots.
func (l *loop) admissionRequest(a *accepted) admission.Request {
	queue := l.queue(a.entry.Pool)
	ownerWaiting, waiting := queue.Tasks(a.Owner)
	work := time.Duration(len(a.Tasks)) * l.taskCost(a)
	slots := float64(l.board.Slots(a.entry.Pool)) / float64(l.entries)
	if bound := admission.EntryShare(a.owner.Running, l.entries); bound > 0 {
		slots = min(slots, float64(bound*a.entry.Slots))
	}
	return admission.Request{
		Owner: a.Owner, Tasks: len(a.Tasks), Work: work, Run: l.taskTime(a, median), TimeLeft: a.deadline,
		Ahead: queue.Ahead(a.Owner, a.owner.Weight, work), Slots: slots,
		Waiting: waiting, OwnerWaiting: ownerWaiting, MaxWaiting: l.entry.file.Entry.MaxWaiting,
	}
}

// submit hands a submission to the loop.
func (l *loop) submit(ctx context.Context, a *accepted) (*record, *fault.Error) {
	reply := make(chan submitted, 1)
	l.post(submit{accepted: a, reply: reply})
	select {
	case taken := <-reply:
		return taken.record, taken.err
	case <-ctx.Done():
		return nil, fault.New(fault.Unknown, "resubmit it under the same key", "the caller went away")
	case <-l.life.Done():
		return nil, fault.New(fault.Unavailable, "send it again", "this entry has stopped").WithRetryAfter(noTargetRetryAfter)
	}
}

// look asks the loop for the state of a job.
type look struct {
	id    string
	reply chan looked
}

// looked is a job's answer so far; record is nil when this entry does not know the job.
type looked struct {
	record *record
	answer *answer
}

func (m look) apply(l *loop, now time.Time) {
	r := l.store.byID[m.id]
	found := looked{record: r}
	if r != nil && !r.isAnswered() {
		found.answer = newAnswer(r, now)
	}
	m.reply <- found
}

func (l *loop) look(ctx context.Context, id string) looked {
	reply := make(chan looked, 1)
	l.post(look{id: id, reply: reply})
	select {
	case found := <-reply:
		return found
	case <-ctx.Done():
	case <-l.life.Done():
	}
	return looked{}
}

// cancel asks the loop to cancel a job.
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
	case <-l.life.Done():
	}
	return nil
}
