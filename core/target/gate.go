package target

import "slices"

// conclusion is how an attempt ends.
type conclusion struct {
	outcome Outcome
	cause   Cause
	reason  string
}

var (
	tooWide      = conclusion{NotRun, CauseBusy, "the task needs more slots than the target has"}
	pastDeadline = conclusion{NotRun, CauseDeadline, "the deadline passed before it could start"}
	sealed       = conclusion{NotRun, CauseSealed, "sealed before it started"}
	superseded   = conclusion{NotRun, CauseSealed, "a later attempt has been seen"}
	fencedOff    = conclusion{NotRun, CauseFenced, "a newer claim holds the job"}
	cancelledIt  = conclusion{Cancelled, CauseCancelled, "cancelled before it started"}
	staleSeal    = conclusion{Unknown, CauseFenced, "a newer claim holds the job and may start it"}
	lostProcess  = conclusion{Unknown, CauseLost, "the process that knew is gone"}
	otherProcess = conclusion{Unknown, CauseIncarnation, "meant for an earlier process at this target"}
	forgotten    = conclusion{Unknown, CauseLost, "it may have been started here; its outcome is forgotten"}
)

// told makes the outcome of an attempt that has no record of its own.
func (e conclusion) taskOutcome(index, attempt uint32) TaskOutcome {
	return TaskOutcome{Index: index, Attempt: attempt, Outcome: e.outcome, Cause: e.cause, Reason: e.reason}
}

// run is the gate.
func (t *Target) run(event Run) {
	w := t.addWaiter(event)
	j, refusal, admitted := t.admitJob(event)
	for _, spec := range event.Tasks {
		if !admitted {
			w.settle(refusal.taskOutcome(spec.Index, spec.Attempt))
			continue
		}
		t.admitTask(j, event, spec, w)
	}
	if j != nil {
		t.packLater(j)
	}
	t.noteDue(w)
}

// admitJob returns the job's record, or why all tasks of the request are refused.
func (t *Target) admitJob(event Run) (*job, conclusion, bool) {
	if t.otherIncarnation(event) {
		return nil, otherProcess, false
	}
	if !event.Repeatable && event.firstEpoch() <= t.tombstones.floor && !t.known(event.Job) && !t.off.tombstones {
		return nil, forgotten, false
	}
	j, how := t.open(event.Job)
	if j == nil {
		return nil, how, false
	}
	j.repeatable = j.repeatable && event.Repeatable
	j.lost = j.lost || t.mayBeLost(j, event)
	if event.Epoch > j.fence {
		j.raise(event.Epoch, 0)
	}
	return j, conclusion{}, true
}

func (t *Target) otherIncarnation(event Run) bool {
	if t.off.incarnation || (event.Repeatable && event.Incarnation == "") {
		return false
	}
	return event.Incarnation != t.options.Incarnation
}

// known reports whether anything is left of what was known of a job.
func (t *Target) known(id JobID) bool {
	_, hasTombstone := t.tombstones.byJob[id]
	_, packed := t.packed[id]
	return hasTombstone || packed || t.jobs[id] != nil
}

// open returns the record of a job, a new one when nothing is known of it, or none and the reason when it was
// forgotten and nothing of it may start.
func (t *Target) open(id JobID) (*job, conclusion) {
	if j := t.find(id); j != nil {
		return j, conclusion{}
	}
	mark, hasTombstone := t.tombstones.byJob[id]
	if hasTombstone && !t.off.tombstones {
		switch mark.fate {
		case fateStarted:
			return nil, forgotten
		case fateCancelled:
			return nil, cancelledIt
		case fateOpen:
			t.tombstones.remove(id)
		}
	}
	j := &job{id: id, repeatable: !hasTombstone, fence: mark.fence, fenceAttempt: mark.attempt}
	if !hasTombstone {
		j.floor = t.tombstones.floor
	}
	t.jobs[id] = j
	t.charge(j, jobBytes)
	return j, conclusion{}
}

