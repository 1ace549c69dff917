package job

// takeover collects from each target that an earlier holder may have used what it started there.
type takeover struct {
	open map[Target]bool
	// lost is true when a target can't tell.
	lost bool
	// lostTasks are those of which one target could not tell.
	lostTasks map[int]bool
}

func (j *Job) beginTakeover(earlier []Target) {
	j.phase = phaseTakeover
	j.takeover = takeover{open: map[Target]bool{}, lostTasks: map[int]bool{}}
	refs := make([]Ref, len(j.tasks))
	for i := range refs {
		refs[i].Index = i
	}
	for _, target := range earlier {
		j.takeover.open[target] = true
		j.emit(Effect{Kind: EffectSeal, Target: target, Refs: refs})
	}
}

// takeoverAnswered takes in what one target started. At most one target has started a task, so that any outcome but
// not run or unknown settles it.
func (j *Job) takeoverAnswered(e SealAnswered) {
	if !j.takeover.open[e.Target] {
		return
	}
	delete(j.takeover.open, e.Target)
	for _, report := range e.Reports {
		j.takeoverReport(e.Target, report)
	}
	if len(j.takeover.open) == 0 {
		j.endTakeover()
	}
}

func (j *Job) takeoverReport(target Target, report Report) {
	if report.Index < 0 || report.Index >= len(j.tasks) {
		return
	}
	t := &j.tasks[report.Index]
	t.attempt = max(t.attempt, report.Attempt)
	if t.settled || len(t.tries) > 0 {
		return
	}
	switch report.Outcome {
	case NotRun:
	case Unknown:
		j.takeover.lostTasks[report.Index] = true
	case Cancelled:
		// A task that was cancelled before its start may be started by nobody but this holder: it stays cancelled.
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
		t.tries = append(t.tries, try{attempt: report.Attempt, target: target})
		j.emit(Effect{Kind: EffectAdopted, Target: target})
		j.call(EffectRun, target, []Ref{report.Ref})
	}
}

func (j *Job) takeoverSilent(target Target) {
	if !j.takeover.open[target] {
		return
	}
	refs := make([]Ref, len(j.tasks))
	for i := range refs {
		refs[i].Index = i
	}
	j.emit(Effect{Kind: EffectSeal, Target: target, Refs: refs})
}

func (j *Job) takeoverLost(e TargetLost) {
	if !e.Replaced || !j.takeover.open[e.Target] {
		return
	}
	delete(j.takeover.open, e.Target)
	j.takeover.lost = true
	if len(j.takeover.open) == 0 {
		j.endTakeover()
	}
}

// endTakeover opens the job for what is known not to have started. What a lost target may have started is unknown.
func (j *Job) endTakeover() {
	j.phase = phaseOpen
	lost := j.takeover.lost || len(j.takeover.open) > 0
	isFailed := false
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.settled && len(t.tries) == 0 && (lost || j.takeover.lostTasks[i]) {
			j.settle(t, Unknown, CauseLost, "a target that may have started it can't tell")
		}
		isFailed = isFailed || (t.settled && t.Outcome != Done)
	}
	if isFailed && !j.stopping {
		j.stop(CauseJob, "a task of the job failed under an earlier holder")
		return
	}
	if j.stopping {
		j.settleWaiting()
		j.endTries()
		return
	}
	if j.waiting > 0 {
		j.emit(Effect{Kind: EffectAwaitPlacement})
	}
}
