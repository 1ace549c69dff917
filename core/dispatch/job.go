package dispatch

import (
	"strconv"
	"time"

	"flamingohall.example/core/work"
)

// taskState is how far a task has come.
type taskState uint8

const (
	// blocked waits for earlier steps.
	blocked taskState = iota
	// waiting is to be offered.
	waiting
	// offered was sent to a worker.
	offered
	// started was confirmed by the worker.
	started
	// uncertain was offered to a worker that is out of reach: it may run until its time is over.
	uncertain
	// finished is done.
	finished
	// exhausted has failed as often as it may.
	exhausted
)

// task is one task of a job.
type task struct {
	job   *job
	step  *Step
	name  string
	state taskState
	run   uint32
	// worker is where the task is, or was last.
	worker    string
	offeredAt time.Duration
	// loadAge is how old the worker's load was then.
	loadAge   time.Duration
	startedAt time.Duration
	overAt    time.Duration
	// askedBy is the number of the ask that was made once the run was over, 0 before.
	askedBy  uint64
	failures int
	// countedRun is the last run that is counted in failures.
	countedRun uint32
	checkpoint string
	// retryAt is when a refused task is offered again.
	retryAt time.Duration
	// moves counts how often the task was taken off a slow worker.
	moves int
	// avoid is the worker that failed the task last.
	avoid string
}

// job is one submission under way.
type job struct {
	Submission
	arrivedAt time.Duration
	// deadline is when the caller leaves; 0 for never.
	deadline time.Duration
	// objective is when the job should have ended.
	objective time.Duration
	tasks     []*task
	steps     []stepProgress
	// waiters counts the callers that wait for the answer.
	waiters int
	trace   Trace
}

// stepProgress counts the tasks of a step.
type stepProgress struct {
	left      int
	expected  time.Duration
	perWorker map[string]int
}

// newJob returns a job whose first steps are ready.
func newJob(now time.Duration, s Submission) *job {
	j := &job{Submission: s, arrivedAt: now - s.Waited, waiters: 1}
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
	j.resume()
	return j
}

// epochRuns is the distance between the run numbers of two holders of a job: more than one gives out.
const epochRuns = 10_000

// resume takes in what earlier holders of a stored job have recorded.
func (j *job) resume() {
	if j.Epoch > 1 {
		for _, t := range j.tasks {
			t.run = (j.Epoch - 1) * epochRuns
		}
	}
	for t, recorded := range j.locate(j.Progress) {
		t.failures = recorded.Failures
		if recorded.IsDone {
			t.state = finished
			j.stepOf(t).left--
		}
	}
}

// locate returns what is recorded by task.
func (j *job) locate(progress []TaskProgress) map[*task]TaskProgress {
	recorded := map[*task]TaskProgress{}
	first := 0
	for i := range j.Steps {
		for _, one := range progress {
			if one.Step == i && one.Index < j.Steps[i].Count {
				recorded[j.tasks[first+one.Index]] = one
			}
		}
		first += j.Steps[i].Count
	}
	return recorded
}

// ready makes the tasks of steps whose predecessors are done wait for a worker.
func (j *job) ready() []*task {
	var freed []*task
	for _, t := range j.tasks {
		if t.state == blocked && j.isReady(t.step) {
			t.state = waiting
			freed = append(freed, t)
		}
	}
	return freed
}

func (j *job) isReady(step *Step) bool {
	for _, before := range step.After {
		if before >= 0 && before < len(j.steps) && j.steps[before].left > 0 {
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
		for _, before := range j.Steps[i].After {
			if before >= 0 && before < i {
				begin = max(begin, ends[before])
			}
		}
		ends[i] = begin + j.steps[i].expected
		longest = max(longest, ends[i])
	}
	return longest
}

// hasRun reports whether any task was ever offered: it may have run.
func (j *job) hasRun() bool {
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

// id names the task's present run.
func (t *task) id() work.RunID {
	return work.RunID{Task: t.name, Run: t.run}
}
