package job

// maxRefusals is the maximum number of refusals of one task for reasons other than load. Beyond it the job fails.
const maxRefusals = 16

// runAnswered applies the outcomes and attaches again to the attempts that continue.
func (j *Job) runAnswered(e RunAnswered) {
	j.release(e.Asked, e.Target)
	reports := renumber(e.Asked, e.Reports)
	if e.Incarnation != "" && e.Incarnation != e.Target.Incarnation {
		j.correctReplacedReports(e.Target, reports)
	}
	j.applyReports(e.Target, reports)
	j.attach(e.Target, e.Asked)
}

// correctReplacedReports corrects reports by a process that replaced the target. It can't know whether the previous
// process, which may have received an earlier Run of the same attempt, started the task.
func (j *Job) correctReplacedReports(target Target, reports []Report) {
	for i := range reports {
		report := &reports[i]
		if _, live := j.liveAttempt(report.Ref, target); live != nil && live.runs > 1 && report.Outcome == NotRun {
			report.Outcome, report.Cause = Unknown, CauseLost
			report.Reason = target.ID + " was replaced, and what it started is not known"
		}
	}
}

// runUnanswered queries the status on a new connection before anything else is decided.
func (j *Job) runUnanswered(e RunUnanswered) {
	j.release(e.Asked, e.Target)
	j.call(EffectStatus, e.Target, e.Asked)
}

// statusAnswered applies the outcomes and attaches to the other attempts. An attempt that has not arrived is resent
// under the same number, so that the sidecar starts it at most once.
func (j *Job) statusAnswered(e StatusAnswered) {
	j.release(e.Asked, e.Target)
	j.applyReports(e.Target, e.Reports)
	j.attach(e.Target, e.Asked)
}

func (j *Job) statusUnanswered(e StatusUnanswered) {
	j.release(e.Asked, e.Target)
	if !j.spec.Repeatable {
		j.call(EffectSeal, e.Target, e.Asked)
		return
	}
	for _, ref := range e.Asked {
		j.attemptFailed(ref, e.Target, CauseTarget, "no answer from "+e.Target.ID)
	}
}

func (j *Job) sealAnswered(e SealAnswered) {
	if j.phase == phaseTakeover {
		j.takeoverAnswered(e)
		return
	}
	j.release(e.Asked, e.Target)
	j.applyReports(e.Target, renumber(e.Asked, e.Reports))
	j.attach(e.Target, e.Asked)
}

// renumber raises the attempt number in reports of an earlier attempt to the number asked for. A target reports on the
// task as a whole, and a sealed or started task starts no later attempt there.
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

func (j *Job) sealUnanswered(e SealUnanswered) {
	if j.phase == phaseTakeover {
		j.takeoverUnanswered(e.Target)
		return
	}
	j.release(e.Asked, e.Target)
	j.call(EffectSeal, e.Target, e.Asked)
}

// targetLost fails repeatable attempts over to other targets. Never-repeated ones may have started: what a replaced
// process started is not known.
func (j *Job) targetLost(e TargetLost) {
	if j.phase == phaseTakeover {
		j.takeoverLost(e)
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		live := t.find(e.Target)
		if t.settled || live == nil {
			continue
		}
		ref := Ref{Index: i, Attempt: live.attempt}
		switch {
		case j.spec.Repeatable:
			j.attemptFailed(ref, e.Target, CauseLost, e.Target.ID+" was lost")
		case e.Replaced:
			j.applyReport(e.Target, Report{
				Ref: ref, Outcome: Unknown, Cause: CauseLost,
				Reason: e.Target.ID + " was replaced, and what it started is not known",
			})
		}
	}
}

func (t *task) find(target Target) *liveAttempt {
	for i := range t.liveAttempts {
		if t.liveAttempts[i].target == target {
			return &t.liveAttempts[i]
		}
	}
	return nil
}

func (j *Job) liveAttempt(ref Ref, target Target) (*task, *liveAttempt) {
	if ref.Index < 0 || ref.Index >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[ref.Index]
	for i := range t.liveAttempts {
		if t.liveAttempts[i].attempt == ref.Attempt && t.liveAttempts[i].target == target {
			return t, &t.liveAttempts[i]
		}
	}
	return t, nil
}

// release records the end of a call for these attempts.
func (j *Job) release(refs []Ref, target Target) {
	for _, ref := range refs {
		if _, live := j.liveAttempt(ref, target); live != nil {
			live.calls--
		}
	}
}

// attach sends Run again for the attempts that have no final outcome yet.
func (j *Job) attach(target Target, asked []Ref) {
	j.call(EffectRun, target, asked)
}

