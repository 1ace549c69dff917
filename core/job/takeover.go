package job

// takeover collects, from each target that earlier holders may have used, what they started there.
type takeover struct {
	// pending holds the targets that have not answered.
	pending map[Target]bool
	// lost is set when the starts of a target can't be known.
	lost bool
	// lostTasks holds the tasks that a target reported as unknown.
	lostTasks map[int]bool
}

func (j *Job) beginTakeover(earlier []Target) {
	j.phase = phaseTakeover
	j.takeover = takeover{pending: map[Target]bool{}, lostTasks: map[int]bool{}}
	refs := make([]Ref, len(j.tasks))
	for i := range refs {
		refs[i].Index = i
	}
	for _, target := range earlier {
		j.takeover.pending[target] = true
		j.emit(Effect{Kind: EffectSeal, Target: target, Refs: refs})
	}
}

// takeoverAnswered applies the reports of one target. At most one target has started a task, so any outcome other than
// not run or unknown decides it.
func (j *Job) takeoverAnswered(e SealAnswered) {
	if !j.takeover.pending[e.Target] {
		return
	}
	delete(j.takeover.pending, e.Target)
	for _, report := range e.Reports {
		j.takeoverReport(e.Target, report)
	}
	if len(j.takeover.pending) == 0 {
		j.endTakeover()
	}
}

func (j *Job) takeoverReport(target Target, report Report) {
	if report.Index < 0 || report.Index >= len(j.tasks) {
		return
	}
	t := &j.tasks[report.Index]
	t.attempt = max(t.attempt, report.Attempt)
	if t.settled || len(t.liveAttempts) > 0 {
		return
	}
	switch report.Outcome {
	case NotRun:
	case Unknown:
		j.takeover.lostTasks[report.Index] = true
	case Cancelled:
		// Only this holder could still start a task that was cancelled before its start, so it stays cancelled.
		j.settle(t, Cancelled, CauseCancelled, report.Reason)
	case Done, Failed:
		t.starts, t.Attempts = 1, 1
		t.Target = target.ID
		t.Result = report.Result
		t.Queue, t.Run = report.Queue, report.Run
		j.settle(t, report.Outcome, report.Cause, report.Reason)
	default:
		j.waiting--
		t.starts, t.Attempts = 1, 1
		t.Outcome = Running
		t.Target = target.ID
		// The earlier holder made the first Run call, so a refusal by another incarnation does not show that nothing ran.
		t.liveAttempts = append(t.liveAttempts, liveAttempt{attempt: report.Attempt, target: target, runs: 1})
		j.emit(Effect{Kind: EffectAdopted, Target: target})
		j.call(EffectRun, target, []Ref{report.Ref})
	}
}

func (j *Job) takeoverUnanswered(target Target) {
	if !j.takeover.pending[target] {
		return
	}
	refs := make([]Ref, len(j.tasks))
	for i := range refs {
		refs[i].Index = i
	}
	j.emit(Effect{Kind: EffectSeal, Target: target, Refs: refs})
}

func (j *Job) takeoverLost(e TargetLost) {
	if !e.Replaced || !j.takeover.pending[e.Target] {
		return
	}
	delete(j.takeover.pending, e.Target)
	j.takeover.lost = true
	if len(j.takeover.pending) == 0 {
		j.endTakeover()
	}
}

// endTakeover opens the job for placement of the tasks that are known not to have started. A task that a lost target
// may have started is unknown.
func (j *Job) endTakeover() {
	j.phase = phaseOpen
	lost := j.takeover.lost || len(j.takeover.pending) > 0
	failed := false
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.settled && len(t.liveAttempts) == 0 && (lost || j.takeover.lostTasks[i]) {
			j.settle(t, Unknown, CauseLost, "a target that may have started it can't tell")
		}
		failed = failed || (t.settled && t.Outcome != Done)
	}
	if failed && !j.stopping {
		j.stop(CauseJob, "a task of the job failed under an earlier holder")
		return
	}
	if j.stopping {
		j.settleWaiting()
		j.endAttempts()
		return
	}
	if j.waiting > 0 {
		j.emit(Effect{Kind: EffectAwaitPlacement})
	}
}
