package job

import "fmt"

// handle is the gate of a target as the contract between entries and sidecars states it.
func (g *targetState) handle(w *world, c *callState) []Report {
	isOther := c.target.Incarnation != fmt.Sprint(g.incarnation)
	var reports []Report
	for _, ref := range c.refs {
		switch c.kind {
		case EffectRun:
			reports = append(reports, g.run(w, c, ref, isOther))
		case EffectStatus:
			if task := g.tasks[ref.Index]; task != nil && !isOther {
				reports = append(reports, task.report(ref.Index))
			}
		case EffectSeal:
			reports = append(reports, g.seal(c, ref, isOther))
		case EffectCancel:
			g.cancel(w, ref, isOther)
		}
	}
	if c.kind == EffectSeal && !isOther {
		g.fence = max(g.fence, c.epoch)
	}
	return reports
}

func (t *gateTask) report(index int) Report {
	r := Report{Ref: Ref{Index: index, Attempt: t.attempt}, Outcome: t.outcome, Cause: t.cause, Reason: "told"}
	if t.outcome == Done {
		r.Result = []byte(fmt.Sprint("result ", index))
	}
	return r
}

func refused(ref Ref, outcome Outcome, cause Cause) Report {
	return Report{Ref: ref, Outcome: outcome, Cause: cause, Reason: "refused"}
}

func (g *targetState) run(w *world, c *callState, ref Ref, isOther bool) Report {
	if isOther && !w.repeatable {
		return refused(ref, Unknown, CauseIncarnation)
	}
	task := g.tasks[ref.Index]
	if task != nil && (ref.Attempt <= task.attempt || (task.started && !w.repeatable)) {
		if ref.Attempt < task.attempt {
			return refused(ref, NotRun, CauseSealed)
		}
		return task.report(ref.Index)
	}
	switch {
	case !w.repeatable && c.epoch < g.fence:
		return refused(ref, NotRun, CauseFenced)
	case task != nil && task.sealed:
		return refused(ref, NotRun, CauseSealed)
	case !w.now.Before(w.deadline.Add(-w.skew)):
		return refused(ref, NotRun, CauseDeadline)
	}
	g.tasks[ref.Index] = &gateTask{attempt: ref.Attempt, outcome: Running, started: true}
	w.starts[ref.Index]++
	return g.tasks[ref.Index].report(ref.Index)
}

func (g *targetState) seal(c *callState, ref Ref, isOther bool) Report {
	if isOther {
		return refused(ref, Unknown, CauseLost)
	}
	if c.epoch < g.fence {
		return refused(ref, Unknown, CauseFenced)
	}
	task := g.tasks[ref.Index]
	if task == nil {
		task = &gateTask{outcome: NotRun, cause: CauseSealed}
		g.tasks[ref.Index] = task
	}
	if !task.started {
		// A takeover, which names no attempt, seals older epochs only; a late copy of it lifts no later seal.
		isNewer := c.epoch > g.fence
		task.sealed = ref.Attempt > 0 || (task.sealed && !isNewer)
	}
	return task.report(ref.Index)
}

func (g *targetState) cancel(w *world, ref Ref, isOther bool) {
	task := g.tasks[ref.Index]
	if isOther || task == nil || task.outcome != Running || !w.repeatable {
		return
	}
	task.outcome, task.cause = Cancelled, CauseCancelled
}
