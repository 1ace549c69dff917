package target

import (
	"math"
	"slices"
	"time"
)

// job is the record of one job.
type job struct {
	id JobID
	// Nothing starts under an epoch below fence, nor under fence itself up to fenceAttempt.
	fence        uint64
	fenceAttempt uint32
	// maxDroppedEpoch is the highest epoch of a dropped tombstone at the time when this record was created.
	maxDroppedEpoch uint64
	// tasks is sorted by index.
	tasks []*task
	// live counts the tasks that have not ended.
	live int32
	// bytes is the accounted memory of the unpacked job.
	bytes      int32
	repeatable bool
	// cancelled means that the whole job was cancelled: none of its tasks starts.
	cancelled bool
	// lost means that a task without a record may have been started, because an earlier record of the job may have been
	// evicted.
	lost bool
	// waiting is set while tasks are queued.
	waiting *waitingJob
}

// task is one task; its fields describe the latest attempt.
type task struct {
	// live is set until the attempt ends.
	live    *liveTask
	result  []byte
	reason  string
	index   uint32
	attempt uint32
	queueUS uint32
	runUS   uint32
	outcome Outcome
	cause   Cause
	// started means that some attempt may have reached the target.
	started bool
	// sealed means that no attempt starts under the job's fence.
	sealed bool
	// undelivered means that the attempt has ended and no answer has carried its outcome yet.
	undelivered bool
}

// liveTask is the part of a task that is needed only until it ends.
type liveTask struct {
	job       *job
	payload   []byte
	entry     string
	deadline  time.Duration
	queuedAt  time.Duration
	startedAt time.Duration
	slots     int
	stopping  bool
	// startedBefore is the value of the task's started field before this start.
	startedBefore bool
	waiters       []*waiter
}

// find returns the task with the index, or nil.
func (j *job) find(index uint32) *task {
	at, found := j.position(index)
	if !found {
		return nil
	}
	return j.tasks[at]
}

// add creates a task. The index must be new.
func (j *job) add(index uint32) *task {
	at, _ := j.position(index)
	t := &task{index: index}
	j.tasks = slices.Insert(j.tasks, at, t)
	return t
}

func (j *job) position(index uint32) (int, bool) {
	return slices.BinarySearchFunc(j.tasks, index, func(t *task, index uint32) int {
		return int(int64(t.index) - int64(index))
	})
}

// fenced reports whether the fence excludes starts under the epoch and attempt.
func (j *job) fenced(epoch uint64, attempt uint32) bool {
	return epoch < j.fence || (epoch == j.fence && attempt <= j.fenceAttempt)
}

// raiseFence raises the fence; it is never lowered.
func (j *job) raiseFence(epoch uint64, attempt uint32) {
	switch {
	case epoch > j.fence:
		j.fence = epoch
		j.fenceAttempt = attempt
		j.liftSeals()
	case epoch == j.fence:
		j.fenceAttempt = max(j.fenceAttempt, attempt)
	}
}

// liftSeals lifts the seals of single tasks: they applied to epochs that the raised fence excludes anyway. Cancelled
// tasks stay sealed.
func (j *job) liftSeals() {
	for _, t := range j.tasks {
		t.sealed = t.outcome == Cancelled
	}
}

// started reports whether any task may have reached the target.
func (j *job) started() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.started })
}

// highestAttempt returns the highest attempt of any task that must not start under the fence.
func (j *job) highestAttempt() uint32 {
	highest := j.fenceAttempt
	for _, t := range j.tasks {
		highest = max(highest, t.attempt)
		if t.sealed {
			return math.MaxUint32
		}
	}
	return highest
}

// isCancelledUnseen reports whether a cancel made the record, and no attempt of the task has arrived since.
func (t *task) isCancelledUnseen() bool {
	return t.attempt == 0 && t.outcome == Cancelled
}

// taskOutcome returns the known state of the task.
func (t *task) taskOutcome() TaskOutcome {
	return TaskOutcome{
		Index: t.index, Attempt: t.attempt, Outcome: t.outcome, Cause: t.cause, Reason: t.reason, Result: t.result,
		QueueTime: time.Duration(t.queueUS) * time.Microsecond,
		RunTime:   time.Duration(t.runUS) * time.Microsecond,
	}
}
