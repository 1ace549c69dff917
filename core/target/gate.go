package target

import "slices"

// conclusion is the final outcome of an attempt, with its cause and reason.
type conclusion struct {
	outcome Outcome
	cause   Cause
	reason  string
}

var (
	tooManySlots   = conclusion{NotRun, CauseBusy, "the task needs more slots than the target has"}
	pastDeadline   = conclusion{NotRun, CauseDeadline, "the deadline passed before it could start"}
	sealed         = conclusion{NotRun, CauseSealed, "sealed before it started"}
	superseded     = conclusion{NotRun, CauseSealed, "a later attempt has been seen"}
	fencedOff      = conclusion{NotRun, CauseFenced, "a newer claim holds the job"}
	cancelledEarly = conclusion{Cancelled, CauseCancelled, "cancelled before it started"}
	staleSeal      = conclusion{Unknown, CauseFenced, "a newer claim holds the job and may start it"}
	lostProcess    = conclusion{Unknown, CauseLost, "the process that knew is gone"}
	earlierProcess = conclusion{Unknown, CauseIncarnation, "meant for an earlier process at this target"}
	forgotten      = conclusion{Unknown, CauseLost, "it may have been started here; its outcome is forgotten"}
)

// taskOutcome returns the outcome of an attempt that has no record.
func (c conclusion) taskOutcome(index, attempt uint32) TaskOutcome {
	return TaskOutcome{Index: index, Attempt: attempt, Outcome: c.outcome, Cause: c.cause, Reason: c.reason}
}

// run decides which tasks of a request start, and registers the request as a waiter.
func (t *Target) run(event Run) {
	w := t.addWaiter(event)
	j, refusal, admitted := t.admitJob(event)
	for _, spec := range event.Tasks {
		if !admitted {
			w.addFixed(refusal.taskOutcome(spec.Index, spec.Attempt))
			continue
		}
		t.admitTask(j, event, spec, w)
	}
	if j != nil {
		t.packLater(j)
	}
	t.markIfDue(w)
}

// admitJob returns the record of the job, or the conclusion for all tasks of a request that is refused.
func (t *Target) admitJob(event Run) (*job, conclusion, bool) {
	if t.otherIncarnation(event) {
		return nil, earlierProcess, false
	}
	if !event.Repeatable && event.firstEpoch() <= t.tombstones.maxDroppedEpoch && !t.known(event.Job) &&
		!t.disabled.tombstones {
		return nil, forgotten, false
	}
	j, ending := t.open(event.Job)
	if j == nil {
		return nil, ending, false
	}
	j.repeatable = j.repeatable && event.Repeatable
	j.lost = j.lost || t.mayBeLost(j, event)
	if event.Epoch > j.fence {
		j.raiseFence(event.Epoch, 0)
	}
	return j, conclusion{}, true
}

func (t *Target) otherIncarnation(event Run) bool {
	if t.disabled.incarnation || (event.Repeatable && event.Incarnation == "") {
		return false
	}
	return event.Incarnation != t.options.Incarnation
}

// known reports whether a record or a tombstone of the job exists.
func (t *Target) known(id JobID) bool {
	_, hasTombstone := t.tombstones.byJob[id]
	_, packed := t.packed[id]
	return hasTombstone || packed || t.jobs[id] != nil
}

// open returns the record of a job and creates it if the job is unknown. It returns nil and a conclusion if a tombstone
// excludes further starts.
func (t *Target) open(id JobID) (*job, conclusion) {
	if j := t.find(id); j != nil {
		return j, conclusion{}
	}
	tomb, hasTombstone := t.tombstones.byJob[id]
	if hasTombstone && !t.disabled.tombstones {
		switch tomb.startState {
		case mayHaveStarted:
			return nil, forgotten
		case cancelledUnstarted:
			return nil, cancelledEarly
		case neverStarted:
			t.tombstones.remove(id)
		}
	}
	j := &job{id: id, repeatable: !hasTombstone, fence: tomb.fence, fenceAttempt: tomb.attempt}
	if !hasTombstone {
		j.maxDroppedEpoch = t.tombstones.maxDroppedEpoch
	}
	t.jobs[id] = j
	t.charge(j, jobBytes)
	return j, conclusion{}
}

// admitTask decides on one task of a request. The waiter gets the outcome now or when the task ends.
func (t *Target) admitTask(j *job, event Run, spec Spec, w *waiter) {
	tk := j.find(spec.Index)
	switch {
	case (tk == nil || tk.attempt == 0) && j.lost && !event.Repeatable:
		w.addFixed(forgotten.taskOutcome(spec.Index, spec.Attempt))
		return
	case tk != nil && spec.Attempt <= tk.attempt:
		t.attach(j, tk, spec, w)
		return
	case tk != nil && !t.mayRetry(j, tk):
		t.watch(w, tk)
		return
	case tk != nil && tk.sealed:
		w.addFixed(conclusion{tk.outcome, tk.cause, tk.reason}.taskOutcome(spec.Index, spec.Attempt))
		return
	case !t.disabled.fence && j.fenced(event.Epoch, spec.Attempt):
		w.addFixed(t.fencedConclusion(j, event).taskOutcome(spec.Index, spec.Attempt))
		return
	}
	w.fresh = true
	if tk == nil {
		tk = t.addTask(j, spec.Index)
	}
	if ending, refused := t.refuse(j, event); refused {
		t.recordRefusal(j, tk, spec, ending, w)
		return
	}
	t.enqueue(j, tk, event, spec)
	t.watch(w, tk)
	t.startQueued()
}

