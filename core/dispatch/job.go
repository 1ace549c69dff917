package dispatch

import (
	"slices"
	"strconv"
	"time"

	"flamingohall.example/core/work"
)

// taskState is the progress of a task.
type taskState uint8

const (
	// blocked means that the task waits for earlier steps.
	blocked taskState = iota
	// waiting means that the task is to be offered.
	waiting
	// offered means that the task was sent to a worker.
	offered
	// started means that the worker has confirmed the start.
	started
	// uncertain means that the worker of an offered or started task is unreachable, or that the job lease has expired.
	// The task may run until runEndsBy.
	uncertain
	// finished means that the task is done.
	finished
	// exhausted means that the task has failed as often as allowed.
	exhausted
)

// task is one task of a job.
type task struct {
	job   *job
	step  *Step
	name  string
	state taskState
	// run is the current run, or the last one if the task waits.
	run run
	// firstOfferedAt is when the task was first offered; 0 before.
	firstOfferedAt time.Duration
	// failedRuns are the numbers of the runs that have failed, as reported here or recorded by control. unnamedFailures is the number of
	// those that a version of control has recorded that doesn't tell their numbers.
	failedRuns      []uint32
	unnamedFailures int
	checkpoint      string
	// retryAt is when a rejected task is offered again.
	retryAt time.Duration
	// moves counts how often the task was moved off a slow worker.
	moves int
	// avoid is the worker that last failed to complete the task, or rejected it as busy, unavailable or unanswered.
	avoid string
	// fullOffers counts the offers that a full worker refused.
	fullOffers int
}

// run is one run of a task, from its offer on. Each offer replaces it as a whole, so that nothing that was learned, asked or
// decided about one run counts for the next.
type run struct {
	// number is 0 before the first run.
	number uint32
	// worker is the worker that the run was offered to.
	worker    string
	offeredAt time.Duration
	// loadAge is the age of the worker's load report when the offer was made.
	loadAge   time.Duration
	startedAt time.Duration
	// endsBy is when the run of an uncertain task must have ended. It is 0 while the session in which the run was offered lasts: as
	// long as its sidecar gets answers, it keeps the run's lease, and reports its end.
	endsBy time.Duration
	// progressRequest is the number of the ProgressRequest that was made once the run must have ended; 0 before.
	progressRequest uint64
}

// job is one submission in progress.
type job struct {
	Submission
	key       uint64
	arrivedAt time.Duration
	// deadline is when the caller stops waiting; 0 for never.
	deadline time.Duration
	// objective is when the job should end.
	objective time.Duration
	tasks     []*task
	steps     []stepProgress
	// waiters counts the callers that wait for the answer.
	waiters int
	// isLateWork means that the job can't end in time and uses only capacity that no other job needs.
	isLateWork bool
	// isHeld means that the job may be running because of an earlier submission, and is not started.
	isHeld bool
	trace  Trace
}

// stepProgress tracks the tasks of a step.
type stepProgress struct {
	left      int
	expected  time.Duration
	perWorker map[string]int
}

// newJob returns a job whose first steps are ready.
func newJob(now time.Duration, s Submission) *job {
	j := &job{Submission: s, key: JobKey(s.ID), arrivedAt: now - s.Waited - s.Unread, waiters: 1}
	if s.Timeout > 0 {
		j.deadline = j.arrivedAt + s.Timeout
	}
	for i := range s.Steps {
		step := &j.Steps[i]
		j.steps = append(j.steps, stepProgress{left: step.Count, expected: step.Expected})
		for index := range step.Count {
			name := s.ID + ".0." + strconv.Itoa(i) + "." + strconv.Itoa(index)
			j.tasks = append(j.tasks, &task{job: j, step: step, name: name})
		}
	}
	j.trace.Tasks = len(j.tasks)
	j.restoreProgress()
	return j
}

// runsPerEpoch is the distance between the first run numbers of two holders of a job. It exceeds the number of runs that
// one holder starts.
const runsPerEpoch = 10_000

// restoreProgress applies what earlier holders of a stored job have recorded.
func (j *job) restoreProgress() {
	if j.Epoch > 1 {
		for _, t := range j.tasks {
			t.run.number = (j.Epoch - 1) * runsPerEpoch
		}
	}
	for t, recorded := range j.progressByTask(j.Progress) {
		t.learnFailures(recorded)
		if recorded.IsDone {
			t.state = finished
			j.stepOf(t).left--
		}
	}
}

// addFailure counts a failed run once, however often and by whom it is reported.
func (t *task) addFailure(run uint32) {
	if !slices.Contains(t.failedRuns, run) {
		t.failedRuns = append(t.failedRuns, run)
	}
}

// learnFailures counts the failed runs that control has recorded.
func (t *task) learnFailures(recorded TaskProgress) {
	t.unnamedFailures = max(t.unnamedFailures, recorded.Failures-len(recorded.FailedRuns))
	for _, run := range recorded.FailedRuns {
		t.addFailure(run)
	}
}

// hasAttempts reports whether the task may be tried again.
func (t *task) hasAttempts() bool {
	return t.unnamedFailures+len(t.failedRuns) < max(1, t.job.Queue.Attempts)
}

// progressByTask maps tasks to their recorded progress.
func (j *job) progressByTask(progress []TaskProgress) map[*task]TaskProgress {
	recorded := map[*task]TaskProgress{}
	first := 0
	for i := range j.Steps {
		for _, p := range progress {
			if p.Step == i && p.Index < j.Steps[i].Count {
				recorded[j.tasks[first+p.Index]] = p
			}
		}
		first += j.Steps[i].Count
	}
	return recorded
}

// unblock moves the tasks of steps whose predecessors are done to the state waiting, and returns them.
func (j *job) unblock() []*task {
	var unblocked []*task
	for _, t := range j.tasks {
		if t.state == blocked && j.isReady(t.step) {
			t.state = waiting
			unblocked = append(unblocked, t)
		}
	}
	return unblocked
}

func (j *job) isReady(step *Step) bool {
	for _, earlier := range step.After {
		if earlier >= 0 && earlier < len(j.steps) && j.steps[earlier].left > 0 {
			return false
		}
	}
	return true
}

// stepOf returns the progress of a task's step.
func (j *job) stepOf(t *task) *stepProgress {
	for i := range j.Steps {
		if &j.Steps[i] == t.step {
			return &j.steps[i]
		}
	}
	return nil
}

// longestChain returns the expected work on the longest path through the steps.
func (j *job) longestChain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, earlier := range j.Steps[i].After {
			if earlier >= 0 && earlier < i {
				begin = max(begin, ends[earlier])
			}
		}
		ends[i] = begin + j.steps[i].expected
		longest = max(longest, ends[i])
	}
	return longest
}

// wasOffered reports whether any task was ever offered, and so may have run.
func (j *job) wasOffered() bool {
	return j.trace.Offers > 0
}

// isDone reports whether no task is left.
func (j *job) isDone() bool {
	for i := range j.steps {
		if j.steps[i].left > 0 {
			return false
		}
	}
	return true
}

// id identifies the task's current run.
func (t *task) id() work.RunID {
	return work.RunID{Task: t.name, Run: t.run.number}
}
