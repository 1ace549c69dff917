package job

import (
	"strconv"
	"time"
)

// ID returns the job's id.
func (j *Job) ID() string { return j.spec.ID }

// Epoch returns the epoch of the claim; 0 for repeatable work.
func (j *Job) Epoch() uint64 { return j.epoch }

// IsRepeatable reports whether the tasks may be started more than once.
func (j *Job) IsRepeatable() bool { return j.spec.Repeatable }

// Deadline returns when the job must be answered.
func (j *Job) Deadline() time.Time { return j.spec.Deadline }

// IsAnswered reports whether the final answer was handed out.
func (j *Job) IsAnswered() bool { return j.phase == phaseAnswered }

// IsWaiting reports whether tasks may be placed now.
func (j *Job) IsWaiting() bool {
	return j.phase == phaseOpen && !j.stopping && j.waiting > 0
}

// Waiting returns the number of tasks that wait for a target.
func (j *Job) Waiting() int { return j.waiting }

// Tasks returns the number of tasks.
func (j *Job) Tasks() int { return len(j.tasks) }

// Spec returns a task as it was submitted.
func (j *Job) Spec(index int) TaskSpec { return j.spec.Tasks[index] }

// NextWaiting returns the first waiting task at or after index, or -1.
func (j *Job) NextWaiting(index int) int {
	for i := index; i < len(j.tasks); i++ {
		if !j.tasks[i].settled && len(j.tasks[i].tries) == 0 {
			return i
		}
	}
	return -1
}

// Task returns what is known of a task.
func (j *Job) Task(index int) TaskState { return j.tasks[index].TaskState }

// LoneAttempt returns the number of a task's attempt when it has exactly one on its way, else 0.
func (j *Job) LoneAttempt(index int) int {
	if tries := j.tasks[index].tries; len(tries) == 1 && !j.stopping {
		return tries[0].attempt
	}
	return 0
}

// RanToEnd reports whether each task is done or failed by its own fault.
func (j *Job) RanToEnd() bool {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.Outcome != Done && t.Cause != CauseTask && t.Cause != CauseJob {
			return false
		}
	}
	return true
}

// IsComplete reports whether every task is done.
func (j *Job) IsComplete() bool {
	for i := range j.tasks {
		if j.tasks[i].Outcome != Done {
			return false
		}
	}
	return true
}

// StopReason returns why the job stopped early; empty when it did not.
func (j *Job) StopReason() string { return j.stopReason }

// Wake returns when the next Tick is due; the zero time means never.
func (j *Job) Wake() time.Time {
	switch {
	case j.phase == phaseAnswered:
		return time.Time{}
	case j.phase == phaseFinishing:
		return j.spec.Deadline.Add(j.spec.FinishGrace)
	case !j.spec.Repeatable && !j.sealed:
		return j.spec.Deadline.Add(-j.spec.SealMargin)
	default:
		return j.spec.Deadline
	}
}

// LiveTargets calls visit with each target that has an attempt on its way, once for each attempt.
func (j *Job) LiveTargets(visit func(target Target)) {
	for i := range j.tasks {
		for _, tr := range j.tasks[i].tries {
			visit(tr.target)
		}
	}
	for target := range j.takeover.open {
		visit(target)
	}
}

func itoa(number int) string { return strconv.Itoa(number) }
