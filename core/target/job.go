package target

import (
	"math"
	"slices"
	"time"
)

// job is what is known of one job's tasks here.
type job struct {
	id JobID
	// Nothing starts under an epoch below fence, nor under fence itself up to fenceAttempt.
	fence        uint64
	fenceAttempt uint32
	// floor is the highest epoch of a job that had been dropped when this record was made.
	floor uint64
	// tasks are ordered by index.
	tasks []*task
	// live counts the tasks that have not ended.
	live int32
	// bytes is the memory that the unpacked job is charged with.
	bytes      int32
	repeatable bool
	// cancelled means that the whole job was cancelled: nothing of it starts.
	cancelled bool
	// lost means that a task without a record may have been started by what was forgotten.
	lost bool
	// waiting is set while tasks are queued.
	waiting *waitingJob
}

// task is one task; its fields speak of its latest attempt.
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
	// undelivered means that the attempt has ended and no answer has carried its outcome.
	undelivered bool
}

// liveTask is what a task needs only until it ends.
type liveTask struct {
	job       *job
	payload   []byte
	entry     string
	deadline  time.Duration
	queuedAt  time.Duration
	startedAt time.Duration
	slots     int
	stopping  bool
	// startedBefore is the task's started of before this start.
	startedBefore bool
	waiters       []*waiter
}

// find returns the task of that index, or nil.
func (j *job) find(index uint32) *task {
	at, found := j.position(index)
	if !found {
		return nil
	}
	return j.tasks[at]
}

// add makes the task of an index that has none.
func (j *job) add(index uint32) *task {
	at, _ := j.position(index)
	made := &task{index: index}
	j.tasks = slices.Insert(j.tasks, at, made)
	return made
}

func (j *job) position(index uint32) (int, bool) {
	return slices.BinarySearchFunc(j.tasks, index, func(t *task, index uint32) int {
		return int(int64(t.index) - int64(index))
	})
}

// fenced reports whether a claim may start nothing here any more.
func (j *job) fenced(epoch uint64, attempt uint32) bool {
	return epoch < j.fence || (epoch == j.fence && attempt <= j.fenceAttempt)
}

// raise lifts the fence; it never falls.
func (j *job) raise(epoch uint64, attempt uint32) {
	switch {
	case epoch > j.fence:
		j.fence = epoch
		j.fenceAttempt = attempt
		j.reopen()
	case epoch == j.fence:
		j.fenceAttempt = max(j.fenceAttempt, attempt)
	}
}

// reopen lifts seals of every attempt: they held under epochs that the fence now shuts out. Cancelled tasks stay so.
func (j *job) reopen() {
	for _, t := range j.tasks {
		t.sealed = t.outcome == Cancelled
	}
}

// started reports whether any task may have reached the target.
func (j *job) started() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.started })
}

// highestAttempt returns the highest attempt of any task that may not start under the fence.
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

// told returns what is known of the task.
func (t *task) taskOutcome() TaskOutcome {
	return TaskOutcome{
		Index: t.index, Attempt: t.attempt, Outcome: t.outcome, Cause: t.cause, Reason: t.reason, Result: t.result,
		QueueTime: time.Duration(t.queueUS) * time.Microsecond,
		RunTime:   time.Duration(t.runUS) * time.Microsecond,
	}
}