// admitTask decides on one task of a request. A waiter is told of it now or when it ends.
func (t *Target) admitTask(j *job, event Run, spec Spec, w *waiter) {
	each := j.find(spec.Index)
	switch {
	case (each == nil || each.attempt == 0) && j.lost && !event.Repeatable:
		w.settle(forgotten.taskOutcome(spec.Index, spec.Attempt))
		return
	case each != nil && spec.Attempt <= each.attempt:
		t.attach(j, each, spec, w)
		return
	case each != nil && !t.mayTryAgain(j, each):
		t.watch(w, each)
		return
	case each != nil && each.sealed:
		w.settle(conclusion{each.outcome, each.cause, each.reason}.taskOutcome(spec.Index, spec.Attempt))
		return
	case !t.off.fence && j.fenced(event.Epoch, spec.Attempt):
		w.settle(t.fencedEnding(j, event).taskOutcome(spec.Index, spec.Attempt))
		return
	}
	w.fresh = true
	if each == nil {
		each = t.addTask(j, spec.Index)
	}
	if how, refused := t.refuse(j, event); refused {
		t.remember(j, each, spec, how, w)
		return
	}
	t.enqueue(j, each, event, spec)
	t.watch(w, each)
	t.pump()
}

// mayBeLost reports whether tasks without a record may have been started by what was forgotten before the job's record
// was made.
func (t *Target) mayBeLost(j *job, event Run) bool {
	return !event.Repeatable && event.firstEpoch() <= j.floor && !t.off.tombstones
}

// attach answers a copy, or an attempt older than the latest. A never-repeated task has a later attempt only when the
// older ones did not start.
func (t *Target) attach(j *job, each *task, spec Spec, w *waiter) {
	switch {
	case spec.Attempt == each.attempt:
		t.watch(w, each)
	case each.started && j.repeatable:
		w.settle(forgotten.taskOutcome(spec.Index, spec.Attempt))
	default:
		w.settle(superseded.taskOutcome(spec.Index, spec.Attempt))
	}
}

// mayTryAgain reports whether an attempt later than the last one may start.
func (t *Target) mayTryAgain(j *job, each *task) bool {
	if each.live != nil || each.outcome == Done {
		return false
	}
	return j.repeatable || !each.started || t.off.gate
}

func (t *Target) fencedEnding(j *job, event Run) conclusion {
	if event.Epoch < j.fence {
		return fencedOff
	}
	return sealed
}

// refuse tells why a new attempt is not taken, if so.
func (t *Target) refuse(j *job, event Run) (conclusion, bool) {
	if j.cancelled {
		return cancelledIt, true
	}
	if how, closed := t.closed(); closed {
		return how, true
	}
	if event.Deadline <= t.now {
		return pastDeadline, true
	}
	// What is left after forgetting is live.
	t.forget()
	slots := max(event.Slots, 1)
	switch {
	case slots > t.slots:
		return tooWide, true
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

// remember ends an attempt that never got into the queue, so that a late copy of the request can't start it.
func (t *Target) remember(j *job, each *task, spec Spec, how conclusion, w *waiter) {
	if t.off.refusals {
		w.settle(how.taskOutcome(spec.Index, spec.Attempt))
		return
	}
	each.attempt = spec.Attempt
	t.conclude(j, each, how, nil)
	t.watch(w, each)
}

func (t *Target) enqueue(j *job, each *task, event Run, spec Spec) {
	each.attempt = spec.Attempt
	each.outcome = Queued
	each.cause = CauseNone
	t.setText(j, each, "", nil)
	each.queueUS = 0
	each.runUS = 0
	each.live = &liveTask{
		job: j, payload: spec.Payload, entry: event.Entry, deadline: event.Deadline,
		queuedAt: t.now, slots: max(event.Slots, 1),
	}
	j.live++
	t.queue.push(j, each)
}

// end ends a live attempt without a result.
func (t *Target) end(j *job, each *task, how conclusion) {
	t.endWith(j, each, how, nil)
}

// endWith ends a live attempt and tells those who wait for it.
func (t *Target) endWith(j *job, each *task, how conclusion, result []byte) {
	waiters := each.live.waiters
	each.live = nil
	j.live--
	t.conclude(j, each, how, result)
	delivered := slices.ContainsFunc(waiters, func(w *waiter) bool { return !w.answered })
	t.setUndelivered(each, !delivered)
	for _, w := range waiters {
		w.ended(each)
		t.noteDue(w)
	}
	t.packLater(j)
}

func (t *Target) conclude(j *job, each *task, how conclusion, result []byte) {
	each.outcome = how.outcome
	each.cause = how.cause
	t.setText(j, each, how.reason, result)
}

func (t *Target) setText(j *job, each *task, reason string, result []byte) {
	t.charge(j, len(reason)+len(result)-len(each.reason)-len(each.result))
	each.reason = reason
	each.result = result
}

func (t *Target) addTask(j *job, index uint32) *task {
	t.charge(j, taskBytes)
	t.remembered++
	return j.add(index)
}
