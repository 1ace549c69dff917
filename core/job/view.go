package job

import (
	"strconv"
	"time"
)

// ID returns the id of the job.
func (j *Job) ID() string { return j.spec.ID }

// Epoch returns the epoch of the claim, or 0 for repeatable work.
func (j *Job) Epoch() uint64 { return j.epoch }

// IsRepeatable reports whether the tasks may be started more than once.
func (j *Job) IsRepeatable() bool { return j.spec.Repeatable }

// Deadline returns the time by which the job must be answered.
func (j *Job) Deadline() time.Time { return j.spec.Deadline }

// IsAnswered reports whether the job has been answered.
func (j *Job) IsAnswered() bool { return j.phase == phaseAnswered }

// IsWaiting reports whether the job has tasks that may be placed now.
func (j *Job) IsWaiting() bool {
	return j.phase == phaseOpen && !j.stopping && j.waiting > 0
}

// Waiting returns the number of tasks that wait for placement.
func (j *Job) Waiting() int { return j.waiting }

// Tasks returns the number of tasks.
func (j *Job) Tasks() int { return len(j.tasks) }

// Spec returns a task as submitted.
func (j *Job) Spec(index int) TaskSpec { return j.spec.Tasks[index] }

// NextWaiting returns the index of the first waiting task at or after index, or -1.
func (j *Job) NextWaiting(index int) int {
	for i := index; i < len(j.tasks); i++ {
		if !j.tasks[i].settled && len(j.tasks[i].liveAttempts) == 0 {
			return i
		}
	}
	return -1
}

// Task returns the state of a task.
func (j *Job) Task(index int) TaskState { return j.tasks[index].TaskState }

// LoneAttempt returns the number of a task's live attempt if there is exactly one, else 0. It returns 0 for a job that
// is stopping.
func (j *Job) LoneAttempt(index int) int {
	if liveAttempts := j.tasks[index].liveAttempts; len(liveAttempts) == 1 && !j.stopping {
		return liveAttempts[0].attempt
	}
	return 0
}

// RanToEnd reports whether every task is done, or failed because of an error of a task of this job.
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

// StopReason returns why the job stopped early, or "" if it did not.
func (j *Job) StopReason() string { return j.stopReason }

// NextTick returns the time at which the next Tick is due; the zero time means never.
func (j *Job) NextTick() time.Time {
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

// LiveTargets calls visit with the target of each live attempt, and with each target that a takeover still waits for.
func (j *Job) LiveTargets(visit func(target Target)) {
	for i := range j.tasks {
		for _, live := range j.tasks[i].liveAttempts {
			visit(live.target)
		}
	}
	for target := range j.takeover.pending {
		visit(target)
	}
}

func itoa(number int) string { return strconv.Itoa(number) }