// call emits one call for those attempts that are live and have no other call in flight.
func (j *Job) call(kind EffectKind, target Target, asked []Ref) {
	var refs []Ref
	for _, ref := range asked {
		_, live := j.liveAttempt(ref, target)
		if live == nil || live.calls > 0 {
			continue
		}
		live.calls++
		if kind == EffectRun {
			live.runs++
		}
		refs = append(refs, ref)
	}
	if len(refs) > 0 {
		j.emit(Effect{Kind: kind, Target: target, Refs: refs, Reattach: kind == EffectRun})
	}
}

func (j *Job) applyReports(target Target, reports []Report) {
	for _, report := range reports {
		if report.Outcome.Final() {
			j.applyReport(target, report)
		}
	}
}

// applyReport applies the final outcome of one attempt. Late and duplicate reports, and those of another target, match
// no live attempt and change nothing.
func (j *Job) applyReport(target Target, report Report) {
	t, live := j.liveAttempt(report.Ref, target)
	if live == nil {
		return
	}
	if report.Cause == CauseIncarnation {
		report.Outcome = NotRun
		if live.runs > 1 {
			// An earlier Run may have reached the previous process.
			report.Outcome, report.Cause = Unknown, CauseLost
		}
	}
	switch report.Outcome {
	case Done:
		j.attemptDone(t, live.target, report)
	case NotRun:
		j.attemptNotRun(t, report)
	case Cancelled:
		j.attemptCancelled(t, report)
	case Unknown:
		j.attemptUnknown(t, report)
	default:
		t.Queue, t.Run = report.Queue, report.Run
		j.attemptFailed(report.Ref, target, report.Cause, report.Reason)
	}
}

func (j *Job) attemptDone(t *task, target Target, report Report) {
	for _, other := range t.liveAttempts {
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

// attemptNotRun frees the task for another target: this attempt did not start and never will.
func (j *Job) attemptNotRun(t *task, report Report) {
	t.starts--
	t.Attempts = t.starts
	if j.removeAttempt(t, report.Attempt) {
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

// settleRefused settles a task whose last attempt did not start. A task with an earlier start has failed, since it did
// run.
func (j *Job) settleRefused(t *task, report Report) {
	outcome := NotRun
	if t.starts > 0 {
		outcome = Failed
	}
	j.settle(t, outcome, report.Cause, report.Reason)
	j.failJob(report.Index)
}

func (j *Job) attemptCancelled(t *task, report Report) {
	if j.removeAttempt(t, report.Attempt) {
		return
	}
	j.settle(t, Cancelled, CauseCancelled, report.Reason)
	j.failJob(report.Index)
}

func (j *Job) attemptUnknown(t *task, report Report) {
	if j.spec.Repeatable {
		j.retryOrFail(t, report)
		return
	}
	j.settle(t, Unknown, report.Cause, report.Reason)
	j.failJob(report.Index)
}

// attemptFailed ends an attempt that ran, or may have run, without success.
func (j *Job) attemptFailed(ref Ref, target Target, cause Cause, reason string) {
	t, live := j.liveAttempt(ref, target)
	if live == nil {
		return
	}
	report := Report{Ref: ref, Outcome: Failed, Cause: cause, Reason: reason}
	if j.spec.Repeatable && cause != CauseTask {
		j.retryOrFail(t, report)
		return
	}
	for _, other := range t.liveAttempts {
		if other.attempt != ref.Attempt {
			j.emit(Effect{Kind: EffectCancel, Target: other.target, Refs: []Ref{{ref.Index, other.attempt}}})
		}
	}
	j.settle(t, Failed, cause, reason)
	j.failJob(ref.Index)
}

// retryOrFail retries a repeatable task within its maximum attempts and the retry budget, or settles it as failed.
func (j *Job) retryOrFail(t *task, report Report) {
	if j.removeAttempt(t, report.Attempt) {
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

// removeAttempt removes a live attempt and reports whether the task has another one.
func (j *Job) removeAttempt(t *task, attempt int) bool {
	for i := range t.liveAttempts {
		if t.liveAttempts[i].attempt == attempt {
			j.ended(t.liveAttempts[i])
			t.liveAttempts = append(t.liveAttempts[:i], t.liveAttempts[i+1:]...)
			break
		}
	}
	return len(t.liveAttempts) > 0
}

// wait returns a task to those that wait for placement, or settles it if the job is stopping.
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

// failJob stops the job because the task can no longer be done.
func (j *Job) failJob(index int) {
	if !j.stopping {
		j.stop(CauseJob, "the job failed at task "+itoa(index))
	}
}
