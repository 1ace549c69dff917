package job

import "fmt"

// handle answers a call as the contract between entries and sidecars requires of the gate of a target.
func (g *targetState) handle(w *simulation, c *callState) []Report {
	otherIncarnation := c.target.Incarnation != fmt.Sprint(g.incarnation)
	var reports []Report
	for _, ref := range c.refs {
		switch c.kind {
		case EffectRun:
			reports = append(reports, g.run(w, c, ref, otherIncarnation))
		case EffectStatus:
			if task := g.tasks[ref.Index]; task != nil && !otherIncarnation {
				reports = append(reports, task.report(ref.Index))
			}
		case EffectSeal:
			reports = append(reports, g.seal(c, ref, otherIncarnation))
		case EffectCancel:
			g.cancel(w, ref, otherIncarnation)
		}
	}
	if c.kind == EffectSeal && !otherIncarnation {
		g.fence = max(g.fence, c.epoch)
	}
	return reports
}

func (t *gateTask) report(index int) Report {
	r := Report{Ref: Ref{Index: index, Attempt: t.attempt}, Outcome: t.outcome, Cause: t.cause, Reason: "reported"}
	if t.outcome == Done {
		r.Result = []byte(fmt.Sprint("result ", index))
	}
	return r
}

func refusal(ref Ref, outcome Outcome, cause Cause) Report {
	return Report{Ref: ref, Outcome: outcome, Cause: cause, Reason: "refused"}
}

func (g *targetState) run(w *simulation, c *callState, ref Ref, otherIncarnation bool) Report {
	if otherIncarnation && !w.repeatable {
		return refusal(ref, Unknown, CauseIncarnation)
	}
	task := g.tasks[ref.Index]
	if task != nil && (ref.Attempt <= task.attempt || (task.started && !w.repeatable)) {
		if ref.Attempt < task.attempt {
			return refusal(ref, NotRun, CauseSealed)
		}
		return task.report(ref.Index)
	}
	switch {
	case !w.repeatable && c.epoch < g.fence:
		return refusal(ref, NotRun, CauseFenced)
	case task != nil && task.sealed:
		return refusal(ref, NotRun, CauseSealed)
	case !w.now.Before(w.deadline.Add(-w.skew)):
		return refusal(ref, NotRun, CauseDeadline)
	}
	g.tasks[ref.Index] = &gateTask{attempt: ref.Attempt, outcome: Running, started: true}
	w.starts[ref.Index]++
	return g.tasks[ref.Index].report(ref.Index)
}

func (g *targetState) seal(c *callState, ref Ref, otherIncarnation bool) Report {
	if otherIncarnation {
		return refusal(ref, Unknown, CauseLost)
	}
	if c.epoch < g.fence {
		return refusal(ref, Unknown, CauseFenced)
	}
	task := g.tasks[ref.Index]
	if task == nil {
		task = &gateTask{outcome: NotRun, cause: CauseSealed}
		g.tasks[ref.Index] = task
	}
	if !task.started {
		// A takeover names no attempt and seals older epochs only; a late duplicate of it does not lift a later seal.
		isNewer := c.epoch > g.fence
		task.sealed = ref.Attempt > 0 || (task.sealed && !isNewer)
	}
	return task.report(ref.Index)
}

func (g *targetState) cancel(w *simulation, ref Ref, otherIncarnation bool) {
	task := g.tasks[ref.Index]
	if otherIncarnation || task == nil || task.outcome != Running || !w.repeatable {
		return
	}
	task.outcome, task.cause = Cancelled, CauseCancelled
}
