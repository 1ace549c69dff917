package target

// seal fences a job and answers with what is known of its tasks.
func (t *Target) seal(event Seal) {
	answer := Answer{Waiter: event.Waiter}
	unseen := t.sealedUnseen(event)
	j, how := t.openSealed(event)
	if j == nil {
		answer.Lost = how.outcome == Unknown
		answer.Outcomes = outcomesOf(how, event.Indexes)
		t.answer(answer)
		return
	}
	if j.lost {
		unseen = forgotten
	}
	if event.Epoch < j.fence {
		unseen = staleSeal
	} else {
		t.shut(j, event, unseen)
	}
	answer.Lost = unseen.outcome == Unknown
	answer.Outcomes = t.report(j, event, unseen)
	t.packLater(j)
	t.answer(answer)
}

// sealedUnseen is the outcome of a task without a record.
func (t *Target) sealedUnseen(event Seal) conclusion {
	if event.Incarnation != t.options.Incarnation && !t.off.incarnation {
		return lostProcess
	}
	return sealed
}

// openSealed returns the record of the job, which is never-repeated from now on.
func (t *Target) openSealed(event Seal) (*job, conclusion) {
	j, how := t.open(event.Job)
	if j == nil {
		return nil, how
	}
	j.repeatable = false
	if j.mayHaveBeenDropped(event) && !t.off.tombstones {
		j.lost = true
	}
	return j, conclusion{}
}

// mayHaveBeenDropped reports whether the job may have been here before its record was made.
func (j *job) mayHaveBeenDropped(event Seal) bool {
	first := event.FirstEpoch
	if first == 0 && !event.All {
		first = event.Epoch
	}
	return j.floor > 0 && first <= j.floor
}

// shut raises the fence and ends what is queued behind it.
func (t *Target) shut(j *job, event Seal, unseen conclusion) {
	if event.All {
		j.raise(event.Epoch, event.Attempt)
		t.endQueued(j, sealed, func(*task) bool { return true })
	} else {
		j.raise(event.Epoch, 0)
	}
	for _, index := range event.Indexes {
		t.sealTask(j, index, event, unseen)
	}
}

// sealTask keeps attempts of one task from starting.
func (t *Target) sealTask(j *job, index uint32, event Seal, unseen conclusion) {
	each := j.find(index)
	if each == nil {
		if unseen.outcome == Unknown {
			return
		}
		each = t.addTask(j, index)
		t.conclude(j, each, unseen, nil)
	}
	if each.outcome == Queued {
		t.end(j, each, sealed)
		t.queue.sift(j)
	}
	if each.started {
		return
	}
	each.attempt = max(each.attempt, event.Attempt)
	if event.Attempt == 0 && !event.All {
		each.sealed = true
	}
}

// report lists the tasks that a seal asks for.
func (t *Target) report(j *job, event Seal, unseen conclusion) []TaskOutcome {
	outcomes := make([]TaskOutcome, 0, len(event.Indexes))
	listed := map[uint32]bool{}
	for _, index := range event.Indexes {
		listed[index] = true
		if each := j.find(index); each != nil {
			outcomes = append(outcomes, t.tell(each))
			continue
		}
		outcomes = append(outcomes, unseen.taskOutcome(index, 0))
	}
	if !event.All {
		return outcomes
	}
	for _, each := range j.tasks {
		if !listed[each.index] {
			outcomes = append(outcomes, t.tell(each))
		}
	}
	return outcomes
}

// tell returns what is known of a task and notes that it was told.
func (t *Target) tell(each *task) TaskOutcome {
	t.setUndelivered(each, false)
	return each.taskOutcome()
}

func outcomesOf(how conclusion, indexes []uint32) []TaskOutcome {
	outcomes := make([]TaskOutcome, 0, len(indexes))
	for _, index := range indexes {
		outcomes = append(outcomes, how.taskOutcome(index, 0))
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
	t.pump()
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
		matches = func(each *task) bool { return named[each.index] }
	}
	freed = t.endQueued(j, cancelledIt, matches)
	for _, each := range j.tasks {
		if each.outcome == Running && !each.live.stopping && matches(each) {
			each.live.stopping = true
			t.effects = append(t.effects, Abort{Job: j.id, Index: each.index, Attempt: each.attempt})
			stopping++
		}
	}
	t.packLater(j)
	return freed, stopping
}

// cancelUnseen makes records for tasks that are not known, so that a late request finds them cancelled, and returns
// the set of indexes.
func (t *Target) cancelUnseen(j *job, indexes []uint32) map[uint32]bool {
	named := make(map[uint32]bool, len(indexes))
	for _, index := range indexes {
		named[index] = true
		if j.find(index) == nil {
			each := t.addTask(j, index)
			each.sealed = true
			t.conclude(j, each, cancelledIt, nil)
		}
	}
	return named
}

// status tells what is known and changes nothing.
func (t *Target) status(event Status) {
	answer := Answer{Waiter: event.Waiter}
	j := t.find(event.Job)
	unseen := t.statusUnseen(event.Job, j)
	if j == nil {
		answer.Outcomes = outcomesOf(unseen, event.Indexes)
	} else {
		answer.Outcomes = t.report(j, Seal{Indexes: event.Indexes, All: len(event.Indexes) == 0}, unseen)
		t.packLater(j)
	}
	t.answer(answer)
}

func (t *Target) statusUnseen(id JobID, j *job) conclusion {
	mark, hasTombstone := t.tombstones.byJob[id]
	switch {
	case j != nil && !j.lost:
		return conclusion{}
	case hasTombstone && mark.fate == fateOpen:
		return conclusion{}
	case hasTombstone && mark.fate == fateCancelled:
		return cancelledIt
	case hasTombstone || t.tombstones.dropped > 0:
		return forgotten
	default:
		return conclusion{}
	}
}
