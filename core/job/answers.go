package job

// maxRefusals bounds the refusals of one task for reasons other than load; then the job fails.
const maxRefusals = 16

// runAnswered takes the outcomes in and attaches again to what goes on.
func (j *Job) runAnswered(e RunAnswered) {
	j.release(e.Asked, e.Target)
	j.takeReports(e.Target, renumber(e.Asked, e.Reports))
	j.attach(e.Target, e.Asked)
}

// runSilent asks on a fresh connection before anything else is decided.
func (j *Job) runSilent(e RunUnanswered) {
	j.release(e.Asked, e.Target)
	j.call(EffectStatus, e.Target, e.Asked)
}

// statusAnswered takes the outcomes in and attaches to the rest: an attempt that has not arrived is sent again under
// its own number, for which the sidecar starts it once at most.
func (j *Job) statusAnswered(e StatusAnswered) {
	j.release(e.Asked, e.Target)
	j.takeReports(e.Target, e.Reports)
	j.attach(e.Target, e.Asked)
}

func (j *Job) statusSilent(e StatusUnanswered) {
	j.release(e.Asked, e.Target)
	if !j.spec.Repeatable {
		j.call(EffectSeal, e.Target, e.Asked)
		return
	}
	for _, ref := range e.Asked {
		j.tryFailed(ref, e.Target, CauseTarget, "no answer from "+e.Target.ID)
	}
}

func (j *Job) sealAnswered(e SealAnswered) {
	if j.phase == phaseTakeover {
		j.takeoverAnswered(e)
		return
	}
	j.release(e.Asked, e.Target)
	j.takeReports(e.Target, renumber(e.Asked, e.Reports))
	j.attach(e.Target, e.Asked)
}

// renumber gives reports of a task's earlier attempt the number asked for: the target speaks of the task as a whole,
// and a sealed or started task starts no later attempt there.
func renumber(asked []Ref, reports []Report) []Report {
	attempts := make(map[int]int, len(asked))
	for _, ref := range asked {
		attempts[ref.Index] = ref.Attempt
	}
	for i := range reports {
		if attempt, known := attempts[reports[i].Index]; known && reports[i].Attempt < attempt {
			reports[i].Attempt = attempt
		}
	}
	return reports
}

func (j *Job) sealSilent(e SealUnanswered) {
	if j.phase == phaseTakeover {
		j.takeoverSilent(e.Target)
		return
	}
	j.release(e.Asked, e.Target)
	j.call(EffectSeal, e.Target, e.Asked)
}

// targetLost fails repeatable attempts over. Never-repeated ones may have started: a replaced process can't tell.
func (j *Job) targetLost(e TargetLost) {
	if j.phase == phaseTakeover {
		j.takeoverLost(e)
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		tr := t.find(e.Target)
		if t.settled || tr == nil {
			continue
		}
		ref := Ref{Index: i, Attempt: tr.attempt}
		switch {
		case j.spec.Repeatable:
			j.tryFailed(ref, e.Target, CauseLost, e.Target.ID+" was lost")
		case e.Replaced:
			j.takeReport(e.Target, Report{
				Ref: ref, Outcome: Unknown, Cause: CauseLost,
				Reason: e.Target.ID + " was replaced, and what it started is not known",
			})
		}
	}
}

func (t *task) find(target Target) *try {
	for i := range t.tries {
		if t.tries[i].target == target {
			return &t.tries[i]
		}
	}
	return nil
}

func (j *Job) try(ref Ref, target Target) (*task, *try) {
	if ref.Index < 0 || ref.Index >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[ref.Index]
	for i := range t.tries {
		if t.tries[i].attempt == ref.Attempt && t.tries[i].target == target {
			return t, &t.tries[i]
		}
	}
	return t, nil
}

// release notes that a call for these attempts has ended.
func (j *Job) release(refs []Ref, target Target) {
	for _, ref := range refs {
		if _, tr := j.try(ref, target); tr != nil {
			tr.calls--
		}
	}
}

// attach sends Run again for the attempts that are still without a final outcome.
func (j *Job) attach(target Target, asked []Ref) {
	j.call(EffectRun, target, asked)
}

// call emits one call for those attempts that are open and have no other call on its way.
func (j *Job) call(kind EffectKind, target Target, asked []Ref) {
	var refs []Ref
	for _, ref := range asked {
		_, tr := j.try(ref, target)
		if tr == nil || tr.calls > 0 {
			continue
		}
		tr.calls++
		if kind == EffectRun {
			tr.runs++
		}
		refs = append(refs, ref)
	}
	if len(refs) > 0 {
		j.emit(Effect{Kind: kind, Target: target, Refs: refs, Again: kind == EffectRun})
	}
}

func (j *Job) takeReports(target Target, reports []Report) {
	for _, report := range reports {
		if report.Outcome.Final() {
			j.takeReport(target, report)
		}
	}
}