// mayBeLost reports whether tasks without a record may have been started under an earlier record of the job that was
// dropped.
func (t *Target) mayBeLost(j *job, event Run) bool {
	return !event.Repeatable && event.firstEpoch() <= j.maxDroppedEpoch && !t.disabled.tombstones
}

// attach handles a duplicate of the latest attempt, or an older attempt. A never-repeated task has a later attempt only
// if the older ones did not start.
func (t *Target) attach(j *job, tk *task, spec Spec, w *waiter) {
	switch {
	case spec.Attempt == tk.attempt:
		t.watch(w, tk)
	case tk.started && j.repeatable:
		w.addFixed(forgotten.taskOutcome(spec.Index, spec.Attempt))
	default:
		w.addFixed(superseded.taskOutcome(spec.Index, spec.Attempt))
	}
}

// mayRetry reports whether an attempt later than the last one may start.
func (t *Target) mayRetry(j *job, tk *task) bool {
	if tk.live != nil || tk.outcome == Done {
		return false
	}
	return j.repeatable || !tk.started || t.disabled.gate
}

func (t *Target) fencedConclusion(j *job, event Run) conclusion {
	if event.Epoch < j.fence {
		return fencedOff
	}
	return sealed
}

// refuse reports whether a new attempt is refused, and why.
func (t *Target) refuse(j *job, event Run) (conclusion, bool) {
	if j.cancelled {
		return cancelledEarly, true
	}
	if ending, closed := t.closed(); closed {
		return ending, true
	}
	if event.Deadline <= t.now {
		return pastDeadline, true
	}
	// After eviction, only live tasks can still hold memory over the limit.
	t.forget()
	slots := max(event.Slots, 1)
	switch {
	case slots > t.slots:
		return tooManySlots, true
	case t.bytes() > t.options.OutcomeBytes:
		return conclusion{NotRun, CauseBusy, "the memory for outcomes is full"}, true
	case t.queue.tasks < t.options.Queue:
		return conclusion{}, false
	case t.queue.tasks == 0 && t.busy+slots <= t.slots:
		return conclusion{}, false
	default:
		return conclusion{NotRun, CauseBusy, "no free slot and no room in the queue"}, true
	}
}

// recordRefusal ends an attempt that was not queued, so that a delayed duplicate of the request can't start it.
func (t *Target) recordRefusal(j *job, tk *task, spec Spec, ending conclusion, w *waiter) {
	if t.disabled.refusals {
		w.addFixed(ending.taskOutcome(spec.Index, spec.Attempt))
		return
	}
	tk.attempt = spec.Attempt
	t.conclude(j, tk, ending, nil)
	t.watch(w, tk)
}

func (t *Target) enqueue(j *job, tk *task, event Run, spec Spec) {
	tk.attempt = spec.Attempt
	tk.outcome = Queued
	tk.cause = CauseNone
	t.setText(j, tk, "", nil)
	tk.queueUS = 0
	tk.runUS = 0
	tk.live = &liveTask{
		job: j, payload: spec.Payload, entry: event.Entry, deadline: event.Deadline,
		queuedAt: t.now, slots: max(event.Slots, 1),
	}
	j.live++
	t.queue.push(j, tk)
}

// end ends a live attempt without a result.
func (t *Target) end(j *job, tk *task, ending conclusion) {
	t.endWith(j, tk, ending, nil)
}

// endWith ends a live attempt and notifies its waiters.
func (t *Target) endWith(j *job, tk *task, ending conclusion, result []byte) {
	waiters := tk.live.waiters
	tk.live = nil
	j.live--
	t.conclude(j, tk, ending, result)
	delivered := slices.ContainsFunc(waiters, func(w *waiter) bool { return !w.answered })
	t.setUndelivered(tk, !delivered)
	for _, w := range waiters {
		w.ended(tk)
		t.markIfDue(w)
	}
	t.packLater(j)
}

func (t *Target) conclude(j *job, tk *task, ending conclusion, result []byte) {
	tk.outcome = ending.outcome
	tk.cause = ending.cause
	t.setText(j, tk, ending.reason, result)
}

func (t *Target) setText(j *job, tk *task, reason string, result []byte) {
	t.charge(j, len(reason)+len(result)-len(tk.reason)-len(tk.result))
	tk.reason = reason
	tk.result = result
}

func (t *Target) addTask(j *job, index uint32) *task {
	t.charge(j, taskBytes)
	t.remembered++
	return j.add(index)
}
