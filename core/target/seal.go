package target

// seal fences a job and answers with the outcomes of its tasks.
func (t *Target) seal(event Seal) {
	answer := Answer{Waiter: event.Waiter}
	unseen := t.sealedUnseen(event)
	j, ending := t.openSealed(event)
	if j == nil {
		answer.Lost = ending.outcome == Unknown
		answer.Outcomes = outcomesOf(ending, event.Indexes)
		t.answer(answer)
		return
	}
	if j.lost {
		unseen = forgotten
	}
	if event.Epoch < j.fence {
		unseen = staleSeal
	} else {
		t.applySeal(j, event, unseen)
	}
	answer.Lost = unseen.outcome == Unknown
	answer.Outcomes = t.report(j, event, unseen)
	t.packLater(j)
	t.answer(answer)
}

// sealedUnseen returns the conclusion for a task without a record.
func (t *Target) sealedUnseen(event Seal) conclusion {
	if event.Incarnation != t.options.Incarnation && !t.disabled.incarnation {
		return lostProcess
	}
	return sealed
}

// openSealed returns the record of the job and marks it as never-repeated.
func (t *Target) openSealed(event Seal) (*job, conclusion) {
	j, ending := t.open(event.Job)
	if j == nil {
		return nil, ending
	}
	j.repeatable = false
	if j.mayHaveBeenDropped(event) && !t.disabled.tombstones {
		j.lost = true
	}
	return j, conclusion{}
}

// mayHaveBeenDropped reports whether an earlier record of the job may have existed and been dropped.
func (j *job) mayHaveBeenDropped(event Seal) bool {
	first := event.FirstEpoch
	if first == 0 && !event.All {
		first = event.Epoch
	}
	return j.maxDroppedEpoch > 0 && first <= j.maxDroppedEpoch
}

// applySeal raises the fence and ends the queued tasks that it excludes.
func (t *Target) applySeal(j *job, event Seal, unseen conclusion) {
	if event.All {
		j.raiseFence(event.Epoch, event.Attempt)
		t.endQueued(j, sealed, func(*task) bool { return true })
	} else {
		j.raiseFence(event.Epoch, 0)
	}
	for _, index := range event.Indexes {
		t.sealTask(j, index, event, unseen)
	}
}

// sealTask prevents attempts of one task from starting.
func (t *Target) sealTask(j *job, index uint32, event Seal, unseen conclusion) {
	tk := j.find(index)
	if unseen.outcome == Unknown && (tk == nil || tk.isCancelledUnseen()) {
		return
	}
	if tk == nil {
		tk = t.addTask(j, index)
		t.conclude(j, tk, unseen, nil)
	}
	if tk.outcome == Queued {
		t.end(j, tk, sealed)
		t.queue.removeEnded(j)
	}
	if tk.started {
		return
	}
	tk.attempt = max(tk.attempt, event.Attempt)
	if event.Attempt == 0 && !event.All {
		tk.sealed = true
	}
}

// report returns the outcomes of the tasks in Indexes and, with All, those of the other known tasks.
func (t *Target) report(j *job, event Seal, unseen conclusion) []TaskOutcome {
	outcomes := make([]TaskOutcome, 0, len(event.Indexes))
	listed := map[uint32]bool{}
	for _, index := range event.Indexes {
		listed[index] = true
		outcomes = append(outcomes, t.reportTask(j.find(index), index, unseen))
	}
	if !event.All {
		return outcomes
	}
	for _, tk := range j.tasks {
		if !listed[tk.index] {
			outcomes = append(outcomes, t.reportTask(tk, tk.index, unseen))
		}
	}
	return outcomes
}

// reportTask returns the outcome of a task. If the job may have had an earlier record, the cancel of a task that no
// request has named does not show that it never ran.
func (t *Target) reportTask(tk *task, index uint32, unseen conclusion) TaskOutcome {
	if tk == nil || tk.isCancelledUnseen() && unseen.outcome == Unknown {
		return unseen.taskOutcome(index, 0)
	}
	return t.deliver(tk)
}