// takeReport applies the final outcome of one attempt. Late, doubled and foreign reports find no attempt and change
// nothing.
func (j *Job) takeReport(target Target, report Report) {
	t, tr := j.try(report.Ref, target)
	if tr == nil {
		return
	}
	if report.Cause == CauseIncarnation {
		report.Outcome = NotRun
		if tr.runs > 1 {
			// The process that refuses is not the one that the first Run reached.
			report.Outcome, report.Cause = Unknown, CauseLost
		}
	}
	switch report.Outcome {
	case Done:
		j.tryDone(t, tr.target, report)
	case NotRun:
		j.tryNotRun(t, report)
	case Cancelled:
		j.tryCancelled(t, report)
	case Unknown:
		j.tryUnknown(t, report)
	default:
		t.Queue, t.Run = report.Queue, report.Run
		j.tryFailed(report.Ref, target, report.Cause, report.Reason)
	}
}

func (j *Job) tryDone(t *task, target Target, report Report) {
	for _, other := range t.tries {
		if other.target != target {
			j.emit(Effect{
				Kind: EffectCancel, Target: other.target,
				Refs: []Ref{{Index: report.Index, Attempt: other.attempt}},
			})
		}
	}
	t.Result = report.Result
	t.Queue, t.Run = report.Queue, report.Run
	t.Target = target.ID
	j.settle(t, Done, CauseNone, "")
}

// tryNotRun frees the task for another target: this attempt did not start and never will.
func (j *Job) tryNotRun(t *task, report Report) {
	t.starts--
	t.Attempts = t.starts
	if j.dropTry(t, report.Attempt) {
		return
	}
	if report.Cause == CauseDeadline {
		j.settleRefused(t, report)
		return
	}
	if report.Cause == CauseFenced {
		j.settle(t, Unknown, CauseFenced, "another entry has taken the job over")
		j.failJob(report.Index)
		return
	}
	if report.Cause != CauseBusy && report.Cause != CauseLeaving {
		t.refusals++
	}
	if t.refusals > maxRefusals {
		j.settleRefused(t, report)
		return
	}
	j.wait(t, report.Cause, report.Reason)
}

// settleRefused ends a task whose last attempt did not start. One with an earlier start has failed: it did run.
func (j *Job) settleRefused(t *task, report Report) {
	outcome := NotRun
	if t.starts > 0 {
		outcome = Failed
	}
	j.settle(t, outcome, report.Cause, report.Reason)
	j.failJob(report.Index)
}

func (j *Job) tryCancelled(t *task, report Report) {
	if j.dropTry(t, report.Attempt) {
		return
	}
	j.settle(t, Cancelled, CauseCancelled, report.Reason)
	j.failJob(report.Index)
}

func (j *Job) tryUnknown(t *task, report Report) {
	if j.spec.Repeatable {
		j.failTry(t, report)
		return
	}
	j.settle(t, Unknown, report.Cause, report.Reason)
	j.failJob(report.Index)
}

// tryFailed ends an attempt that ran, or that may have run, without success.
func (j *Job) tryFailed(ref Ref, target Target, cause Cause, reason string) {
	t, tr := j.try(ref, target)
	if tr == nil {
		return
	}
	report := Report{Ref: ref, Outcome: Failed, Cause: cause, Reason: reason}
	if j.spec.Repeatable && cause != CauseTask {
		j.failTry(t, report)
		return
	}
	for _, other := range t.tries {
		if other.attempt != ref.Attempt {
			j.emit(Effect{Kind: EffectCancel, Target: other.target, Refs: []Ref{{ref.Index, other.attempt}}})
		}
	}
	j.settle(t, Failed, cause, reason)
	j.failJob(ref.Index)
}

// failTry retries a repeatable task within its attempts and the retry budget.
func (j *Job) failTry(t *task, report Report) {
	if j.dropTry(t, report.Attempt) {
		return
	}
	mayRetry := !j.stopping && t.starts < j.spec.Attempts && (j.spec.Budget == nil || j.spec.Budget.Take())
	if mayRetry {
		j.wait(t, report.Cause, report.Reason)
		return
	}
	j.settle(t, Failed, report.Cause, report.Reason)
	j.failJob(report.Index)
}

// dropTry removes an attempt and reports whether another one of the task goes on.
func (j *Job) dropTry(t *task, attempt int) bool {
	for i := range t.tries {
		if t.tries[i].attempt == attempt {
			j.ended(t.tries[i])
			t.tries = append(t.tries[:i], t.tries[i+1:]...)
			break
		}
	}
	return len(t.tries) > 0
}

// wait puts a task back among those that wait, or settles it when nothing new may start.
func (j *Job) wait(t *task, cause Cause, reason string) {
	t.Outcome = Queued
	t.Cause, t.Reason = cause, reason
	j.waiting++
	if j.stopping {
		j.settleStopped(t)
		return
	}
	j.emit(Effect{Kind: EffectAwaitPlacement})
}

// failJob stops the rest once one task can't be done any more.
func (j *Job) failJob(index int) {
	if !j.stopping {
		j.stop(CauseJob, "the job failed at task "+itoa(index))
	}
}
