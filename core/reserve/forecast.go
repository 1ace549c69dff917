package reserve

import (
	"slices"
	"time"
)

// Forecast returns how long the waiting task at the index is expected to wait, by the plans that follow if all runs end as
// expected. The planner does not change.
func (p *Planner) Forecast(now time.Duration, state State, index int) time.Duration {
	planner := *p
	state.Runs, state.Waiting = slices.Clone(state.Runs), slices.Clone(state.Waiting)
	for at := now; ; {
		// If runs end as expected, no reservation expires.
		planner.heldTo = never
		plan := planner.Plan(at, state)
		for _, start := range plan.Starts {
			if start.Index == index {
				return at - now
			}
			task := &state.Waiting[start.Index]
			state.Free = state.Free.Minus(task.Needs)
			state.Runs = append(state.Runs, Run{Needs: task.Needs, EndsAt: at + task.Expected})
		}
		state.Waiting, index = withoutStarted(state.Waiting, plan.Starts, index)
		next := nextEnd(at, state.Runs)
		if next == never {
			// The task needs more than the worker's present capacity.
			return at - now
		}
		at = next
		state.Runs = slices.DeleteFunc(state.Runs, func(r Run) bool {
			if r.EndsAt > at {
				return false
			}
			state.Free = state.Free.Plus(r.Needs)
			return true
		})
	}
}

// withoutStarted removes the started tasks in place, and returns the new index of the task that had the given one.
func withoutStarted(waiting []Task, starts []Start, index int) ([]Task, int) {
	if len(starts) == 0 {
		return waiting, index
	}
	remaining := waiting[:0]
	moved := index
	for i := range waiting {
		if slices.ContainsFunc(starts, func(s Start) bool { return s.Index == i }) {
			if i < index {
				moved--
			}
			continue
		}
		remaining = append(remaining, waiting[i])
	}
	return remaining, moved
}

// nextEnd returns when the next run ends, never if there is none.
func nextEnd(now time.Duration, runs []Run) time.Duration {
	next := never
	for _, run := range runs {
		next = min(next, max(run.EndsAt, now+1))
	}
	return next
}