// deliver returns the outcome of a task and marks it as delivered.
func (t *Target) deliver(tk *task) TaskOutcome {
	t.setUndelivered(tk, false)
	return tk.taskOutcome()
}

func outcomesOf(ending conclusion, indexes []uint32) []TaskOutcome {
	outcomes := make([]TaskOutcome, 0, len(indexes))
	for _, index := range indexes {
		outcomes = append(outcomes, ending.taskOutcome(index, 0))
	}
	return outcomes
}

// cancel ends queued tasks of many jobs and asks running ones to stop.
func (t *Target) cancel(event Cancel) {
	answer := Answer{Waiter: event.Waiter}
	for _, cancelled := range event.Jobs {
		freed, stopping := t.cancelJob(cancelled)
		answer.Freed += freed
		answer.Stopping += stopping
	}
	t.startQueued()
	t.answer(answer)
}

func (t *Target) cancelJob(cancelled CancelledJob) (freed, stopping int) {
	j, _ := t.open(cancelled.Job)
	if j == nil {
		return 0, 0
	}
	matches := func(*task) bool { return true }
	if cancelled.All {
		j.cancelled = true
	} else {
		named := t.cancelUnseen(j, cancelled.Indexes)
		matches = func(tk *task) bool { return named[tk.index] }
	}
	freed = t.endQueued(j, cancelledEarly, matches)
	for _, tk := range j.tasks {
		if tk.outcome == Running && !tk.live.stopping && matches(tk) {
			tk.live.stopping = true
			t.effects = append(t.effects, Abort{Job: j.id, Index: tk.index, Attempt: tk.attempt})
			stopping++
		}
	}
	t.packLater(j)
	return freed, stopping
}

// cancelUnseen creates cancelled records for unknown tasks, so that a delayed request does not start them, and returns
// the set of indexes.
func (t *Target) cancelUnseen(j *job, indexes []uint32) map[uint32]bool {
	named := make(map[uint32]bool, len(indexes))
	for _, index := range indexes {
		named[index] = true
		if j.find(index) == nil {
			tk := t.addTask(j, index)
			tk.sealed = true
			t.conclude(j, tk, cancelledEarly, nil)
		}
	}
	return named
}

// status answers with the known outcomes and starts nothing.
func (t *Target) status(event Status) {
	answer := Answer{Waiter: event.Waiter}
	j := t.find(event.Job)
	unseen := t.statusUnseen(event.Job, j)
	if j == nil {
		answer.Outcomes = outcomesOf(unseen, event.Indexes)
	} else {
		answer.Outcomes = t.report(j, Seal{Indexes: event.Indexes, All: len(event.Indexes) == 0}, unseen)
		j.forgetCancelled(answer.Outcomes)
		t.packLater(j)
	}
	t.answer(answer)
}

// forgetCancelled changes the outcomes of tasks that only a cancel has named to unknown if the job may have had an
// earlier record. A status names no claim, so it can't exclude that.
func (j *job) forgetCancelled(outcomes []TaskOutcome) {
	for i := range outcomes {
		if tk := j.find(outcomes[i].Index); j.maxDroppedEpoch > 0 && tk != nil && tk.isCancelledUnseen() {
			outcomes[i] = forgotten.taskOutcome(tk.index, 0)
		}
	}
}

func (t *Target) statusUnseen(id JobID, j *job) conclusion {
	tomb, hasTombstone := t.tombstones.byJob[id]
	switch {
	case j != nil && !j.lost:
		return conclusion{}
	case hasTombstone && tomb.startState == neverStarted:
		return conclusion{}
	case hasTombstone && tomb.startState == cancelledUnstarted:
		return cancelledEarly
	case hasTombstone || t.tombstones.dropped > 0:
		return forgotten
	default:
		return conclusion{}
	}
}
